#!/usr/bin/env python3
"""Clients outside the limits against one node: the process lives, its memory and descriptors stay under a bound, and one
ordinary request is answered once they are gone. Guards against a node that runs out of memory on what clients send, or
don't read. Usage: crowd.py --bin DIRECTORY CASE...

Nothing here depends on the machine's speed: each client sends a fixed amount, or until the node takes no more of it.
"""

import argparse
import os
import select
import socket
import sys

from calls import send
from harness import Harness, StepFailure
from script import parse_script

CLIENTS = 120
MEBIBYTE = 1024 * 1024
# A VM of 160 MB is the smallest; a crowd of this size must not take half of it.
MEMORY_BOUND = 64 * MEBIBYTE
# Twice the clients, their requests at the target, and what the node has open by itself.
DESCRIPTOR_BOUND = 2 * CLIENTS + 64
# The node is told to hold less for its callers than the bound. Builds before this setting run with --without-settings.
SETTINGS = ["memory.limit_mb:64"]
# A client that the node has taken nothing from for this long has sent all that it can.
STALLED_S = 2.0
START = """
start table
start objects
start node a zone=kandy-a{settings}
wait node a within=10s
operator a service create slotdesk --kind idempotent --caller-wait-ms 20000 --retry-tokens 2 -> exit=0|5
start target t1 node=a service=slotdesk
wait targets slotdesk 1 on=a within=10s
"""


def head(path="/", service="slotdesk", more=""):
    return f"GET {path} HTTP/1.1\r\nHost: {service}\r\n{more}\r\n".encode()


def post(more):
    return f"POST / HTTP/1.1\r\nHost: slotdesk\r\n{more}\r\n".encode()


def chunks(size):
    piece = b"1000\r\n" + b"x" * 4096 + b"\r\n"
    return piece * (size // 4096)


# What each client of a case sends, in full. Answers are not read, or slowly.
CASES = {
    "unrouted-pipeline": lambda: head(service="nobody") * (4 * MEBIBYTE // len(head(service="nobody"))),
    "pipelined-long-answers": lambda: head(f"/?size={MEBIBYTE}") * 30,
    "unread-long-answer": lambda: head(f"/?size={4 * MEBIBYTE - 4096}"),
    "endless-chunks": lambda: post("Transfer-Encoding: chunked\r\n") + chunks(MEBIBYTE - 65536),
    "unfinished-bodies": lambda: post(f"Content-Length: {MEBIBYTE}\r\n") + b"x" * (MEBIBYTE - 10),
    "announced-too-long": lambda: post("Content-Length: 2147483648\r\n") + b"x" * (8 * MEBIBYTE),
}
# These read a little of what they are sent, the others nothing.
SLOW_READERS = {"pipelined-long-answers"}


class Client:
    def __init__(self, port, data, reads):
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=10)
        self.socket.setblocking(False)
        self.data = memoryview(data)
        self.reads = reads

    def send(self):
        """Returns whether the node took anything."""
        try:
            n = self.socket.send(self.data[:65536])
        except BlockingIOError:
            return False
        except OSError:
            self.data = self.data[:0]
            return False
        self.data = self.data[n:]
        return n > 0

    def read(self):
        try:
            return self.socket.recv(1024)
        except OSError:
            return b""


def crowd(port, data, reads):
    """Sends until all is sent or nothing is taken any more. Returns the clients, still connected."""
    clients = [Client(port, data, reads) for _ in range(CLIENTS)]
    while pending := [it for it in clients if it.data]:
        _, writable, _ = select.select([], [it.socket for it in pending], [], STALLED_S)
        if not writable:
            break
        ready = set(writable)
        for it in pending:
            if it.socket in ready:
                it.send()
            if it.reads:
                it.read()
    # What was sent is answered meanwhile, as far as the node goes.
    select.select([], [], [], STALLED_S)
    return clients


def peak_memory(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as lines:
        for line in lines:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
    return 0


def run_case(binaries, name, settings):
    harness = Harness(binaries)
    options = "".join(f" settings={it}" for it in settings)
    try:
        for step in parse_script(name, START.format(settings=options)):
            getattr(harness, "step_" + step.verb.replace(" ", "_"))(step, *step.arguments)
        node = harness.processes["a"]
        pid = node.child.pid
        clients = crowd(node.ports["caller"], CASES[name](), name in SLOW_READERS)
        descriptors = len(os.listdir(f"/proc/{pid}/fd")) if node.is_running() else 0
        for it in clients:
            it.socket.close()
        faults = []
        if not node.is_running():
            raise StepFailure(f"the node ended with exit code {node.child.returncode}")
        answer = send(node.ports["caller"], f"{name}-after", {"service": "slotdesk"}, wait_s=30)
        peak = peak_memory(pid)
        if answer.status != 200:
            faults.append(f"an ordinary request afterwards: status {answer.status}, {answer.error}")
        if peak > MEMORY_BOUND:
            faults.append(f"peak memory {peak // MEBIBYTE} MiB, bound {MEMORY_BOUND // MEBIBYTE} MiB")
        if descriptors > DESCRIPTOR_BOUND:
            faults.append(f"{descriptors} descriptors, bound {DESCRIPTOR_BOUND}")
        print(f"{name}: peak {peak / MEBIBYTE:.1f} MiB, {descriptors} descriptors, "
              f"{'; '.join(faults) if faults else 'holds'}", flush=True)
        return not faults
    except (StepFailure, OSError) as error:
        print(f"{name}: {error}\n{harness.logs()}", flush=True)
        return False
    finally:
        harness.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bin", required=True)
    parser.add_argument("--without-settings", action="store_true")
    parser.add_argument("cases", nargs="*", default=list(CASES))
    given = parser.parse_args()
    held = [run_case(given.bin, it, [] if given.without_settings else SETTINGS) for it in given.cases or CASES]
    return 0 if all(held) else 1


if __name__ == "__main__":
    sys.exit(main())
