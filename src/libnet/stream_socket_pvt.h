#pragma once

#include "hop_pvt.h"

namespace citroncrank {

/// Receives the events of a stream.
class stream_owner
{
public:
    virtual ~stream_owner() = default;
    virtual void onStreamEvent(net_event event) = 0;
    virtual void onStreamDestroyed(stream_id stream) = 0;
};

/// A plain TCP connection to a caller or an upstream. Reads only on request, so that an idle connection holds no
/// buffer and TCP flow control slows down the sender of a slow receiver.
class stream_socket : public std::enable_shared_from_this<stream_socket>
{
public:
    stream_socket(tcp::socket socket, stream_id id, stream_owner &owner)
        : m_socket(std::move(socket))
        , m_id(id)
        , m_owner(owner)
    {}

    void startConnect(const host_address &target);
    void startAccepted();
    /// Continues a stream of the program that this one replaced.
    void startAdopted(const saved_stream &saved);
    /// Returns nullopt unless the stream is connected and not being closed.
    std::optional<saved_stream> save();
    void read(std::uint64_t maxBytes);
    void write(const std::string &bytes);
    void finish();
    void close(bool abort);

private:
    void setOptions();
    void onReadable(const boost::system::error_code &error, std::uint64_t maxBytes);
    void startWrite();
    void onWritable(const boost::system::error_code &error);
    void shutdownSend();
    void discardUntilEnd();
    void fail();
    void destroy();

    tcp::socket m_socket;
    stream_id m_id;
    stream_owner &m_owner;
    std::string m_pending; ///< Bytes that the kernel has not accepted yet, from m_pendingHead on.
    std::size_t m_pendingHead = 0;
    bool m_waitingToWrite = false;
    bool m_connected = false;
    bool m_finishRequested = false;
    bool m_shutdownDone = false;
    bool m_closeRequested = false;
    bool m_failed = false;
    bool m_destroyed = false;
    bool m_endReceived = false;
};

} // namespace citroncrank
