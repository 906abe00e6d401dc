#include "citroncrank/lost_revisions.h"

#include <absl/strings/str_format.h>
#include <chrono>
#include <utility>

namespace citroncrank {

namespace {

using std::chrono::seconds;

// A platform loses the changes of some seconds, and may be down for minutes before it comes back.
constexpr duration kMaxAge = std::chrono::minutes(10);
constexpr std::size_t kMaxRevisions = 64;
constexpr std::size_t kMaxBytes = 1024 * 1024;
// Other nodes may have applied revisions that this one lacks, and learn of the restore at their next call, which is at
// most a read period and a backoff later. The restore counts as handled after that.
constexpr duration kSettleTime = seconds(7);
constexpr duration kFirstRetryDelay = std::chrono::milliseconds(250);
constexpr duration kMaxRetryDelay = seconds(2);
constexpr duration kWriteTimeout = seconds(10);

} // namespace

std::string restoreKey(std::uint64_t era)
{
    return absl::StrFormat("%s%010d", kRestorePrefix, era);
}

void lost_revision_writer::recordApplied(std::uint64_t number, std::shared_ptr<const std::string> text, time_point now)
{
    m_latestBytes += text->size();
    m_latest.push_back({{number, std::move(text)}, now});
    forgetOld(now);
}

void lost_revision_writer::forgetOld(time_point now)
{
    const auto isOld = [&] {
        return m_latest.size() > kMaxRevisions || m_latestBytes > kMaxBytes
               || now - m_latest.front().appliedAt > kMaxAge;
    };
    while (m_latest.size() > 1 && isOld()) {
        m_latestBytes -= m_latest.front().document.text->size();
        m_latest.pop_front();
    }
}

void lost_revision_writer::platformRestored(std::uint64_t era, time_point now)
{
    if (era <= m_era)
        return;
    m_era = era;
    m_isWritten = false;
    m_completeAt = now + kSettleTime;
    m_writeDeadline.reset();
    m_backoff = {};
}

std::optional<write_lost_revisions> lost_revision_writer::nextWrite(time_point now)
{
    const bool isInProgress = m_writeDeadline && now < *m_writeDeadline;
    const bool isComplete = now >= m_completeAt;
    if (m_era == 0 || isInProgress || !m_backoff.isDue(now) || (m_isWritten && !isComplete))
        return std::nullopt;
    m_writeDeadline = now + kWriteTimeout;
    forgetOld(now);
    write_lost_revisions write{m_era, {}, isComplete};
    for (const applied_revision &revision : m_latest)
        write.revisions.push_back(revision.document);
    return write;
}

void lost_revision_writer::writeDone(const lost_revisions_written &result)
{
    if (result.era != m_era)
        return;
    m_writeDeadline.reset();
    m_backoff.succeeded();
    m_isWritten = true;
    if (!result.isComplete)
        return;
    m_conflicts += result.conflicts;
    m_era = 0;
}

void lost_revision_writer::writeFailed(time_point now, std::uint64_t random)
{
    m_writeDeadline.reset();
    m_backoff.failed(kFirstRetryDelay, kMaxRetryDelay, now, random);
}

} // namespace citroncrank
