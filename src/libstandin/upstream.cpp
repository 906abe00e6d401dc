#include "citroncrank/standin_upstream.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

namespace citroncrank {

namespace json = boost::json;
namespace net = boost::asio;
using error_code = boost::system::error_code;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t kMaxEchoBytes = 64 * 1024 * 1024;
const std::string kBytesPath = "/bytes/";

/// Runs the action after the delay; at once, without the io_context, if the delay is 0.
void runAfter(net::io_context &context, milliseconds delay, std::function<void()> action)
{
    if (delay.count() == 0) {
        action();
        return;
    }
    auto timer = std::make_shared<net::steady_timer>(context, delay);
    timer->async_wait([timer, action = std::move(action)](error_code error) {
        if (!error)
            action();
    });
}

std::optional<std::uint64_t> requestedBytes(const standin_request &request)
{
    std::uint64_t count = 0;
    if (!request.path.starts_with(kBytesPath) || !absl::SimpleAtoi(request.path.substr(kBytesPath.size()), &count))
        return std::nullopt;
    return count;
}

standin_response badRequest(const std::string &message)
{
    return {.status = 400, .body = json::serialize(json::object{{"error", "rejected"}, {"message", message}})};
}

} // namespace

std::string standinRequestId(const standin_request &request)
{
    const auto found = request.headers.find("x-request-id");
    return found == request.headers.end() ? request.parameter("id") : found->second;
}

milliseconds standinProcessingTime(const standin_http_upstream_settings &settings, milliseconds sinceStart)
{
    if (sinceStart >= settings.coldStart)
        return settings.processingTime;
    const auto remaining = settings.coldStart - sinceStart;
    return settings.processingTime
           + settings.processingTime * (kColdStartFactor - 1) * remaining.count() / settings.coldStart.count();
}

standin_upstream::standin_upstream(net::io_context &context, const standin_http_upstream_settings &settings)
    : m_context(context)
    , m_settings(settings)
    , m_journal(settings.journalFile)
    , m_sampleTimer(context)
    , m_server(context, {.listen = settings.listen, .maxBodyBytes = kMaxEchoBytes},
               [this](const exchange_pointer &exchange) { handle(exchange); })
{
    sampleLoad();
}

void standin_upstream::shutDown(std::function<void()> onDrained)
{
    m_isDraining = true;
    m_isStopping = true;
    m_server.drain(std::move(onDrained));
}

void standin_upstream::handle(const exchange_pointer &exchange)
{
    const std::string &path = exchange->request().path;
    if (handleControl(exchange))
        return;
    if (path == "/stream") {
        startStream(exchange);
    } else if (path.starts_with(kBytesPath) && !requestedBytes(exchange->request())) {
        exchange->respond(badRequest("the path must be /bytes/N"));
    } else {
        runRequest(exchange);
    }
}

bool standin_upstream::handleControl(const exchange_pointer &exchange)
{
    const standin_request &request = exchange->request();
    if (request.path == "/health") {
        exchange->respond({.status = m_isDraining ? 503U : 200U, .body = healthAsJson()});
    } else if (request.path == "/load") {
        exchange->respond({.body = loadAsJson()});
    } else if (request.path == "/journal") {
        exchange->respond({.body = m_journal.asJson(request.parameter("repeated") == "true")});
    } else if (request.path == "/admin/drain" && request.method == "POST") {
        m_isDraining = request.parameter("on") != "false" || m_isStopping;
        exchange->respond({.body = healthAsJson()});
    } else {
        return false;
    }
    return true;
}

void standin_upstream::runRequest(const exchange_pointer &exchange)
{
    if (m_current.busySlots >= m_settings.slots) {
        shed(exchange, "all slots are busy");
        return;
    }
    ++m_current.busySlots;
    const standin_request &request = exchange->request();
    const std::uint64_t run = m_journal.record(standinRequestId(request), request.method, request.path);
    const auto sinceStart = std::chrono::steady_clock::now() - m_started;
    const auto processingTime = standinProcessingTime(m_settings, std::chrono::duration_cast<milliseconds>(sinceStart));
    runAfter(m_context, processingTime, [this, exchange, run] { finishRequest(exchange, run); });
}

void standin_upstream::finishRequest(const exchange_pointer &exchange, std::uint64_t run)
{
    const standin_request &request = exchange->request();
    if (request.path.starts_with(kBytesPath)) {
        startTransfer(exchange);
        return;
    }
    --m_current.busySlots;
    if (request.path == "/echo") {
        exchange->respond({.body = request.body, .contentType = "application/octet-stream"});
        return;
    }
    exchange->respond({.body = json::serialize(json::object{
                           {"service", m_settings.service}, {"id", standinRequestId(request)}, {"run", run}})});
}

void standin_upstream::shed(const exchange_pointer &exchange, const char *reason)
{
    ++m_current.shed;
    exchange->respond({.status = 503,
                       .body = json::serialize(json::object{{"error", "shed"}, {"message", reason}}),
                       .headers = {{"Retry-After", "1"}}});
}

void standin_upstream::sampleLoad()
{
    m_sampled = m_current;
    m_sampleTimer.expires_after(m_settings.loadSamplePeriod);
    m_sampleTimer.async_wait([this](error_code error) {
        if (!error)
            sampleLoad();
    });
}

std::string standin_upstream::healthAsJson() const
{
    return json::serialize(
        json::object{{"service", m_settings.service}, {"state", m_isDraining ? "draining" : "ready"}});
}

std::string standin_upstream::loadAsJson() const
{
    return json::serialize(json::object{{"service", m_settings.service},
                                        {"busy_slots", m_sampled.busySlots},
                                        {"slots", m_settings.slots},
                                        {"sessions", m_sampled.sessions},
                                        {"connections", m_settings.connections},
                                        {"shed", m_sampled.shed}});
}

} // namespace citroncrank
