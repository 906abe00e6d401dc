#!/usr/bin/env python3
"""Shows where a played day lost worth: by class, by moment and by cause, and draws a picture of it.

usage: scripts/loss_table.py REPORT.json [LOG] [--plot FILE.png] [--from S] [--to S]

REPORT comes from the bench's option --report, LOG is what it printed with --log all. Worth is given in thousandths of all that the
day could earn, so the rows of a table add up to the whole loss. Causes are counted from the log: each late or unanswered request has
exactly one. The picture shows each 100 ms between --from and --to (default: around the worst two seconds).
"""

import argparse
import collections
import dataclasses
import json
import re
import subprocess
import sys

TOP_ROWS = 8
PLOT_STEP_S = 0.1
PLOT_MARGIN_S = 4
# Events after which hosts have to start again. A request that began before they had did not depend on a decision.
OUTAGES = ("power_off_all", "kill_all", "herd_kill", "wipe_after_ack")
MAX_OUTAGE_S = 5
# Share of the nodes that start at about the same time after an outage.
RESTARTED_SHARE = 0.3

LINE = re.compile(r"^\s*(-?[0-9.]+) (\S+) \S+ (balancer|agent): (.*)$")
FIELD = re.compile(r"(\w+)=(\S+)")
# Log lines that are counted for the worst windows.
COUNTED = ("refused packet", "turned flow away", "turned packet away", "request dropped", "passed flow on",
           "upstream returned packet", "request unanswered", "owner is undecided", "request not confirmed", "request waits")
CAUSES = ("outage", "earlier attempt", "owner search", "waited at agent", "long work", "no answer")


@dataclasses.dataclass
class Request:
    """One attempt as its agent logged it. Times in seconds of the day."""
    flow: str
    arrived: float
    age: float
    passed: float = None
    answered: float = None
    work: float = 0
    target: float = 0
    is_dropped: bool = False

    def began(self):
        return self.arrived - self.age

    def is_late(self):
        return self.answered is not None and self.target > 0 and self.answered - self.began() > self.target


@dataclasses.dataclass
class Day:
    """What the log tells."""
    requests: dict = dataclasses.field(default_factory=dict)
    searched: dict = dataclasses.field(default_factory=dict)  # Flow: first time that its owner was asked for.
    started: list = dataclasses.field(default_factory=list)
    nodes: set = dataclasses.field(default_factory=set)
    counted: dict = dataclasses.field(default_factory=lambda: collections.defaultdict(collections.Counter))
    series: dict = dataclasses.field(default_factory=lambda: collections.defaultdict(collections.Counter))


def read_request(day, at, text, fields):
    key = (fields["request"], fields["flow"])
    if text.startswith(("request passed", "request waits")):
        known = day.requests.setdefault(key, Request(fields["flow"], at, int(fields.get("age_ms", 0)) / 1000))
        if text.startswith("request passed") and known.passed is None:
            known.passed = at
    elif key in day.requests and text.startswith("request answered"):
        known = day.requests[key]
        known.answered = at
        known.work = int(fields["at_work_ms"]) / 1000
        known.target = int(fields.get("target_ms", 0)) / 1000
    elif key in day.requests and text.startswith("request dropped"):
        day.requests[key].is_dropped = True


def read_log(path, seconds):
    day = Day()
    with open(path, errors="replace") as log:
        for line in log:
            match = LINE.match(line)
            if not match:
                continue
            at, node, text = float(match[1]), match[2], match[4]
            day.nodes.add(node)
            what = next((start for start in COUNTED if text.startswith(start)), None)
            fields = dict(FIELD.findall(text))
            if what:
                reason = f" ({fields['reason']})" if "reason" in fields else ""
                day.counted[int(at // seconds * seconds)][what + reason] += 1
            step = int(at // PLOT_STEP_S)
            if text.startswith("request ") and "request" in fields and "flow" in fields:
                read_request(day, at, text, fields)
            elif text.startswith("started, node="):
                day.started.append(at)
            elif text.startswith("asked agents"):
                day.searched.setdefault(fields["flow"], at)
                day.series[step]["owner queries"] += int(fields["agents"])
            elif text.startswith("store calls"):
                day.series[step]["store calls"] += int(fields["count"])
    return day


def outages(report, day):
    """Spans from each event that stops many hosts until most of them have started again."""
    spans = []
    for event in report["events"]:
        if not any(kind in event["kind"] for kind in OUTAGES):
            continue
        began = event["at_s"]
        starts = sorted(at for at in day.started if began < at < began + MAX_OUTAGE_S)
        if len(starts) > RESTARTED_SHARE * len(day.nodes):
            spans.append((began, starts[len(starts) * 9 // 10]))
    return spans


def cause_of(request, spans, day):
    """The first of CAUSES that explains why the request was late or got no answer."""
    began = request.began()
    if any(start - request.target <= began < end for start, end in spans):
        return "outage"
    searched = day.searched.get(request.flow)
    if searched is not None and began <= searched <= request.arrived:
        return "owner search"
    if request.answered is None:
        return "no answer"
    if request.age + request.work > request.target:
        return "earlier attempt" if request.age > request.work else "long work"
    return "waited at agent" if request.passed and request.passed - request.arrived > request.work else "long work"


def causes_by_window(report, day, seconds):
    counts = collections.defaultdict(collections.Counter)
    spans = outages(report, day)
    for request in day.requests.values():
        if request.is_late() or (request.answered is None and request.is_dropped):
            counts[int(request.began() // seconds * seconds)][cause_of(request, spans, day)] += 1
    return counts


def loss(row):
    return row["n"] * (1 - row["worth"])


def print_rows(title, rows, total):
    print(f"\n{title:<14} {'asked':>7} {'late':>6} {'failed':>7} {'lost, thousandths':>18}")
    for row in rows:
        print(f"{row['name']:<14} {row['n']:>7} {row['late']:>6} {row['failed']:>7} {1000 * loss(row) / total:>18.1f}"
              f"  {row.get('note', '')}")


def print_causes(rows, counts, total):
    print(f"\n{'from second':<14} " + " ".join(f"{cause:>16}" for cause in CAUSES) + f" {'in the log':>11}")
    sums = collections.Counter()
    for row in rows:
        found = counts[int(float(row["name"]))]
        known = sum(found.values())
        share = 1000 * loss(row) / total / known if known else 0
        for cause in CAUSES:
            sums[cause] += found[cause] * share
        print(f"{row['name']:<14} " + " ".join(f"{found[cause] * share:>16.1f}" for cause in CAUSES)
              + f" {known:>5} of {row['late'] + row['failed']}")
    print(f"{'sum':<14} " + " ".join(f"{sums[cause]:>16.1f}" for cause in CAUSES))


def notes(window, seconds, events):
    start = float(window["name"])
    return "; ".join(event["kind"] for event in events
                     if event["at_s"] < start + seconds and event["to_s"] > start)


def fill_series(day):
    for request in day.requests.values():
        at = request.answered if request.answered is not None else request.arrived
        day.series[int(request.began() // PLOT_STEP_S)]["asked"] += 1
        if request.answered is not None:
            day.series[int(at // PLOT_STEP_S)]["late" if request.is_late() else "in time"] += 1
        elif request.is_dropped:
            day.series[int(at // PLOT_STEP_S)]["lost"] += 1
        waits_until = request.passed if request.passed is not None else request.arrived
        for step in range(int(request.arrived // PLOT_STEP_S), int(waits_until // PLOT_STEP_S)):
            day.series[step]["waiting"] += 1


def plot(day, path, first, last, title):
    names = ["asked", "in time", "late", "lost", "waiting", "owner queries", "store calls"]
    steps = range(int(first / PLOT_STEP_S), int(last / PLOT_STEP_S))
    rows = "\n".join(f"{step * PLOT_STEP_S:.1f} " + " ".join(str(day.series[step][name]) for name in names) for step in steps)
    upper = ", ".join(f"$data using 1:{names.index(name) + 2} with lines title '{name}'" for name in names[:4])
    lower = ", ".join(f"$data using 1:{names.index(name) + 2} with lines title '{name}'" for name in names[4:])
    script = (f"set terminal png size 1200,800\nset output '{path}'\n$data << EOD\n{rows}\nEOD\n"
              f"set multiplot layout 2,1 title '{title}'\nset xlabel 'second of the day'\nset ylabel 'in each 100 ms'\n"
              f"plot {upper}\nset logscale y\nplot {lower}\nunset multiplot\n")
    subprocess.run(["gnuplot"], input=script, text=True, check=True)


def print_log_tables(options, report, windows, worst, seconds, total):
    day = read_log(options.log, seconds)
    print_causes(worst, causes_by_window(report, day, seconds), total)
    for row in worst:
        listed = ", ".join(f"{what} {count}"
                           for what, count in day.counted[int(float(row["name"]))].most_common(TOP_ROWS))
        print(f"log from {row['name']} s: {listed}")
    if options.plot:
        fill_series(day)
        peak = float(max(windows, key=loss)["name"])
        first = peak - PLOT_MARGIN_S if options.first is None else options.first
        last = peak + seconds + PLOT_MARGIN_S if options.last is None else options.last
        plot(day, options.plot, first, last, options.report.replace("'", ""))


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("report", metavar="REPORT.json", nargs="?")
    parser.add_argument("log", metavar="LOG", nargs="?")
    parser.add_argument("--plot", metavar="FILE.png", help="draw the time around the worst window; needs LOG and gnuplot")
    parser.add_argument("--from", dest="first", type=float, metavar="S", help="first second of the picture")
    parser.add_argument("--to", dest="last", type=float, metavar="S", help="last second of the picture")
    options = parser.parse_args()
    if not options.report or (options.plot and not options.log):
        parser.print_help()
        return 2
    try:
        with open(options.report) as source:
            report = json.load(source)
    except (OSError, ValueError) as error:
        print(f"loss_table: cannot read report {options.report}: {error}", file=sys.stderr)
        return 3
    windows = report["windows"]
    seconds = float(windows[1]["name"]) - float(windows[0]["name"])
    total = sum(row["n"] for row in windows)
    print(f"worth {report['G']:.3f}, benefit {report['served']:.3f}, not served {report['unserved']:.4f}")
    for name, weight, value in report["parts"]:
        print(f"  {name}: {value:.3f}, costs {weight * (1 - value):.3f}")
    print("  prices: " + ", ".join(f"{name} {price:.4f}" for name, _, price in report["prices"] if abs(price) > 0.0005))
    print_rows("class", report["classes"], total)
    worst = sorted(sorted(windows, key=loss, reverse=True)[:TOP_ROWS], key=lambda row: float(row["name"]))
    for row in worst:
        row["note"] = notes(row, seconds, report["events"])
    print_rows("from second", worst, total)
    rest = sum(map(loss, windows)) - sum(map(loss, worst))
    print(f"{'all others':<14} {'':>22} {1000 * rest / total:>18.1f}")
    if options.log:
        print_log_tables(options, report, windows, worst, seconds, total)
    return 0


if __name__ == "__main__":
    sys.exit(main())
