#include "citroncrank/routes_worker.h"

#include "citroncrank/timer_service.h"
#include "documents.h"
#include "watch_cursor_pvt.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <chrono>
#include <initializer_list>
#include <utility>

namespace citroncrank {

namespace {

using std::chrono::milliseconds;

constexpr bool areWithinLimit(std::initializer_list<milliseconds> limits)
{
    return std::all_of(limits.begin(), limits.end(),
                       [](milliseconds limit) { return isWithinLimit(watchTimingFor(limit), limit); });
}
static_assert(areWithinLimit({std::chrono::duration_cast<milliseconds>(kMinWatchLimit), milliseconds(1800),
                              milliseconds(2700), kDefaultConfigurationTime, milliseconds(5000),
                              milliseconds(60'000)}));
// setWatching() ends this wait.
constexpr duration kIdleWait = std::chrono::seconds(60);
constexpr duration kPeerCheckPeriod = milliseconds(250);
// Gives the own watch time to return a new version before it is fetched from another balancer.
constexpr duration kPeerDelay = milliseconds(300);
constexpr const char *kRoutesPath = "/routes";

} // namespace

peer_routes_reader::peer_routes_reader(routes_receiver receive, peer_routes_access peers, store_log log,
                                       milliseconds maxDeadline)
    : m_receive(std::move(receive))
    , m_peers(std::move(peers))
    , m_log(std::move(log))
    , m_maxDeadline(maxDeadline)
{}

void peer_routes_reader::interrupt()
{
    const std::lock_guard lock(m_mutex);
    m_isInterrupted = true;
    if (m_connection != nullptr)
        m_connection->stop();
}

std::optional<std::string> peer_routes_reader::fetch(const host_address &peer)
{
    http_connection connection({.address = peer, .callDeadline = m_deadline});
    {
        const std::lock_guard lock(m_mutex);
        if (m_isInterrupted)
            return std::nullopt;
        m_connection = &connection;
    }
    http_call_failure failure = http_call_failure::not_sent;
    auto answer = connection.call({"GET", kRoutesPath, "", {}, true}, &failure);
    const std::lock_guard lock(m_mutex);
    m_connection = nullptr;
    constexpr unsigned kStatusOk = 200;
    if (!answer || answer->status != kStatusOk)
        return std::nullopt;
    return std::move(answer->body);
}

// A balancer that has restarted may hold older routes than it announced.
std::optional<peer_routes_reader::fetched_routes> peer_routes_reader::fetchAnnounced(const routes_source &source,
                                                                                     std::string *lastReason)
{
    auto text = fetch(source.http);
    if (!text) {
        *lastReason = "no answer";
        return std::nullopt;
    }
    platform::document_fault fault;
    auto routes = platform::parseRoutes(*text, &fault);
    if (!routes) {
        *lastReason = fault.what;
        return std::nullopt;
    }
    if (routes->version < source.version) {
        *lastReason = absl::StrCat("older than announced, read=", routes->version);
        return std::nullopt;
    }
    return fetched_routes{std::move(routes), std::move(*text)};
}

void peer_routes_reader::read()
{
    const auto source = m_peers.source();
    if (!source)
        return;
    const time_point calledAt = monotonicNow();
    std::string reason;
    auto fetched = fetchAnnounced(*source, &reason);
    const auto waitedMs = wholeMilliseconds(monotonicNow() - calledAt);
    m_deadline = fetched ? kPeerCallDeadline : std::min(2 * m_deadline, m_maxDeadline);
    if (!fetched) {
        m_log(absl::StrCat("cannot read routes from balancer, balancer=", toString(source->http),
                           " version=", source->version, " reason=", reason, " waited_ms=", waitedMs));
        m_peers.fail(*source);
        return;
    }
    m_log(absl::StrCat("routes read from a balancer, balancer=", toString(source->http), " version=",
                       fetched->routes->version, " bytes=", fetched->text.size(), " waited_ms=", waitedMs));
    m_receive(std::move(fetched->routes), std::move(fetched->text));
}

routes_worker::routes_worker(const store_access &access, receiver receive, confirmation_receiver confirm,
                             peer_routes_access peers, const watch_timing &timing)
    : store_worker("configuration", access, timing.callDeadline)
    , m_receive(receive)
    , m_confirm(std::move(confirm))
    , m_peerReader(std::move(receive), std::move(peers), [this](const std::string &text) { log(text); })
    , m_wait(timing.wait)
{}

routes_worker::~routes_worker()
{
    stop();
}

void routes_worker::interrupt()
{
    store_worker::interrupt();
    m_peerReader.interrupt();
}

std::optional<duration> routes_worker::step()
{
    if (takeLaterEra())
        cursor().invalidate();
    if (!cursor().from())
        return listConfig();
    if (!m_isWatching) {
        m_wasIdle = true;
        return kIdleWait;
    }
    // A watch would answer late if nothing has changed.
    return std::exchange(m_wasIdle, false) ? listConfig() : watchConfig();
}

void routes_worker::setWatching(bool isWatching)
{
    if (m_isWatching.exchange(isWatching) != isWatching && isWatching)
        wake();
}

std::optional<duration> routes_worker::listConfig()
{
    const time_point calledAt = monotonicNow();
    platform_failure reason = platform_failure::unavailable;
    const auto list = store().list({.prefix = platform::kConfigPrefix, .after = {}}, &reason);
    const duration pause = recordCall(list.has_value(), reason);
    if (!list) {
        m_peerReader.read();
        return pause;
    }
    m_storedVersion = list->unreadable == 0 ? std::optional(std::uint64_t(0)) : std::nullopt;
    for (const object_entry &entry : list->entries) {
        if (entry.key == platform::kConfigKey && entry.value)
            m_storedVersion = applyDocument(*entry.value);
    }
    cursor().recordListing(list->version);
    log(absl::StrCat("configuration read, revision=", toString(list->version),
                     " version=", m_storedVersion.value_or(0)));
    confirm(calledAt);
    return pauseAfterRefusal();
}

// A watch may end without a change that came while it waited, so it shows only what the store held when it began: an
// earlier change would have been returned at once.
std::optional<duration> routes_worker::watchConfig()
{
    const time_point calledAt = monotonicNow();
    duration pause{0};
    const auto result = awaitChanges(platform::kConfigPrefix, m_wait, &pause);
    if (!result)
        return pause;
    if (result->unreadable > 0) { // Perhaps the configuration, which a list shows.
        m_storedVersion = std::nullopt;
        cursor().invalidate();
    }
    for (const object_change &change : result->changes) {
        if (change.key != platform::kConfigKey || !change.value)
            continue;
        m_storedVersion = applyDocument(*change.value);
        log(absl::StrCat("configuration changed, revision=", toString(change.version), " version=",
                         m_storedVersion.value_or(0), " waited_ms=", wholeMilliseconds(monotonicNow() - calledAt)));
    }
    confirm(calledAt);
    return pauseAfterRefusal();
}

// The store would not report the same change again.
duration routes_worker::pauseAfterRefusal()
{
    if (!std::exchange(m_isRefused, false))
        return duration(0);
    cursor().invalidate();
    return kFirstStoreRetryDelay;
}

// A configuration that cannot be read may be newer than the one in force.
void routes_worker::confirm(time_point at) const
{
    if (m_storedVersion)
        m_confirm({at, *m_storedVersion});
}

std::optional<std::uint64_t> routes_worker::applyDocument(const std::string &text)
{
    platform::document_fault fault;
    auto routes = platform::parseRoutes(text, &fault);
    if (!routes) {
        log(absl::StrCat("configuration is invalid, kind=", platform::toString(fault.kind), " reason=", fault.what));
        countMalformed("configuration");
        return std::nullopt;
    }
    const std::uint64_t version = routes->version;
    if (m_receive(std::move(routes), text))
        return version;
    log(absl::StrCat("configuration not taken over, the event loop is busy, version=", version));
    m_isRefused = true;
    return std::nullopt;
}

peer_routes_worker::peer_routes_worker(const routes_receiver &receive, const peer_routes_access &peers,
                                       const store_log &log)
    : m_peers(peers)
    , m_reader(receive, peers, log, kMaxPeerCallDeadline)
{}

std::optional<duration> peer_routes_worker::step()
{
    const bool isBehind = m_peers.source().has_value();
    const bool isUrgent = m_isUrgent.exchange(false);
    if (!std::exchange(m_wasBehind, isBehind) && !isUrgent)
        return isBehind ? kPeerDelay : kPeerCheckPeriod;
    m_reader.read();
    m_wasBehind = false;
    return kPeerCheckPeriod;
}

void peer_routes_worker::fetchNow()
{
    m_isUrgent = true;
    wake();
}

} // namespace citroncrank
