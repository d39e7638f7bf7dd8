"""Some nodes are killed and start again while tenants ask for more than their quota."""

import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from fleet import Fleet, make_configuration, make_request, play, read_message

WINDOW_S = 5
EXCESS = 0.1
SLACK = 20
RATE = 150
BURST = 0
TENANTS = ("corvo", "dunlin", "egret")
# Of what the limit allows, over all machines.
HOT = 2.7
MACHINES = 9
KILLED = 4
RESTART_S = 0.2
WORK_S = 0.02
# Far enough from each other to share no window.
KILLS_AT_S = (6, 13, 20, 27)
LENGTH_S = 33


class Client:
    """Keeps one connection to the node of its machine and sends at a steady rate."""

    def __init__(self, machine, tenant, interval_s, sent, answers):
        self.machine = machine
        self.tenant = tenant
        self.interval_s = interval_s
        self.sent = sent
        self.answers = answers
        self.count = 0

    async def run(self, until):
        stream = None
        due = time.monotonic() + random.random() * self.interval_s
        while time.monotonic() < until:
            await asyncio.sleep(max(0, due - time.monotonic()))
            due = max(due + self.interval_s, time.monotonic())
            id = f"{self.tenant}-{self.machine.number}-{id_of(self)}-{self.count}"
            self.count += 1
            try:
                if not stream:
                    stream = await asyncio.open_connection(self.machine.address, self.machine.port("outbound"))
                headers = {"Host": "lobby.example", "X-Request-Id": id, "X-Deadline-Ms": "1500",
                           "Authorization": f"Bearer key-{self.tenant}"}
                self.sent[id] = time.monotonic()
                stream[1].write(make_request("GET", "/lobby/list", headers))
                answer = await asyncio.wait_for(read_message(stream[0]), 2)
                self.answers[answer.status] = self.answers.get(answer.status, 0) + 1
                if "close" in answer.header("connection"):
                    stream[1].close()
                    stream = None
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                if stream:
                    stream[1].close()
                stream = None
                due = time.monotonic() + 0.2


def id_of(value):
    return f"{id(value) & 0xffffff:x}"


def most_in_window(times):
    """The largest number of requests that were both sent and arrived within one window, and when it began."""
    times = sorted(times)
    most, begin = 0, 0
    for first, _ in times[::3]:
        count = sum(1 for sent, arrived in times if sent >= first and arrived <= first + WINDOW_S)
        if count > most:
            most, begin = count, first
    return most, begin


async def case(record, trouble):
    sent = {}
    runs = {it: {} for it in TENANTS}

    async def run(machine, method, path, request):
        tenant = request.header("x-tenant-id")
        runs[tenant].setdefault(request.header("x-request-id"), time.monotonic())
        await asyncio.sleep(WORK_S)
        return 200, b"lobby"

    fleet = Fleet(["lobby-hall"] * MACHINES, run, slots=17,
                  bounds={"quota-window-s": WINDOW_S, "quota-excess": EXCESS, "quota-slack": SLACK})
    try:
        route = {"name": "r-lobby", "host": "lobby.example", "prefix": "/lobby/", "kind": "idempotent",
                 "timeout-s": 1, "target-latency-s": 0.25, "priority": 1, "max-attempts": 2, "service": "lobby-hall",
                 "public": False}
        tenants = [{"name": it, "api-keys": [f"key-{it}"], "priority": 1, "rate-per-s": RATE, "burst": BURST}
                   for it in TENANTS]
        await fleet.start(make_configuration(7, [route], ["lobby-hall"], tenants=tenants))
        await asyncio.sleep(4)
        answers = {}
        begin = time.monotonic()
        until = begin + LENGTH_S
        interval = MACHINES * 4 / (HOT * RATE)
        clients = [Client(machine, tenant, interval, sent, answers)
                   for machine in fleet.machines for tenant in TENANTS for _ in range(4)]
        tasks = [asyncio.create_task(it.run(until)) for it in clients]
        for at in KILLS_AT_S if trouble else ():
            await asyncio.sleep(max(0, begin + at - time.monotonic()))
            killed = random.sample(fleet.machines, KILLED)
            for it in killed:
                it.signal(signal.SIGKILL)
            for it in killed:
                await it.wait_for_end(1)
            record.write(f"SIGKILL to the nodes on {', '.join(it.name for it in killed)}")
            await asyncio.sleep(RESTART_S)
            for it in killed:
                it.start_node()
            record.write("they start again")
        await asyncio.gather(*tasks)
        record.write(f"answers: {dict(sorted(answers.items()))}")
        allowed = (RATE * WINDOW_S + BURST) * (1 + EXCESS) + SLACK
        broken = False
        for tenant, arrivals in runs.items():
            most, at = most_in_window([(sent[id], arrived) for id, arrived in arrivals.items()])
            record.write(f"{tenant}: {len(arrivals)} requests ran; at most {most} within {WINDOW_S} s, from "
                         f"{at - begin:.2f} s on; allowed are {allowed:.0f}")
            broken |= most > allowed
        return broken
    finally:
        fleet.close()


sys.exit(play(case))
