#pragma once

/// @file
/// Stand-ins of both ends of packet flows, for tests: an upstream that answers requests and a caller that sends them.
/// They perform no input or output.

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

/// Encodes a packet in the platform's layout. `header.dataBytes` is ignored; the packet gets the size of `data`.
std::string encodeStandinPacket(packet_header header, const std::string &data = {});

/// Datagram that an upstream or caller sends.
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

/// Answers each request with the request's id and its own id after the processing time. Starts requests in order of
/// arrival, as many at once as it has slots. Returns packets of flows that it does not have.
class standin_packet_upstream
{
public:
    explicit standin_packet_upstream(standin_upstream_settings settings);

    /// Handles a packet that the agent delivered.
    void receive(const packet &arrived, time_point now);
    /// Answers the requests whose processing time has passed, and starts queued ones.
    void advance(time_point now);
    /// When advance() must be called next.
    std::optional<time_point> nextDue() const;
    /// Takes the packets to send to the agent.
    std::vector<std::string> takeOutgoing();

    /// Returns whether it has the flow and `callerExpects` lies within the sequence numbers of its bytes so far.
    bool holds(const flow_key &flow, std::uint32_t callerExpects) const;
    std::uint64_t runs() const { return m_runs; }
    /// Takes the ids of the requests that were started since the last call.
    std::vector<std::string> takeStarted();
    /// Highest number of requests in progress or queued at once.
    std::size_t maxPendingRequests() const { return m_maxPendingRequests; }

private:
    struct flow_state
    {
        bool isOpen = false;
        std::uint32_t first = 0;    ///< Sequence number of the opening answer.
        std::uint32_t next = 0;     ///< Sequence number of the next byte to send.
        std::uint32_t expected = 0; ///< Sequence number of the caller's next byte.
        std::string unanswered;     ///< Received part of the current request.
        std::string lastAnswer;     ///< Retransmitted when the caller repeats its request.
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
    std::uint64_t wrong = 0;    ///< Answers to another request, or duplicate ones.
    std::uint64_t timedOut = 0; ///< Requests without an answer within answerTimeout.
    auto operator<=>(const standin_caller_counts &) const = default;
};

/// Event of one attempt of a request, as its caller saw it.
struct standin_caller_event
{
    enum class kind : std::uint8_t {
        sent,
        answered,
        reset,     ///< The attempt, or an idle flow, ended with a reset.
        timed_out, ///< The request had no answer within answerTimeout.
    };
    kind what = kind::sent;
    std::string attemptId; ///< Each attempt has an id of its own.
    flow_key flow;
    std::string upstream; ///< Id of the upstream that answered earlier on this flow; empty before the first answer.
    bool wasOpen = false; ///< The flow was open before the event.
    bool isIdle = false;  ///< No request was waiting for its answer.
    time_point began;     ///< Start of the request.
    auto operator<=>(const standin_caller_event &) const = default;
};

struct standin_caller_settings
{
    host_address address;
    host_address service;
    std::uint32_t requestsPerFlow = 1;
    duration answerTimeout = std::chrono::seconds(3); ///< Timeout of a request, over all its attempts.
};

/// Sends one request at a time; opens a new flow after a reset.
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
    /// Returns whether the flow is the caller's current one and open.
    bool holdsOpen(const flow_key &flow) const;
    /// Sequence number of the upstream's next byte that it expects.
    std::uint32_t expectedNext() const { return m_expected; }
    const standin_caller_counts &counts() const { return m_counts; }
    /// Takes the events since the last call.
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
    std::string m_upstream; ///< Id of the upstream that answered on the current flow.
    std::vector<standin_caller_event> m_events;
    std::string m_received;
    time_point m_began;
    time_point m_lastSent;
    duration m_retryDelay{0};
    std::vector<std::string> m_outgoing;
    standin_caller_counts m_counts;
};

} // namespace citroncrank
