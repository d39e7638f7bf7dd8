"""Stand-ins of the platform's store and of application servers, and the nodes of a small deployment.

The nodes are started with the command of deploy/system.toml and with settings made from deploy/node.ini. Everything
runs on loopback addresses: each machine has an address of its own, ports are the same on all machines.
"""

import asyncio
import base64
import json
import os
import re
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BOUNDS = {
    "drain-s": 2, "grace-s": 6, "config-apply-s": 2, "budget-extra": 60, "budget-window-s": 10,
    "quota-window-s": "", "quota-excess": "", "quota-slack": "",
}
HOP_HEADERS = {"content-length", "connection", "transfer-encoding"}


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Message:
    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)

    @property
    def status(self):
        return int(self.start.split(" ")[1])


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader):
    """A request or an answer with a length."""
    start, headers = await read_head(reader)
    length = int(headers.get("content-length", "0") or 0)
    body = await reader.readexactly(length) if length else b""
    return Message(start, headers, body)


def make_answer(status, headers, body, reason="OK"):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def make_request(method, path, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Record:
    """Lines of record.txt, with the seconds since the start of the run."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Store:
    """The platform's table store: rows, conditional transactions and the feed of changes."""

    def __init__(self, address, port):
        self.address = address
        self.port = port
        self.rows = {}
        self.version = 100
        self.changed = asyncio.Condition()
        self.started = time.monotonic()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port)

    def now(self):
        return time.monotonic() - self.started

    async def write(self, table, key, value):
        """As the operator does; returns when the row is durable."""
        self.version += 1
        self.rows[(table, "", key)] = (base64.b64encode(value).decode(), self.version)
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                status, body = await self.handle(request)
                data = json.dumps(body).encode()
                writer.write(make_answer(status, {"Content-Type": "application/json"}, data))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    async def handle(self, request):
        method, target, _ = request.start.split(" ")
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        await asyncio.sleep(0.004)
        if url.path == "/-/rows-get":
            return 200, self.page(query)
        if url.path == "/-/rows-feed":
            return 200, await self.feed(query)
        if url.path == "/-/rows-tx" and method == "POST":
            return await self.transact(json.loads(request.body))
        return 404, {}

    def row(self, place, value):
        return {"table-name": place[0], "part": place[1], "key": place[2], "value": value[0], "schema-ver": value[1]}

    def envelope(self, rows):
        return {"rows": rows, "has-more": False, "schema-ver": self.version, "now-s": self.now()}

    def page(self, query):
        first = query.get("start-key", "")
        last = query.get("target")
        limit = int(query.get("max-items", "500"))
        found = [
            self.row(place, value) for place, value in sorted(self.rows.items())
            if place[:2] == (query["table-name"], query.get("part", "")) and place[2] >= first
            and (not last or place[2] < last)
        ]
        answer = self.envelope(found[:limit])
        answer["has-more"] = len(found) > limit
        return answer

    async def feed(self, query):
        after = int(query["after"])
        deadline = time.monotonic() + int(query.get("wait-ms", "0")) / 1000

        def changes():
            rows = [
                self.row(place, value) for place, value in self.rows.items()
                if place[0] == query["table-name"] and value[1] > after
            ]
            return sorted(rows, key=lambda row: row["schema-ver"])

        async with self.changed:
            while not changes() and time.monotonic() < deadline:
                try:
                    await asyncio.wait_for(self.changed.wait(), deadline - time.monotonic())
                except asyncio.TimeoutError:
                    break
        return self.envelope(changes())

    async def transact(self, body):
        await asyncio.sleep(0.008)
        for row in body.get("expect", []):
            place = (row["table-name"], row.get("part", ""), row["key"])
            if self.rows.get(place, ("", 0))[1] != row["schema-ver"]:
                held = [self.row(it, self.rows[it]) for it in [place] if it in self.rows]
                return 412, self.envelope(held)
        self.version += 1
        for row in body.get("write", []):
            self.rows[(row["table-name"], row.get("part", ""), row["key"])] = (row["value"], self.version)
        for row in body.get("remove", []):
            self.rows.pop((row["table-name"], row.get("part", ""), row["key"]), None)
        async with self.changed:
            self.changed.notify_all()
        return 200, {"schema-ver": self.version, "now-s": self.now()}


class Machine:
    """A machine with an application server and a node."""

    def __init__(self, fleet, number, service, zone):
        self.fleet = fleet
        self.number = number
        self.name = f"sidecar-{zone}-{number}"
        self.address = f"127.0.{fleet.net}.{10 + number}"
        self.service = service
        self.zone = zone
        self.instance = f"i-{number:08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.process = None
        self.starts = 0
        self.beating = None

    def port(self, name):
        return self.fleet.ports[name]

    # --- the server

    async def start_server(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port("app"), limit=1 << 20)
        self.beating = asyncio.create_task(self.beat())

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                method, path, _ = request.start.split(" ")
                load = {"X-Server-Load": f"{self.running},0,{self.fleet.slots}"}
                if path == "/health":
                    writer.write(make_answer(200, {"X-Instance-Id": self.instance, **load}, b""))
                    await writer.drain()
                    continue
                id = request.header("x-request-id")
                if request.header("x-target-instance", self.instance) != self.instance:
                    writer.write(make_answer(421, {"X-Request-Id": id, "X-Instance-Id": self.instance}, b"",
                                             "Misdirected Request"))
                    await writer.drain()
                    continue
                if self.running >= 3 * self.fleet.slots:
                    writer.write(make_answer(503, {"X-Request-Id": id, "X-Not-Executed": "1", **load}, b"",
                                             "Service Unavailable"))
                    await writer.drain()
                    continue
                self.running += 1
                try:
                    status, body = await self.fleet.run(self, method, path, request)
                finally:
                    self.running -= 1
                seal = {"X-Server-Seal": f"seal.{self.instance}.{id}"}
                writer.write(make_answer(status, {"X-Request-Id": id, **seal, **load}, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    async def announce(self):
        """One heartbeat; returns whether it was acknowledged."""
        self.sequence += 1
        body = {
            "address": f"{self.address}:{self.port('app')}",
            "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.fleet.slots},
            "status": {"state": self.state, "sequence": self.sequence, "cold-left-s": 0},
        }
        try:
            answer = await asyncio.wait_for(
                exchange(self.address, self.port("control"), "POST",
                         f"/-/rpc?call=instances.heartbeat&of={self.instance}",
                         {"Host": self.address, "Content-Type": "application/json"}, json.dumps(body).encode()), 1)
            return 200 <= answer.status < 300
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def beat(self):
        while True:
            acknowledged = await self.announce()
            await asyncio.sleep(1.5 if acknowledged else 0.2)

    # --- the node

    def settings(self):
        fields = {
            "node": self.name, "service": self.service, "zone": self.zone, "region": "central", "ip": self.address,
            "bootstrap": self.starts == 0, "app-addr": f"{self.address}:{self.port('app')}",
            "listen": {name: f"{self.address}:{self.port(name)}" for name in ("inbound", "outbound", "ready", "control")},
            "internal-port-range": [self.port("internal"), self.port("metrics")],
            "platform": {"address": f"{self.fleet.store.address}:{self.fleet.store.port}"},
            "bounds": self.fleet.bounds,
        }
        return fields

    def start_node(self):
        fields = self.settings()
        file = os.path.join(self.fleet.folder.name, f"{self.name}.ini")
        with open(os.path.join(ROOT, "deploy", "node.ini"), encoding="utf-8") as template:
            text = render(template.read(), fields)
        with open(file, "w", encoding="utf-8") as out:
            out.write(text)
        words = [render(word, fields) for word in self.fleet.command]
        words = [file if word == "/etc/berylport/node.toml" else word for word in words]
        words[0] = os.path.join(ROOT, words[0])
        log = open(os.path.join(self.fleet.folder.name, f"{self.name}-{self.starts}.log"), "wb")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["BERYLPORT_BOOT"] = file
        self.process = subprocess.Popen(words, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                        env=environment)
        log.close()
        self.starts += 1

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_running():
            self.process.send_signal(number)

    async def wait_for_end(self, limit_s):
        deadline = time.monotonic() + limit_s
        while self.is_running():
            if time.monotonic() > deadline:
                return False
            await asyncio.sleep(0.02)
        return True

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(
                exchange(self.address, self.port("ready"), "GET", "/-/readiness", {"Host": self.address}), 1)
            return answer.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


def render(text, fields):
    """The part of the platform's template language that deploy/ uses."""

    def look_up(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        value = look_up(match.group(2))
        return match.group(3) if bool(value) == (match.group(1) == "#") else ""

    text = re.sub(r"{{([#^])([\w.-]+)}}(.*?){{/\2}}", section, text, flags=re.S)
    return re.sub(r"{{([\w.-]+)}}", lambda it: "" if look_up(it.group(1)) is None else str(look_up(it.group(1))), text)


async def exchange(address, port, method, path, headers, body=b""):
    reader, writer = await asyncio.open_connection(address, port)
    try:
        writer.write(make_request(method, path, headers, body))
        await writer.drain()
        return await read_message(reader)
    finally:
        writer.close()


class Fleet:
    """run(machine, method, path, request) is what the servers do with a request; it returns status and body."""

    def __init__(self, services, run, slots=9, bounds=None):
        self.net = 20 + os.getpid() % 200
        self.folder = tempfile.TemporaryDirectory(prefix="berylport-review-")
        self.slots = slots
        self.run = run
        self.bounds = {**BOUNDS, **(bounds or {})}
        zones = ["kandy-a", "colombo-a", "galle-a"]
        self.ports = self.free_ports(len(services))
        self.store = Store(f"127.0.{self.net}.5", self.ports["store"])
        self.machines = [Machine(self, n, service, zones[n % 3]) for n, service in enumerate(services)]
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
            self.command = re.search(r'^run = "(.*)"$', file.read(), flags=re.M).group(1).split(" ")
        if not os.path.exists(os.path.join(ROOT, self.command[0])):
            raise CannotRun(f"{self.command[0]} is missing; build the deploy file first")

    def free_ports(self, machines):
        names = ["inbound", "outbound", "ready", "control", "app", "internal", "metrics", "store"]
        addresses = [f"127.0.{self.net}.5"] + [f"127.0.{self.net}.{10 + n}" for n in range(machines)]
        # Below the range from which the kernel takes the ports of outgoing connections.
        for first in range(21000 + os.getpid() % 1000 * 8, 32000, 8):
            if all(is_free(address, first + n) for address in addresses for n in range(len(names))):
                return {name: first + n for n, name in enumerate(names)}
        raise CannotRun("no free ports")

    async def start(self, configuration):
        await self.store.start()
        await self.configure(configuration)
        for it in self.machines:
            await it.start_server()
            it.start_node()
        await self.wait_until_ready(self.machines)

    async def wait_until_ready(self, machines, limit_s=20):
        deadline = time.monotonic() + limit_s
        for it in machines:
            while not await it.is_ready():
                if time.monotonic() > deadline:
                    raise CannotRun(f"the node on {it.name} is not ready")
                await asyncio.sleep(0.1)

    async def configure(self, configuration):
        await self.store.write("op", "config", json.dumps(configuration).encode())

    def close(self):
        for it in self.machines:
            if it.beating:
                it.beating.cancel()
            if it.is_running():
                it.process.kill()
            if it.process:
                it.process.wait()
        self.folder.cleanup()


def is_free(address, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((address, port))
            except OSError:
                return False
    return True


ROUTE_COLUMNS = ["name", "host", "prefix", "kind", "timeout-s", "target-latency-s", "priority", "service",
                 "max-attempts", "traffic-split", "public"]


def make_configuration(version, routes, services, limits=None, tenants=None):
    """routes: dicts with the names of ROUTE_COLUMNS."""
    document = {
        "version": version,
        "routes": {"columns": ROUTE_COLUMNS, "rows": [[route.get(name) for name in ROUTE_COLUMNS] for route in routes]},
        "services": {"columns": ["name", "health-path", "max-connections", "protocol", "tls"],
                     "rows": [[name, "/health", 240, "h1", False] for name in services]},
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-s": 3, "idle-timeout-s": 15,
                   **(limits or {})},
    }
    if tenants is not None:
        columns = ["name", "api-keys", "priority", "rate-per-s", "burst"]
        document["tenants"] = {"columns": columns, "rows": [[it[name] for name in columns] for it in tenants]}
    return document


def play(case):
    """Runs the coroutine function case(record, trouble); its result tells whether the rule was broken."""
    folder = os.path.dirname(os.path.abspath(sys.modules["__main__"].__file__))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record.write(f"trouble {'on' if trouble else 'off'}")
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    record.write(f"descriptors allowed {limit}")
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), 110))
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record.write(f"the case could not run: {error or type(error).__name__}")
        print(f"could not run: {error or type(error).__name__}")
        return 2
    verdict = "the rule was broken" if broken else "the rule held"
    record.write(verdict)
    print(verdict)
    return 1 if broken else 0


def end_on_signal():
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
