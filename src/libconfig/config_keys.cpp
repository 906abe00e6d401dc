#include "citroncrank/config_document.h"

#include "config_text_pvt.h"

#include <algorithm>
#include <array>

namespace citroncrank {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint8_t kNodeScopes = scope_domain | scope_host;
constexpr std::uint8_t kServiceScopes = kNodeScopes | scope_service;
constexpr std::uint8_t kFlowScopes = kServiceScopes | scope_class;

key_spec count(std::string_view name, std::string_view unit, std::int64_t low, std::int64_t high, std::int64_t fallback,
               std::uint8_t scopes, std::string_view description)
{
    return {name, value_type::count, unit, low, high, fallback, scopes, description};
}

key_spec bytes(std::string_view name, std::int64_t low, std::int64_t high, std::int64_t fallback, std::uint8_t scopes,
               std::string_view description)
{
    return {name, value_type::bytes, "bytes", low, high, fallback, scopes, description};
}

key_spec ratio(std::string_view name, double low, double high, double fallback, std::uint8_t scopes,
               std::string_view description)
{
    return {name, value_type::ratio, "ratio", low, high, fallback, scopes, description};
}

key_spec span(std::string_view name, duration low, duration high, duration fallback, std::uint8_t scopes,
              std::string_view description)
{
    return {name, value_type::time_span, "time", low, high, fallback, scopes, description};
}

std::vector<key_spec> admissionKeys()
{
    return {
        // Weights instead of percentages, so that an exception for one class cannot make the sum invalid. The lower
        // bound of 1 prevents starvation of a class.
        count("admission.bulk-weight", "parts", 1, 1000, 20, kServiceScopes,
              "Weight of class bulk; its reserved share is its weight divided by the sum of all three."),
        count("admission.normal-weight", "parts", 1, 1000, 30, kServiceScopes, "Weight of class normal."),
        count("admission.urgent-weight", "parts", 1, 1000, 50, kServiceScopes, "Weight of class urgent."),
        count("admission.queue-limit", "reservations", 0, 65'535, 64, kServiceScopes,
              "Reservations queued at one agent before it refuses further opens."),
        span("admission.warm-up", seconds(0), hours(1), seconds(30), kServiceScopes,
             "Time over which the slots of a cold upstream are made available gradually."),
        span("agent.health-period", milliseconds(100), minutes(1), seconds(1), kServiceScopes,
             "Time between two health checks of the upstream."),
        count("agent.health-failures", "checks", 1, 100, 3, kServiceScopes,
              "Consecutive failed health checks after which the upstream takes no new flow."),
        span("agent.offer-timeout", milliseconds(50), minutes(1), seconds(1), kServiceScopes,
             "Time after which an offer that was not bound is withdrawn."),
        span("agent.withdrawn-memory", seconds(1), hours(1), minutes(1), kServiceScopes,
             "Time an agent keeps a withdrawn offer, so that it can answer a later bind with \"not run\"."),
    };
}

std::vector<key_spec> flowKeys()
{
    return {
        span("flow.edge-silence", seconds(5), hours(1), minutes(1), kServiceScopes,
             "Time without an acknowledgement after which the peer of a flow is considered lost."),
        span("flow.idle-probe", minutes(1), hours(24), minutes(30), kFlowScopes,
             "Time without frames after which an idle open flow is probed."),
        count("flow.open-fan-out", "agents", 1, 16, 5, kFlowScopes,
              "Agents at which one flow may wait for a slot at the same time."),
        span("flow.retransmit-first", milliseconds(5), seconds(10), milliseconds(200), kFlowScopes,
             "Retransmission timeout until a round-trip time has been measured."),
        span("flow.retransmit-highest", milliseconds(100), minutes(1), seconds(2), kFlowScopes,
             "Upper bound of the retransmission timeout."),
        span("flow.retransmit-lowest", milliseconds(1), seconds(1), milliseconds(30), kFlowScopes,
             "Lower bound of the retransmission timeout."),
        bytes("flow.window", 65'536, 16 << 20, 262'144, kFlowScopes,
              "Unacknowledged bytes of one direction of a flow."),
    };
}

std::vector<key_spec> routingKeys()
{
    return {
        ratio("retry.budget", 0.0, 1.0, 0.1, kNodeScopes, "Retries allowed per successful request."),
        count("retry.burst", "retries", 0, 10'000, 10, kNodeScopes, "Retries allowed before any success."),
        span("routing.load-hint-age", milliseconds(10), minutes(1), seconds(2), kNodeScopes,
             "Age above which a load hint is ignored."),
    };
}

std::vector<key_spec> allKeys()
{
    std::vector<key_spec> keys = admissionKeys();
    for (const auto &more : {flowKeys(), routingKeys()})
        keys.insert(keys.end(), more.begin(), more.end());
    std::sort(keys.begin(), keys.end(), [](const auto &a, const auto &b) { return a.name < b.name; });
    return keys;
}

std::string scopeNames(std::uint8_t scopes)
{
    std::string out;
    const auto addPart = [&](scope_part part, std::string_view name) {
        if ((scopes & part) != 0)
            append(&out, out.empty() ? "" : ", ", name);
    };
    addPart(scope_host, "host");
    addPart(scope_service, "service");
    addPart(scope_class, "class");
    addPart(scope_domain, "domain");
    return out;
}

} // namespace

const char *toString(value_type type)
{
    static constexpr std::array<const char *, 4> kNames{"count", "bytes", "ratio", "time span"};
    return kNames[std::size_t(type)];
}

const std::vector<key_spec> &configKeys()
{
    static const std::vector<key_spec> kKeys = allKeys();
    return kKeys;
}

const key_spec *findKey(std::string_view name)
{
    const auto &keys = configKeys();
    const auto found = std::lower_bound(keys.begin(), keys.end(), name,
                                        [](const auto &spec, auto wanted) { return spec.name < wanted; });
    return found != keys.end() && found->name == name ? &*found : nullptr;
}

std::string describeKeys()
{
    std::string out = "| key | type | unit | default | lowest | highest | exceptions by | description |\n"
                      "| --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (const auto &spec : configKeys())
        append(&out, "| `", spec.name, "` | ", toString(spec.type), " | ", spec.unit, " | ", formatValue(spec.fallback),
               " | ", formatValue(spec.lowest), " | ", formatValue(spec.highest), " | ", scopeNames(spec.scopes), " | ",
               spec.description, " |\n");
    return out;
}

} // namespace citroncrank
