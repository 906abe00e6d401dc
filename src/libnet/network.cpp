#include "citroncrank/net.h"

#include "citroncrank/timer_service.h"
#include "network_implementation_pvt.h"

#include <boost/asio/post.hpp>

namespace citroncrank {

namespace {

constexpr auto kTimerPeriod = std::chrono::milliseconds(50);
constexpr std::size_t kMaxDatagramBytes = 64 * 1024;

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

network::implementation::implementation(net_settings settings, net_counters &counters, bounded_ring<net_event> &events)
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

std::optional<host_address> network::implementation::listenForHops(const host_address &address,
                                                                   std::error_code *lastReason)
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

void network::implementation::start()
{
    acceptHop();
    receiveDatagram();
    armTimer();
    m_thread = std::thread([this] { m_context.run(); });
}

void network::implementation::stop()
{
    m_commands.close();
    m_context.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void network::implementation::pause()
{
    m_context.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void network::implementation::resume()
{
    m_context.restart();
    m_thread = std::thread([this] { m_context.run(); });
}

void network::implementation::onHopFrame(hop_id hop, frame value)
{
    if (!m_events.tryPush(frame_received{hop, std::move(value)}))
        ++m_counters.framesDropped;
}

void network::implementation::onHopConnected(hop_id id)
{
    const auto found = m_hops.find(id);
    if (found != m_hops.end())
        pushEvent(hop_connected{id, *found->second->target()});
}

void network::implementation::onHopClosed(hop_id id, hop_close_reason reason)
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
    // A member function of the hop may be on the call stack, so its destruction is deferred.
    asio::post(m_context, [closedHop = found->second] {});
    m_hops.erase(found);
    m_counters.hopsOpen = m_hops.size();
    pushEvent(hop_closed{id, reason, target});
}

void network::implementation::operator()(send_on_hop &command)
{
    const auto found = m_hops.find(command.hop);
    if (found == m_hops.end())
        ++m_counters.framesDropped;
    else
        found->second->send(command.value, monotonicNow());
}

void network::implementation::operator()(send_to_address &command)
{
    auto existing = findHopByTarget(command.target);
    const bool replace = command.replaceUnansweredHop && existing != nullptr && existing->hasPendingPing();
    if (replace)
        m_hopByTarget.erase(command.target);
    if (existing == nullptr || replace)
        existing = connectHop(command.target);
    existing->send(command.value, monotonicNow());
}

void network::implementation::operator()(send_datagram &command)
{
    std::string encoded;
    m_codec.encode(command.value, &encoded);
    boost::system::error_code error;
    m_udp.send_to(asio::buffer(encoded), {asio::ip::address_v4(command.target.ip), command.target.port}, 0, error);
    if (!error)
        m_counters.datagramBytesOut += encoded.size();
}

void network::implementation::operator()(open_hop &command)
{
    if (findHopByTarget(command.target) == nullptr)
        connectHop(command.target)->send(command.hello, monotonicNow());
}

void network::implementation::operator()(close_hop &command)
{
    const auto found = m_hops.find(command.hop);
    if (found != m_hops.end())
        std::shared_ptr<hop>(found->second)->close(hop_close_reason::local);
}

void network::implementation::runCommands()
{
    m_commandBatch.clear();
    m_commands.drain(&m_commandBatch, time_point());
    for (auto &command : m_commandBatch)
        std::visit(*this, command);
}

bool network::implementation::bindAcceptor(tcp::acceptor &acceptor, const host_address &address,
                                           std::error_code *lastReason)
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

// Stream events must not be lost, so they are held in m_overflow while the ring is full. Its size is bounded, since
// each stream has one outstanding read and bounded writes.
void network::implementation::pushEvent(net_event event)
{
    if (!m_overflow.empty() || !m_events.tryPush(std::move(event)))
        m_overflow.push_back(std::move(event)); // NOLINT(bugprone-use-after-move): tryPush left it untouched
    if (!m_overflow.empty())
        asio::post(m_context, [this] { flushOverflow(); });
}

void network::implementation::flushOverflow()
{
    while (!m_overflow.empty() && m_events.tryPush(std::move(m_overflow.front())))
        m_overflow.pop_front();
}

void network::implementation::armTimer()
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

void network::implementation::acceptHop()
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

std::shared_ptr<hop> network::implementation::addHop(tcp::socket socket)
{
    const hop_id id = ++m_lastHopId;
    auto created = std::make_shared<hop>(std::move(socket), id, m_settings, m_codec, m_counters, *this);
    m_hops.emplace(id, created);
    m_counters.hopsOpen = m_hops.size();
    return created;
}

std::shared_ptr<hop> network::implementation::connectHop(const host_address &target)
{
    auto created = addHop(tcp::socket(m_context));
    m_hopByTarget[target] = created->id();
    created->startConnect(target, monotonicNow());
    if (m_settings.greeting)
        created->send(*m_settings.greeting, monotonicNow());
    return created;
}

std::shared_ptr<hop> network::implementation::findHopByTarget(const host_address &target)
{
    const auto found = m_hopByTarget.find(target);
    return found == m_hopByTarget.end() ? nullptr : m_hops.at(found->second);
}

void network::implementation::receiveDatagram()
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

void network::implementation::onDatagram(std::string_view bytes)
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

void network::runQueuedCommands()
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
