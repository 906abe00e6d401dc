#include "citroncrank/node_process.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <csignal>
#include <utility>

namespace citroncrank {

namespace {

constexpr duration kMaxEventWait{100'000};
constexpr duration kMetricsPeriod{500'000};
/// Settings are evaluated again at this period, so that an expired exception loses its effect within it.
constexpr duration kConfigRefreshPeriod{1'000'000};
constexpr std::size_t kTrailCapacity = 20'000; // about 2 MB
/// Time for the leave announcement to reach the other members.
constexpr duration kLeaveDelay{500'000};

std::atomic<bool> &stopFlag()
{
    static std::atomic<bool> flag{false};
    return flag;
}

net_settings netSettings(const node_settings &settings)
{
    net_settings net;
    net.keys = settings.keys;
    return net;
}

} // namespace

const std::atomic<bool> &stopOnSignals()
{
    const auto handler = [](int) { stopFlag() = true; };
    std::signal(SIGTERM, handler);
    std::signal(SIGINT, handler);
    std::signal(SIGPIPE, SIG_IGN);
    return stopFlag();
}

bool isStopRequested()
{
    return stopFlag();
}

node_process::node_process(node_settings settings, member_record local, const std::string &component)
    : m_settings(std::move(settings))
    , m_local(std::move(local))
    , m_network(netSettings(m_settings))
    , m_trail(kTrailCapacity)
    , m_log(component)
    , m_operators([this] { m_network.events().tryPush(wake_up{}); },
                  [this](const operator_request &request) { return answerOperator(request, monotonicNow()); })
{
    m_local.name = m_settings.name;
    m_local.region = m_settings.region;
    m_local.domain = m_settings.domain;
    m_local.httpPort = m_settings.http.port;
    m_local.incarnation = std::uint64_t(wallNow().time_since_epoch().count());
}

node_process::~node_process() = default;

bool node_process::listen(std::error_code *lastReason)
{
    const auto bound = m_network.listenForHops(m_settings.listen, lastReason);
    if (!bound)
        return false;
    m_local.address = *bound;
    frame greeting;
    greeting.flowClass = flow_class::urgent;
    greeting.owner = {memberNodeId(m_local), m_local.incarnation, m_local.address};
    greeting.body = hello_body{m_local.name};
    m_network.setGreeting(std::move(greeting));
    return startEndpoint(lastReason);
}

bool node_process::startEndpoint(std::error_code *lastReason)
{
    m_endpoint = std::make_unique<http_endpoint>(http_endpoint_settings{.address = m_settings.http}, m_metrics, [this] {
        const std::lock_guard lock(m_readinessMutex);
        return m_notReadyReasons;
    });
    const auto submit = [this](const http_request &request) {
        auto reply = m_operators.submit({request.method, request.path, request.body});
        return http_reply{reply.status, "application/json", std::move(reply.body), {}};
    };
    for (const char *path : {"/status", "/explain", "/flows"})
        m_endpoint->handle("GET", path, submit);
    for (const char *path : {"/drain", "/flows", "/upgrade"})
        m_endpoint->handle("POST", path, submit);
    const auto failure = m_endpoint->start();
    if (failure)
        *lastReason = std::error_code(failure->systemError, std::system_category());
    return !failure;
}

void node_process::run(const std::atomic<bool> &stopping)
{
    m_network.start();
    m_fleet = std::make_unique<fleet_node>(fleet_node_settings{.local = m_local,
                                                               .platform = m_settings.platform,
                                                               .seeds = m_settings.seeds,
                                                               .seed = hashString(m_local.name, m_local.incarnation)},
                                           m_network, monotonicNow());
    m_metricsTimer = m_timers.subscribe(kMetricsPeriod, [this](time_point) {
        updateMetrics();
        exportNetworkMetrics();
    });
    m_configRefreshTimer = m_timers.subscribe(kConfigRefreshPeriod, [this](time_point now) {
        if (m_revision)
            onConfig(*m_revision, now);
    });
    m_log.info(absl::StrCat("started, name=", m_local.name, " domain=", m_local.domain,
                            " listen=", toString(m_local.address)));
    std::optional<time_point> leaveUntil;
    while (!leaveUntil || monotonicNow() < *leaveUntil) {
        const auto now = monotonicNow();
        if (stopping && !m_shutdownStarted) {
            m_shutdownStarted = true;
            m_log.info(absl::StrCat("graceful shutdown begins, open_flows=", openFlows()));
            beginShutdown(now);
        }
        if (m_shutdownStarted && !leaveUntil && isShutdownComplete(now)) {
            m_fleet->leave(now);
            leaveUntil = now + kLeaveDelay;
        }
        handleEvents(now);
    }
    stopEndpoint();
    m_fleet.reset();
    m_network.stop();
    m_log.info("stopped");
}

void node_process::dispatchEvents(time_point now)
{
    for (auto &event : m_events) {
        if (!m_fleet->onEvent(event, now))
            onEvent(std::move(event), now);
    }
}

void node_process::dispatchPendingEvents(time_point now)
{
    m_events.clear();
    m_network.events().drain(&m_events, time_point());
    dispatchEvents(now);
}

// The endpoint's thread may wait for replies of this thread, which gives none meanwhile.
void node_process::stopEndpoint()
{
    const auto begin = monotonicNow();
    m_operators.close();
    const std::size_t unfinished = m_endpoint->stop();
    m_endpoint.reset();
    m_log.info(absl::StrCat("operators' HTTP endpoint stopped, took_ms=", wholeMilliseconds(monotonicNow() - begin),
                            " unfinished_requests=", unfinished));
}

void node_process::restartEndpoint()
{
    m_operators.open();
    std::error_code reason;
    if (!startEndpoint(&reason))
        m_log.error(absl::StrCat("cannot restart the operators' HTTP endpoint: ", reason.message()));
}

void node_process::handleEvents(time_point now)
{
    m_events.clear();
    m_network.events().drain(&m_events, nextWakeTime(now));
    const auto wakeTime = monotonicNow();
    dispatchEvents(wakeTime);
    m_fleet->onTick(wakeTime);
    onTick(wakeTime);
    applyFleetChanges(wakeTime);
    m_timers.runDue(wakeTime);
    m_operators.serve();
    runActions(wakeTime);
    publishReadiness();
    afterEvents(wakeTime);
}

void node_process::publishReadiness()
{
    auto reasons = notReadyReasons();
    if (!m_fleet->config().isReady())
        reasons.emplace_back("configuration not known yet");
    if (m_fleet->hasNameConflict())
        reasons.emplace_back("another process uses the name of this node");
    if (m_shutdownStarted)
        reasons.emplace_back("shutting down");
    // Only this thread writes m_notReadyReasons, so reading it here needs no lock.
    if (reasons == m_notReadyReasons)
        return;
    const std::lock_guard lock(m_readinessMutex);
    m_notReadyReasons = std::move(reasons);
}

time_point node_process::nextWakeTime(time_point now) const
{
    auto wake = std::min(now + kMaxEventWait, m_fleet->nextDeadline());
    if (const auto next = nextDeadline())
        wake = std::min(wake, *next);
    if (const auto due = m_timers.nextDue())
        wake = std::min(wake, *due);
    return wake;
}

void node_process::applyFleetChanges(time_point now)
{
    const store_era before = std::exchange(m_platformEra, m_fleet->platformEra());
    if (before != 0 && before != m_platformEra)
        m_log.info(absl::StrCat("platform came back from an older copy, era=", m_platformEra, " before=", before,
                                " revision=", m_fleet->config().currentNumber()));
    if (m_fleet->takeMembersChanged())
        onMembersChanged();
    if (auto applied = m_fleet->takeAppliedRevision()) {
        m_revision = std::move(applied);
        m_log.info(absl::StrCat("configuration in force, revision=", m_revision->number, " author=", m_revision->author,
                                " change=", m_revision->changeId));
        onConfig(*m_revision, now);
    }
}

void node_process::recordDecision(const flow_id &flow, trail_entry entry)
{
    entry.when = wallNow();
    m_trail.add(flow, std::move(entry));
}

operator_reply node_process::answerOperator(const operator_request &request, time_point now)
{
    constexpr std::string_view kExplain = "/explain/";
    if (request.path == "/status") {
        auto status = describeNode(*m_fleet, openFlows(), m_notReadyReasons.empty());
        addStatus(&status);
        return jsonReply(status);
    }
    if (request.path.starts_with(kExplain))
        return explainFlow(m_trail, m_local, request.path.substr(kExplain.size()));
    return onOperator(request, now);
}

void node_process::exportNetworkMetrics()
{
    const auto &counters = m_network.counters();
    const auto set = [this](const char *metric, const char *help, double value) {
        m_metrics.gauge(metric, help).set(value);
    };
    set("citroncrank_frames_in", "Frames received since the start.", double(counters.framesIn));
    set("citroncrank_frames_out", "Frames queued for sending since the start.", double(counters.framesOut));
    set("citroncrank_frames_dropped", "Frames dropped for a full queue or a closed hop since the start.",
        double(counters.framesDropped));
    set("citroncrank_hops_open", "Open hops.", double(counters.hopsOpen));
    set("citroncrank_hops_silent", "Hops closed because they went silent since the start.",
        double(counters.hopsSilent));
    set("citroncrank_streams_open", "Open TCP streams of callers or of the upstream.", double(counters.streamsOpen));
    set("citroncrank_membership_bytes_out", "Membership bytes sent since the start.",
        double(counters.datagramBytesOut));
    set("citroncrank_config_revision", "Configuration revision in force.", double(m_fleet->config().currentNumber()));
    set("citroncrank_members_reachable", "Members that this node reaches.",
        double(m_fleet->members().reachableCount()));
    set("citroncrank_store_era", "Times that the platform came back from an older copy, as it tells in its answers.",
        double(m_fleet->platformEra()));
    set("citroncrank_config_conflicts",
        "Revisions whose number the platform gave out again before they were written back, since the start.",
        double(m_fleet->config().lostRevisions().conflicts()));
    set("citroncrank_platform_calls", "Calls to the platform since the start.", double(m_fleet->platformCalls()));
    for (int i = 0; i < kDecodeErrorCount; ++i) {
        m_metrics
            .gauge("citroncrank_frame_errors", "Frames refused by the decoder since the start.",
                   {{"reason", toString(decode_error(i))}})
            .set(double(counters.decodeErrors[std::size_t(i)]));
    }
}

} // namespace citroncrank
