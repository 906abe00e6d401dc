// The plain TCP streams of a network: listeners, callers' and upstreams' connections.

#include "network_implementation_pvt.h"

namespace citroncrank {

namespace {

/// Streams accepted by the network thread carry this bit; streams opened by the decision thread do not.
constexpr stream_id kAcceptedBit = stream_id(1) << 63U;

} // namespace

std::optional<host_address> network::implementation::listenForStreams(const host_address &address,
                                                                      std::error_code *lastReason)
{
    tcp::acceptor acceptor(m_context);
    if (!bindAcceptor(acceptor, address, lastReason))
        return std::nullopt;
    const auto bound = addressOf(acceptor.local_endpoint());
    auto &stored = m_streamAcceptors.emplace(bound, std::make_unique<tcp::acceptor>(std::move(acceptor))).first->second;
    acceptStream(bound, *stored);
    return bound;
}

std::vector<saved_stream> network::implementation::saveStreams()
{
    std::vector<saved_stream> saved;
    for (const auto &[id, stream] : m_streams) {
        if (auto item = stream->save())
            saved.push_back(std::move(*item));
    }
    return saved;
}

void network::implementation::adoptStream(const saved_stream &saved)
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

void network::implementation::onStreamDestroyed(stream_id stream)
{
    m_streams.erase(stream);
    m_counters.streamsOpen = m_streams.size();
}

void network::implementation::operator()(stream_connect &command)
{
    auto stream = std::make_shared<stream_socket>(tcp::socket(m_context), command.stream, *this);
    addStream(command.stream, stream);
    stream->startConnect(command.target);
}

void network::implementation::operator()(stream_read &command)
{
    if (auto stream = findStream(command.stream))
        stream->read(command.maxBytes);
}

void network::implementation::operator()(stream_write &command)
{
    if (auto stream = findStream(command.stream))
        stream->write(command.bytes);
}

void network::implementation::operator()(stream_finish &command)
{
    if (auto stream = findStream(command.stream))
        stream->finish();
}

void network::implementation::operator()(stream_close &command)
{
    if (auto stream = findStream(command.stream))
        stream->close(command.abort);
}

void network::implementation::operator()(listen_streams &command)
{
    if (!command.enabled) {
        m_streamAcceptors.erase(command.address);
        return;
    }
    std::error_code reason;
    if (!m_streamAcceptors.contains(command.address) && !listenForStreams(command.address, &reason))
        pushEvent(listen_failed{command.address, reason});
}

void network::implementation::acceptStream(const host_address &listener, tcp::acceptor &acceptor)
{
    acceptor.async_accept([this, listener, &acceptor](const boost::system::error_code &error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error)
            onStreamAccepted(listener, std::move(socket));
        acceptStream(listener, acceptor);
    });
}

void network::implementation::onStreamAccepted(const host_address &listener, tcp::socket socket)
{
    boost::system::error_code error;
    const auto remote = socket.remote_endpoint(error);
    if (error || m_streams.size() >= m_settings.maxStreams) {
        ++m_counters.streamsRefused;
        return;
    }
    const stream_id id = ++m_lastAcceptedId | kAcceptedBit;
    auto stream = std::make_shared<stream_socket>(std::move(socket), id, *this);
    stream->startAccepted();
    addStream(id, stream);
    pushEvent(stream_accepted{id, listener, addressOf(remote)});
}

void network::implementation::addStream(stream_id id, const std::shared_ptr<stream_socket> &stream)
{
    m_streams.emplace(id, stream);
    m_counters.streamsOpen = m_streams.size();
}

std::shared_ptr<stream_socket> network::implementation::findStream(stream_id id)
{
    const auto found = m_streams.find(id);
    return found == m_streams.end() ? nullptr : found->second;
}

} // namespace citroncrank
