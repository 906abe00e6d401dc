#pragma once

#include "citroncrank/net.h"
#include "stream_socket_pvt.h"

#include <absl/container/flat_hash_map.h>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>

namespace citroncrank {

/// All sockets of a network. Runs in the network thread, except while paused.
class network::implementation : public hop_owner, public stream_owner
{
public:
    implementation(net_settings settings, net_counters &counters, bounded_ring<net_event> &events);

    std::optional<host_address> listenForHops(const host_address &address, std::error_code *lastReason);
    std::optional<host_address> listenForStreams(const host_address &address, std::error_code *lastReason);
    void start();
    void stop();
    void pause();
    void resume();
    std::vector<saved_stream> saveStreams();
    void adoptStream(const saved_stream &saved);
    void setGreeting(frame greeting) { m_settings.greeting = std::move(greeting); }
    void post(net_command command) { m_commands.push(std::move(command)); }

    // hop_owner
    void onHopFrame(hop_id hop, frame value) override;
    void onHopConnected(hop_id id) override;
    void onHopClosed(hop_id id, hop_close_reason reason) override;

    // stream_owner
    void onStreamEvent(net_event event) override { pushEvent(std::move(event)); }
    void onStreamDestroyed(stream_id stream) override;

    // Commands of the decision thread.
    void operator()(send_on_hop &command);
    void operator()(send_to_address &command);
    void operator()(send_datagram &command);
    void operator()(open_hop &command);
    void operator()(close_hop &command);
    void operator()(stream_connect &command);
    void operator()(stream_read &command);
    void operator()(stream_write &command);
    void operator()(stream_finish &command);
    void operator()(stream_close &command);
    void operator()(listen_streams &command);
    /// Runs all commands in the ring.
    void runCommands();

private:
    static bool bindAcceptor(tcp::acceptor &acceptor, const host_address &address, std::error_code *lastReason);
    void pushEvent(net_event event);
    void flushOverflow();
    void armTimer();
    void acceptHop();
    std::shared_ptr<hop> addHop(tcp::socket socket);
    std::shared_ptr<hop> connectHop(const host_address &target);
    std::shared_ptr<hop> findHopByTarget(const host_address &target);
    void acceptStream(const host_address &listener, tcp::acceptor &acceptor);
    void onStreamAccepted(const host_address &listener, tcp::socket socket);
    void addStream(stream_id id, const std::shared_ptr<stream_socket> &stream);
    std::shared_ptr<stream_socket> findStream(stream_id id);
    void receiveDatagram();
    void onDatagram(std::string_view bytes);

    net_settings m_settings;
    frame_codec m_codec;
    net_counters &m_counters;
    bounded_ring<net_event> &m_events;
    bounded_ring<net_command> m_commands;
    asio::io_context m_context{1};
    asio::steady_timer m_timer;
    tcp::acceptor m_hopAcceptor;
    asio::ip::udp::socket m_udp;
    asio::ip::udp::endpoint m_datagramSender;
    std::string m_datagram;
    absl::flat_hash_map<hop_id, std::shared_ptr<hop>> m_hops;
    absl::flat_hash_map<host_address, hop_id> m_hopByTarget;
    absl::flat_hash_map<stream_id, std::shared_ptr<stream_socket>> m_streams;
    absl::flat_hash_map<host_address, std::unique_ptr<tcp::acceptor>> m_streamAcceptors;
    std::deque<net_event> m_overflow;
    std::vector<net_command> m_commandBatch;
    std::size_t m_inboundHops = 0;
    hop_id m_lastHopId = 0;
    stream_id m_lastAcceptedId = 0;
    std::thread m_thread;
};

} // namespace citroncrank
