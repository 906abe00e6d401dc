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
constexpr duration kTickInterval = milliseconds(2);
constexpr milliseconds kStoreRetryInterval{100};
constexpr int kStoreAttempts = 50;
// Time between the start of the nodes and the start of traffic, as on the users' platform.
constexpr duration kWarmUp = seconds(3);
// The fleet must serve requests again within this time after the last fault.
constexpr duration kRecoveryTime = seconds(12);
constexpr duration kFinalTrafficTime = seconds(4);
constexpr duration kUpstreamRestartDelay = milliseconds(300);
constexpr seconds kStopTimeout{8};
constexpr milliseconds kStopPollInterval{20};
// Lower bound: a request takes about 10 ms, and a caller begins one every 20 ms.
constexpr std::uint64_t kMinFinalAnswersPerCaller = 40;

bool postToStore(const host_address &store, const std::string &path)
{
    http_connection connection({store, seconds(5)});
    http_call_failure failure = http_call_failure::not_sent;
    const auto answer = connection.call({"POST", path, "", {}, false}, &failure);
    constexpr unsigned kStatusOk = 200;
    return answer && answer->status == kStatusOk;
}

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
    std::cout << "soak: " << wholeMilliseconds(now - m_trafficStart) << " ms " << text << std::endl;
}

bool soak_run::startFleet(std::error_code *lastReason)
{
    if (!m_fleet.start(lastReason) || !m_proxy.start(m_fleet.proxyAddress(), m_fleet.storeAddress(), lastReason)
        || !m_callers.open(&m_loop, lastReason))
        return false;
    for (int attempt = 0; attempt < kStoreAttempts; ++attempt) {
        if (platform::writeRoute(m_fleet.storeAddress(), m_routesVersion, serviceName(0), true))
            return true;
        std::this_thread::sleep_for(kStoreRetryInterval);
    }
    *lastReason = std::make_error_code(std::errc::timed_out);
    return false;
}

bool soak_run::run(soak_outcome *outcome, std::error_code *lastReason)
{
    if (!startFleet(lastReason))
        return false;
    m_rotation = std::make_unique<standin_rotation>(m_fleet.rotation());
    m_trafficStart = monotonicNow() + kWarmUp;
    m_lastFaultEnd = m_trafficStart;
    m_checker.recordRoute(serviceName(0), monotonicNow());
    const auto plan = planFaults({.balancers = m_settings.fleet.balancers,
                                  .agents = m_settings.fleet.agents,
                                  .length = m_settings.length,
                                  .storeRestores = m_settings.storeRestores,
                                  .evacuations = m_settings.evacuations},
                                 m_settings.seed);
    for (const planned_fault &planned : plan)
        m_scheduled.emplace(m_trafficStart + planned.at,
                            [this, what = planned.what](time_point now) { begin(what, now); });
    m_loop.onIterationEnd([this] { tick(monotonicNow()); });
    const auto timer = m_loop.timers().subscribe(kTickInterval, [](time_point) {});
    m_loop.run();
    stopNodes();
    readRuns();
    m_checker.finish();
    outcome->counts = m_callers.counts();
    outcome->answeredInFinalTraffic = outcome->counts.answered - m_answeredBeforeFinalTraffic;
    if (outcome->answeredInFinalTraffic < kMinFinalAnswersPerCaller * m_settings.callers)
        m_checker.reportViolation(
            absl::StrCat("too few answers after the recovery, answers=", outcome->answeredInFinalTraffic));
    if (outcome->counts.wrong > 0)
        m_checker.reportViolation(absl::StrCat("wrong answers, count=", outcome->counts.wrong));
    outcome->faults = plan.size();
    outcome->violations = m_checker.violations();
    return true;
}

void soak_run::tick(time_point now)
{
    while (!m_scheduled.empty() && m_scheduled.begin()->first <= now) {
        const auto run = std::move(m_scheduled.begin()->second);
        m_scheduled.erase(m_scheduled.begin());
        run(now);
    }
    checkProcesses(now);
    const time_point faultsUntil = std::max(m_trafficStart + m_settings.length, m_lastFaultEnd);
    if (now < faultsUntil + kRecoveryTime)
        m_answeredBeforeFinalTraffic = m_callers.counts().answered;
    const time_point until = faultsUntil + kRecoveryTime + kFinalTrafficTime;
    m_callers.advance(*m_rotation, now >= m_trafficStart && now < until, now);
    for (const standin_caller_event &event : m_callers.takeEvents()) {
        const std::size_t before = m_checker.violations().size();
        m_checker.recordCallerEvent(event, now);
        if (m_checker.violations().size() > before)
            print(now, "VIOLATION " + m_checker.violations().back());
    }
    if (now >= until && m_callers.isIdle())
        m_loop.stop();
}

void soak_run::checkProcesses(time_point now)
{
    std::vector<std::string> ended;
    for (const unexpected_exit &end : m_fleet.pollExits(&ended)) {
        m_checker.reportViolation(absl::StrCat("process ended by itself, process=", end.process,
                                               " exit=", end.status.exitCode, " signal=", end.status.signal));
        print(now, "VIOLATION " + m_checker.violations().back());
    }
    for (const std::string &name : ended) {
        const auto found = m_exitHandlers.find(name);
        if (found == m_exitHandlers.end())
            continue;
        const auto run = std::move(found->second);
        m_exitHandlers.erase(found);
        run(now);
    }
}

void soak_run::schedule(duration delay, std::function<void(time_point)> run)
{
    const time_point at = monotonicNow() + delay;
    m_lastFaultEnd = std::max(m_lastFaultEnd, at);
    m_scheduled.emplace(at, std::move(run));
}

void soak_run::restartAfterExit(const std::string &process, bool isKilled, duration downtime,
                                std::function<void(time_point)> start)
{
    m_fleet.expectExit(process, isKilled);
    m_exitHandlers[process] = [this, downtime, start = std::move(start)](time_point) { schedule(downtime, start); };
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
    if (m_exitHandlers.contains(name) && what.isKilled) {
        // The node is already stopping; it is killed during its stop.
        m_checker.beginDisturbance(disturbance_kind::unplanned, name, now);
        m_fleet.expectExit(name, true);
        process.sendSignal(SIGKILL);
        return;
    }
    if (!process.isRunning() || m_exitHandlers.contains(name))
        return;
    m_checker.beginDisturbance(what.isKilled ? disturbance_kind::unplanned : disturbance_kind::planned, name, now);
    restartAfterExit(name, what.isKilled, what.downtime, [this, node = what.node, name](time_point at) {
        std::error_code reason;
        if (!m_fleet.startNode(node, &reason))
            m_checker.reportViolation(absl::StrCat("cannot start ", name, ": ", reason.message()));
        m_checker.endDisturbance(name, at);
    });
    process.sendSignal(what.isKilled ? SIGKILL : SIGTERM);
}

void soak_run::begin(const pause_node &what, time_point now)
{
    const std::string name = toString(what.node);
    m_checker.beginDisturbance(disturbance_kind::unplanned, name, now);
    m_fleet.process(name).sendSignal(SIGSTOP);
    schedule(what.length, [this, name](time_point at) {
        m_fleet.process(name).sendSignal(SIGCONT);
        m_checker.endDisturbance(name, at);
    });
}

void soak_run::begin(const reload_node &what, time_point)
{
    m_fleet.process(toString(what.node)).sendSignal(SIGHUP);
}

void soak_run::restartUpstream(std::size_t index, time_point now)
{
    std::error_code reason;
    if (!m_fleet.startUpstream(index, &reason))
        m_checker.reportViolation(absl::StrCat("cannot start an upstream: ", reason.message()));
    print(now, "started upstream " + m_fleet.upstreamId(index));
}

void soak_run::begin(const replace_upstream &what, time_point now)
{
    const std::string name = m_fleet.upstreamProcess(what.index);
    if (m_exitHandlers.contains(name) || !m_fleet.process(name).isRunning())
        return;
    // The flows of this upstream end with it, so the disturbance is never ended.
    m_checker.beginDisturbance(disturbance_kind::upstream, m_fleet.upstreamId(what.index), now);
    if (what.isKilled)
        m_checker.beginDisturbance(disturbance_kind::unplanned, name, now);
    restartAfterExit(name, what.isKilled, kUpstreamRestartDelay, [this, index = what.index, name](time_point at) {
        restartUpstream(index, at);
        m_checker.endDisturbance(name, at);
    });
    m_fleet.process(name).sendSignal(what.isKilled ? SIGKILL : SIGTERM);
}

void soak_run::begin(const disturb_store &what, time_point now)
{
    m_checker.beginDisturbance(disturbance_kind::store, "store", now);
    m_proxy.setMode(what.mode);
    schedule(what.length, [this](time_point at) {
        m_proxy.setMode(proxy_mode::pass);
        m_checker.endDisturbance("store", at);
    });
}

void soak_run::begin(const restore_store &what, time_point)
{
    if (!postToStore(m_fleet.storeAddress(), "/admin/copy"))
        m_checker.reportViolation("the store stand-in did not make a copy");
    schedule(what.age, [this](time_point at) {
        m_checker.beginDisturbance(disturbance_kind::store, "restore", at);
        if (!postToStore(m_fleet.storeAddress(), "/admin/restore"))
            m_checker.reportViolation("the store stand-in was not restored");
        if (!platform::writeRoute(m_fleet.storeAddress(), m_routesVersion, m_service, false))
            m_checker.reportViolation("the store stand-in did not confirm a route");
        writeEvacuationsAgain();
        m_checker.endDisturbance("restore", monotonicNow());
    });
}

void soak_run::begin(const change_route &what, time_point)
{
    const std::string service = serviceName(what.service);
    m_service = service;
    if (!platform::writeRoute(m_fleet.storeAddress(), ++m_routesVersion, service, false))
        m_checker.reportViolation("the store stand-in did not confirm a route");
    m_checker.recordRoute(service, monotonicNow());
}

void soak_run::begin(const lose_packets &what, time_point now)
{
    const std::string subject = absl::StrCat("loss", ++m_lossFaults);
    m_checker.beginDisturbance(disturbance_kind::unplanned, subject, now);
    m_callers.setPacketLoss(what.share);
    schedule(what.length, [this, subject](time_point at) {
        m_callers.setPacketLoss(0);
        m_checker.endDisturbance(subject, at);
    });
}

// Nodes must stop within kStopTimeout with exit code 0.
void soak_run::stopNodes()
{
    for (const node_name &node : m_fleet.nodes()) {
        m_fleet.expectExit(toString(node), false);
        m_fleet.process(toString(node)).sendSignal(SIGTERM);
    }
    const time_point until = monotonicNow() + kStopTimeout;
    std::size_t left = m_fleet.nodes().size();
    while (left > 0 && monotonicNow() < until) {
        std::vector<std::string> ended;
        for (const unexpected_exit &end : m_fleet.pollExits(&ended))
            m_checker.reportViolation(absl::StrCat("stop failed, process=", end.process, " exit=", end.status.exitCode,
                                                   " signal=", end.status.signal));
        left -= std::min(left, ended.size());
        std::this_thread::sleep_for(kStopPollInterval);
    }
    if (left > 0)
        m_checker.reportViolation(absl::StrCat("nodes did not stop in time, count=", left));
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
            m_checker.recordRun(line.substr(from, serviceAt - from), line.substr(serviceAt + serviceMark.size()));
        }
    }
}

} // namespace citroncrank::soak
