#pragma once

/// @file
/// Reliable byte streams over paths that lose, delay, duplicate and reorder frames.

#include "citroncrank/frame.h"
#include "citroncrank/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace citroncrank {

/// Bytes that a sender may send before the receiver has announced its window, and the minimum window of a receiver.
/// Part of the protocol rather than a setting, because the two ends may temporarily use different configuration
/// revisions.
constexpr std::uint64_t kInitialWindowBytes = 64 * 1024;

/// Bounds of the retransmission timeout and the window of one direction of a flow.
struct stream_limits
{
    std::uint64_t windowBytes = 256 * 1024;
    duration minimumTimeout{50'000};
    duration maximumTimeout{2'000'000};
    duration initialTimeout{200'000};
    bool operator==(const stream_limits &) const = default;
};

/// A piece of a stream to send.
struct stream_chunk
{
    std::uint64_t offset = 0;
    std::string bytes;
    bool fin = false;
    bool retransmission = false;
    auto operator<=>(const stream_chunk &) const = default;
};

/// State of a send_stream that is transferred in an in-place upgrade.
struct send_stream_state
{
    std::uint64_t base = 0;
    std::uint64_t next = 0;
    std::uint64_t windowEnd = 0;
    std::string bytes; ///< Unacknowledged and unsent bytes, starting at offset `base`.
    bool finished = false;
    bool finSent = false;
    bool finAcknowledged = false;
    auto operator<=>(const send_stream_state &) const = default;
};

/// Sending side of a stream: buffers bytes until they are acknowledged and retransmits them after a timeout.
class send_stream
{
public:
    explicit send_stream(const stream_limits &limits);
    /// Continues from a saved state; unacknowledged bytes are retransmitted after the first timeout.
    send_stream(const stream_limits &limits, const send_stream_state &state, time_point now);
    send_stream_state save() const;

    /// Bytes that may still be appended before the buffer reaches one window.
    std::uint64_t room() const;
    void append(std::string_view bytes);
    /// Marks the end of the stream after the bytes appended so far.
    void finish() { m_finished = true; }

    /// Chunks that may be sent now: new ones within the peer's window, and overdue ones.
    std::vector<stream_chunk> takeChunks(time_point now);
    /// Handles an acknowledgement. Returns false if it covers bytes that were never sent.
    bool acknowledge(std::uint64_t ack, std::uint64_t windowEnd, bool finReceived, time_point now);
    /// Resets the transmission state, so that all buffered bytes are sent again to another owner. Returns false if some
    /// bytes were already acknowledged and are no longer buffered.
    bool restart();

    std::optional<time_point> nextDeadline() const { return m_deadline; }
    bool finished() const { return m_finished; }
    /// The fin and all bytes were acknowledged.
    bool complete() const { return m_finAcknowledged; }
    /// Bytes or a fin were sent and not acknowledged yet.
    bool hasUnacknowledged() const { return m_next > m_base || (m_finSent && !m_finAcknowledged); }
    std::uint64_t acknowledgedOffset() const { return m_base; }
    /// Timeouts in a row without progress.
    int timeoutsInRow() const { return m_timeoutsInRow; }

private:
    std::uint64_t endOffset() const { return m_base + m_buffer.size() - m_head; }
    stream_chunk chunkAt(std::uint64_t offset, std::uint64_t limit) const;
    void sendNew(time_point now, std::vector<stream_chunk> *out);
    void retransmitFirst(std::vector<stream_chunk> *out);
    void onTimeout(std::vector<stream_chunk> *out);
    void dropAcknowledged(std::uint64_t ack);
    void measureRoundTrip(std::uint64_t ack, time_point now);
    void armTimer(time_point now);
    duration timeout() const;

    stream_limits m_limits;
    std::string m_buffer; // bytes from m_base on start at m_head
    std::size_t m_head = 0;
    std::uint64_t m_base = 0;
    std::uint64_t m_next = 0;
    std::uint64_t m_windowEnd;
    std::uint64_t m_recoverEnd = 0;
    bool m_retransmitNext = false;
    bool m_finished = false;
    bool m_finSent = false;
    bool m_finAcknowledged = false;
    int m_timeoutsInRow = 0;
    std::optional<time_point> m_deadline;
    // End offset and send time of the one segment whose round trip is being measured. Retransmitted segments are never
    // measured (Karn's algorithm).
    std::optional<std::pair<std::uint64_t, time_point>> m_timedSegment;
    duration m_smoothedRoundTrip{0};
    duration m_roundTripVariation{0};
};

/// State of a receive_stream that is transferred in an in-place upgrade.
struct receive_stream_state
{
    std::uint64_t window = kInitialWindowBytes; ///< Bytes the sender may run ahead of what was consumed.
    std::uint64_t received = 0;
    std::uint64_t consumed = 0;
    std::uint64_t highestEnd = 0; ///< Highest end offset of any piece received.
    std::optional<std::uint64_t> end;
    std::string ready;                               ///< Contiguous bytes not taken yet.
    std::map<std::uint64_t, std::string> outOfOrder; ///< Pieces after a gap, by offset.
    auto operator<=>(const receive_stream_state &) const = default;
};

/// Receiving side of a stream: reorders pieces, drops duplicates, and limits how far the sender may run ahead.
class receive_stream
{
public:
    explicit receive_stream(std::uint64_t windowBytes)
        : m_state{.window = windowBytes}
    {}
    /// Continues from a saved state, with the window announced to its sender.
    explicit receive_stream(receive_stream_state state)
        : m_state(std::move(state))
    {}
    const receive_stream_state &save() const { return m_state; }

    /// Inserts a piece of the stream. Returns false if it lies outside the window or contradicts an end received
    /// before; the flow must then be reset.
    bool insert(std::uint64_t offset, std::string_view bytes, bool fin);
    /// Takes the bytes that have become contiguous.
    std::string takeReady();
    /// Reports that the receiving socket accepted `bytes` of the bytes taken, which advances the window.
    void consumed(std::uint64_t bytes) { m_state.consumed += bytes; }

    std::uint64_t ack() const { return m_state.received; }
    std::uint64_t windowEnd() const { return m_state.consumed + m_state.window; }
    std::uint64_t window() const { return m_state.window; }
    /// All bytes up to the fin were received.
    bool finReached() const { return m_state.end && *m_state.end == m_state.received; }
    /// All bytes up to the fin were accepted by the receiving socket.
    bool fullyConsumed() const { return finReached() && m_state.consumed == m_state.received; }

private:
    void insertOutOfOrder(std::uint64_t offset, std::string_view bytes);
    void mergeOutOfOrder();

    receive_stream_state m_state;
};

} // namespace citroncrank
