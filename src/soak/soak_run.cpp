#include "soak_run.h"

#include "standin/route_document.h"

#include <absl/strings/str_cat.h>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <thread>
#include <utility>

namespace citroncrank::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr host_address kServiceAddress{0xC6120001, 443};
constexpr duration kTick = milliseconds(2);
constexpr milliseconds kStoreStart{100};
constexpr int kStoreAttempts = 50;
// Before traffic starts, as on the users' platform.
constexpr duration kWarmUp = seconds(3);
// Within this time after the last fault the fleet serves again.
constexpr duration kRecovery = seconds(12);
constexpr duration kFinalTraffic = seconds(4);
constexpr duration kUpstreamPause = milliseconds(300);
constexpr seconds kStopTime{8};
constexpr milliseconds kStopPoll{20};
// A request takes about 10 ms, and a caller begins one each 20 ms.
constexpr std::uint64_t kFinalAnswersPerCaller = 40;

} // namespace

soak_run::soak_run(const soak_settings &settings)
    : m_settings(settings)
    , m_fleet(settings.fleet)
    , m_callers({.first = m_fleet.firstCaller(),
                 .service = kServiceAddress,
                 .callers = settings.callers,
                 .requestsPerFlow = 30,
                 .pause = milliseconds(20),
                 .seed = settings.seed})
{}

void soak_run::print(time_point now, const std::string &text) const
{
    std::cout << "soak: " << wholeMilliseconds(now - m_began) << " ms " << text << std::endl;
}

bool soak_run::startFleet(std::error_code *lastReason)
{
    if (!m_fleet.start(lastReason) || !m_proxy.start(m_fleet.proxyAddress(), m_fleet.storeAddress(), lastReason)
        || !m_callers.open(&m_loop, lastReason))
        return false;
    for (int attempt = 0; attempt < kStoreAttempts; ++attempt) {
        if (platform::writeRoute(m_fleet.storeAddress(), m_routesVersion, serviceName(0), true))
            return true;
        std::this_thread::sleep_for(kStoreStart);
    }
    *lastReason = std::make_error_code(std::errc::timed_out);
    return false;
}

bool soak_run::run(soak_outcome *outcome, std::error_code *lastReason)
{
    if (!startFleet(lastReason))
        return false;
    m_rotation = std::make_unique<standin_rotation>(m_fleet.rotation());
    m_began = monotonicNow() + kWarmUp;
    m_lastFaultEnds = m_began;
    m_checker.routeConfirmed(serviceName(0), monotonicNow());
    const auto plan = planFaults(
        {.balancers = m_settings.fleet.balancers, .agents = m_settings.fleet.agents, .length = m_settings.length},
        m_settings.seed);
    for (const planned_fault &planned : plan)
        m_due.emplace(m_began + planned.at, [this, what = planned.what](time_point now) { begin(what, now); });
    m_loop.onIterationEnd([this] { tick(monotonicNow()); });
    const auto timer = m_loop.timers().subscribe(kTick, [](time_point) {});
    m_loop.run();
    stopAll();
    readRuns();
    m_checker.finish();
    outcome->counts = m_callers.counts();
    outcome->answeredAtTheEnd = outcome->counts.answered - m_answeredBeforeTheEnd;
    if (outcome->answeredAtTheEnd < kFinalAnswersPerCaller * m_settings.callers)
        m_checker.report(absl::StrCat("too few answers after the recovery, answers=", outcome->answeredAtTheEnd));
    if (outcome->counts.wrong > 0)
        m_checker.report(absl::StrCat("wrong answers, count=", outcome->counts.wrong));
    outcome->faults = plan.size();
    outcome->violations = m_checker.violations();
    return true;
}

void soak_run::tick(time_point now)
{
    while (!m_due.empty() && m_due.begin()->first <= now) {
        const auto run = std::move(m_due.begin()->second);
        m_due.erase(m_due.begin());
        run(now);
    }
    watchProcesses(now);
    const time_point faultsUntil = std::max(m_began + m_settings.length, m_lastFaultEnds);
    if (now < faultsUntil + kRecovery)
        m_answeredBeforeTheEnd = m_callers.counts().answered;
    const time_point until = faultsUntil + kRecovery + kFinalTraffic;
    m_callers.advance(*m_rotation, now >= m_began && now < until, now);
    for (const standin_caller_event &event : m_callers.takeEvents()) {
        const std::size_t before = m_checker.violations().size();
        m_checker.saw(event, now);
        if (m_checker.violations().size() > before)
            print(now, "VIOLATION " + m_checker.violations().back());
    }
    if (now >= until && m_callers.isIdle())
        m_loop.stop();
}

void soak_run::watchProcesses(time_point now)
{
    std::vector<std::string> ended;
    for (const unexpected_end &end : m_fleet.takeEnds(&ended)) {
        m_checker.report(absl::StrCat("process ended by itself, process=", end.process, " exit=", end.end.exitCode,
                                      " signal=", end.end.signal));
        print(now, "VIOLATION " + m_checker.violations().back());
    }
    for (const std::string &name : ended) {
        const auto found = m_whenEnded.find(name);
        if (found == m_whenEnded.end())
            continue;
        const auto run = std::move(found->second);
        m_whenEnded.erase(found);
        run(now);
    }
}

void soak_run::later(duration delay, std::function<void(time_point)> run)
{
    const time_point at = monotonicNow() + delay;
    m_lastFaultEnds = std::max(m_lastFaultEnds, at);
    m_due.emplace(at, std::move(run));
}

void soak_run::startAgain(const std::string &process, bool isKilled, duration down,
                          std::function<void(time_point)> start)
{
    m_fleet.expectEnd(process, isKilled);
    m_whenEnded[process] = [this, down, start = std::move(start)](time_point) { later(down, start); };
}

void soak_run::begin(const fault &what, time_point now)
{
    print(now, toString(what));
    std::visit([&](const auto &typed) { begin(typed, now); }, what);
}

void soak_run::begin(const restart_node &what, time_point now)
{
    const std::string name = toString(what.node);
    child_process &process = m_fleet.process(name);
    if (m_whenEnded.contains(name) && what.isKilled) {
        // It is stopping already and gets killed while it does.
        m_checker.begin(disturbance_kind::unplanned, name, now);
        m_fleet.expectEnd(name, true);
        process.send(SIGKILL);
        return;
    }
    if (!process.isRunning() || m_whenEnded.contains(name))
        return;
    m_checker.begin(what.isKilled ? disturbance_kind::unplanned : disturbance_kind::planned, name, now);
    startAgain(name, what.isKilled, what.down, [this, node = what.node, name](time_point at) {
        std::error_code reason;
        if (!m_fleet.startNode(node, &reason))
            m_checker.report(absl::StrCat("cannot start ", name, ": ", reason.message()));
        m_checker.end(name, at);
    });
    process.send(what.isKilled ? SIGKILL : SIGTERM);
}

void soak_run::begin(const pause_node &what, time_point now)
{
    const std::string name = toString(what.node);
    m_checker.begin(disturbance_kind::unplanned, name, now);
    m_fleet.process(name).send(SIGSTOP);
    later(what.length, [this, name](time_point at) {
        m_fleet.process(name).send(SIGCONT);
        m_checker.end(name, at);
    });
}

void soak_run::begin(const reload_node &what, time_point)
{
    m_fleet.process(toString(what.node)).send(SIGHUP);
}

void soak_run::restartUpstream(std::size_t index, time_point now)
{
    std::error_code reason;
    if (!m_fleet.startUpstream(index, &reason))
        m_checker.report(absl::StrCat("cannot start an upstream: ", reason.message()));
    print(now, "started upstream " + m_fleet.upstreamId(index));
}

void soak_run::begin(const replace_upstream &what, time_point now)
{
    const std::string name = m_fleet.upstreamProcess(what.index);
    if (m_whenEnded.contains(name) || !m_fleet.process(name).isRunning())
        return;
    // Its flows end with it, so this lasts.
    m_checker.begin(disturbance_kind::upstream, m_fleet.upstreamId(what.index), now);
    if (what.isKilled)
        m_checker.begin(disturbance_kind::unplanned, name, now);
    startAgain(name, what.isKilled, kUpstreamPause, [this, index = what.index, name](time_point at) {
        restartUpstream(index, at);
        m_checker.end(name, at);
    });
    m_fleet.process(name).send(what.isKilled ? SIGKILL : SIGTERM);
}

void soak_run::begin(const disturb_store &what, time_point now)
{
    m_checker.begin(disturbance_kind::store, "store", now);
    m_proxy.set(what.mode);
    later(what.length, [this](time_point at) {
        m_proxy.set(proxy_mode::pass);
        m_checker.end("store", at);
    });
}

void soak_run::begin(const change_route &what, time_point)
{
    const std::string service = serviceName(what.service);
    if (!platform::writeRoute(m_fleet.storeAddress(), ++m_routesVersion, service, false))
        m_checker.report("the store stand-in did not confirm a route");
    m_checker.routeConfirmed(service, monotonicNow());
}

void soak_run::begin(const lose_packets &what, time_point now)
{
    const std::string subject = absl::StrCat("loss", ++m_losses);
    m_checker.begin(disturbance_kind::unplanned, subject, now);
    m_callers.loseOnTheWay(what.share);
    later(what.length, [this, subject](time_point at) {
        m_callers.loseOnTheWay(0);
        m_checker.end(subject, at);
    });
}

// A stop has a bound, and its exit code is 0.
void soak_run::stopAll()
{
    for (const node_name &node : m_fleet.nodes()) {
        m_fleet.expectEnd(toString(node), false);
        m_fleet.process(toString(node)).send(SIGTERM);
    }
    const time_point until = monotonicNow() + kStopTime;
    std::size_t left = m_fleet.nodes().size();
    while (left > 0 && monotonicNow() < until) {
        std::vector<std::string> ended;
        for (const unexpected_end &end : m_fleet.takeEnds(&ended))
            m_checker.report(absl::StrCat("stop failed, process=", end.process, " exit=", end.end.exitCode,
                                          " signal=", end.end.signal));
        left -= std::min(left, ended.size());
        std::this_thread::sleep_for(kStopPoll);
    }
    if (left > 0)
        m_checker.report(absl::StrCat("nodes did not stop in time, count=", left));
}

void soak_run::readRuns()
{
    const std::string mark = "run, request=";
    const std::string serviceMark = " service=";
    for (const std::string &path : m_fleet.upstreamLogs()) {
        std::ifstream log(path);
        for (std::string line; std::getline(log, line);) {
            const auto at = line.find(mark);
            const auto serviceAt = line.find(serviceMark);
            if (at == std::string::npos || serviceAt == std::string::npos)
                continue;
            const auto from = at + mark.size();
            m_checker.ran(line.substr(from, serviceAt - from), line.substr(serviceAt + serviceMark.size()));
        }
    }
}

} // namespace citroncrank::soak
