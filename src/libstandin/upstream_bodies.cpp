#include "citroncrank/standin_upstream.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace citroncrank {

namespace {

constexpr std::uint64_t kTransferPartBytes = 64 * 1024;
constexpr std::uint64_t kDefaultIntervalMs = 1000;
constexpr std::uint64_t kMaxIntervalMs = 3'600'000;

/// Output function of the SplitMix64 generator.
std::uint64_t splitMix64(std::uint64_t state)
{
    state = (state ^ (state >> 30U)) * 0xBF58476D1CE4E5B9U;
    state = (state ^ (state >> 27U)) * 0x94D049BB133111EBU;
    return state ^ (state >> 31U);
}

} // namespace

/// Response to /bytes in progress.
struct standin_upstream::open_transfer
{
    std::shared_ptr<standin_exchange> exchange;
    std::uint64_t seed = 0;
    std::uint64_t total = 0;
    std::uint64_t sent = 0;
};

/// Response to /stream in progress.
struct standin_upstream::open_stream
{
    std::shared_ptr<standin_exchange> exchange;
    boost::asio::steady_timer timer;
    std::chrono::milliseconds interval;
    std::uint64_t count = 0; ///< Lines to send; 0 means unlimited.
    std::uint64_t sent = 0;
};

std::string standinBytes(std::uint64_t seed, std::uint64_t offset, std::uint64_t count)
{
    std::string result;
    result.reserve(count);
    for (std::uint64_t index = offset; index < offset + count; ++index) {
        const std::uint64_t word = splitMix64(seed + (index / 8 + 1) * 0x9E3779B97F4A7C15U);
        result += char(word >> (8 * (index % 8)));
    }
    return result;
}

void standin_upstream::startTransfer(const exchange_pointer &exchange)
{
    const standin_request &request = exchange->request();
    auto transfer = std::make_shared<open_transfer>();
    transfer->exchange = exchange;
    transfer->seed = request.number("seed", 0).value_or(0);
    (void)absl::SimpleAtoi(request.path.substr(request.path.rfind('/') + 1), &transfer->total);
    exchange->startBody(transfer->total, [this, transfer](bool isOpen) { continueTransfer(transfer, isOpen); });
}

void standin_upstream::continueTransfer(const std::shared_ptr<open_transfer> &transfer, bool isOpen)
{
    if (isOpen && transfer->sent < transfer->total) {
        const std::uint64_t count = std::min(kTransferPartBytes, transfer->total - transfer->sent);
        std::string part = standinBytes(transfer->seed, transfer->sent, count);
        transfer->sent += count;
        transfer->exchange->sendPart(std::move(part),
                                     [this, transfer](bool isOpen) { continueTransfer(transfer, isOpen); });
        return;
    }
    --m_current.busySlots;
    if (isOpen)
        transfer->exchange->finishBody();
}

void standin_upstream::startStream(const exchange_pointer &exchange)
{
    const standin_request &request = exchange->request();
    const auto interval = request.number("interval_ms", kDefaultIntervalMs);
    const auto count = request.number("count", 0);
    if (!interval || !count || *interval > kMaxIntervalMs) {
        exchange->respond(
            {.status = 400, .body = R"({"error":"rejected","message":"interval_ms and count must be numbers"})"});
        return;
    }
    if (m_current.sessions >= m_settings.connections) {
        shed(exchange, "all connections are in use");
        return;
    }
    ++m_current.sessions;
    m_journal.record(standinRequestId(request), request.method, request.path);
    auto stream = std::make_shared<open_stream>(
        open_stream{exchange, boost::asio::steady_timer(m_context), std::chrono::milliseconds(*interval), *count});
    exchange->startBody(std::nullopt, [this, stream](bool isOpen) { continueStream(stream, isOpen); });
}

void standin_upstream::continueStream(const std::shared_ptr<open_stream> &stream, bool isOpen)
{
    const bool isComplete = stream->count > 0 && stream->sent == stream->count;
    const bool isEndedByShutdown = stream->count == 0 && m_isStopping && stream->sent > 0;
    if (!isOpen || isComplete || isEndedByShutdown) {
        --m_current.sessions;
        if (isOpen)
            stream->exchange->finishBody();
        return;
    }
    const auto sendLine = [this, stream](boost::system::error_code) {
        stream->exchange->sendPart(absl::StrCat(m_settings.service, " ", stream->sent++, "\n"),
                                   [this, stream](bool isOpen) { continueStream(stream, isOpen); });
    };
    // The first line is sent without a delay: it shows the caller that its session is open.
    if (stream->sent == 0) {
        sendLine({});
        return;
    }
    stream->timer.expires_after(stream->interval);
    stream->timer.async_wait(sendLine);
}

} // namespace citroncrank
