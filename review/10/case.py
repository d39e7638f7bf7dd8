"""A configuration splits a route by large weights."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from fleet import Fleet, exchange, make_configuration, play

TIMEOUT_S = 1
DEADLINE_S = 2
CONFIG_APPLY_S = 2
# What the rule allows beyond the timeout.
LATE_S = 0.5
# Both share the requests by two to one.
WEIGHTS = (4_000_000_000, 2_000_000_000)
SMALL_WEIGHTS = (2, 1)
REQUESTS = 12


async def case(record, trouble):
    async def run(machine, method, path, request):
        await asyncio.sleep(0.1)
        return 200, b"slots"

    fleet = Fleet(["slotdesk", "collectsvc", "quotesvc"], run)

    async def browse(machine, id, results):
        started = time.monotonic()
        headers = {"Host": "slots.example", "X-Request-Id": id, "X-Deadline-Ms": str(DEADLINE_S * 1000)}
        try:
            answer = await asyncio.wait_for(
                exchange(machine.address, machine.port("outbound"), "GET", "/slots/today", headers), DEADLINE_S)
            outcome = str(answer.status)
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError) as error:
            outcome = type(error).__name__
        elapsed = time.monotonic() - started
        results.append(elapsed)
        record.write(f"client {id} at {machine.name}: {outcome} after {elapsed:.2f} s")

    def configuration(version, weights):
        split = [{"service": name, "weight": weight} for name, weight in zip(("slotdesk", "collectsvc"), weights)]
        route = {"name": "r-slots", "host": "slots.example", "prefix": "/slots/", "kind": "idempotent",
                 "timeout-s": TIMEOUT_S, "target-latency-s": 0.5, "priority": 1, "max-attempts": 2,
                 "traffic-split": split}
        return make_configuration(version, [route], ["slotdesk", "collectsvc", "quotesvc"])

    async def watch():
        """The platform's question to each node, once a second."""
        while True:
            states = await asyncio.gather(*(it.is_ready() for it in fleet.machines))
            record.write("ready: " + " ".join("yes" if it else "no" for it in states))
            await asyncio.sleep(1)

    try:
        await fleet.start(configuration(7, (1, 1)))
        await asyncio.sleep(2)
        calm = []
        for it in fleet.machines:
            await browse(it, f"calm-{it.number}", calm)
        weights = WEIGHTS if trouble else SMALL_WEIGHTS
        await fleet.configure(configuration(9, weights))
        record.write(f"version 9 is acknowledged; weights {weights}")
        watcher = asyncio.create_task(watch())
        await asyncio.sleep(CONFIG_APPLY_S + 1)
        results = []
        requests = []
        for n in range(REQUESTS):
            requests.append(asyncio.create_task(browse(fleet.machines[n % 3], f"q{n}", results)))
            await asyncio.sleep(0.1)
        await asyncio.gather(*requests)
        await asyncio.sleep(8)
        watcher.cancel()
        late = sum(it > TIMEOUT_S + LATE_S for it in results)
        overdue = sum(it > TIMEOUT_S for it in results)
        record.write(f"{overdue} of {len(results)} requests were unanswered at the timeout of their route, "
                     f"{late} of them {LATE_S} s later")
        return late * 2 > overdue
    finally:
        fleet.close()


sys.exit(play(case))
