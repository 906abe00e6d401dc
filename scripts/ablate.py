#!/usr/bin/env python3
"""Switches one mechanism of the packet path off in a scratch copy and scores deployments with it.

usage: scripts/ablate.py --check                     every mechanism's switch still fits the sources
       scripts/ablate.py --list
       scripts/ablate.py --bench PROGRAM [--folder DIR] [--only NAME,...] [--jobs N] SITE...

Prints one row a mechanism: for each site the mean worth of its days with trouble and the share not served, processor time not
charged. The first row is the untouched copy.
"""

import argparse
import dataclasses
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKET = "src/libpacket/"


@dataclasses.dataclass(frozen=True)
class Mechanism:
    name: str
    file: str
    on: str
    off: str


MECHANISMS = [
    Mechanism("flow snapshots", "src/libpacketnode/packet_node_settings.cpp",
              '.minSnapshotInterval = values.getDuration("snapshot-pause")', ".minSnapshotInterval = duration(0)"),
    Mechanism("probes wait for answers", PACKET + "packet_balancer_owners.cpp",
              "if (search.count(owner_reply::uncertain) == 0 || search.isProbePending(now) || search.isReplyMissing(now))",
              "if (search.count(owner_reply::uncertain) == 0 || search.isProbePending(now))"),
    Mechanism("expected owners are probed first", PACKET + "packet_agent.cpp",
              "owner_nack{query.flow, !isDenied, isExpected}", "owner_nack{query.flow, !isDenied, isExpected && false}"),
    Mechanism("likely owners are asked first", PACKET + "packet_balancer_owners.cpp",
              "return m_agents.likelyOwners({flow.service, m_settings.domain, key});",
              "return m_agents.ownerCandidates(flow.service);"),
    Mechanism("flows go to a part of the agents", PACKET + "agent_directory_placement.cpp",
              "partOf(usable, placed, kCandidatesPerDomain)", "partOf(usable, placed, usable.size())"),
    Mechanism("requests wait at the agent", PACKET + "packet_agent_requests.cpp",
              "return slots() + kReadyRequests;", "return slots() + 1000;"),
    Mechanism("one request ready at the upstream", PACKET + "packet_agent_pvt.h",
              "constexpr std::size_t kReadyRequests = 1;", "constexpr std::size_t kReadyRequests = 0;"),
    Mechanism("newest first when overloaded", PACKET + "request_queue.cpp",
              "const auto withinTarget = nextWithinTarget(isOverloaded, keepsShares);",
              "const auto withinTarget = nextWithinTarget(false, keepsShares);"),
    Mechanism("late requests wait", PACKET + "request_queue.cpp",
              "isNearDeadlineTurn(isOverloaded) || !withinTarget ? nextNearDeadline(keepsShares) : std::nullopt",
              "isNearDeadlineTurn(isOverloaded) || !withinTarget || m_rounds % 2 == 0 ? nextPastTarget() : std::nullopt"),
    Mechanism("turn for the unserved priority", PACKET + "request_queue.cpp",
              "m_rounds % kUnservedPriorityPeriod == kUnservedPriorityRound", "false"),
    Mechanism("late waiting requests are no load", PACKET + "request_queue.cpp",
              "    std::size_t count = m_withinTarget.size();\n", "    std::size_t count = m_waiting.size();\n"),
    Mechanism("full agents pass new flows on", PACKET + "packet_agent_opening.cpp",
              "return hasFreeSlot(now) ? std::nullopt : std::optional(forwarding_reason::no_free_slot);", "return std::nullopt;"),
    Mechanism("flows settle at the least loaded agent", PACKET + "packet_agent_opening.cpp",
              "const bool isLast = arrived->alternates.empty() && !arrived->isSettled;", "const bool isLast = false;"),
    Mechanism("owner notices carry loads", PACKET + "packet_balancer.cpp",
              "self->m_agents.applyLoad(load, now);", "(void) load;"),
    Mechanism("flows sent count as load", PACKET + "agent_load.cpp",
              "report.busy * remaining + arrived + agent.sentSinceLoad;", "report.busy * remaining + arrived;"),
    Mechanism("busy counts are forgotten", PACKET + "agent_load.cpp",
              "std::exp(-elapsedMs / (processingMs * std::max(1.0, report.busy / slots)))", "1.0"),
    Mechanism("loads are drawn", PACKET + "agent_load.cpp",
              "if (estimate.deviation == 0)", "if (estimate.deviation >= 0)"),
    Mechanism("own failure domain first", PACKET + "agent_directory_placement.cpp",
              "agent->report.domain == placed.ownDomain ? 0 : otherDomain;", "0;"),
    Mechanism("new upstreams get less", PACKET + "agent_load.cpp",
              "start_pace{.share = 1 / kUnmeasuredColdSlowdown} : startPace(measured, reference);", "start_pace{} : start_pace{};"),
    Mechanism("processing times are compared", "src/libloadpolicy/placement_cost.cpp",
              "return std::exp(difference * std::clamp(certainty, 0.0, 1.0));", "return 1;"),
    Mechanism("openings are refused", PACKET + "packet_agent_admission.cpp",
              "if (!m_upstream || estimate.isAdmitted)", "if (!m_upstream || estimate.isAdmitted || !estimate.isAdmitted)"),
    Mechanism("own domain is probed first", PACKET + "packet_balancer_owners.cpp",
              "if (!isOwnDomainFirst || isOwnDomain(agent))", "if (!isOwnDomainFirst || isOwnDomain(agent) || isOwnDomainFirst)"),
    Mechanism("owners are handed over", PACKET + "packet_balancer_nodes.cpp",
              "        if (!flow.isOwnerKnown || flow.finished)\n            continue;",
              "        if (!flow.isOwnerKnown || flow.finished || flow.isOwnerKnown)\n            continue;"),
    Mechanism("failing upstreams are avoided", PACKET + "packet_agent_health.cpp",
              "    m_health.recordOutcome(outcome, m_requestsInProgress < slots(), now);\n", ""),
]


def apply(mechanism, folder):
    path = folder / mechanism.file
    text = path.read_text()
    if text.count(mechanism.on) != 1:
        raise SystemExit(f"ablate: {mechanism.name}: its switch does not fit {mechanism.file} any more")
    path.write_text(text.replace(mechanism.on, mechanism.off))


def score(options, site, folder, why):
    command = [options.bench, "score", site, "--no-cpu", "--jobs", str(options.jobs), "--why", f"ablation: {why}"]
    result = subprocess.run(command, cwd=folder, capture_output=True, text=True)
    days = re.findall(r"^(?:trouble|scale)-\d+ +\S+ +\S+ +(\S+) +\S+ +(\S+) +(\S+) ", result.stdout, re.MULTILINE)
    if not days:
        return f"failed: {(result.stdout + result.stderr).strip()[-200:]}"
    broken = "" if "GATE passed" in result.stdout else " GATE"
    worth = sum(float(day[0]) for day in days) / len(days)
    unserved = sum(float(day[1]) + float(day[2]) for day in days) / len(days)
    return f"{worth:.3f} {unserved:.4f}{broken}"


def run(options):
    folder = pathlib.Path(options.folder)
    if not folder.exists():
        subprocess.run(["git", "clone", "-q", str(ROOT), str(folder)], check=True)
    sites = [str(pathlib.Path(site).resolve()) for site in options.sites]
    print("| mechanism off | " + " | ".join(pathlib.Path(site).stem for site in sites) + " |")
    print("| --- |" + " --- |" * len(sites), flush=True)
    wanted = options.only.split(",") if options.only else None
    for mechanism in [None] + MECHANISMS:
        name = mechanism.name if mechanism else "none"
        if wanted and name not in wanted:
            continue
        subprocess.run(["git", "checkout", "-q", "--", "src"], cwd=folder, check=True)
        if mechanism:
            apply(mechanism, folder)
        print(f"| {name} | " + " | ".join(score(options, site, folder, name) for site in sites) + " |", flush=True)
    subprocess.run(["git", "checkout", "-q", "--", "src"], cwd=folder, check=True)
    return 0


def check():
    for mechanism in MECHANISMS:
        if (ROOT / mechanism.file).read_text().count(mechanism.on) != 1:
            print(f"ablate: {mechanism.name}: its switch does not fit {mechanism.file} any more")
            return 1
    print(f"ablate: {len(MECHANISMS)} switches fit")
    return 0


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--check", action="store_true")
    parser.add_argument("--list", action="store_true")
    parser.add_argument("--bench")
    parser.add_argument("--folder", default="/tmp/citroncrank-ablation")
    parser.add_argument("--only")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("sites", nargs="*")
    options = parser.parse_args()
    if options.check:
        return check()
    if options.list:
        print("\n".join(mechanism.name for mechanism in MECHANISMS))
        return 0
    if not options.bench or not options.sites:
        parser.print_help()
        return 2
    return run(options)


if __name__ == "__main__":
    sys.exit(main())
