"""Calls to nodes: single requests and loads, with the outcome that the caller saw."""

import http.client
import json
import socket
import threading
import time
from collections import Counter
from dataclasses import dataclass, field

# Without a timeout of its own a call waits this long, so that no step can hang.
CALL_WAIT_S = 30


@dataclass
class Answer:
    tag: str
    # Empty when an answer came.
    error: str = ""
    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    seconds: float = 0

    @property
    def outcome(self):
        return "lost" if self.error else self.headers.get("berylport-outcome", "none")

    @property
    def reason(self):
        return self.headers.get("berylport-reason", "")

    @property
    def target_port(self):
        return int(self.headers.get("x-target-port", 0))

    def is_wrong(self):
        """True when a target's answer carries another request's tag."""
        if self.error or not self.target_port:
            return False
        if self.headers.get("x-request-tag") != self.tag:
            return True
        try:
            return json.loads(self.body).get("tag") != self.tag
        except ValueError:
            return True

    def value(self, name):
        if name.startswith("header."):
            return self.headers.get(name[7:].lower(), "")
        return {"status": self.status, "outcome": self.outcome, "reason": self.reason, "tag": self.tag_state(),
                "ms": self.seconds * 1000, "body": self.body.decode("utf-8", "replace")}[name]

    def tag_state(self):
        return "other" if self.is_wrong() else "own"

    def __str__(self):
        if self.error:
            return f"no answer after {self.seconds:.3f} s: {self.error}"
        return (f"status {self.status}, outcome {self.outcome}, reason '{self.reason}', {self.seconds:.3f} s, "
                f"body {self.body[:200]!r}")


def send(port, tag, options, wait_s=CALL_WAIT_S, kept=None):
    """Sends one request on a connection of its own, or on the one that the dictionary `kept` has for the port.

    A kept connection that the node closes while it is in use loses its request, which the caller sees as an error.
    """
    headers = {"X-Request-Tag": tag}
    if kept is None:
        headers["Connection"] = "close"
    for option, header in (("service", "Berylport-Service"), ("timeout-ms", "Berylport-Timeout-Ms"),
                           ("key", "Idempotency-Key"), ("tenant", "Berylport-Tenant")):
        if option in options:
            headers[header] = str(options[option])
    begin = time.monotonic()
    answer = Answer(tag)
    connection = (kept or {}).pop(port, None) or http.client.HTTPConnection("127.0.0.1", port, timeout=wait_s)
    try:
        body = options.get("body")
        connection.request(options.get("method", "GET"), options.get("path", "/"),
                           body.encode() if body is not None else None, headers)
        response = connection.getresponse()
        answer.status = response.status
        answer.headers = {name.lower(): value for name, value in response.getheaders()}
        answer.body = response.read()
    except (OSError, http.client.HTTPException) as error:
        answer.error = f"{type(error).__name__}: {error}"
    # http.client opens a connection again that the node has asked to close.
    if kept is None or answer.error:
        connection.close()
    else:
        kept[port] = connection
    answer.seconds = time.monotonic() - begin
    return answer


def send_raw(port, text, wait_s):
    """Sends bytes as they are; \\r and \\n stand for their control characters. Returns status and outcome."""
    data = text.encode().decode("unicode_escape").encode("latin-1")
    with socket.create_connection(("127.0.0.1", port), timeout=wait_s) as connection:
        connection.sendall(data)
        response = http.client.HTTPResponse(connection)
        response.begin()
        return response.status, response.getheader("Berylport-Outcome", "none")


class Load:
    """Calls at a fixed rate from several threads; each has a tag of its own. Threads may keep their connections."""

    def __init__(self, name, ports, options):
        self.name = name
        self.ports = ports
        self.options = options
        self.count = int(options["rate"] * options["duration"])
        self.answers = []
        self.next = 0
        self.lock = threading.Lock()
        self.begin = time.monotonic()
        self.threads = [threading.Thread(target=self.run, daemon=True) for _ in range(options.get("threads", 16))]
        for it in self.threads:
            it.start()

    def run(self):
        kept = {} if self.options.get("keep") else None
        while True:
            with self.lock:
                n = self.next
                self.next += 1
            if n >= self.count:
                for it in (kept or {}).values():
                    it.close()
                return
            time.sleep(max(0, self.begin + n / self.options["rate"] - time.monotonic()))
            answer = send(self.ports[n % len(self.ports)], f"{self.name}-{n}", self.options, kept=kept)
            with self.lock:
                self.answers.append(answer)

    def wait(self, limit_s):
        deadline = time.monotonic() + limit_s
        for it in self.threads:
            it.join(max(0, deadline - time.monotonic()))
        return not any(it.is_alive() for it in self.threads)

    def value(self, name):
        counts = Counter(it.outcome for it in self.answers)
        if name == "sent":
            return len(self.answers)
        if name == "wrong":
            return sum(it.is_wrong() for it in self.answers)
        if name == "max-ms":
            return max((it.seconds for it in self.answers), default=0) * 1000
        if name.startswith("status."):
            return sum(it.status == int(name[7:]) for it in self.answers)
        if name.startswith("reason."):
            return sum(it.reason == name[7:] for it in self.answers)
        return counts[name]

    def __str__(self):
        outcomes = Counter(f"{it.outcome}/{it.status}/{it.reason}" for it in self.answers)
        errors = Counter(it.error for it in self.answers if it.error)
        return f"{len(self.answers)} of {self.count} calls: {dict(outcomes)} {dict(errors) if errors else ''}"


def check_executions(rule, answers, counts_by_port):
    """Compares what callers were told with what the targets ran. Returns the first violation, or an empty text.

    A target that was killed cannot be asked. A call that it answered counts as run once there.
    """
    for it in answers:
        count = sum(counts.get(it.tag, 0) for counts in counts_by_port.values())
        if it.target_port and it.target_port not in counts_by_port:
            count += 1
        if rule == "at-most-once" and count > 1:
            return f"tag {it.tag} ran {count} times; the caller saw {it}"
        if rule == "answered-once" and it.outcome == "run" and count != 1:
            return f"tag {it.tag} was answered and ran {count} times"
        if rule == "not-run-never" and it.outcome == "not-run" and count:
            return f"tag {it.tag} was answered not-run and ran {count} times; the caller saw {it}"
    return ""
