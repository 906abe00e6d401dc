#include "citroncrank/standin_platform.h"

#include <boost/json.hpp>

namespace citroncrank {

namespace json = boost::json;

namespace {

bool readMilliseconds(const json::object &source, const char *name, std::chrono::milliseconds *target)
{
    const auto *value = source.if_contains(name);
    if (value == nullptr)
        return true;
    if (!value->is_int64() || value->get_int64() < 0)
        return false;
    *target = std::chrono::milliseconds(value->get_int64());
    return true;
}

bool readCount(const json::object &source, const char *name, std::uint32_t *target)
{
    const auto *value = source.if_contains(name);
    if (value == nullptr)
        return true;
    if (!value->is_int64() || value->get_int64() < 0 || value->get_int64() > UINT32_MAX)
        return false;
    *target = std::uint32_t(value->get_int64());
    return true;
}

bool readFlag(const json::object &source, const char *name, bool *target)
{
    const auto *value = source.if_contains(name);
    if (value == nullptr)
        return true;
    if (!value->is_bool())
        return false;
    *target = value->get_bool();
    return true;
}

} // namespace

void standin_platform::handleAdmin(const exchange_pointer &exchange)
{
    const standin_request &request = exchange->request();
    if (request.path == "/admin/counts" && request.method == "GET") {
        exchange->respond({.body = countsAsJson()});
    } else if (request.path == "/admin/switches" && request.method == "GET") {
        exchange->respond({.body = switchesAsJson()});
    } else if (request.path == "/admin/switches" && request.method == "POST") {
        const bool isApplied = applySwitches(request.body);
        exchange->respond({.status = isApplied ? 200U : 400U, .body = switchesAsJson()});
    } else if (request.path == "/admin/copy" && request.method == "POST") {
        copyObjects();
        exchange->respond({.body = countsAsJson()});
    } else if (request.path == "/admin/restore" && request.method == "POST") {
        restoreCopy();
        exchange->respond({.body = countsAsJson()});
    } else {
        exchange->respond({.status = 404, .body = R"({"error":"not_found","message":"unknown path"})"});
    }
}

void standin_platform::countCall(const std::string &name)
{
    ++m_counts[name];
    ++m_counts["total"];
}

std::string standin_platform::countsAsJson() const
{
    json::object result;
    for (const char *name : {"total", "get", "create", "update", "remove", "list", "watch", "refused", "rejected"}) {
        const auto found = m_counts.find(name);
        result[name] = found == m_counts.end() ? 0 : found->second;
    }
    result["waiting_watches"] = m_watches.size();
    result["connections"] = m_server.openConnections();
    result["version"] = m_objects.version();
    result["era"] = m_objects.era();
    return json::serialize(result);
}

std::string standin_platform::switchesAsJson() const
{
    return json::serialize(json::object{{"down", m_switches.down},
                                        {"slow_ms", m_switches.slow.count()},
                                        {"lose_answers", m_switches.loseAnswers},
                                        {"delay_watches_ms", m_switches.delayWatches.count()}});
}

bool standin_platform::applySwitches(const std::string &text)
{
    boost::system::error_code error;
    const auto parsed = json::parse(text, error);
    if (error || !parsed.is_object())
        return false;
    const json::object &source = parsed.get_object();
    standin_platform_switches changed = m_switches;
    const bool isValid = readFlag(source, "down", &changed.down) && readMilliseconds(source, "slow_ms", &changed.slow)
                         && readCount(source, "lose_answers", &changed.loseAnswers)
                         && readMilliseconds(source, "delay_watches_ms", &changed.delayWatches);
    if (isValid)
        setSwitches(changed);
    return isValid;
}

} // namespace citroncrank
