#!/usr/bin/env python3
# Plays days of the users' bench with two checkouts and prints how they compare, pair by pair.
#
#   scripts/play-pairs.py --bench FLEETBENCH --site SITE.toml --old DIR --new DIR --days scale-1,scale-2 --seeds 21-25
#
# Each pair plays the same day and seed with the old and the new code. One run proves little, as the same code and seed
# differ between runs; so a claim rests on the mean difference of the pairs and its spread. Without --new the days are
# played with the old checkout alone. Each run leaves its entry in the journal/ of its checkout.
import argparse
import concurrent.futures
import json
import pathlib
import statistics
import subprocess
import sys
import tempfile

# The figures of a report that the table shows beside the worth.
CLASS_COLUMNS = ("n", "in_aim", "late", "refused", "failed")


def parse_seeds(text):
    """Numbers and ranges separated by commas; "day" stands for the seed written in the site file."""
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += [None] if part == "day" else list(range(int(first), int(last or first) + 1))
    return seeds


def play(options, checkout, day, seed):
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = [options.bench, "run", options.site, day, "--report", str(report), "--why", options.why]
        command += ["--seed", str(seed)] if seed is not None else []
        command += ["--no-cpu"] if options.no_cpu else []
        command += ["--small"] if options.small else []
        result = subprocess.run(command, cwd=checkout, capture_output=True, text=True, check=False)
        if not report.exists():
            print(f"failed: {checkout} {day} seed {seed}\n{result.stdout[-2000:]}{result.stderr[-2000:]}", file=sys.stderr)
            return None
        if options.keep:
            name = f"{pathlib.Path(options.site).stem}-{pathlib.Path(day).stem}-{seed or 'day'}-{pathlib.Path(checkout).name}.json"
            pathlib.Path(options.keep, name).write_text(report.read_text())
        return json.loads(report.read_text())


def describe(report):
    if report is None:
        return "failed"
    broken = "".join(f" {rule} {n}" for rule, n in report["breaks"].items())
    return f"{report['G']:.3f}{broken}{' fault' if report['fault'] else ''}"


def print_day(day, seeds, reports, sides):
    print(f"\n{day}: worth by seed\n")
    print("| seed | " + " | ".join(sides) + (" | difference |" if len(sides) > 1 else " |"))
    print("|---" * (len(sides) + (2 if len(sides) > 1 else 1)) + "|")
    differences = []
    for seed in seeds:
        pair = [reports[(side, day, seed)] for side in sides]
        row = [describe(it) for it in pair]
        if len(sides) > 1 and all(pair):
            differences.append(pair[1]["G"] - pair[0]["G"])
            row.append(f"{differences[-1]:+.3f}")
        print(f"| {'day' if seed is None else seed} | " + " | ".join(row) + " |")
    return differences


def mean_of(reports, value):
    found = [value(it) for it in reports if it]
    return statistics.mean(found) if found else float("nan")


def print_totals(days, seeds, reports, sides):
    for side in sides:
        played = [reports[(side, day, seed)] for day in days for seed in seeds]
        parts = {name: mean_of(played, lambda it, n=name: {p[0]: p[2] for p in it["parts"]}[n])
                 for name in ("whole day", "worst windows", "worst class", "served at all")}
        prices = {}
        for report in filter(None, played):
            for name, _, price in report["prices"]:
                prices[name] = prices.get(name, 0) + price / len(played)
        dearest = sorted(prices.items(), key=lambda it: -it[1])[:7]
        print(f"\n{side}: mean worth {mean_of(played, lambda it: it['G']):.3f}; "
              + ", ".join(f"{name} {value:.3f}" for name, value in parts.items()))
        print("  prices: " + ", ".join(f"{name} {value:.4f}" for name, value in dearest))
        classes = [it["name"] for it in next(filter(None, played))["classes"]]
        for name in classes:
            figures = [mean_of(played, lambda it, c=name, f=column: {k["name"]: k for k in it["classes"]}.get(c, {}).get(f, 0))
                       for column in CLASS_COLUMNS]
            print(f"  {name}: " + ", ".join(f"{column} {value:.0f}" for column, value in zip(CLASS_COLUMNS, figures)))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", required=True, help="the fleetbench program")
    parser.add_argument("--site", required=True, help="a site file")
    parser.add_argument("--old", required=True, help="a checkout with the code to compare with")
    parser.add_argument("--new", help="a checkout with the changed code")
    parser.add_argument("--days", required=True, help="names of days or day files, separated by commas")
    parser.add_argument("--seeds", default="day,21-24", type=parse_seeds, help="as in day,21-24")
    parser.add_argument("--jobs", type=int, default=4, help="days played at once")
    parser.add_argument("--no-cpu", action="store_true", help="charge no processor time")
    parser.add_argument("--small", action="store_true", help="play the small twins of large days")
    parser.add_argument("--why", default="pairs of old and new code", help="a line for the journal")
    parser.add_argument("--keep", help="a folder that gets the bench's report of each run")
    options = parser.parse_args()
    days = options.days.split(",")
    sides = {"old": options.old} | ({"new": options.new} if options.new else {})
    for checkout in sides.values():
        subprocess.run([options.bench, "build"], cwd=checkout, check=True, capture_output=True)
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        runs = {(side, day, seed): pool.submit(play, options, checkout, day, seed)
                for day in days for seed in options.seeds for side, checkout in sides.items()}
        reports = {key: run.result() for key, run in runs.items()}
    differences = []
    for day in days:
        differences += print_day(day, options.seeds, reports, list(sides))
    print_totals(days, options.seeds, reports, list(sides))
    if differences:
        spread = statistics.stdev(differences) if len(differences) > 1 else float("nan")
        print(f"\n{len(differences)} pairs: mean difference {statistics.mean(differences):+.4f}, "
              f"standard deviation {spread:.4f}, better in {sum(it > 0 for it in differences)}")
    return 0 if all(reports.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
