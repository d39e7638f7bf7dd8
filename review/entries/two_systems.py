"""Two systems with a store each; one gets a VM at the address of a VM that the other has lost for good.

For the finding "soak seed 52" of KNOWN-RED.txt; no case of the review, as no page names this disruption. Usage: two_systems.py
VERSION, the version of the second system's configuration; the first one's is 3. Exits with 1 when requests of the first system
ran at servers of the second one, or were answered as the second one's configuration says.
"""

import asyncio
import collections
import os
import sys
import tempfile
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

from fleet import ROUTE_COLUMNS, Fleet, play  # noqa: E402

ZONES = ["kandy-a", "colombo-a", "galle-a"]
SECONDS = 14.0
ROUTE = dict(zip(ROUTE_COLUMNS, ["r-confirm", "collect.example", "/c/", "non_idempotent", 1.2, 0.6, 1, "collectsvc", 2, None]))


async def start(fleet, nodes):
    for node in nodes:
        await node.start()
    servers = [fleet.add_server(node, node.service, f"i-{node.name}") for node in nodes]
    for server in servers:
        await server.start()
    return servers


async def play_both(first, second):
    nodes = [first.add_node(f"first-{n}", ZONES[n], "collectsvc" if n == 0 else "slotdesk") for n in range(3)]
    first.configure(3, [ROUTE], ["collectsvc", "slotdesk"])
    servers = await start(first, nodes)
    await first.wait_ready()
    others = [second.add_node(f"second-{n}", ZONES[n], "collectsvc") for n in range(2)]
    second.configure(int(sys.argv[1]), [dict(ROUTE, name="r-other", host="other.example")], ["collectsvc"])
    await start(second, others[:1])
    await asyncio.sleep(2)
    servers[2].end()
    nodes[2].child.kill()
    await nodes[2].child.wait()
    others[1].ports.update({name: nodes[2].ports[name] for name in ("peer", "gossip")})
    await asyncio.sleep(2)
    await start(second, others[1:])
    begin = time.monotonic()
    tasks = []
    while time.monotonic() - begin < SECONDS:
        tasks.append(asyncio.create_task(
            first.send(nodes[len(tasks) % 2], "POST", "collect.example", "/c/1", b"x", deadline_s=1.2)))
        await asyncio.sleep(0.03)
    answers = collections.Counter(it.status for it in await asyncio.gather(*tasks))
    foreign = sum(request in first.sent for _, _, request in second.runs)
    first.record.both(f"answers in the first system: {dict(answers)}; its requests run in the second one: {foreign}")
    return [f"{foreign} requests ran in the other system, {answers[404]} were answered 404"] if foreign or answers[404] else []


async def script(fleet, has_trouble):
    with tempfile.TemporaryDirectory() as folder:
        second = Fleet(folder)
        await second.open()
        try:
            return await play_both(fleet, second)
        finally:
            await second.close()


play(script, FOLDER, broken_code=1)
