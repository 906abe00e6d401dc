#include "hop_pvt.h"

#include "citroncrank/timer_service.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <numeric>

namespace citroncrank {

namespace {

constexpr std::size_t kReadBytes = 64 * 1024;
constexpr std::size_t kWriteBatchBytes = 256 * 1024;
constexpr std::size_t kLaneQuantumBytes = 1024;

} // namespace

// A flood in one class may use the unused shares of the others but must not displace their frames: a lane below its
// share accepts frames even when the queue is full, so the queue holds at most twice its limit.
bool lane_queue::push(flow_class lane, std::string encoded)
{
    const auto index = std::size_t(lane);
    const std::size_t sum = std::accumulate(m_shares.begin(), m_shares.end(), std::size_t(0));
    const std::size_t reserved = m_maxBytes * m_shares[index] / std::max<std::size_t>(sum, 1);
    if (m_bytes >= m_maxBytes && m_laneBytes[index] >= reserved)
        return false;
    m_bytes += encoded.size();
    m_laneBytes[index] += encoded.size();
    m_lanes[index].push_back(std::move(encoded));
    return true;
}

bool lane_queue::takeOne(std::size_t lane, std::string *out)
{
    auto &queue = m_lanes[lane];
    if (queue.empty())
        return false;
    m_bytes -= queue.front().size();
    m_laneBytes[lane] -= queue.front().size();
    out->append(queue.front());
    queue.pop_front();
    return true;
}

std::string lane_queue::takeBatch(std::size_t maxBytes)
{
    std::string batch;
    while (m_bytes > 0 && batch.size() < maxBytes) {
        for (std::size_t lane = 0; lane < m_lanes.size(); ++lane) {
            const std::size_t limit = batch.size() + m_shares[lane] * kLaneQuantumBytes;
            while (batch.size() < limit && takeOne(lane, &batch)) {
            }
        }
    }
    return batch;
}

hop::hop(tcp::socket socket, hop_id id, const net_settings &settings, const frame_codec &codec, net_counters &counters,
         hop_owner &owner)
    : m_socket(std::move(socket))
    , m_id(id)
    , m_settings(settings)
    , m_codec(codec)
    , m_counters(counters)
    , m_owner(owner)
    , m_queue(settings.laneShares, settings.hopQueueBytes)
{}

void hop::startAccepted(time_point now)
{
    m_startedAt = now;
    m_connected = true;
    boost::system::error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
    startRead();
}

void hop::startConnect(const host_address &target, time_point now)
{
    m_startedAt = now;
    m_target = target;
    m_authenticated = true;
    m_socket.async_connect(endpointOf(target), [self = shared_from_this()](const boost::system::error_code &error) {
        if (self->m_closed)
            return;
        if (error) {
            self->close(hop_close_reason::connect_failed);
            return;
        }
        boost::system::error_code ignored;
        self->m_socket.set_option(tcp::no_delay(true), ignored);
        self->m_socket.non_blocking(true, ignored);
        self->m_connected = true;
        self->m_owner.onHopConnected(self->m_id);
        self->startRead();
        self->startWrite();
    });
}

void hop::send(const frame &value, time_point now)
{
    std::string encoded;
    m_codec.encode(value, &encoded);
    if (m_closed || !m_queue.push(value.flowClass, std::move(encoded))) {
        ++m_counters.framesDropped;
        return;
    }
    ++m_counters.framesOut;
    if (!m_unansweredSince)
        m_unansweredSince = now;
    startWrite();
}

void hop::startWrite()
{
    if (!m_connected || m_closed || !m_writing.empty() || m_queue.bytes() == 0)
        return;
    m_writing = m_queue.takeBatch(kWriteBatchBytes);
    m_counters.bytesOut += m_writing.size();
    asio::async_write(m_socket, asio::buffer(m_writing),
                      [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                          self->m_writing.clear();
                          if (error)
                              self->close(hop_close_reason::peer_closed);
                          else
                              self->startWrite();
                      });
}

// All hops of the network thread read into one buffer. A hop stores only an incomplete frame, so that thousands of open
// hops hold no read memory while they are idle.
void hop::startRead()
{
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code &error) {
        if (!self->m_closed)
            self->onReadable(error);
    });
}

void hop::onReadable(boost::system::error_code error)
{
    thread_local std::array<char, kReadBytes> buffer;
    std::size_t bytes = 0;
    if (!error)
        bytes = m_socket.read_some(asio::buffer(buffer), error);
    if (error && error != asio::error::would_block && error != asio::error::try_again) {
        close(hop_close_reason::peer_closed);
        return;
    }
    m_counters.bytesIn += bytes;
    if (m_input.empty()) {
        m_input.assign(buffer.data() + parseFrames({buffer.data(), bytes}), buffer.data() + bytes);
    } else {
        m_input.append(buffer.data(), bytes);
        m_input.erase(0, parseFrames(m_input));
    }
    if (m_input.empty())
        m_input.shrink_to_fit();
    if (!m_closed)
        startRead();
}

/// Handles all complete frames and returns their size in bytes.
std::size_t hop::parseFrames(std::string_view input)
{
    std::size_t used = 0;
    while (!m_closed) {
        decode_error reason{};
        auto decoded = m_codec.decode(input.substr(used), &reason);
        if (!decoded) {
            if (reason != decode_error::incomplete) {
                ++m_counters.decodeErrors[std::size_t(reason)];
                close(hop_close_reason::bad_frame);
            }
            break;
        }
        used += decoded->consumedBytes;
        onFrame(std::move(decoded->value));
    }
    return used;
}

void hop::onFrame(frame value)
{
    ++m_counters.framesIn;
    m_authenticated = true;
    m_unansweredSince.reset();
    m_pingSentAt.reset();
    if (const auto *ping = std::get_if<ping_body>(&value.body)) {
        frame pong;
        pong.flowClass = flow_class::urgent;
        pong.body = pong_body{ping->nonce};
        send(pong, monotonicNow());
        // A pong is not answered, so it must not start the silence timer.
        m_unansweredSince.reset();
        return;
    }
    if (!std::holds_alternative<pong_body>(value.body))
        m_owner.onHopFrame(m_id, std::move(value));
}

void hop::onTimer(time_point now)
{
    if (!m_connected && now - m_startedAt > m_settings.connectTimeout) {
        close(hop_close_reason::connect_failed);
        return;
    }
    if (!m_authenticated && now - m_startedAt > m_settings.authenticationTimeout) {
        close(hop_close_reason::not_authenticated);
        return;
    }
    if (m_pingSentAt) {
        if (now - *m_pingSentAt > m_settings.hopPingTimeout) {
            ++m_counters.hopsSilent;
            close(hop_close_reason::silent);
        }
        return;
    }
    if (!m_connected || !m_unansweredSince || now - *m_unansweredSince < m_settings.hopPingDelay)
        return;
    frame ping;
    ping.flowClass = flow_class::urgent;
    ping.body = ping_body{++m_pingNonce};
    send(ping, now);
    m_pingSentAt = now;
}

void hop::close(hop_close_reason reason)
{
    if (m_closed)
        return;
    m_closed = true;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_owner.onHopClosed(m_id, reason);
}

} // namespace citroncrank
