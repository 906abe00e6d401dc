#!/usr/bin/env python3
"""Prints where a played day lost worth: by moment and by class, with what happened then.

usage: scripts/loss_table.py REPORT.json [LOG]

REPORT comes from the bench's option --report, LOG is what it printed with --log all. Worth is given in thousandths of all that the
day could earn, so the rows add up to the whole loss.
"""

import collections
import json
import re
import sys

TOP_ROWS = 8
# Log lines about requests and flows that were rejected, dropped, forwarded or delayed, with the logged reason if any.
REASON = re.compile(r"^\s*(-?[0-9.]+) (front|side)-\S+ \S+ \w+: (refused packet|turned flow away|turned packet away|"
                    r"request dropped|passed flow on|upstream returned packet|request unanswered|owner is undecided|"
                    r"request not confirmed|request waits)(?:.*?reason=(\w+))?")


def loss(row):
    return row["n"] * (1 - row["worth"])


def print_rows(title, rows, total):
    print(f"\n{title:<14} {'asked':>7} {'late':>6} {'failed':>7} {'lost, thousandths':>18}")
    for row in rows:
        print(f"{row['name']:<14} {row['n']:>7} {row['late']:>6} {row['failed']:>7} {1000 * loss(row) / total:>18.1f}"
              f"  {row.get('note', '')}")


def notes(window, seconds, events):
    start = float(window["name"])
    return "; ".join(event["kind"] for event in events
                     if event["at_s"] < start + seconds and event["to_s"] > start)


def reasons_by_window(path, seconds):
    counts = collections.defaultdict(collections.Counter)
    with open(path, errors="replace") as log:
        for line in log:
            match = REASON.match(line)
            if match:
                at, _, what, reason = match.groups()
                counts[int(float(at) // seconds * seconds)][what + (f" ({reason})" if reason else "")] += 1
    return counts


def main():
    if len(sys.argv) < 2:
        print(__doc__)
        return 2
    report = json.load(open(sys.argv[1]))
    windows = report["windows"]
    seconds = float(windows[1]["name"]) - float(windows[0]["name"])
    total = sum(row["n"] for row in windows)
    print(f"worth {report['G']:.3f}, benefit {report['served']:.3f}, not served {report['unserved']:.4f}")
    for name, weight, value in report["parts"]:
        print(f"  {name}: {value:.3f}, costs {weight * (1 - value):.3f}")
    print_rows("class", report["classes"], total)
    worst = sorted(windows, key=loss, reverse=True)[:TOP_ROWS]
    for row in worst:
        row["note"] = notes(row, seconds, report["events"])
    print_rows("from second", sorted(worst, key=lambda row: float(row["name"])), total)
    rest = sum(map(loss, windows)) - sum(map(loss, worst))
    print(f"{'all others':<14} {'':>22} {1000 * rest / total:>18.1f}")
    if len(sys.argv) > 2:
        counts = reasons_by_window(sys.argv[2], seconds)
        for row in sorted(worst, key=lambda row: float(row["name"])):
            listed = ", ".join(f"{what} {count}" for what, count in counts[int(float(row["name"]))].most_common(TOP_ROWS))
            print(f"log from {row['name']} s: {listed}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
