"""Stand-ins for the platform, its servers and its clients, and the start of the project's own nodes.

All of them speak what the users' PROTOCOL.md says, on loopback addresses. A script builds a Fleet, starts nodes with the
command of the deploy file, and sends requests; Record writes what was sent, answered and run into record.txt.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
STORE_ANSWER_S = 0.004
STORE_TX_S = 0.008
BEAT_INTERVAL_S = 1.5
BEAT_TIMEOUT_S = 1.0
LOOPBACK = "127.0.0.1"


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def say(self, text):
        line = f"{self.now():8.3f} s  {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def both(self, text):
        self.say(text)
        print(text, flush=True)


def free_ports(count):
    """Ports that are free for TCP and UDP, below those that outgoing connections take."""
    ports, kept = [], []
    while len(ports) < count:
        port = random.randint(15000, 32000)
        stream = socket.socket()
        datagram = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        kept += [stream, datagram]
        try:
            stream.bind((LOOPBACK, port))
            datagram.bind((LOOPBACK, port))
        except OSError:
            continue
        ports.append(port)
    for it in kept:
        it.close()
    return ports


# --- HTTP


class Message:
    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader):
    """One whole request or answer; raises when the connection ends before its end."""
    start, headers = await read_head(reader)
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            body += chunk[:-2]
            if not size:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(start, headers, body)


def render(start, headers, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in headers] + [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


# --- the platform's store


class Store:
    """Rows with versions, conditional transactions and a feed, as on the users' page."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.history = []
        self.version = 1
        self.changed = asyncio.Event()
        self.start = time.monotonic()
        # May hold back or refuse a call: async function of (method, path) that returns None or a status.
        self.trouble = None
        self.lock = asyncio.Lock()

    async def listen(self, port):
        self.port = port
        self.server = await asyncio.start_server(self.serve, LOOPBACK, port)

    def put(self, table, key, value, part=""):
        self.version += 1
        row = {"table-name": table, "part": part, "key": key, "schema-ver": self.version}
        if value is None:
            self.rows.pop((table, part, key), None)
            self.history.append(dict(row, deleted=True))
        else:
            row["value"] = base64.b64encode(value).decode()
            self.rows[(table, part, key)] = row
            self.history.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    def newest(self):
        return {"schema-ver": self.version, "now-s": round(time.monotonic() - self.start, 3)}

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                method, target, _ = message.start.split(" ", 2)
                status, body = await self.answer(method, target, message.body)
                writer.write(render(f"HTTP/1.1 {status} Status", [("Content-Type", "application/json")],
                                    json.dumps(body).encode()))
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        await asyncio.sleep(STORE_ANSWER_S)
        path, _, query = target.partition("?")
        asked = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        status = await self.trouble(method, path) if self.trouble else None
        if status:
            return status, {}
        if path == "/-/rows-get":
            return self.get(asked)
        if path == "/-/rows-feed":
            return await self.feed(asked)
        if path == "/-/rows-tx":
            return await self.transact(json.loads(body))
        return 404, {}

    def get(self, asked):
        table, part = asked.get("table-name"), asked.get("part", "")
        most = min(int(asked.get("max-items", "500")), 500)
        first, end = asked.get("start-key", ""), asked.get("target")
        found = sorted((row for (t, p, k), row in self.rows.items()
                        if t == table and p == part and k >= first and (end is None or k < end)),
                       key=lambda row: row["key"].encode())
        return 200, dict(self.newest(), rows=found[:most], **{"has-more": len(found) > most})

    async def feed(self, asked):
        table, after = asked.get("table-name"), int(asked.get("after", "0"))
        end = time.monotonic() + min(int(asked.get("wait-ms", "0")), 30000) / 1000
        while True:
            rows = [row for row in self.history if row["table-name"] == table and row["schema-ver"] > after]
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, dict(self.newest(), rows=rows)
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def transact(self, body):
        async with self.lock:
            await asyncio.sleep(STORE_TX_S)
            expected = body.get("expect", [])
            current = [self.rows.get((it["table-name"], it.get("part", ""), it["key"])) for it in expected]
            if any((row["schema-ver"] if row else 0) != it["schema-ver"] for it, row in zip(expected, current)):
                return 412, dict(self.newest(), rows=[row for row in current if row])
            for it in body.get("write", []):
                self.put(it["table-name"], it["key"], base64.b64decode(it["value"]), it.get("part", ""))
            for it in body.get("remove", []):
                self.put(it["table-name"], it["key"], None, it.get("part", ""))
            return 200, self.newest()


ROUTE_COLUMNS = ["name", "host", "prefix", "kind", "timeout-s", "target-latency-s", "priority", "service",
                 "max-attempts", "traffic-split"]


def configuration(version, routes, services):
    """The operator's document; routes are dicts of the columns above."""
    return json.dumps({
        "version": version,
        "routes": {"columns": ROUTE_COLUMNS, "rows": [[it.get(name) for name in ROUTE_COLUMNS] for it in routes]},
        "services": {"columns": ["name", "health-path", "max-connections", "protocol", "tls"],
                     "rows": [[name, "/health", 240, "h1", False] for name in services]},
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-s": 3, "idle-timeout-s": 15},
    }).encode()


# --- servers


class Server:
    """An application server beside a node: slots, a queue, heartbeats, one request at a time on a connection."""

    def __init__(self, fleet, node, service, instance, slots=9, work_s=0.2, queue=18):
        self.fleet, self.node, self.service, self.instance = fleet, node, service, instance
        self.slots, self.work_s, self.queue = slots, work_s, queue
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Condition()
        self.sequence = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.is_silent = False
        self.has_ended = False
        self.writers = set()
        self.tasks = []
        # What answers a request instead of the usual work: async function of (server, message, id, writer).
        self.behaviour = None
        self.acknowledged_leaving_at = None

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, LOOPBACK, self.node.ports["app"], reuse_address=True)
        self.tasks.append(asyncio.create_task(self.beat_forever()))
        self.fleet.record.say(f"server {self.instance} of {self.service} starts at port {self.node.ports['app']}")

    def fall_silent(self):
        """Crashes without a sign: no answer, no heartbeat; connections stay open or hang and carry nothing."""
        self.is_silent = True
        self.fleet.record.say(f"server {self.instance} of {self.service} falls silent with {self.running} running")

    def release_address(self):
        """Another process may take the address; connections to this one stay silent."""
        self.listener.close()

    def end(self):
        """Ends: its connections close."""
        self.has_ended = True
        self.is_silent = True
        self.listener.close()
        for it in list(self.writers):
            if it.transport:
                it.transport.abort()
        self.fleet.record.say(f"server {self.instance} of {self.service} has ended")

    def address(self):
        return f"{LOOPBACK}:{self.node.ports['app']}"

    def heartbeat(self):
        self.sequence += 1
        return json.dumps({
            "address": self.address(), "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": self.node.zone, "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence, "cold-left-s": 0}}).encode()

    async def call_control(self, call, body):
        target = f"/-/rpc?call=instances.{call}&of={self.instance}"
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, self.node.ports["control"])
        except OSError:
            return None
        try:
            writer.write(render(f"POST {target} HTTP/1.1",
                                [("Host", "control"), ("Content-Type", "application/json")], body))
            message = await asyncio.wait_for(read_message(reader), BEAT_TIMEOUT_S)
            return int(message.start.split(" ")[1])
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return None
        finally:
            writer.close()

    async def beat(self):
        status = await self.call_control("heartbeat", self.heartbeat())
        self.fleet.record.say(f"a heartbeat of {self.instance} of {self.service} is answered {status}")
        if self.state == "draining" and status == 200 and not self.acknowledged_leaving_at:
            self.acknowledged_leaving_at = time.monotonic()
            self.fleet.record.say(f"server {self.instance} is told that it may leave")
        return status

    async def beat_forever(self):
        while not self.is_silent:
            await self.beat()
            await asyncio.sleep(BEAT_INTERVAL_S)

    def load(self):
        return f"{self.running},{self.waiting},{self.slots},100"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if self.is_silent:
                    await asyncio.sleep(3600)
                answer = await self.handle(message, writer)
                if self.is_silent:
                    await asyncio.sleep(3600)
                if answer:
                    writer.write(answer)
                    await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, message, writer):
        method, target, _ = message.start.split(" ", 2)
        if target == "/health":
            status = "503 Draining" if self.state == "draining" else "200 OK"
            return render(f"HTTP/1.1 {status}", [("X-Instance-Id", self.instance), ("X-Server-Load", self.load())])
        request = message.get("x-request-id")
        meant = message.get("x-target-instance")
        self.fleet.arrived(self, message, request, meant)
        if meant and meant != self.instance:
            return render("HTTP/1.1 421 Misdirected Request", [("X-Request-Id", request),
                          ("X-Instance-Id", self.instance), ("X-Not-Executed", "1")])
        if not request:
            return render("HTTP/1.1 400 Bad Request", [("X-Not-Executed", "1")])
        if self.behaviour:
            return await self.behaviour(self, message, request, writer)
        return await self.work(request, float(message.get("x-deadline-ms", "5000")) / 1000)

    def refuse(self, request):
        return render("HTTP/1.1 503 Full", [("X-Request-Id", request), ("X-Not-Executed", "1"),
                                            ("X-Server-Load", self.load())])

    async def work(self, request, left_s, work_s=None):
        """Queues for a slot, runs, and returns the answer."""
        end = time.monotonic() + left_s
        if self.running >= self.slots and self.waiting >= self.queue:
            return self.refuse(request)
        self.waiting += 1
        async with self.free:
            await self.free.wait_for(lambda: self.running < self.slots)
        self.waiting -= 1
        if time.monotonic() >= end:
            return self.refuse(request)
        self.running += 1
        self.fleet.ran(self, request)
        try:
            work_s = self.work_s if work_s is None else work_s
            await asyncio.sleep(max(0, min(work_s, end - time.monotonic())))
            status = "200 OK" if time.monotonic() < end else "504 Deadline"
        finally:
            self.running -= 1
            async with self.free:
                self.free.notify_all()
        return self.answer(status, request)

    def seal(self, request):
        return f"seal-{self.instance}-{request}"

    def body(self, request):
        return f"{self.service} answers {request}\n".encode()

    def answer(self, status, request):
        return render(f"HTTP/1.1 {status}", [("X-Request-Id", request), ("X-Server-Seal", self.seal(request)),
                      ("X-Server-Load", self.load()), ("Content-Type", "text/plain")], self.body(request))


# --- nodes


class Node:
    """One process of the project, started with the command and the settings template of the deploy file."""

    def __init__(self, fleet, name, zone, service):
        self.fleet, self.name, self.zone, self.service = fleet, name, zone, service
        names = ["caller", "control", "peer", "ready", "gossip", "metrics", "app"]
        self.ports = dict(zip(names, free_ports(len(names))))
        self.child = None
        self.starts = 0

    def settings(self):
        values = {
            "zone": self.zone, "region": "central", "node": self.name, "service": self.service,
            "listen.outbound": f"{LOOPBACK}:{self.ports['caller']}",
            "listen.control": f"{LOOPBACK}:{self.ports['control']}",
            "listen.inbound": f"{LOOPBACK}:{self.ports['peer']}",
            "listen.ready": f"{LOOPBACK}:{self.ports['ready']}",
            "ip": LOOPBACK, "internal-port-range.0": str(self.ports["gossip"]),
            "internal-port-range.1": str(self.ports["metrics"]),
            "platform.address": f"{LOOPBACK}:{self.fleet.store.port}",
            "bounds.budget-extra": "60", "bounds.budget-window-s": "10", "bounds.grace-s": "6",
        }
        with open(os.path.join(ROOT, "deploy", "node.ini"), encoding="utf-8") as template:
            text = template.read()
        is_first = self.starts == 0
        text = text.replace("{{#bootstrap}}yes{{/bootstrap}}", "yes" if is_first else "")
        text = text.replace("{{^bootstrap}}no{{/bootstrap}}", "" if is_first else "no")
        for key, value in values.items():
            text = text.replace("{{" + key + "}}", value)
        if "{{" in text:
            raise CannotRun("the settings template has a field that this script does not know")
        return text

    def write_settings(self):
        path = os.path.join(self.fleet.folder.name, self.name + ".ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        return path

    async def start(self):
        path = self.write_settings()
        self.starts += 1
        program = os.path.join(ROOT, "target", "bin", "berylportd-platform")
        if not os.path.exists(program):
            raise CannotRun("target/bin/berylportd-platform is missing: run the build of the deploy file")
        self.log = open(os.path.join(self.fleet.folder.name, f"{self.name}.log"), "ab")
        self.child = await asyncio.create_subprocess_exec(program, "--settings", path, cwd=ROOT,
                                                          stdin=asyncio.subprocess.DEVNULL, stdout=self.log,
                                                          stderr=self.log)
        self.fleet.record.say(f"node {self.name} starts")

    def signal(self, number):
        self.fleet.record.say(f"node {self.name} gets {signal.Signals(number).name}")
        self.child.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, self.ports["ready"])
            writer.write(render("GET /-/readiness HTTP/1.1", [("Host", "ready")]))
            message = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return " 200 " in message.start
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False


class Answer:
    def __init__(self, status, message, error=""):
        self.status, self.message, self.error = status, message, error

    def seal(self):
        return self.message.get("x-server-seal") if self.message else ""


class Fleet:
    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.TemporaryDirectory(prefix="berylport-review-")
        self.nodes = []
        self.servers = []
        self.arrivals = []
        self.runs = []
        self.sent = {}
        self.ids = itertools.count(1)

    async def open(self):
        self.store = Store(self.record)
        await self.store.listen(free_ports(1)[0])

    def add_node(self, name, zone, service):
        node = Node(self, name, zone, service)
        self.nodes.append(node)
        return node

    def add_server(self, *arguments, **options):
        server = Server(self, *arguments, **options)
        self.servers.append(server)
        return server

    def configure(self, version, routes, services):
        self.store.put("op", "config", configuration(version, routes, services))
        self.record.say(f"the operator's configuration {version} is acknowledged")

    async def wait_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        for node in self.nodes:
            while not await node.is_ready():
                if time.monotonic() > end:
                    raise CannotRun(f"{node.name} does not become ready")
                await asyncio.sleep(0.1)

    def arrived(self, server, message, request, meant):
        method, target, _ = message.start.split(" ", 2)
        self.arrivals.append((time.monotonic(), server, request, meant, message))
        self.record.say(f"arrives at {server.instance} of {server.service}: {method} {target} id {request} "
                        f"X-Target-Instance '{meant}' X-Deadline-Ms '{message.get('x-deadline-ms')}'")

    def ran(self, server, request):
        self.runs.append((time.monotonic(), server, request))
        self.record.say(f"runs at {server.instance} of {server.service}: id {request}")

    async def send(self, node, method, host, path, body=b"", deadline_s=2.0, request=None):
        """One client attempt on a connection of its own."""
        request = request or f"{next(self.ids):016x}"
        self.sent[request] = (method, host, path)
        self.record.say(f"client sends {method} {host}{path} id {request} to {node.name}")
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(LOOPBACK, node.ports["caller"]), 1)
        except (OSError, asyncio.TimeoutError) as error:
            self.record.say(f"client of {request} cannot connect: {error}")
            return Answer(0, None, "connect")
        headers = [("Host", host), ("X-Request-Id", request), ("X-Deadline-Ms", str(int(deadline_s * 1000)))]
        start = f"{method} {path} HTTP/1.1"
        text = render(start, headers, body) if method != "GET" else (
            "\r\n".join([start] + [f"{n}: {v}" for n, v in headers] + ["", ""]).encode())
        try:
            writer.write(text)
            message = await asyncio.wait_for(read_message(reader), deadline_s + 0.3)
            status = int(message.start.split(" ")[1])
            self.record.say(f"client of {request} gets {status} seal '{message.get('x-server-seal')}' "
                            f"outcome {message.get('berylport-outcome')} {message.get('berylport-reason')}")
            return Answer(status, message)
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            self.record.say(f"client of {request} gets no answer: {type(error).__name__}")
            return Answer(0, None, type(error).__name__)
        finally:
            writer.close()

    async def close(self):
        for node in self.nodes:
            if node.child and node.child.returncode is None:
                node.child.send_signal(signal.SIGCONT)
                node.child.kill()
            if node.child:
                await node.child.wait()
                node.log.close()
        self.folder.cleanup()


# Differs from the code of an uncaught exception.
BROKEN_CODE = 10
HELD_CODE = 0
CANNOT_RUN_CODE = 2


def play(script, folder, limit_s=110, broken_code=BROKEN_CODE):
    """Runs the case: script(fleet, has_trouble) returns a list of what broke the rule."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        fleet = Fleet(folder)
        try:
            await fleet.open()
            broken = await asyncio.wait_for(script(fleet, has_trouble), limit_s)
            for node in fleet.nodes:
                if node.child and node.child.returncode not in (None, 0):
                    fleet.record.both(f"node {node.name} has exited with {node.child.returncode}")
            for it in broken:
                fleet.record.both("BROKEN: " + it)
            fleet.record.both("the rule was broken" if broken else "the rule held")
            return broken_code if broken else HELD_CODE
        except Exception as error:  # Whatever goes wrong in a stand-in is no result.
            fleet.record.both(f"the case could not run: {type(error).__name__} {error}")
            return CANNOT_RUN_CODE
        finally:
            if os.environ.get("KEEP_LOGS"):
                os.system(f"cp -r {fleet.folder.name} {os.environ['KEEP_LOGS']}")
            await fleet.close()

    sys.exit(asyncio.run(run()))
