#pragma once

/// @file
/// Both ends of packet flows, for tests: an upstream that answers requests and a caller that sends them. Without input or
/// output of their own.

#include "citroncrank/packet.h"
#include "citroncrank/time.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace citroncrank {

/// Encodes a packet in the platform's layout. `header.dataBytes` is taken from the data.
std::string encodeStandinPacket(packet_header header, const std::string &data = {});

/// What an upstream or caller sends.
struct standin_datagram
{
    host_address to;
    std::string bytes;
};

struct standin_upstream_settings
{
    std::string id;
    std::size_t slots = 2;
    duration processingTime{0};
    std::uint64_t seed = 0;
};

/// Answers each request with its own id after the work time, in order of arrival, as many at once as it has slots. Returns
/// packets of flows that it does not hold.
class standin_packet_upstream
{
public:
    explicit standin_packet_upstream(standin_upstream_settings settings);

    /// A packet that the agent delivered.
    void receive(const packet &arrived, time_point now);
    /// Ends work that is done.
    void advance(time_point now);
    /// When advance() must be called next.
    std::optional<time_point> nextDue() const;
    /// Packets to send to the agent.
    std::vector<std::string> takeOutgoing();

    /// Whether it holds the flow, and its own sequence numbers are those that the caller expects.
    bool holds(const flow_key &flow, std::uint32_t callerExpects) const;
    std::uint64_t runs() const { return m_runs; }
    /// Takes the ids of the requests that were started since the last call.
    std::vector<std::string> takeStarted();
    std::size_t maxPendingRequests() const { return m_maxPendingRequests; }

private:
    struct flow_state
    {
        bool isOpen = false;
        std::uint32_t first = 0;    ///< Sequence number of the opening answer.
        std::uint32_t next = 0;     ///< Sequence number of the next byte to send.
        std::uint32_t expected = 0; ///< Next byte of the caller.
        std::string unanswered;     ///< Request of which a part has arrived.
        std::string lastAnswer;     ///< Sent again when the caller repeats its request.
        std::uint32_t lastAnswerAt = 0;
    };
    struct work
    {
        time_point due;
        flow_key flow;
        std::string requestId;
        std::string answer;
        auto operator<=>(const work &) const = default;
    };

    void answer(const flow_key &key, packet_header header, const std::string &data = {});
    void receiveRequestBytes(const flow_key &key, flow_state *flow, const packet &arrived, time_point now);
    void startQueuedRequests(time_point now);

    standin_upstream_settings m_settings;
    std::mt19937 m_random;
    absl::flat_hash_map<flow_key, flow_state> m_flows;
    std::vector<work> m_working;
    std::queue<work> m_waiting;
    std::vector<std::string> m_outgoing;
    std::uint64_t m_runs = 0;
    std::vector<std::string> m_started;
    std::size_t m_maxPendingRequests = 0;
};

/// How a caller's requests ended.
struct standin_caller_counts
{
    std::uint64_t answered = 0;
    std::uint64_t reset = 0;    ///< Attempts that ended with a reset.
    std::uint64_t wrong = 0;    ///< Answers to another request, or twice.
    std::uint64_t timedOut = 0; ///< Requests without an answer in time.
    auto operator<=>(const standin_caller_counts &) const = default;
};

/// What a caller saw of one attempt of a request.
struct standin_caller_event
{
    enum class kind : std::uint8_t {
        sent,
        answered,
        reset,     ///< The attempt, or an idle flow, ended with a reset.
        timed_out, ///< The request had no answer in time.
    };
    kind what = kind::sent;
    std::string attemptId; ///< Each attempt has an id of its own.
    flow_key flow;
    std::string upstream; ///< That answered earlier on this flow; empty if none did.
    bool wasOpen = false; ///< The flow.
    bool isIdle = false;  ///< No request was waiting for its answer.
    time_point began;     ///< Start of the request.
    auto operator<=>(const standin_caller_event &) const = default;
};

struct standin_caller_settings
{
    host_address address;
    host_address service;
    std::uint32_t requestsPerFlow = 1;
    duration answerTimeout = std::chrono::seconds(3); ///< A request without an answer by then has failed.
};

/// Sends one request after the other; opens a flow anew after a reset.
class standin_packet_caller
{
public:
    standin_packet_caller(standin_caller_settings settings, std::uint64_t seed);

    /// Begins the next request.
    void begin(time_point now);
    bool isIdle() const { return m_requestId.empty(); }
    void receive(const packet &arrived, time_point now);
    void advance(time_point now);
    std::vector<std::string> takeOutgoing();
    /// Whether the flow is the caller's present one and open.
    bool holdsOpen(const flow_key &flow) const;
    /// Next byte of the upstream that it expects.
    std::uint32_t expectedNext() const { return m_expected; }
    const standin_caller_counts &counts() const { return m_counts; }
    /// Takes what happened since the last call.
    std::vector<standin_caller_event> takeEvents();

private:
    void open(time_point now);
    void send(packet_header header, const std::string &data = {});
    void sendRequest(time_point now);
    void finishRequest();
    std::string attemptId() const;
    std::string requestText() const;
    void note(standin_caller_event::kind what);

    standin_caller_settings m_settings;
    std::mt19937 m_random;
    std::uint16_t m_port;
    bool m_isOpen = false;
    std::uint32_t m_openPacketsSent = 0; ///< Copies of the opening packet sent.
    std::uint32_t m_next = 0;
    std::uint32_t m_expected = 0;
    std::uint32_t m_sentOnFlow = 0;
    std::string m_requestId;
    std::uint32_t m_attempt = 0;
    std::string m_upstream; ///< That answered on the present flow.
    std::vector<standin_caller_event> m_events;
    std::string m_received;
    time_point m_began;
    time_point m_lastSent;
    duration m_retryDelay{0};
    std::vector<std::string> m_outgoing;
    standin_caller_counts m_counts;
};

} // namespace citroncrank
