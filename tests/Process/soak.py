#!/usr/bin/env python3
"""Randomized fault soak: soak.py --bin BUILD/bin [--seeds FIRST-LAST] [--show].

Each seed gives a scenario of real programs as separate processes: two loads run while nodes are killed, stopped, frozen
and replaced, links are cut, the store misbehaves, targets limit requests or say that they leave, and requests come that
end each target for a moment, in series and overlapping. It checks what callers and targets saw:
whole answers to the right caller, no second run of a call that may run once, no false "not run", and service
afterwards. Seeds that ever failed are kept in FAILED_SEEDS with their cause and are run first.

Exit code: 0 when all seeds hold, 1 when one fails.
"""

import argparse
import random
import signal
import sys
import time

from harness import Harness
from script import parse_script

# Seed: cause. Regression cases.
FAILED_SEEDS = {}

LOAD_S = 12
FAULTS = (6, 12)
TARGETS_PER_SERVICE = 3


class Plan:
    """Draws the steps of one seed. Node a takes the callers' requests and is frozen at most; the others may end."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.lines = []
        self.spare = [f"n{n}" for n in range(9)]
        self.nodes = ["b", "c"]
        self.frozen = set()
        self.cuts = set()
        self.is_store_faulty = False
        self.changed_targets = set()
        self.crashes = 0

    def add(self, line):
        self.lines.append(line)

    def pause(self, low, high):
        self.add(f"sleep {self.random.randint(low, high)}ms")

    def start_node(self, name, seeds=""):
        zone = self.random.choice(("kandy-a", "colombo-a"))
        self.add(f"start node {name} zone={zone} relay=yes{seeds}")

    def start_targets(self, node):
        delay = self.random.choice((5, 20, 60))
        self.add(f"start target i-{node} node={node} service=slotdesk delay={delay}ms")
        self.add(f"start target m-{node} node={node} service=collectsvc delay={delay}ms")

    def prepare(self):
        self.add("start table")
        self.add("start objects")
        self.start_node("a")
        self.add("wait node a within=20s")
        for it in self.nodes:
            self.start_node(it, " seeds=a")
            self.add(f"wait node {it} within=20s")
        self.add("operator a service create slotdesk --kind idempotent --caller-wait-ms 3000 until=20s -> exit=0|5")
        self.add("operator a service create collectsvc --kind at-most-once --caller-wait-ms 3000 until=20s -> exit=0|5")
        for it in ("a", *self.nodes):
            self.start_targets(it)
        for service in ("slotdesk", "collectsvc"):
            self.add(f"wait targets {service} {TARGETS_PER_SERVICE} on=a within=30s")
        self.add(f"load l1 nodes=a service=slotdesk rate=40 duration={LOAD_S}s threads=48 keep=yes")
        self.add(f"load l2 nodes=a service=collectsvc method=POST body=item rate=40 duration={LOAD_S}s threads=48 keep=yes")

    def replace(self, ended):
        self.nodes.remove(ended)
        self.frozen.discard(ended)
        self.cuts = {it for it in self.cuts if ended not in it}
        name = self.spare.pop(0)
        self.pause(50, 1000)
        self.start_node(name, " seeds=a")
        self.start_targets(name)
        self.nodes.append(name)

    def kill(self):
        name = self.random.choice(self.nodes)
        self.add(f"kill {name}")
        self.replace(name)

    def stop(self):
        running = [it for it in self.nodes if it not in self.frozen]
        if running:
            name = self.random.choice(running)
            self.add(f"stop {name} background=yes within=30s")
            self.replace(name)

    def freeze(self):
        name = self.random.choice(["a", *self.nodes])
        if name not in self.frozen:
            self.add(f"freeze {name}")
            self.frozen.add(name)
        if name == "a" or self.random.random() < 0.5:
            self.pause(100, 1500)
            self.resume(name)

    def resume(self, name):
        self.add(f"resume {name}")
        self.frozen.discard(name)

    def cut(self):
        name = self.random.choice(self.nodes)
        if name in self.spare or ("a", name) in self.cuts:
            return
        self.add(f"cut a {name}")
        self.cuts.add(("a", name))

    def heal(self):
        if self.cuts:
            first, second = self.random.choice(sorted(self.cuts))
            self.add(f"heal {first} {second}")
            self.cuts.discard((first, second))

    def limit(self):
        limit = self.random.choice(("0", "2.5", "20", ""))
        self.set_behaviour("i", f"request-limit={limit}")

    def leave(self):
        self.set_behaviour("m", self.random.choice(("leaving=1", "leaving=0")))

    def set_behaviour(self, kind, behaviour):
        name = f"{kind}-{self.random.choice(('a', *self.nodes))}"
        self.add(f"behaviour {name} {behaviour}")
        self.changed_targets.add(name)

    def crash(self):
        """Two callers at once send a request that ends each target that runs it, always the same one in a scenario."""
        for _ in range(2):
            self.crashes += 1
            self.add(f"request d{self.crashes} node=a service=slotdesk path=/page?end=900 within=30s background=yes")

    def store(self):
        fault = self.random.choice(("down=refuse", "down=close", "slowMs=400", "dropRate=0.3"))
        self.add(f"control table {fault}")
        self.is_store_faulty = True

    def mend_store(self):
        self.add("control table down=up slowMs=0 dropRate=0")
        self.is_store_faulty = False

    def finish(self):
        for it in sorted(self.frozen):
            self.resume(it)
        for first, second in sorted(self.cuts):
            self.add(f"heal {first} {second}")
        self.mend_store()
        for it in sorted(self.changed_targets):
            self.add(f"behaviour {it} request-limit= leaving=0")
        for n in range(1, self.crashes + 1):
            self.add(f"wait request d{n} within=30s -> status=502|503|504")
        for load in ("l1", "l2"):
            self.add(f"wait load {load} within=40s")
            self.add(f"expect load {load} -> lost=0 wrong=0 max-ms<=6000")
        self.add("sleep 2s")
        for rule in ("at-most-once", "answered-once", "not-run-never"):
            self.add(f"expect executions l2 {rule}")
        self.add("expect executions l1 not-run-never")
        for n, service in enumerate(("slotdesk", "collectsvc")):
            self.add(f"request r{n} node=a service={service} method=POST body=item until=20s -> status=200 outcome=run")

    def draw(self):
        self.prepare()
        faults = (self.kill, self.stop, self.freeze, self.freeze, self.cut, self.heal, self.store, self.mend_store,
                  self.limit, self.limit, self.leave, self.leave, self.crash, self.crash)
        for _ in range(self.random.randint(*FAULTS)):
            self.pause(100, 1500)
            self.random.choice(faults)()
        self.finish()
        return "\n".join(self.lines) + "\n"


def parse_seeds(text):
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def main():
    parser = argparse.ArgumentParser(description="Randomized fault soak")
    parser.add_argument("--bin", required=True, help="folder of the programs under test")
    parser.add_argument("--seeds", type=parse_seeds, default=range(0), help="FIRST-LAST, besides those that ever failed")
    parser.add_argument("--show", action="store_true", help="print the scenarios instead of running them")
    given = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    failures = 0
    for seed in (*FAILED_SEEDS, *given.seeds):
        text = Plan(seed).draw()
        if given.show:
            print(text)
            continue
        begin = time.monotonic()
        failure = Harness(given.bin).run(parse_script(f"seed {seed}", text))
        failures += bool(failure)
        print(f"{'FAILED' if failure else 'ok'} seed {seed} ({time.monotonic() - begin:.1f} s)", flush=True)
        if failure:
            print(failure + "\n" + text, flush=True)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
