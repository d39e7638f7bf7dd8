"""A slow server announces that it leaves while requests wait beside it for a slot."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from fleet import Fleet, exchange, make_configuration, play

# num-reserve of armor-num-grown: 290 ms of work, aim 800 ms, timeout 3 s, deadline 6 s; drain-s 2.5.
WORK_S = 0.29
AIM_S = 0.8
TIMEOUT_S = 3
DEADLINE_S = 6
DRAIN_S = 2.5
SLOTS = 9
# The largest dose of srv_slow is 12.
SLOWNESS = 9.4
WAITING = 6


async def case(record, trouble):
    slowness = {"i-00000000": 1.0}
    arrivals = {}

    async def run(machine, method, path, request):
        id = request.header("x-request-id")
        arrivals[id] = time.monotonic()
        record.write(f"server {machine.instance} begins {id}, {request.header('x-deadline-ms')} ms left")
        await asyncio.sleep(WORK_S * slowness.get(machine.instance, 1.0))
        record.write(f"server {machine.instance} has run {id}")
        return 200, b"reserved " + id.encode()

    fleet = Fleet(["numeroteur", "archiviste", "archiviste"], run, slots=SLOTS, bounds={"drain-s": DRAIN_S})

    async def reserve(id):
        entry = fleet.machines[1]
        headers = {"Host": "numbers.example", "X-Request-Id": id, "X-Deadline-Ms": str(DEADLINE_S * 1000)}
        try:
            answer = await asyncio.wait_for(
                exchange(entry.address, entry.port("outbound"), "POST", "/numbers/next", headers, b"x" * 4000),
                DEADLINE_S)
            record.write(f"client {id}: {answer.status} {answer.header('berylport-reason')}")
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError) as error:
            record.write(f"client {id}: {type(error).__name__}")

    try:
        route = {"name": "r-numbers", "host": "numbers.example", "prefix": "/numbers/", "kind": "non_idempotent",
                 "timeout-s": TIMEOUT_S, "target-latency-s": AIM_S, "priority": 1, "max-attempts": 2,
                 "service": "numeroteur"}
        await fleet.start(make_configuration(7, [route], ["numeroteur", "archiviste"]))
        await asyncio.sleep(4)
        server = fleet.machines[0]
        for n in range(8):
            await asyncio.gather(*(reserve(f"warm-{n}-{k}") for k in range(4)))
        record.write("calm so far")
        if trouble:
            slowness[server.instance] = SLOWNESS
            record.write(f"server {server.instance} turns slow, x {SLOWNESS}")
        requests = [asyncio.create_task(reserve(f"first-{n}")) for n in range(SLOTS)]
        await asyncio.sleep(0.05)
        requests += [asyncio.create_task(reserve(f"second-{n}")) for n in range(WAITING)]
        await asyncio.sleep(0.05)
        server.beating.cancel()
        server.state = "draining"
        acknowledged = await server.announce()
        leaving_at = time.monotonic()
        record.write(f"server {server.instance} says that it leaves; acknowledged: {acknowledged}")
        await asyncio.gather(*requests)
        late = {id: at - leaving_at for id, at in arrivals.items() if at - leaving_at > DRAIN_S}
        for id, after in late.items():
            record.write(f"{id} reached the server {after:.3f} s after the acknowledgement; drain-s is {DRAIN_S}")
        return acknowledged and bool(late)
    finally:
        fleet.close()


sys.exit(play(case))
