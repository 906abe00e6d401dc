#include "soak_run.h"

#include "citroncrank/http_connection.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/json.hpp>
#include <chrono>
#include <sstream>
#include <string_view>
#include <utility>

namespace citroncrank::soak {

namespace {

namespace json = boost::json;

constexpr unsigned kStatusOk = 200;
constexpr const char *kEvacuationsPath = "/-/objects/evacuations";
// A node that was paused or is restarting does not answer, and is not checked.
constexpr std::chrono::milliseconds kNodeDeadline{200};
constexpr std::chrono::milliseconds kStoreDeadline{5000};

std::optional<std::string> call(const host_address &to, std::chrono::milliseconds deadline, const http_call &request)
{
    http_connection connection({to, deadline});
    http_call_failure failure = http_call_failure::not_sent;
    const auto answer = connection.call(request, &failure);
    return answer && answer->status == kStatusOk ? std::optional(answer->body) : std::nullopt;
}

} // namespace

// Does nothing if the store is in that state already, as after a restore.
bool soak_run::writeEvacuation(std::size_t domain, bool isEvacuated) const
{
    const std::string name = domainName(domain);
    const std::string path = absl::StrCat(kEvacuationsPath, "/", name);
    const auto written = call(m_fleet.storeAddress(), kStoreDeadline, {"GET", path, "", {}, true});
    if (written.has_value() == isEvacuated)
        return true;
    if (isEvacuated) {
        const json::object object{{"meta", json::object{{"name", name}}}, {"spec", json::object{}}};
        return call(m_fleet.storeAddress(), kStoreDeadline,
                    {"POST", kEvacuationsPath, json::serialize(object), {}, false})
            .has_value();
    }
    const auto revision = json::parse(*written).at("meta").at("revision").to_number<std::uint64_t>();
    return call(m_fleet.storeAddress(), kStoreDeadline,
                {"DELETE", absl::StrCat(path, "?revision=", revision), "", {}, false})
        .has_value();
}

void soak_run::writeEvacuationsAgain() const
{
    for (const auto &[domain, current] : m_evacuations)
        writeEvacuation(domain, current.isWritten);
}

std::optional<std::uint64_t> soak_run::openedAt(const node_name &agent) const
{
    const auto body = call(m_fleet.httpAddress(agent), kNodeDeadline, {"GET", "/metrics", "", {}, true});
    if (!body)
        return std::nullopt;
    std::istringstream lines(*body);
    for (std::string line; std::getline(lines, line);) {
        const std::string_view name = "citroncrank_agent_decisions{decision=\"opened\"} ";
        double value = 0;
        if (line.starts_with(name) && absl::SimpleAtod(line.substr(name.size()), &value))
            return std::uint64_t(value);
    }
    return std::nullopt;
}

void soak_run::begin(const evacuate_domain &what, time_point now)
{
    evacuation &current = m_evacuations[what.domain];
    const std::uint64_t turn = ++current.turn;
    if (!current.isWritten) {
        if (!writeEvacuation(what.domain, true))
            m_checker.reportViolation("the store stand-in did not confirm an evacuation");
        current.isWritten = true;
        current.writtenAt = now;
        schedule(kEvacuationTime, [this, domain = what.domain, now](time_point) { checkEvacuation(domain, now); });
    }
    schedule(what.length, [this, domain = what.domain, turn](time_point) { endEvacuation(domain, turn); });
}

// Remembers the counts, unless no node could hear of the evacuation from the store in time.
void soak_run::checkEvacuation(std::size_t domain, time_point written)
{
    if (m_checker.wasStoreDisturbed(written - kEvacuationTime, monotonicNow()))
        return;
    for (const node_name &node : m_fleet.nodes()) {
        if (node.kind != node_kind::agent || m_fleet.domainOf(node) != domain)
            continue;
        if (const auto opened = openedAt(node))
            m_evacuations[domain].openedBefore[node] = *opened;
    }
}

// An agent that restarted meanwhile counts from 0.
void soak_run::endEvacuation(std::size_t domain, std::uint64_t turn)
{
    evacuation &current = m_evacuations[domain];
    if (current.turn != turn)
        return; // Another evacuation of the domain goes on.
    const time_point now = monotonicNow();
    for (const auto &[node, before] : std::exchange(current.openedBefore, {})) {
        const auto opened = openedAt(node);
        const bool isLost = m_checker.wasStoreDisturbed(current.writtenAt, now, "restore");
        if (!opened || *opened == before || *opened == 0 || isLost)
            continue;
        m_checker.reportViolation(absl::StrCat("flows opened in an evacuated domain, agent=", toString(node),
                                               " before=", before, " after=", *opened));
        print(now, "VIOLATION " + m_checker.violations().back());
    }
    if (!writeEvacuation(domain, false))
        m_checker.reportViolation("the store stand-in did not confirm the end of an evacuation");
    current.isWritten = false;
}

} // namespace citroncrank::soak
