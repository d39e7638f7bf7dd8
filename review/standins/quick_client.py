"""Clients that keep connections open and send idempotent requests on them, one after the other.

Usage: PORT CONNECTIONS SECONDS SLACK_S TIMEOUT_S NAME. The next request follows when the answer to the one before is whole, after
a refusal when its Retry-After has passed. A connection that ends, or on which an answer says that it ends, is not opened
again. Prints a line for each request whose connection ended without a whole answer, and then a line of counts.
"""

import collections
import select
import socket
import sys
import time

port, count = int(sys.argv[1]), int(sys.argv[2])
seconds, slack_s, timeout_s = map(float, sys.argv[3:6])
name = sys.argv[6]
poll = select.epoll()
counts = collections.Counter()
sequence = 0


class Connection:
    def __init__(self):
        self.socket = socket.create_connection(("127.0.0.1", port))
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""
        self.request = None
        self.due = 0.0
        self.answered = 0

    def send(self):
        global sequence
        sequence += 1
        self.request = f"{name}{sequence:08x}"
        self.socket.sendall((f"GET /s/1 HTTP/1.1\r\nHost: slot.example\r\nX-Request-Id: {self.request}\r\n"
                             "X-Deadline-Ms: 2000\r\n\r\n").encode())
        self.sent_at = time.monotonic()
        counts["sent"] += 1

    def ended(self, why):
        if not self.request:
            counts["closed while idle"] += 1
            return
        waited = time.monotonic() - self.sent_at
        # The route's timeout is an excuse.
        kind = "crossed" if waited <= slack_s else "LOST" if waited < timeout_s else "timed out"
        counts[kind] += 1
        print(f"{kind} {time.time():.3f} request {self.request} was sent {waited:.3f} s before its connection ended "
              f"({why}), {self.answered} answers before it on the connection, {len(self.buffer)} bytes of an answer",
              flush=True)

    def read(self):
        """False when the connection is over."""
        try:
            data = self.socket.recv(65536)
        except OSError as error:
            self.ended(type(error).__name__)
            return False
        if not data:
            self.ended("end of stream")
            return False
        self.buffer += data
        if b"\r\n\r\n" not in self.buffer:
            return True
        head, rest = self.buffer.split(b"\r\n\r\n", 1)
        length = closes = wait_s = 0
        for line in head.split(b"\r\n")[1:]:
            key, _, value = line.partition(b":")
            if key.lower() == b"content-length":
                length = int(value)
            elif key.lower() == b"connection" and value.strip().lower() == b"close":
                closes = 1
            elif key.lower() == b"retry-after":
                wait_s = float(value)
        if len(rest) < length:
            return True
        counts[head[9:12].decode()] += 1
        self.buffer, self.request = b"", None
        self.answered += 1
        if closes:
            counts["told to close"] += 1
            return False
        self.due = time.monotonic() + wait_s
        return True


connections = {}
for _ in range(count):
    it = Connection()
    connections[it.socket.fileno()] = it
    poll.register(it.socket.fileno(), select.EPOLLIN)
end = time.monotonic() + seconds
while connections and time.monotonic() < end:
    now = time.monotonic()
    for it in list(connections.values()):
        if not it.request and it.due <= now:
            try:
                it.send()
            except OSError:
                it.ended("send failed")
    for fd, _ in poll.poll(0.0005):
        it = connections.get(fd)
        if it and not it.read():
            poll.unregister(fd)
            it.socket.close()
            del connections[fd]
print("counts", name, dict(counts), "open", len(connections), flush=True)
