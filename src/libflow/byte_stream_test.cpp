#include "citroncrank/byte_stream.h"

#include <deque>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace citroncrank {
namespace {

time_point at(std::int64_t milliseconds)
{
    return time_point(duration(milliseconds * 1000));
}

stream_limits smallWindow()
{
    stream_limits limits;
    limits.windowBytes = 100;
    return limits;
}

// Guards against bytes that are lost, duplicated or out of order, and against a fin before all bytes, on a path that
// drops, duplicates, delays and reorders chunks and drops acknowledgements.
RC_GTEST_PROP(ByteStreamProperty, DeliversEachByteOnceAndInOrder, (const std::string &text))
{
    send_stream sender(smallWindow());
    receive_stream receiver(smallWindow().windowBytes);
    std::deque<stream_chunk> path;
    std::string received;
    std::size_t written = 0;
    const std::string expected = text + text + text + text;
    for (std::int64_t now = 0; now < 100'000 && !sender.complete(); now += 10) {
        const auto room = std::min<std::size_t>(sender.room(), expected.size() - written);
        sender.append(std::string_view(expected).substr(written, room));
        written += room;
        if (written == expected.size() && !sender.finished())
            sender.finish();
        for (auto &chunk : sender.takeChunks(at(now)))
            path.push_back(std::move(chunk));
        const bool faultFree = now > 50'000;
        if (path.empty())
            continue;
        const std::size_t index = faultFree ? 0 : *rc::gen::inRange<std::size_t>(0, path.size());
        const auto chunk = path[index];
        const int fault = faultFree ? 0 : *rc::gen::inRange(0, 4);
        if (fault != 3) // 3 leaves the chunk on the path as a duplicate
            path.erase(path.begin() + std::ptrdiff_t(index));
        if (fault == 2) // 2 drops the chunk
            continue;
        RC_ASSERT(receiver.insert(chunk.offset, chunk.bytes, chunk.fin));
        const auto ready = receiver.takeReady();
        received += ready;
        receiver.consumed(ready.size());
        RC_ASSERT(expected.compare(0, received.size(), received) == 0);
        if (receiver.finReached())
            RC_ASSERT(received == expected);
        if (fault != 1) // 1 loses the acknowledgement
            RC_ASSERT(sender.acknowledge(receiver.ack(), receiver.windowEnd(), receiver.finReached(), at(now)));
    }
    RC_ASSERT(sender.complete());
    RC_ASSERT(received == expected);
}

// Guards against a peer that exceeds the window, changes the end of the stream, or sends bytes after it.
TEST(ByteStream, ReceiverRejectsWhatContradictsTheStream)
{
    receive_stream receiver(10);
    EXPECT_FALSE(receiver.insert(5, "abcdefgh", false));
    EXPECT_TRUE(receiver.insert(0, "abcd", true));
    EXPECT_FALSE(receiver.insert(0, "abcde", true));
    EXPECT_FALSE(receiver.insert(4, "e", false));
    EXPECT_TRUE(receiver.insert(2, "cd", true));
    EXPECT_EQ(receiver.takeReady(), "abcd");
}

// Guards against an offset near the end of its range whose end overflows and passes the window check.
TEST(ByteStream, ReceiverRejectsOffsetsThatWrap)
{
    receive_stream receiver(10);
    EXPECT_FALSE(receiver.insert(UINT64_MAX - 1, "abcd", false));
}

// Guards against an end before bytes that were already received: they would be delivered after the end.
TEST(ByteStream, ReceiverRejectsAnEndBeforeBytesThatArrivedEarly)
{
    receive_stream receiver(10);
    EXPECT_TRUE(receiver.insert(4, "efgh", false));
    EXPECT_FALSE(receiver.insert(0, "ab", true));
}

// Guards against acknowledgements of bytes that were never sent.
TEST(ByteStream, SenderRejectsAcknowledgementsAheadOfWhatWasSent)
{
    send_stream sender(smallWindow());
    sender.append("abc");
    sender.takeChunks(at(0));
    EXPECT_FALSE(sender.acknowledge(4, 100, false, at(1)));
    EXPECT_FALSE(sender.acknowledge(3, 100, true, at(1)));
    EXPECT_TRUE(sender.acknowledge(3, 100, false, at(1)));
}

// Guards against moving a flow whose first owner acknowledged bytes: these are no longer buffered.
TEST(ByteStream, RestartIsRefusedAfterAnAcknowledgement)
{
    send_stream sender(smallWindow());
    sender.append("abc");
    sender.finish();
    EXPECT_EQ(sender.takeChunks(at(0)).size(), 1U);
    EXPECT_TRUE(sender.restart());
    const auto again = sender.takeChunks(at(1));
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again.front().bytes, "abc");
    EXPECT_TRUE(again.front().fin);
    EXPECT_TRUE(sender.acknowledge(1, 100, false, at(2)));
    EXPECT_FALSE(sender.restart());
}

// Guards against a retransmission storm: each timeout in a row doubles the wait and sends one chunk.
TEST(ByteStream, TimeoutsBackOffAndSendOneChunk)
{
    send_stream sender(stream_limits{});
    sender.append(std::string(3 * kMaxDataBytes, 'x'));
    EXPECT_EQ(sender.takeChunks(at(0)).size(), 3U);
    EXPECT_TRUE(sender.takeChunks(at(199)).empty());
    EXPECT_EQ(sender.takeChunks(at(200)).size(), 1U);
    EXPECT_TRUE(sender.takeChunks(at(599)).empty());
    EXPECT_EQ(sender.takeChunks(at(600)).size(), 1U);
}

// Guards against flow resets while the two ends use different configuration revisions: a sender with a larger window
// than its receiver must not send more than the receiver accepts.
TEST(ByteStream, SenderWithLargerWindowStaysWithinTheReceivers)
{
    stream_limits large;
    large.windowBytes = 16 * 1024 * 1024;
    send_stream sender(large);
    receive_stream receiver(kInitialWindowBytes);
    sender.append(std::string(1024 * 1024, 'x'));
    std::uint64_t received = 0;
    for (int round = 0; round < 100 && received < 1024 * 1024; ++round) {
        for (const auto &chunk : sender.takeChunks(at(round)))
            ASSERT_TRUE(receiver.insert(chunk.offset, chunk.bytes, chunk.fin));
        const auto ready = receiver.takeReady().size();
        received += ready;
        receiver.consumed(ready);
        ASSERT_TRUE(sender.acknowledge(receiver.ack(), receiver.windowEnd(), false, at(round)));
    }
    EXPECT_EQ(received, 1024U * 1024U);
}

// Guards against an in-place upgrade that loses the window announced to the sender.
TEST(ByteStream, SavedReceiverKeepsItsWindow)
{
    receive_stream receiver(1024 * 1024);
    ASSERT_TRUE(receiver.insert(500'000, "later", false));
    receive_stream restored(receiver.save());
    EXPECT_EQ(restored.windowEnd(), receiver.windowEnd());
    EXPECT_TRUE(restored.insert(900'000, "more", false));
}

} // namespace
} // namespace citroncrank
