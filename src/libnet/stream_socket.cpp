#include "stream_socket_pvt.h"

#include <array>

namespace citroncrank {

namespace {

constexpr std::size_t kReadBytes = 64 * 1024;

/// All sockets of the network thread read into this buffer, so that idle connections hold none.
std::array<char, kReadBytes> &readBuffer()
{
    thread_local std::array<char, kReadBytes> buffer;
    return buffer;
}

} // namespace

void stream_socket::startAccepted()
{
    m_connected = true;
    setOptions();
}

void stream_socket::startAdopted(const saved_stream &saved)
{
    m_connected = true;
    m_pending = saved.unsent;
    m_finishRequested = saved.finishRequested;
    m_shutdownDone = saved.shutdownDone;
    m_endReceived = saved.ended;
    setOptions();
    startWrite();
}

std::optional<saved_stream> stream_socket::save()
{
    if (!m_connected || m_destroyed || m_closeRequested)
        return std::nullopt;
    return saved_stream{
        m_id,         m_socket.native_handle(), m_pending.substr(m_pendingHead), m_finishRequested, m_shutdownDone,
        m_endReceived};
}

void stream_socket::setOptions()
{
    boost::system::error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
}

void stream_socket::startConnect(const host_address &target)
{
    m_socket.async_connect(endpointOf(target), [self = shared_from_this()](const boost::system::error_code &error) {
        if (self->m_destroyed)
            return;
        if (error) {
            self->m_owner.onStreamEvent(stream_connect_failed{self->m_id});
            self->destroy();
            return;
        }
        self->m_connected = true;
        self->setOptions();
        self->m_owner.onStreamEvent(stream_connected{self->m_id});
        self->startWrite();
    });
}

void stream_socket::read(std::uint64_t maxBytes)
{
    if (m_destroyed || m_closeRequested)
        return;
    m_socket.async_wait(tcp::socket::wait_read,
                        [self = shared_from_this(), maxBytes](const boost::system::error_code &error) {
                            self->onReadable(error, maxBytes);
                        });
}

void stream_socket::onReadable(const boost::system::error_code &error, std::uint64_t maxBytes)
{
    if (m_destroyed || m_closeRequested)
        return;
    boost::system::error_code readError = error;
    auto &buffer = readBuffer();
    std::size_t bytes = 0;
    if (!readError)
        bytes = m_socket.read_some(asio::buffer(buffer.data(), std::min<std::uint64_t>(maxBytes, buffer.size())),
                                   readError);
    if (readError == asio::error::would_block || readError == asio::error::try_again) {
        read(maxBytes);
    } else if (readError == asio::error::eof) {
        m_endReceived = true;
        m_owner.onStreamEvent(stream_ended{m_id});
    } else if (readError) {
        fail();
    } else {
        m_owner.onStreamEvent(stream_bytes{m_id, std::string(buffer.data(), bytes)});
    }
}

void stream_socket::write(const std::string &bytes)
{
    if (m_destroyed || m_failed)
        return;
    m_pending.append(bytes);
    startWrite();
}

// Bytes are removed from m_pending only after the kernel has accepted them, so that save() can return all unsent bytes
// at any time.
void stream_socket::startWrite()
{
    if (m_waitingToWrite || m_destroyed || !m_connected)
        return;
    if (m_pending.empty()) {
        if (m_finishRequested)
            shutdownSend();
        if (m_closeRequested)
            discardUntilEnd();
        return;
    }
    m_waitingToWrite = true;
    m_socket.async_wait(tcp::socket::wait_write, [self = shared_from_this()](const boost::system::error_code &error) {
        self->onWritable(error);
    });
}

void stream_socket::onWritable(const boost::system::error_code &error)
{
    m_waitingToWrite = false;
    if (m_destroyed)
        return;
    boost::system::error_code writeError = error;
    std::size_t bytes = 0;
    if (!writeError)
        bytes = m_socket.write_some(asio::buffer(m_pending.data() + m_pendingHead, m_pending.size() - m_pendingHead),
                                    writeError);
    if (writeError && writeError != asio::error::would_block && writeError != asio::error::try_again) {
        fail();
        return;
    }
    m_pendingHead += bytes;
    if (m_pendingHead == m_pending.size()) {
        m_pending.clear();
        m_pending.shrink_to_fit();
        m_pendingHead = 0;
    }
    if (bytes > 0 && !m_closeRequested)
        m_owner.onStreamEvent(stream_consumed{m_id, bytes});
    startWrite();
}

void stream_socket::finish()
{
    m_finishRequested = true;
    startWrite();
}

void stream_socket::shutdownSend()
{
    if (std::exchange(m_shutdownDone, true))
        return;
    boost::system::error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
}

void stream_socket::close(bool abort)
{
    if (m_destroyed)
        return;
    if (abort) {
        boost::system::error_code ignored;
        m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        destroy();
        return;
    }
    m_closeRequested = true;
    m_finishRequested = true;
    startWrite();
}

// If a socket is closed with unread bytes, the kernel sends a reset, which can discard response bytes that the peer has
// not read yet. Received bytes are therefore read and discarded until the peer closes its side.
void stream_socket::discardUntilEnd()
{
    if (m_endReceived) {
        destroy();
        return;
    }
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](boost::system::error_code error) {
        if (self->m_destroyed)
            return;
        auto &buffer = readBuffer();
        if (!error)
            self->m_socket.read_some(asio::buffer(buffer), error);
        if (error && error != asio::error::would_block && error != asio::error::try_again)
            self->destroy();
        else
            self->discardUntilEnd();
    });
}

void stream_socket::fail()
{
    if (m_destroyed)
        return;
    m_failed = true;
    if (!m_closeRequested)
        m_owner.onStreamEvent(stream_reset{m_id});
    destroy();
}

void stream_socket::destroy()
{
    if (std::exchange(m_destroyed, true))
        return;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_owner.onStreamDestroyed(m_id);
}

} // namespace citroncrank
