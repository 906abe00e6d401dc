#pragma once

/// @file
/// Revisions that a platform has lost because it came back from an older copy of its objects.

#include "citroncrank/backoff_timer.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citroncrank {

/// Key prefix of the notes that a restore of the platform has been handled.
constexpr std::string_view kRestorePrefix = "config/restores/";
/// Key of the note for an era of the platform, for example "config/restores/0000000002".
std::string restoreKey(std::uint64_t era);

/// Accepted revision as stored.
struct revision_document
{
    std::uint64_t number = 0;
    std::shared_ptr<const std::string> text;
};

/// The platform came back from an older copy of its objects. It may lack revisions that are in force here.
struct platform_restored
{
    std::uint64_t era = 0;
};
/// The platform holds all revisions of a write_lost_revisions.
struct lost_revisions_written
{
    std::uint64_t era = 0;
    bool isComplete = false;
    std::uint64_t conflicts = 0; ///< Revisions of which the platform holds another document.
};
struct lost_revisions_write_failed
{};

/// Create the revisions that the platform lacks. If `isComplete`, also write the note that the restore has been handled:
/// the numbers that the platform had lost will not be given out again.
struct write_lost_revisions
{
    std::uint64_t era = 0;
    std::vector<revision_document> revisions; ///< Ascending.
    bool isComplete = false;
};

/// Remembers the latest revisions of a node and decides when they are written back. Not thread safe.
class lost_revision_writer
{
public:
    void recordApplied(std::uint64_t number, std::shared_ptr<const std::string> text, time_point now);
    void platformRestored(std::uint64_t era, time_point now);
    /// Returns a write that is due. At most one is in progress.
    std::optional<write_lost_revisions> nextWrite(time_point now);
    void writeDone(const lost_revisions_written &result);
    void writeFailed(time_point now, std::uint64_t random);
    /// Revisions whose number the platform gave out again before they were written back, since the start.
    std::uint64_t conflicts() const { return m_conflicts; }

private:
    struct applied_revision
    {
        revision_document document;
        time_point appliedAt;
    };
    void forgetOld(time_point now);

    std::deque<applied_revision> m_latest; ///< Ascending. The last one is in force.
    std::size_t m_latestBytes = 0;
    std::uint64_t m_era = 0; ///< Era whose restore is being handled. 0: none.
    time_point m_completeAt;
    bool m_isWritten = false; ///< A first write of this era is done.
    std::optional<time_point> m_writeDeadline;
    backoff_timer m_backoff;
    std::uint64_t m_conflicts = 0;
};

} // namespace citroncrank
