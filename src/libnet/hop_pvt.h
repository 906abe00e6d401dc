#pragma once

#include "citroncrank/net.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>

namespace citroncrank {

namespace asio = boost::asio;
using asio::ip::tcp;

tcp::endpoint endpointOf(const host_address &address);
host_address addressOf(const tcp::endpoint &endpoint);

/// Send queue of a hop with one lane per class. A flood in one class cannot take the byte shares of the other lanes.
class lane_queue
{
public:
    lane_queue(std::array<std::size_t, kFlowClassCount> shares, std::size_t maxBytes)
        : m_shares(shares)
        , m_maxBytes(maxBytes)
    {}

    /// Returns false and drops `encoded` when the queue is full and the lane already holds its share of it.
    bool push(flow_class lane, std::string encoded);
    /// Removes about `maxBytes` bytes, divided between the lanes by their shares; unused shares go to the other lanes.
    std::string takeBatch(std::size_t maxBytes);
    std::size_t bytes() const { return m_bytes; }

private:
    bool takeOne(std::size_t lane, std::string *out);

    std::array<std::size_t, kFlowClassCount> m_shares;
    std::size_t m_maxBytes;
    std::array<std::size_t, kFlowClassCount> m_laneBytes{};
    std::array<std::deque<std::string>, kFlowClassCount> m_lanes;
    std::size_t m_bytes = 0;
};

/// Receives the events of a hop.
class hop_owner
{
public:
    virtual ~hop_owner() = default;
    virtual void onHopFrame(hop_id hop, frame value) = 0;
    virtual void onHopConnected(hop_id hop) = 0;
    virtual void onHopClosed(hop_id hop, hop_close_reason reason) = 0;
};

/// One connection that carries frames.
class hop : public std::enable_shared_from_this<hop>
{
public:
    hop(tcp::socket socket, hop_id id, const net_settings &settings, const frame_codec &codec, net_counters &counters,
        hop_owner &owner);

    void startAccepted(time_point now);
    void startConnect(const host_address &target, time_point now);
    void send(const frame &value, time_point now);
    /// Checks the timeouts, and pings the hop if it does not answer.
    void onTimer(time_point now);
    void close(hop_close_reason reason);

    hop_id id() const { return m_id; }
    const std::optional<host_address> &target() const { return m_target; }
    bool hasPendingPing() const { return m_pingSentAt.has_value(); }

private:
    void startRead();
    void onReadable(boost::system::error_code error);
    std::size_t parseFrames(std::string_view input);
    void onFrame(frame value);
    void startWrite();

    tcp::socket m_socket;
    hop_id m_id;
    const net_settings &m_settings;
    const frame_codec &m_codec;
    net_counters &m_counters;
    hop_owner &m_owner;
    std::optional<host_address> m_target;
    lane_queue m_queue;
    std::string m_writing;
    std::string m_input; ///< First part of a frame that has not arrived completely.
    bool m_connected = false;
    bool m_authenticated = false;
    bool m_closed = false;
    time_point m_startedAt;
    std::optional<time_point> m_unansweredSince;
    std::optional<time_point> m_pingSentAt;
    std::uint64_t m_pingNonce = 0;
};

} // namespace citroncrank
