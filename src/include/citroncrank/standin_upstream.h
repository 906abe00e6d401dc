#pragma once

/// @file
/// Stand-in of an upstream: HTTP server with slots, cold start, lagging load report and run journal. Test use only.

#include "citroncrank/standin_http_server.h"

#include <boost/asio/steady_timer.hpp>

#include <fstream>

namespace citroncrank {

struct standin_upstream_settings
{
    host_address listen;
    std::string service = "upstream";
    std::uint32_t slots = 7;                 ///< Requests run at once; more are shed with 503.
    std::uint32_t connections = 2000;        ///< Streams served at once; more are shed with 503.
    std::chrono::milliseconds work{0};       ///< Time that each request holds its slot before the response.
    std::chrono::milliseconds coldStart{0};  ///< Requests take longer in this time after the start.
    std::chrono::milliseconds loadLag{1000}; ///< Time between two samples of the values that /load reports.
    std::string journalFile;                 ///< Gets one line per run; empty writes none.
};

/// Work takes up to this many times as long right after a cold start.
constexpr int kColdStartFactor = 5;

/// Time that a request needs `sinceStart` after the start: falls linearly to `work` over the cold start.
std::chrono::milliseconds standinWorkTime(const standin_upstream_settings &settings,
                                          std::chrono::milliseconds sinceStart);

/// Bytes [offset, offset + count) of the body that /bytes answers for a seed. Byte i is byte i % 8 (lowest first) of
/// the SplitMix64 output for the state seed + (i / 8 + 1) * 0x9E3779B97F4A7C15.
std::string standinBytes(std::uint64_t seed, std::uint64_t offset, std::uint64_t count);

/// Id of a request for the journal: header X-Request-Id, else query parameter `id`, else empty.
std::string standinRequestId(const standin_request &request);

/// Counts each executed request by its id.
class run_journal
{
public:
    /// Throws std::runtime_error if the file cannot be opened for appending.
    explicit run_journal(const std::string &file);
    /// Records that a request starts to run; returns how often this id ran by now. Requests without an id count in
    /// the total only.
    std::uint64_t record(const std::string &id, const std::string &method, const std::string &path);
    /// {"total","runs":{id:count}}; with `onlyRepeated` only ids that ran more than once.
    std::string asJson(bool onlyRepeated) const;

private:
    std::map<std::string, std::uint64_t> m_runs;
    std::uint64_t m_total = 0;
    std::ofstream m_file;
};

/// Serves docs/standin-upstream.md. Single threaded: everything runs in the io_context.
class standin_upstream
{
public:
    /// Starts to listen. Throws boost::system::system_error if the address cannot be bound, std::runtime_error if the
    /// journal cannot be opened.
    standin_upstream(boost::asio::io_context &context, const standin_upstream_settings &settings);

    std::uint16_t port() const { return m_server.port(); }
    /// Graceful shutdown: finishes the open requests, ends streams without a count after their next line, then calls
    /// `onEmpty`.
    void shutDown(std::function<void()> onEmpty);

private:
    using exchange_pointer = std::shared_ptr<standin_exchange>;
    struct open_stream;
    struct open_transfer;

    /// Values that /load reports.
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
    standin_upstream_settings m_settings;
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
