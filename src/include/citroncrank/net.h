#pragma once

/// @file
/// Sockets of a process: hops that carry frames, datagrams, and plain TCP streams of callers and upstreams.

#include "citroncrank/bounded_ring.h"
#include "citroncrank/frame_codec.h"
#include "citroncrank/ids.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <thread>
#include <variant>
#include <vector>

namespace citroncrank {

/// Identifier of a plain TCP stream within the process.
using stream_id = std::uint64_t;

/// A stream that is handed off to the program that replaces this one in place.
struct saved_stream
{
    stream_id stream = 0;
    int descriptor = -1;
    std::string unsent; ///< Bytes that the kernel has not accepted yet.
    bool finishRequested = false;
    bool shutdownDone = false;
    bool ended = false; ///< The peer closed its sending side.
};

/// Limits and timeouts of the sockets.
struct net_settings
{
    frame_keys keys;
    duration hopPingDelay{300'000};   ///< A hop is pinged after this time without an answer to a sent frame.
    duration hopPingTimeout{700'000}; ///< A hop is closed as silent if a ping has no answer within this time.
    duration connectTimeout{1'000'000};
    duration authenticationTimeout{5'000'000};   ///< An accepted hop must send a valid frame within this time.
    std::size_t hopQueueBytes = 8 * 1024 * 1024; ///< Frames beyond this are dropped; flows retransmit them.
    std::array<std::size_t, kFlowClassCount> laneShares{60, 30, 10}; ///< Weights of the classes for a hop's bytes.
    std::size_t maxInboundHops = 8192;
    std::size_t maxStreams = 200'000;
    std::size_t eventCapacity = 65'536;
    std::size_t commandCapacity = 65'536;
    std::optional<frame> greeting; ///< First frame on each hop that this process opens.
};

enum class hop_close_reason : std::uint8_t {
    peer_closed,
    silent,
    connect_failed,
    bad_frame,
    not_authenticated,
    local,
};
const char *toString(hop_close_reason reason);

struct frame_received
{
    hop_id hop = 0;
    frame value;
};
struct datagram_received
{
    host_address from;
    frame value;
};
struct hop_closed
{
    hop_id hop = 0;
    hop_close_reason reason = hop_close_reason::local;
    std::optional<host_address> target; ///< Set for hops this process opened.
};
/// An outgoing hop was established.
struct hop_connected
{
    hop_id hop = 0;
    host_address target;
};
struct stream_accepted
{
    stream_id stream = 0;
    host_address listener;
    host_address caller;
};
struct stream_connected
{
    stream_id stream = 0;
};
struct stream_connect_failed
{
    stream_id stream = 0;
};
struct stream_bytes
{
    stream_id stream = 0;
    std::string bytes;
};
struct stream_ended
{
    stream_id stream = 0;
};
struct stream_reset
{
    stream_id stream = 0;
};
/// The kernel accepted `bytes` bytes of earlier writes.
struct stream_consumed
{
    stream_id stream = 0;
    std::uint64_t bytes = 0;
};

/// The address of a listen_streams command could not be bound.
struct listen_failed
{
    host_address address;
    std::error_code reason;
};
/// Wakes the decision thread because another of its rings has an entry.
struct wake_up
{};

using net_event = std::variant<frame_received, datagram_received, hop_connected, hop_closed, stream_accepted,
                               stream_connected, stream_connect_failed, stream_bytes, stream_ended, stream_reset,
                               stream_consumed, listen_failed, wake_up>;

/// Sends on an existing hop. The frame is dropped and counted if the hop is closed.
struct send_on_hop
{
    hop_id hop = 0;
    frame value;
};
/// Sends to a peer, over the open hop to it or a new one.
struct send_to_address
{
    host_address target;
    frame value;
    bool replaceUnansweredHop = false; ///< Opens a new hop if a ping on the existing one is unanswered.
};
struct send_datagram
{
    host_address target;
    frame value;
};
/// Opens a hop without sending.
struct open_hop
{
    host_address target;
    frame hello;
};
struct close_hop
{
    hop_id hop = 0;
};
struct stream_connect
{
    stream_id stream = 0;
    host_address target;
};
struct stream_read
{
    stream_id stream = 0;
    std::uint64_t maxBytes = 0;
};
struct stream_write
{
    stream_id stream = 0;
    std::string bytes;
};
struct stream_finish
{
    stream_id stream = 0;
};
struct stream_close
{
    stream_id stream = 0;
    bool abort = false;
};
/// Starts or stops accepting streams on an address.
struct listen_streams
{
    host_address address;
    bool enabled = true;
};

using net_command = std::variant<send_on_hop, send_to_address, send_datagram, open_hop, close_hop, stream_connect,
                                 stream_read, stream_write, stream_finish, stream_close, listen_streams>;

/// Counters of the sockets. Read from any thread.
struct net_counters
{
    std::atomic<std::uint64_t> framesIn{0};
    std::atomic<std::uint64_t> framesOut{0};
    std::atomic<std::uint64_t> bytesIn{0};
    std::atomic<std::uint64_t> bytesOut{0};
    std::atomic<std::uint64_t> datagramBytesOut{0};
    std::atomic<std::uint64_t> datagramBytesIn{0};
    std::atomic<std::uint64_t> framesDropped{0}; ///< Full queue or no such hop.
    std::atomic<std::uint64_t> hopsSilent{0};
    std::atomic<std::uint64_t> hopsOpen{0};
    std::atomic<std::uint64_t> streamsOpen{0};
    std::atomic<std::uint64_t> streamsRefused{0};
    std::array<std::atomic<std::uint64_t>, kDecodeErrorCount> decodeErrors{};
};

/// Owns all sockets of the process in one thread. Events go out through a bounded ring, commands come in through
/// another. While the event ring is full, frames are dropped (flows retransmit them) and stream events are held back.
class network
{
public:
    explicit network(net_settings settings);
    ~network();

    /// Binds TCP and UDP on the address. Port 0 selects a free port. Returns the bound address, or nullopt with the
    /// system's error code in `lastReason`.
    std::optional<host_address> listenForHops(const host_address &address, std::error_code *lastReason);
    /// Binds a stream listener before start(), so that a failure can be reported. Returns like listenForHops().
    std::optional<host_address> listenForStreams(const host_address &address, std::error_code *lastReason);
    void start();
    /// Stops the thread; open sockets are closed.
    void stop();

    /// Stops the thread without closing sockets. Until resume(), commands run only in runQueuedCommands().
    void pause();
    /// Starts the thread again after pause().
    void resume();
    void runQueuedCommands();
    /// Returns the state of the connected streams. Only while paused.
    std::vector<saved_stream> saveStreams();
    /// Adopts a saved stream under its new id, `saved.stream`. Only before start().
    void adoptStream(const saved_stream &saved);
    void setGreeting(frame greeting);

    /// Queues a command; blocks while the ring is full.
    void post(net_command command);
    /// Next id for a stream that the decision thread opens. Ids of accepted streams have the highest bit set.
    stream_id nextStreamId() { return ++m_nextConnectId; }
    bounded_ring<net_event> &events() { return m_events; }
    const net_counters &counters() const { return m_counters; }

private:
    class implementation;

    net_counters m_counters;
    bounded_ring<net_event> m_events;
    stream_id m_nextConnectId = 0;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace citroncrank
