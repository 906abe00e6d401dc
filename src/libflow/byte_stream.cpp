#include "citroncrank/byte_stream.h"

#include <algorithm>

namespace citroncrank {

namespace {

// The buffer is compacted only once the acknowledged prefix is this large, so that most acknowledgements copy nothing.
constexpr std::size_t kCompactThresholdBytes = 64 * 1024;

} // namespace

send_stream::send_stream(const stream_limits &limits)
    : m_limits(limits)
    , m_windowEnd(std::min(limits.windowBytes, kInitialWindowBytes))
{}

send_stream::send_stream(const stream_limits &limits, const send_stream_state &state, time_point now)
    : m_limits(limits)
    , m_buffer(state.bytes)
    , m_base(state.base)
    , m_next(state.next)
    , m_windowEnd(state.windowEnd)
    , m_finished(state.finished)
    , m_finSent(state.finSent)
    , m_finAcknowledged(state.finAcknowledged)
{
    armTimer(now);
}

send_stream_state send_stream::save() const
{
    return {m_base, m_next, m_windowEnd, m_buffer.substr(m_head), m_finished, m_finSent, m_finAcknowledged};
}

std::uint64_t send_stream::room() const
{
    const std::uint64_t held = endOffset() - m_base;
    return held >= m_limits.windowBytes ? 0 : m_limits.windowBytes - held;
}

void send_stream::append(std::string_view bytes)
{
    m_buffer.append(bytes);
}

std::vector<stream_chunk> send_stream::takeChunks(time_point now)
{
    std::vector<stream_chunk> chunks;
    if (m_deadline && now >= *m_deadline) {
        onTimeout(&chunks);
        m_deadline.reset();
    } else if (m_retransmitNext) {
        retransmitFirst(&chunks);
    }
    m_retransmitNext = false;
    sendNew(now, &chunks);
    if (!m_deadline)
        armTimer(now);
    return chunks;
}

void send_stream::sendNew(time_point now, std::vector<stream_chunk> *out)
{
    while (m_next < endOffset() && m_next < m_windowEnd) {
        auto chunk = chunkAt(m_next, m_windowEnd);
        m_next += chunk.bytes.size();
        m_finSent = m_finSent || chunk.fin;
        if (!m_timedSegment)
            m_timedSegment = {m_next, now};
        out->push_back(std::move(chunk));
    }
    if (m_finished && !m_finSent && m_next == endOffset()) {
        out->push_back({m_next, {}, true, false});
        m_finSent = true;
    }
}

stream_chunk send_stream::chunkAt(std::uint64_t offset, std::uint64_t limit) const
{
    const std::uint64_t size = std::min<std::uint64_t>({kMaxDataBytes, endOffset() - offset, limit - offset});
    const bool last = offset + size == endOffset();
    return {offset, m_buffer.substr(m_head + (offset - m_base), size), m_finished && last, false};
}

void send_stream::retransmitFirst(std::vector<stream_chunk> *out)
{
    if (!hasUnacknowledged())
        return;
    auto chunk = chunkAt(m_base, std::max(m_next, m_base));
    chunk.fin = chunk.fin && m_finSent;
    chunk.retransmission = true;
    out->push_back(std::move(chunk));
}

// After a timeout only the first unacknowledged chunk is retransmitted; each later acknowledgement below the recovery
// point triggers the retransmission of the next one. Retransmitting the whole window would add load to a path that may
// be overloaded.
void send_stream::onTimeout(std::vector<stream_chunk> *out)
{
    ++m_timeoutsInRow;
    m_timedSegment.reset();
    if (hasUnacknowledged()) {
        m_recoverEnd = m_next;
        retransmitFirst(out);
        return;
    }
    // Zero window probe: an empty chunk requests an acknowledgement in case the window update was lost.
    if (m_next < endOffset())
        out->push_back({m_next, {}, false, true});
}

bool send_stream::acknowledge(std::uint64_t ack, std::uint64_t windowEnd, bool finReceived, time_point now)
{
    if (ack > m_next || (finReceived && !m_finSent))
        return false;
    m_windowEnd = std::max(m_windowEnd, windowEnd);
    const bool finProgress = finReceived && !m_finAcknowledged;
    if (finReceived && ack == endOffset())
        m_finAcknowledged = true;
    if (ack <= m_base && !finProgress)
        return true;
    measureRoundTrip(ack, now);
    dropAcknowledged(ack);
    m_timeoutsInRow = 0;
    m_retransmitNext = m_base < m_recoverEnd;
    m_deadline.reset();
    armTimer(now);
    return true;
}

void send_stream::dropAcknowledged(std::uint64_t ack)
{
    if (ack <= m_base)
        return;
    m_head += ack - m_base;
    m_base = ack;
    if (m_head == m_buffer.size()) {
        m_buffer.clear();
        m_buffer.shrink_to_fit();
        m_head = 0;
    } else if (m_head >= kCompactThresholdBytes) {
        m_buffer.erase(0, m_head);
        m_head = 0;
    }
}

bool send_stream::restart()
{
    if (m_base > 0)
        return false;
    m_next = 0;
    m_windowEnd = std::min(m_limits.windowBytes, kInitialWindowBytes);
    m_recoverEnd = 0;
    m_retransmitNext = false;
    m_finSent = false;
    m_timeoutsInRow = 0;
    m_deadline.reset();
    m_timedSegment.reset();
    return true;
}

void send_stream::measureRoundTrip(std::uint64_t ack, time_point now)
{
    if (!m_timedSegment || ack < m_timedSegment->first)
        return;
    const duration sample = now - m_timedSegment->second;
    m_timedSegment.reset();
    if (m_smoothedRoundTrip == duration(0)) {
        m_smoothedRoundTrip = sample;
        m_roundTripVariation = sample / 2;
        return;
    }
    const duration error = std::chrono::abs(sample - m_smoothedRoundTrip);
    m_roundTripVariation = (3 * m_roundTripVariation + error) / 4;
    m_smoothedRoundTrip = (7 * m_smoothedRoundTrip + sample) / 8;
}

void send_stream::armTimer(time_point now)
{
    const bool windowClosed = m_next < endOffset() && m_next >= m_windowEnd;
    if (hasUnacknowledged() || windowClosed)
        m_deadline = now + timeout();
}

duration send_stream::timeout() const
{
    duration base = m_limits.initialTimeout;
    if (m_smoothedRoundTrip != duration(0))
        base = std::max(m_limits.minimumTimeout, m_smoothedRoundTrip + 4 * m_roundTripVariation);
    constexpr int kMaxDoublings = 16;
    const int doublings = std::min(m_timeoutsInRow, kMaxDoublings);
    return std::min(m_limits.maximumTimeout, base * (1 << doublings));
}

bool receive_stream::insert(std::uint64_t offset, std::string_view bytes, bool fin)
{
    const std::uint64_t end = offset + bytes.size();
    const bool wraps = end < offset;
    if (wraps || end > windowEnd())
        return false;
    if (fin) {
        if ((m_state.end && *m_state.end != end) || end < m_state.highestEnd)
            return false;
        m_state.end = end;
    }
    if (m_state.end && end > *m_state.end)
        return false;
    m_state.highestEnd = std::max(m_state.highestEnd, end);
    if (end <= m_state.received)
        return true;
    if (offset <= m_state.received) {
        m_state.ready.append(bytes.substr(m_state.received - offset));
        m_state.received = end;
        mergeOutOfOrder();
    } else {
        insertOutOfOrder(offset, bytes);
    }
    return true;
}

void receive_stream::insertOutOfOrder(std::uint64_t offset, std::string_view bytes)
{
    auto &held = m_state.outOfOrder[offset];
    if (held.size() < bytes.size())
        held.assign(bytes);
}

void receive_stream::mergeOutOfOrder()
{
    while (!m_state.outOfOrder.empty() && m_state.outOfOrder.begin()->first <= m_state.received) {
        const auto &[offset, bytes] = *m_state.outOfOrder.begin();
        const std::uint64_t end = offset + bytes.size();
        if (end > m_state.received) {
            m_state.ready.append(std::string_view(bytes).substr(m_state.received - offset));
            m_state.received = end;
        }
        m_state.outOfOrder.erase(m_state.outOfOrder.begin());
    }
}

std::string receive_stream::takeReady()
{
    std::string ready;
    ready.swap(m_state.ready);
    return ready;
}

} // namespace citroncrank
