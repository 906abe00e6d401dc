#include "citroncrank/net.h"

#include "citroncrank/timer_service.h"
#include "stream_socket_pvt.h"

#include <absl/container/flat_hash_map.h>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace citroncrank {

namespace {

constexpr auto kTimerPeriod = std::chrono::milliseconds(50);
constexpr std::size_t kMaxDatagramBytes = 64 * 1024;
/// Streams accepted by the network thread carry this bit; streams opened by the decision thread do not.
constexpr stream_id kAcceptedBit = stream_id(1) << 63U;

} // namespace

tcp::endpoint endpointOf(const host_address &address)
{
    return {asio::ip::address_v4(address.ip), address.port};
}

host_address addressOf(const tcp::endpoint &endpoint)
{
    return {endpoint.address().to_v4().to_uint(), endpoint.port()};
}

const char *toString(hop_close_reason reason)
{
    static constexpr std::array<const char *, 6> kNames{"peer_closed",       "silent", "connect_failed", "bad_frame",
                                                        "not_authenticated", "local"};
    return kNames[std::size_t(reason)];
}

class network::implementation : public hop_owner, public stream_owner
{
public:
    implementation(net_settings settings, net_counters &counters, bounded_ring<net_event> &events)
        : m_settings(std::move(settings))
        , m_codec(m_settings.keys)
        , m_counters(counters)
        , m_events(events)
        , m_commands(m_settings.commandCapacity)
        , m_timer(m_context)
        , m_hopAcceptor(m_context)
        , m_udp(m_context)
        , m_datagram(kMaxDatagramBytes, '\0')
    {
        m_commands.setNotify([this] { asio::post(m_context, [this] { runCommands(); }); });
    }

    std::optional<host_address> listenForHops(const host_address &address, std::error_code *lastReason)
    {
        boost::system::error_code error;
        if (!bindAcceptor(m_hopAcceptor, address, lastReason))
            return std::nullopt;
        const auto bound = addressOf(m_hopAcceptor.local_endpoint());
        m_udp.open(asio::ip::udp::v4(), error);
        m_udp.bind({asio::ip::address_v4(bound.ip), bound.port}, error);
        if (error) {
            *lastReason = error;
            return std::nullopt;
        }
        return bound;
    }

    std::optional<host_address> listenForStreams(const host_address &address, std::error_code *lastReason)
    {
        tcp::acceptor acceptor(m_context);
        if (!bindAcceptor(acceptor, address, lastReason))
            return std::nullopt;
        const auto bound = addressOf(acceptor.local_endpoint());
        auto &stored =
            m_streamAcceptors.emplace(bound, std::make_unique<tcp::acceptor>(std::move(acceptor))).first->second;
        acceptStream(bound, *stored);
        return bound;
    }

    void start()
    {
        acceptHop();
        receiveDatagram();
        armTimer();
        m_thread = std::thread([this] { m_context.run(); });
    }

    void stop()
    {
        m_commands.close();
        m_context.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    void pause()
    {
        m_context.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    void resume()
    {
        m_context.restart();
        m_thread = std::thread([this] { m_context.run(); });
    }

    std::vector<saved_stream> saveStreams()
    {
        std::vector<saved_stream> saved;
        for (const auto &[id, stream] : m_streams) {
            if (auto item = stream->save())
                saved.push_back(std::move(*item));
        }
        return saved;
    }

    void adoptStream(const saved_stream &saved)
    {
        boost::system::error_code error;
        tcp::socket socket(m_context);
        socket.assign(tcp::v4(), saved.descriptor, error);
        if (error) {
            pushEvent(stream_reset{saved.stream});
            return;
        }
        auto stream = std::make_shared<stream_socket>(std::move(socket), saved.stream, *this);
        addStream(saved.stream, stream);
        stream->startAdopted(saved);
    }

    void setGreeting(frame greeting) { m_settings.greeting = std::move(greeting); }

    void post(net_command command) { m_commands.push(std::move(command)); }

    // hop_owner
    void onHopFrame(hop_id hop, frame value) override
    {
        if (!m_events.tryPush(frame_received{hop, std::move(value)}))
            ++m_counters.framesDropped;
    }
    void onHopConnected(hop_id id) override
    {
        const auto found = m_hops.find(id);
        if (found != m_hops.end())
            pushEvent(hop_connected{id, *found->second->target()});
    }
    void onHopClosed(hop_id id, hop_close_reason reason) override
    {
        const auto found = m_hops.find(id);
        if (found == m_hops.end())
            return;
        const auto target = found->second->target();
        if (target) {
            const auto byTarget = m_hopByTarget.find(*target);
            if (byTarget != m_hopByTarget.end() && byTarget->second == id)
                m_hopByTarget.erase(byTarget);
        } else {
            --m_inboundHops;
        }
        // The hop may be on the call stack, so it is destroyed later.
        asio::post(m_context, [keep = found->second] {});
        m_hops.erase(found);
        m_counters.hopsOpen = m_hops.size();
        pushEvent(hop_closed{id, reason, target});
    }

    // stream_owner
    void onStreamEvent(net_event event) override { pushEvent(std::move(event)); }
    void onStreamGone(stream_id stream) override
    {
        m_streams.erase(stream);
        m_counters.streamsOpen = m_streams.size();
    }

    void operator()(send_on_hop &command)
    {
        const auto found = m_hops.find(command.hop);
        if (found == m_hops.end())
            ++m_counters.framesDropped;
        else
            found->second->send(command.value, monotonicNow());
    }
    void operator()(send_to_address &command)
    {
        auto existing = hopTo(command.target);
        const bool replace = command.freshHop && existing != nullptr && existing->unanswered();
        if (replace)
            m_hopByTarget.erase(command.target);
        if (existing == nullptr || replace)
            existing = connectHop(command.target);
        existing->send(command.value, monotonicNow());
    }
    void operator()(send_datagram &command)
    {
        std::string encoded;
        m_codec.encode(command.value, &encoded);
        boost::system::error_code error;
        m_udp.send_to(asio::buffer(encoded), {asio::ip::address_v4(command.target.ip), command.target.port}, 0, error);
        if (!error)
            m_counters.datagramBytesOut += encoded.size();
    }
    void operator()(open_hop &command)
    {
        if (hopTo(command.target) == nullptr)
            connectHop(command.target)->send(command.hello, monotonicNow());
    }
    void operator()(close_hop &command)
    {
        const auto found = m_hops.find(command.hop);
        if (found != m_hops.end())
            std::shared_ptr<hop>(found->second)->close(hop_close_reason::local);
    }
    void operator()(stream_connect &command)
    {
        auto stream = std::make_shared<stream_socket>(tcp::socket(m_context), command.stream, *this);
        addStream(command.stream, stream);
        stream->startConnect(command.target);
    }
    void operator()(stream_read &command)
    {
        if (auto stream = findStream(command.stream))
            stream->read(command.maxBytes);
    }
    void operator()(stream_write &command)
    {
        if (auto stream = findStream(command.stream))
            stream->write(command.bytes);
    }
    void operator()(stream_finish &command)
    {
        if (auto stream = findStream(command.stream))
            stream->finish();
    }
    void operator()(stream_close &command)
    {
        if (auto stream = findStream(command.stream))
            stream->close(command.abort);
    }
    void operator()(listen_streams &command)
    {
        if (!command.enabled) {
            m_streamAcceptors.erase(command.address);
            return;
        }
        std::error_code reason;
        if (!m_streamAcceptors.contains(command.address) && !listenForStreams(command.address, &reason))
            pushEvent(listen_failed{command.address, reason});
    }

    void runCommands()
    {
        m_commandBatch.clear();
        m_commands.drain(&m_commandBatch, time_point());
        for (auto &command : m_commandBatch)
            std::visit(*this, command);
    }

private:
    static bool bindAcceptor(tcp::acceptor &acceptor, const host_address &address, std::error_code *lastReason)
    {
        boost::system::error_code error;
        acceptor.open(tcp::v4(), error);
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        acceptor.bind(endpointOf(address), error);
        if (!error)
            acceptor.listen(4096, error);
        if (error)
            *lastReason = error;
        return !error;
    }

    // Stream events must not be lost. While the ring is full they wait here, bounded by the one outstanding read
    // and the bounded writes of each stream.
    void pushEvent(net_event event)
    {
        if (!m_overflow.empty() || !m_events.tryPush(std::move(event)))
            m_overflow.push_back(std::move(event)); // NOLINT(bugprone-use-after-move): tryPush left it untouched
        if (!m_overflow.empty())
            asio::post(m_context, [this] { flushOverflow(); });
    }

    void flushOverflow()
    {
        while (!m_overflow.empty() && m_events.tryPush(std::move(m_overflow.front())))
            m_overflow.pop_front();
    }

    void armTimer()
    {
        m_timer.expires_after(kTimerPeriod);
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (error)
                return;
            flushOverflow();
            const auto now = monotonicNow();
            std::vector<std::shared_ptr<hop>> hops;
            hops.reserve(m_hops.size());
            for (const auto &[id, item] : m_hops)
                hops.push_back(item);
            for (const auto &item : hops)
                item->onTimer(now);
            armTimer();
        });
    }

    void acceptHop()
    {
        if (!m_hopAcceptor.is_open())
            return;
        m_hopAcceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
            if (!error && m_inboundHops < m_settings.maxInboundHops) {
                ++m_inboundHops;
                addHop(std::move(socket))->startAccepted(monotonicNow());
            }
            acceptHop();
        });
    }

    std::shared_ptr<hop> addHop(tcp::socket socket)
    {
        const hop_id id = ++m_lastHop;
        auto created = std::make_shared<hop>(std::move(socket), id, m_settings, m_codec, m_counters, *this);
        m_hops.emplace(id, created);
        m_counters.hopsOpen = m_hops.size();
        return created;
    }

    std::shared_ptr<hop> connectHop(const host_address &target)
    {
        auto created = addHop(tcp::socket(m_context));
        m_hopByTarget[target] = created->id();
        created->startConnect(target, monotonicNow());
        if (m_settings.greeting)
            created->send(*m_settings.greeting, monotonicNow());
        return created;
    }

    std::shared_ptr<hop> hopTo(const host_address &target)
    {
        const auto found = m_hopByTarget.find(target);
        return found == m_hopByTarget.end() ? nullptr : m_hops.at(found->second);
    }

    void acceptStream(const host_address &listener, tcp::acceptor &acceptor)
    {
        acceptor.async_accept([this, listener, &acceptor](const boost::system::error_code &error, tcp::socket socket) {
            if (error == asio::error::operation_aborted)
                return;
            if (!error)
                onStreamAccepted(listener, std::move(socket));
            acceptStream(listener, acceptor);
        });
    }

    void onStreamAccepted(const host_address &listener, tcp::socket socket)
    {
        boost::system::error_code error;
        const auto remote = socket.remote_endpoint(error);
        if (error || m_streams.size() >= m_settings.maxStreams) {
            ++m_counters.streamsRefused;
            return;
        }
        const stream_id id = ++m_lastAccepted | kAcceptedBit;
        auto stream = std::make_shared<stream_socket>(std::move(socket), id, *this);
        stream->startAccepted();
        addStream(id, stream);
        pushEvent(stream_accepted{id, listener, addressOf(remote)});
    }

    void addStream(stream_id id, const std::shared_ptr<stream_socket> &stream)
    {
        m_streams.emplace(id, stream);
        m_counters.streamsOpen = m_streams.size();
    }

    std::shared_ptr<stream_socket> findStream(stream_id id)
    {
        const auto found = m_streams.find(id);
        return found == m_streams.end() ? nullptr : found->second;
    }

    void receiveDatagram()
    {
        if (!m_udp.is_open())
            return;
        m_udp.async_receive_from(asio::buffer(m_datagram), m_datagramSender,
                                 [this](const boost::system::error_code &error, std::size_t bytes) {
                                     if (!error)
                                         onDatagram(std::string_view(m_datagram).substr(0, bytes));
                                     receiveDatagram();
                                 });
    }

    void onDatagram(std::string_view bytes)
    {
        m_counters.datagramBytesIn += bytes.size();
        decode_error reason{};
        auto decoded = m_codec.decode(bytes, &reason);
        if (!decoded) {
            ++m_counters.decodeErrors[std::size_t(reason)];
            return;
        }
        const host_address from{m_datagramSender.address().to_v4().to_uint(), m_datagramSender.port()};
        if (!m_events.tryPush(datagram_received{from, std::move(decoded->value)}))
            ++m_counters.framesDropped;
    }

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
    hop_id m_lastHop = 0;
    stream_id m_lastAccepted = 0;
    std::thread m_thread;
};

network::network(net_settings settings)
    : m_events(settings.eventCapacity)
{
    m_implementation = std::make_unique<implementation>(std::move(settings), m_counters, m_events);
}

network::~network()
{
    stop();
}

std::optional<host_address> network::listenForHops(const host_address &address, std::error_code *lastReason)
{
    return m_implementation->listenForHops(address, lastReason);
}

std::optional<host_address> network::listenForStreams(const host_address &address, std::error_code *lastReason)
{
    return m_implementation->listenForStreams(address, lastReason);
}

void network::start()
{
    m_implementation->start();
}

void network::stop()
{
    m_events.close();
    m_implementation->stop();
}

void network::pause()
{
    m_implementation->pause();
}

void network::resume()
{
    m_implementation->resume();
}

void network::runCommandsNow()
{
    m_implementation->runCommands();
}

std::vector<saved_stream> network::saveStreams()
{
    return m_implementation->saveStreams();
}

void network::adoptStream(const saved_stream &saved)
{
    m_implementation->adoptStream(saved);
}

void network::setGreeting(frame greeting)
{
    m_implementation->setGreeting(std::move(greeting));
}

void network::post(net_command command)
{
    m_implementation->post(std::move(command));
}

} // namespace citroncrank
