#!/usr/bin/env python3
"""Runs process scenarios: run_scenarios.py --bin BUILD/bin [NAME...]. Prints one line for each.

Exit code: 0 when all hold, 1 when one fails, 2 for a scenario that cannot be read.
"""

import argparse
import pathlib
import signal
import sys
import time

from harness import Harness
from script import ScriptError, parse_script

SCENARIOS = pathlib.Path(__file__).parent / "scenarios"


def main():
    parser = argparse.ArgumentParser(description="Runs process scenarios")
    parser.add_argument("--bin", required=True, help="folder of the programs under test")
    parser.add_argument("--check", action="store_true", help="only read the scenarios")
    parser.add_argument("names", nargs="*", help="scenario names or files; all when left out")
    given = parser.parse_args()
    files = [pathlib.Path(it) if it.endswith(".scn") else SCENARIOS / (it + ".scn") for it in given.names]
    try:
        scripts = [(it, parse_script(str(it), it.read_text("utf-8"))) for it in files or sorted(SCENARIOS.glob("*.scn"))]
    except (ScriptError, OSError) as error:
        print(error, file=sys.stderr)
        return 2
    if given.check:
        return 0
    # Turns the signal into an exception, so that the processes are ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    failures = 0
    for file, steps in scripts:
        begin = time.monotonic()
        failure = Harness(given.bin).run(steps)
        failures += bool(failure)
        print(f"{'FAILED' if failure else 'ok'} {file.stem} ({time.monotonic() - begin:.1f} s)", flush=True)
        if failure:
            print(failure, flush=True)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
