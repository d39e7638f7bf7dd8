"""Runs the steps of one scenario against real processes on free loopback ports."""

import ctypes
import json
import os
import re
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field

from calls import CALL_WAIT_S, Load, check_executions, send, send_raw
from relay import Relay

LOG_LINES = 25
POLL_S = 0.05
# Targets that requests end are away for less.
TARGET_AWAY_S = 3
# Below the 120 s of ctest, so that the failing step and the logs are still printed.
SCENARIO_LIMIT_S = 100
PR_SET_PDEATHSIG = 1


class StepFailure(Exception):
    """A step whose expectation does not hold."""


@dataclass
class Process:
    name: str
    kind: str
    child: subprocess.Popen
    log: str
    ports: dict = field(default_factory=dict)
    is_frozen: bool = False

    def is_running(self):
        return self.child.poll() is None


def free_port(taken):
    """A port that is free for TCP and UDP and was not given out before."""
    while True:
        with socket.socket() as stream, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram:
            stream.bind(("127.0.0.1", 0))
            port = stream.getsockname()[1]
            try:
                datagram.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in taken:
            taken.add(port)
            return port


def end_with_parent():
    # Ends the child when this program is killed without a chance to clean up.
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def fetch(port, path, body=None, wait_s=3):
    request = urllib.request.Request(f"http://127.0.0.1:{port}{path}", data=body)
    with urllib.request.urlopen(request, timeout=wait_s) as answer:
        return answer.read()


def find_objects(value):
    """All JSON objects inside a value."""
    if isinstance(value, dict):
        yield value
    for it in value.values() if isinstance(value, dict) else value if isinstance(value, list) else ():
        yield from find_objects(it)


class Harness:
    def __init__(self, binaries):
        self.binaries = os.path.abspath(binaries)
        self.folder = tempfile.TemporaryDirectory(prefix="berylport-process-")
        self.processes = {}
        self.relays = {}
        self.loads = {}
        self.requests = {}
        self.background = {}
        self.versions = {}
        self.taken = set()
        self.deadline = time.monotonic() + SCENARIO_LIMIT_S

    # Steps

    def run(self, steps):
        """Returns an empty text, or the failed step with its reason and the logs."""
        try:
            for step in steps:
                try:
                    getattr(self, "step_" + step.verb.replace(" ", "_"))(step, *step.arguments)
                except (StepFailure, OSError, KeyError, ValueError, subprocess.SubprocessError) as error:
                    return f"{step.where()}\n  {error or type(error).__name__}\n{self.logs()}"
                if time.monotonic() > self.deadline:
                    return f"{step.where()}\n  the scenario took more than {SCENARIO_LIMIT_S} s\n{self.logs()}"
            return ""
        finally:
            self.close()

    def close(self):
        for it in self.processes.values():
            if it.is_running():
                it.child.kill()
            it.child.wait()
        for it in self.relays.values():
            it.close()
        self.folder.cleanup()

    def logs(self):
        out = []
        for it in self.processes.values():
            code = it.child.poll()
            state = "running" if code is None else f"exit code {code}"
            out.append(f"  --- {it.name} (pid {it.child.pid}, {state}, ports {it.ports})")
            with open(it.log, encoding="utf-8", errors="replace") as lines:
                out += ["  " + line.rstrip() for line in lines.readlines()[-LOG_LINES:]]
        return "\n".join(out)

    def launch(self, name, kind, program, arguments):
        log = os.path.join(self.folder.name, name + ".log")
        with open(log, "wb") as out:
            child = subprocess.Popen(
                [os.path.join(self.binaries, program), *arguments], stdin=subprocess.DEVNULL, stdout=out, stderr=out,
                preexec_fn=end_with_parent)
        process = Process(name, kind, child, log)
        self.processes[name] = process
        return process

    def wait_until(self, description, limit_s, condition):
        """Polls until the condition returns an empty text, which otherwise says what is missing."""
        deadline = min(time.monotonic() + limit_s, self.deadline)
        while True:
            missing = condition()
            if not missing:
                return
            if time.monotonic() > deadline:
                raise StepFailure(f"{description} not within {limit_s:g} s: {missing}")
            time.sleep(POLL_S)

    def wait_for_line(self, process, pattern):
        found = []

        def condition():
            with open(process.log, encoding="utf-8", errors="replace") as text:
                found[:] = re.findall(pattern, text.read())
            if not found and not process.is_running():
                raise StepFailure(f"{process.name} ended with exit code {process.child.returncode}")
            return "" if found else "no such line in its log"

        self.wait_until(f"{process.name}: the line that names its ports was", 10, condition)
        return found[0]

    def start_store(self, name):
        process = self.launch(name, "store", "berylport-" + name, [])
        port, control = self.wait_for_line(process, r"port (\d+) control-port (\d+)")
        process.ports = {"store": int(port), "control": int(control)}

    def step_start_table(self, step):
        self.start_store("table")

    def step_start_objects(self, step):
        self.start_store("objects")

    def step_start_node(self, step, name):
        ports = {it: free_port(self.taken) for it in ("caller", "local", "operators", "peer", "gossip")}
        listen = {it: f"127.0.0.1:{port}" for it, port in ports.items()}
        if step.options.get("relay"):
            relay = Relay(name, ports["peer"], ports["gossip"], self.node_pids)
            self.relays[name] = relay
            listen["peer_advertised"] = f"127.0.0.1:{relay.tcp_port}"
            listen["gossip_advertised"] = f"127.0.0.1:{relay.udp_port}"
        seeds = ",".join(f"127.0.0.1:{self.gossip_port(it)}" for it in step.options.get("seeds", ()))
        settings = {
            "node": {"zone": step.options["zone"], "region": step.options.get("region", "central")},
            "listen": listen,
            "platform": {it: f"127.0.0.1:{self.processes[it].ports['store']}" for it in ("table", "objects")},
            "membership": {"seeds": seeds} if seeds else {},
        }
        for it in step.options.get("settings", ()):
            path, _, value = it.partition(":")
            section, _, key = path.partition(".")
            settings.setdefault(section, {})[key] = value
        file = os.path.join(self.folder.name, name + ".ini")
        with open(file, "w", encoding="ascii") as out:
            for section, keys in settings.items():
                out.write(f"[{section}]\n" + "".join(f"{key} = {value}\n" for key, value in keys.items()))
        process = self.launch(name, "node", "berylportd", ["--settings", file])
        process.ports = ports

    def node_pids(self):
        return {it.name: it.child.pid for it in list(self.processes.values()) if it.kind == "node" and it.is_running()}

    def gossip_port(self, name):
        return self.relays[name].udp_port if name in self.relays else self.processes[name].ports["gossip"]

    def step_start_target(self, step, name):
        node = self.processes[step.options["node"]]
        arguments = ["--service", step.options["service"], "--node", f"127.0.0.1:{node.ports['local']}",
                     "--slots", str(step.options.get("slots", 10)),
                     "--service-time-ms", str(int(step.options.get("delay", 0) * 1000)),
                     "--start-delay-ms", str(int(step.options.get("start-delay", 0) * 1000))]
        if step.options.get("deduplicate"):
            arguments.append("--deduplicate")
        process = self.launch(name, "target", "berylport-target", arguments)
        process.ports = {"target": int(self.wait_for_line(process, r"listening on [\d.]+:(\d+)"))}

    # Operators

    def run_operator(self, node, words, limit_s=15):
        endpoint = f"127.0.0.1:{self.processes[node].ports['operators']}"
        command = [os.path.join(self.binaries, "berylportctl"), "--node", endpoint, "--json", *words]
        done = subprocess.run(
            command, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, stderr=subprocess.PIPE, timeout=limit_s,
            check=False, preexec_fn=end_with_parent)
        return done.returncode, done.stdout.decode("utf-8", "replace"), done.stderr.decode("utf-8", "replace")

    def operator_objects(self, node, *words):
        code, out, error = self.run_operator(node, words)
        if code:
            raise StepFailure(f"berylportctl {' '.join(words)} ended with exit code {code}: {out}{error}")
        try:
            return list(find_objects(json.loads(out)))
        except ValueError:
            return [it for line in out.splitlines() if line.strip() for it in find_objects(json.loads(line))]

    def substitute(self, word):
        """Replaces {id:NODE} by the node's id, {port:PROCESS.KIND} by a port, {version:SERVICE} by the noted version."""
        def replacement(match):
            if match[1] == "port":
                name, kind = match[2].split(".")
                return str(self.processes[name].ports[kind])
            if match[1] == "id":
                rows = self.operator_objects(match[2], "node", "status")
                found = [it["node"] for it in rows if "node" in it]
                if not found:
                    raise StepFailure(f"no node id in {rows}")
                return str(found[0])
            return str(self.versions[match[2]])

        return re.sub(r"\{(id|port|version):([^}]+)\}", replacement, word)

    def step_note_version(self, step, service):
        rows = self.operator_objects(step.options["node"], "service", "show", service)
        found = [it["version"] for it in rows if "version" in it]
        if not found:
            raise StepFailure(f"no version of {service} in {rows}")
        self.versions[service] = int(found[0])

    def step_operator(self, step, node, *words):
        words = [self.substitute(it) for it in words]

        def condition():
            code, out, error = self.run_operator(node, words, step.options.get("within", 15))
            actual = {"exit": code, "output": out + error}
            failed = [str(it) for it in step.expectations if not it.holds(actual[it.name])]
            return f"{', '.join(failed)} does not hold: exit code {code}, {out}{error}" if failed else ""

        self.repeat(step, condition)

    def repeat(self, step, condition):
        """Checks once, or until the time of until= has passed."""
        if "until" in step.options:
            self.wait_until("it did", step.options["until"], condition)
        elif missing := condition():
            raise StepFailure(missing)

    # Waits

    def step_wait_node(self, step, name):
        process = self.processes[name]

        def condition():
            if not process.is_running():
                raise StepFailure(f"{name} ended with exit code {process.child.returncode}")
            try:
                fetch(process.ports["caller"], "/berylport/health")
                return ""
            except (OSError, ValueError) as error:
                return str(error)

        self.wait_until(f"{name} was ready", step.options["within"], condition)

    def step_wait_targets(self, step, service, count):
        def condition():
            for node in step.options["on"]:
                rows = self.operator_objects(node, "target", "list")
                ready = sum(it.get("service") == service and it.get("state") == "ready" for it in rows)
                if ready != count:
                    return f"node {node} sees {ready} ready targets of {service}: {rows}"
            return ""

        self.wait_until(f"{count} ready targets of {service} were seen", step.options["within"], condition)

    def step_sleep(self, step, seconds):
        time.sleep(min(seconds, max(0, self.deadline - time.monotonic())))

    # Calls

    def call(self, step, name):
        options = dict(step.options)
        path = self.substitute(options.get("path", "/"))
        options["path"] = re.sub(
            r"\{([A-Za-z][A-Za-z0-9-]*)\.location\}", lambda it: self.requests[it[1]].headers["location"], path)
        port = self.processes[options["node"]].ports["caller"]
        return send(port, name, options, options.get("within", CALL_WAIT_S))

    def step_request(self, step, name):
        if step.options.get("background"):
            def run():
                self.requests[name] = self.call(step, name)

            thread = threading.Thread(target=run, daemon=True)
            self.background[name] = thread
            thread.start()
            return

        def condition():
            self.requests[name] = self.call(step, name)
            return self.compare(step, self.requests[name])

        self.repeat(step, condition)

    def compare(self, step, answer):
        if not step.expectations and answer.error:
            return str(answer)
        failed = [str(it) for it in step.expectations if not it.holds(answer.value(it.name))]
        return f"{', '.join(failed)} does not hold: {answer}" if failed else ""

    def step_wait_request(self, step, name):
        thread = self.background[name]
        thread.join(step.options["within"])
        if thread.is_alive():
            raise StepFailure(f"request {name} was not answered within {step.options['within']:g} s")
        if missing := self.compare(step, self.requests[name]):
            raise StepFailure(missing)

    def step_raw(self, step):
        port = self.processes[step.options["node"]].ports["caller"]
        status, outcome = send_raw(port, step.options["text"], step.options.get("within", 10))
        actual = {"status": status, "outcome": outcome}
        failed = [str(it) for it in step.expectations if not it.holds(actual[it.name])]
        if failed:
            raise StepFailure(f"{', '.join(failed)} does not hold: status {status}, outcome {outcome}")

    def step_load(self, step, name):
        ports = [self.processes[it].ports["caller"] for it in step.options["nodes"]]
        self.loads[name] = Load(name, ports, step.options)

    def step_wait_load(self, step, name):
        if not self.loads[name].wait(step.options["within"]):
            raise StepFailure(f"load {name} did not end within {step.options['within']:g} s: {self.loads[name]}")

    def step_expect_load(self, step, name):
        load = self.loads[name]
        failed = [f"{it} does not hold ({load.value(it.name)})" for it in step.expectations
                  if not it.holds(load.value(it.name))]
        if failed:
            raise StepFailure(f"{', '.join(failed)}: {load}")

    def step_expect_executions(self, step, name, rule):
        answers = self.loads[name].answers if name in self.loads else [self.requests[name]]
        counts = {}
        for it in self.processes.values():
            if it.kind == "target" and it.is_running():
                port = it.ports["target"]
                counts[port] = json.loads(fetch(port, "/executions"))["executions"]
        if violation := check_executions(rule, answers, counts):
            raise StepFailure(violation)

    def step_expect_total(self, step, target):
        total = json.loads(fetch(self.processes[target].ports["target"], "/executions"))["total"]
        if failed := [str(it) for it in step.expectations if not it.holds(total)]:
            raise StepFailure(f"{', '.join(failed)} does not hold: {target} ran {total} requests")

    # Faults

    def step_kill(self, step, name):
        self.processes[name].child.kill()
        self.processes[name].child.wait(5)

    def step_stop(self, step, name):
        self.processes[name].child.terminate()
        if not step.options.get("background"):
            self.step_wait_exit(step, name)

    def step_wait_exit(self, step, name):
        try:
            code = self.processes[name].child.wait(step.options["within"])
        except subprocess.TimeoutExpired:
            raise StepFailure(f"{name} did not end within {step.options['within']:g} s") from None
        if code != step.options.get("exit", 0):
            raise StepFailure(f"{name} ended with exit code {code}")

    def step_freeze(self, step, name):
        self.processes[name].child.send_signal(signal.SIGSTOP)

    def step_resume(self, step, name):
        self.processes[name].child.send_signal(signal.SIGCONT)

    def step_cut(self, step, first, second):
        self.relays[first].cut_from.add(second)
        self.relays[second].cut_from.add(first)

    def step_heal(self, step, first, second):
        self.relays[first].cut_from.discard(second)
        self.relays[second].cut_from.discard(first)

    def step_control(self, step, store):
        faults = {key: float(value) if key.endswith("Rate") else value for key, value in step.options.items()}
        fetch(self.processes[store].ports["control"], "/control", json.dumps(faults).encode())

    def step_behaviour(self, step, target, *parameters):
        limit = time.monotonic() + TARGET_AWAY_S
        while True:
            try:
                fetch(self.processes[target].ports["target"], "/behaviour?" + "&".join(parameters), b"")
                return
            except (urllib.error.URLError, ConnectionError):
                if time.monotonic() > limit:
                    raise
                time.sleep(POLL_S)
