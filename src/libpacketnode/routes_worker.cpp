#include "citroncrank/routes_worker.h"

#include "documents.h"
#include "watch_cursor_pvt.h"

#include <absl/strings/str_cat.h>
#include <chrono>
#include <utility>

namespace citroncrank {

namespace {

using std::chrono::milliseconds;

// A watch may miss a change without notice, also at all balancers at once while the store drops its history. Only the next call
// then reads it.
constexpr milliseconds kConfigWatchWait{1500};
// A configuration is in force everywhere within this time of its confirmation.
constexpr milliseconds kConfigBound{3000};
static_assert(kConfigWatchWait + kStoreCallDeadline < kConfigBound);
constexpr duration kPeerCheckPeriod = milliseconds(250);
// How long a node waits for its own watch before it asks another balancer for a version.
constexpr duration kPeerPatience = milliseconds(300);
constexpr milliseconds kPeerCallDeadline{500};
constexpr const char *kRoutesPath = "/routes";

std::optional<std::string> fetchRoutes(const host_address &peer)
{
    http_connection connection({peer, kPeerCallDeadline});
    http_call_failure failure = http_call_failure::not_sent;
    auto answer = connection.call({"GET", kRoutesPath, "", {}, true}, &failure);
    constexpr unsigned kStatusOk = 200;
    if (!answer || answer->status != kStatusOk)
        return std::nullopt;
    return std::move(answer->body);
}

} // namespace

routes_worker::routes_worker(const host_address &store, receiver receive, fallback peer, store_log log)
    : store_worker("configuration", store, std::move(log))
    , m_receive(std::move(receive))
    , m_peer(std::move(peer))
{}

routes_worker::~routes_worker()
{
    stop();
}

std::optional<duration> routes_worker::step()
{
    return cursor().from() ? wait() : read();
}

std::optional<duration> routes_worker::read()
{
    platform_failure reason = platform_failure::unavailable;
    const auto list = store().list({.prefix = platform::kConfigPrefix, .after = {}}, &reason);
    const duration pause = noteCall(list.has_value(), reason);
    if (!list) {
        askPeer();
        return pause;
    }
    for (const object_entry &entry : list->entries) {
        if (entry.key == platform::kConfigKey && entry.value)
            take(*entry.value);
    }
    cursor().listed(list->version);
    return duration(0);
}

std::optional<duration> routes_worker::wait()
{
    duration pause{0};
    const auto result = awaitChanges(platform::kConfigPrefix, kConfigWatchWait, &pause);
    if (!result)
        return pause;
    for (const object_change &change : result->changes) {
        if (change.key == platform::kConfigKey && change.value)
            take(*change.value);
    }
    return duration(0);
}

void routes_worker::take(const std::string &text)
{
    platform::document_fault fault;
    auto routes = platform::parseRoutes(text, &fault);
    if (!routes) {
        log(absl::StrCat("configuration cannot be used, reason=", fault.what));
        return;
    }
    m_receive(std::move(routes), text);
}

void routes_worker::askPeer()
{
    const auto offer = m_peer();
    if (!offer)
        return;
    if (const auto text = fetchRoutes(offer->http)) {
        log(absl::StrCat("routes read from a balancer, balancer=", toString(offer->http), " version=", offer->version));
        take(*text);
    }
}

peer_routes_worker::peer_routes_worker(routes_worker::receiver receive, routes_worker::fallback peer, store_log log)
    : m_receive(std::move(receive))
    , m_peer(std::move(peer))
    , m_log(std::move(log))
{}

std::optional<duration> peer_routes_worker::step()
{
    const auto offer = m_peer();
    if (!std::exchange(m_isMissing, offer.has_value()))
        return offer ? kPeerPatience : kPeerCheckPeriod;
    if (offer)
        fetch(*offer);
    m_isMissing = false;
    return kPeerCheckPeriod;
}

void peer_routes_worker::fetch(const routes_offer &offer)
{
    const auto text = fetchRoutes(offer.http);
    platform::document_fault fault{"no answer"};
    auto routes = text ? platform::parseRoutes(*text, &fault) : nullptr;
    if (!routes) {
        m_log(absl::StrCat("routes of a balancer cannot be read, balancer=", toString(offer.http),
                           " reason=", fault.what));
        return;
    }
    m_log(absl::StrCat("routes read from a balancer, balancer=", toString(offer.http), " version=", routes->version));
    m_receive(std::move(routes), *text);
}

} // namespace citroncrank
