#pragma once

/// @file
/// Stand-in of an upstream: HTTP server with slots, cold start, sampled load report and run journal. Test use only.

#include "citroncrank/standin_http_server.h"

#include <boost/asio/steady_timer.hpp>

#include <fstream>

namespace citroncrank {

struct standin_http_upstream_settings
{
    host_address listen;
    std::string service = "upstream";
    std::uint32_t slots = 7;                          ///< Concurrent requests; more are shed with 503.
    std::uint32_t connections = 2000;                 ///< Concurrent streams; more are shed with 503.
    std::chrono::milliseconds processingTime{0};      ///< Time that each request holds its slot before the response.
    std::chrono::milliseconds coldStart{0};           ///< Period after the start in which requests take longer.
    std::chrono::milliseconds loadSamplePeriod{1000}; ///< Period at which the values of /load are sampled.
    std::string journalFile;                          ///< One line per run is appended; empty disables it.
};

/// Ratio of the processing time at the beginning of a cold start to the normal one.
constexpr int kColdStartFactor = 5;

/// Processing time of a request that arrives `sinceStart` after the start: falls linearly to `processingTime` over the
/// cold start.
std::chrono::milliseconds standinProcessingTime(const standin_http_upstream_settings &settings,
                                                std::chrono::milliseconds sinceStart);

/// Bytes [offset, offset + count) of the response body of /bytes for a seed. Byte i is byte i % 8 (lowest first) of
/// the SplitMix64 output for the state seed + (i / 8 + 1) * 0x9E3779B97F4A7C15.
std::string standinBytes(std::uint64_t seed, std::uint64_t offset, std::uint64_t count);

/// Id of a request for the journal: header X-Request-Id, else query parameter `id`, else empty.
std::string standinRequestId(const standin_request &request);

/// Counts executions of requests by request id.
class run_journal
{
public:
    /// Throws std::runtime_error if the file cannot be opened for appending.
    explicit run_journal(const std::string &file);
    /// Records the start of a request. Returns the number of runs of this id, this one included, or 0 without an id:
    /// such requests count in the total only.
    std::uint64_t record(const std::string &id, const std::string &method, const std::string &path);
    /// {"total","runs":{id:count}}; with `onlyRepeated` only ids that ran more than once.
    std::string asJson(bool onlyRepeated) const;

private:
    std::map<std::string, std::uint64_t> m_runs;
    std::uint64_t m_total = 0;
    std::ofstream m_file;
};

/// Serves docs/standin-upstream.md. Single-threaded: all handlers run in the io_context.
class standin_upstream
{
public:
    /// Starts listening. Throws boost::system::system_error if the address cannot be bound, std::runtime_error if the
    /// journal cannot be opened.
    standin_upstream(boost::asio::io_context &context, const standin_http_upstream_settings &settings);

    std::uint16_t port() const { return m_server.port(); }
    /// Shuts down gracefully: finishes pending requests, ends streams without a count after their next line, then calls
    /// `onDrained`.
    void shutDown(std::function<void()> onDrained);

private:
    using exchange_pointer = std::shared_ptr<standin_exchange>;
    struct open_stream;
    struct open_transfer;

    /// Values in the response of /load.
    struct load_sample
    {
        std::uint32_t busySlots = 0;
        std::uint32_t sessions = 0;
        std::uint64_t shed = 0;
    };

    void handle(const exchange_pointer &exchange);
    bool handleControl(const exchange_pointer &exchange);
    void runRequest(const exchange_pointer &exchange);
    void finishRequest(const exchange_pointer &exchange, std::uint64_t run);
    void startTransfer(const exchange_pointer &exchange);
    void continueTransfer(const std::shared_ptr<open_transfer> &transfer, bool isOpen);
    void startStream(const exchange_pointer &exchange);
    void continueStream(const std::shared_ptr<open_stream> &stream, bool isOpen);
    void shed(const exchange_pointer &exchange, const char *reason);
    void sampleLoad();
    std::string healthAsJson() const;
    std::string loadAsJson() const;

    boost::asio::io_context &m_context;
    standin_http_upstream_settings m_settings;
    std::chrono::steady_clock::time_point m_started = std::chrono::steady_clock::now();
    run_journal m_journal;
    load_sample m_current;
    load_sample m_sampled;
    boost::asio::steady_timer m_sampleTimer;
    bool m_isDraining = false;
    bool m_isStopping = false;
    standin_http_server m_server;
};

} // namespace citroncrank
