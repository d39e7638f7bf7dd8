"""A server's leaving is acknowledged while the store is down; after all nodes were killed the server is used again."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

from fleet import ROUTE_COLUMNS, play  # noqa: E402

ZONES = ["kandy-a", "colombo-a", "galle-a"]
REQUESTS_PER_S = 40
SECONDS = 14.0
DOWN_AT_S = 2.0
LEAVES_AT_S = 2.5
KILLED_AT_S = 3.6
POWER_BACK_AT_S = 4.6
DOWN_UNTIL_S = 5.0
# The heartbeat before the leaving is sent just ahead of it and arrives seconds late.
LATE_BEAT_AT_S = 5.6
# contact-s and drain-s of the users' page.
CONTACT_S = 3.0
DRAIN_S = 2.0
# The server goes on serving for drain-s and many seconds longer.
LONGER_S = 7.0
CONFIRM = ["r-confirm", "collect.example", "/c/", "non_idempotent", 1.2, 0.6, 1, "collectsvc", 2, None]


async def script(fleet, has_trouble):
    nodes = [fleet.add_node(f"vm-{n}", ZONES[n % 3], "collectsvc" if n < 2 else "slotdesk") for n in range(4)]
    fleet.configure(3, [dict(zip(ROUTE_COLUMNS, CONFIRM))], ["collectsvc", "slotdesk"])
    for node in nodes:
        await node.start()
    servers = [fleet.add_server(node, node.service, f"i-{node.name}") for node in nodes]
    for server in servers:
        await server.start()
    await fleet.wait_ready()
    await asyncio.sleep(2)
    leaving = servers[0]
    start = time.monotonic()

    async def until(at_s):
        await asyncio.sleep(max(0, start + at_s - time.monotonic()))

    async def silent_store(method, path):
        await until(DOWN_UNTIL_S)
        # What was asked while the store was down was not done.
        return 503

    async def take_store_down():
        await until(DOWN_AT_S)
        fleet.record.say("the store falls silent")
        fleet.store.trouble = silent_store
        await until(DOWN_UNTIL_S)
        fleet.store.trouble = None
        fleet.record.say("the store is back")

    async def kill_all():
        await until(KILLED_AT_S)
        for node in nodes:
            node.signal(signal.SIGKILL)
        for node in nodes:
            await node.child.wait()
        await until(POWER_BACK_AT_S)
        for node in nodes:
            await node.start()

    async def leave():
        await until(LEAVES_AT_S)
        late = leaving.heartbeat()
        for it in leaving.tasks:
            it.cancel()
        status = await leaving.call_control("deregister", b"")
        if status != 200:
            raise RuntimeError(f"the leaving is not acknowledged: {status}")
        leaving.acknowledged_leaving_at = time.monotonic()
        fleet.record.say(f"the leaving of {leaving.instance} is acknowledged")
        await until(LATE_BEAT_AT_S)
        status = await leaving.call_control("heartbeat", late)
        fleet.record.say(f"a heartbeat of {leaving.instance} from before its leaving arrives and is answered {status}")
        await asyncio.sleep(leaving.acknowledged_leaving_at + DRAIN_S + LONGER_S - time.monotonic())
        leaving.end()

    tasks = [asyncio.create_task(leave())]
    if has_trouble:
        tasks += [asyncio.create_task(take_store_down()), asyncio.create_task(kill_all())]
    requests = []
    while time.monotonic() - start < SECONDS:
        requests.append(asyncio.create_task(fleet.send(
            nodes[len(requests) % len(nodes)], "POST", "collect.example", "/c/1", b"x" * 1200, deadline_s=2.5)))
        await until(len(requests) / REQUESTS_PER_S)
    await asyncio.gather(*requests, *tasks)
    told_at = leaving.acknowledged_leaving_at
    in_touch_at = start + DOWN_UNTIL_S + CONTACT_S if has_trouble else told_at
    late_requests = [(request, at) for at, server, request, meant, _ in fleet.arrivals
                     if server is leaving and meant == server.instance and at > told_at + DRAIN_S and at > in_touch_at]
    fleet.record.both(f"{len(late_requests)} requests reached the server too late, by machines in touch")
    return [f"{request} reached {leaving.instance} {at - told_at:.3f} s after its leaving was acknowledged"
            for request, at in late_requests[:5]]


play(script, FOLDER)
