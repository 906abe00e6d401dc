#pragma once

/// @file
/// Tells the starts of an upstream apart by their announcements, which may arrive late: after their sender has crashed
/// and another start has announced itself. Performs no I/O.

#include "citroncrank/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace citroncrank {

/// Result of an announcement or of a notice that an upstream leaves.
enum class announcement_result : std::uint8_t {
    accepted,
    foreign,       ///< For another service or address, or from another upstream.
    out_of_order,  ///< A later announcement of the same start has been accepted.
    earlier_start, ///< A later start of the upstream has announced itself.
    unproven       ///< May be a late one of an earlier start, and the known start is announcing itself.
};
const char *toString(announcement_result result);

/// Identifies a start of an upstream.
struct upstream_start
{
    std::string id;
    std::uint64_t startedAtMs = 0; ///< By the clock of its host, which may be set back between two starts.
    auto operator<=>(const upstream_start &) const = default;
};

/// What an announcement says about the start that sent it.
struct start_observation
{
    upstream_start start;
    std::uint64_t number = 0;       ///< 1 for the first announcement of a start; rises by one with each.
    std::uint64_t receivedAtMs = 0; ///< Unix time of its arrival by the agent's clock. 0: not known.
    auto operator<=>(const start_observation &) const = default;
};

/// A start of which announcements were accepted.
struct known_start
{
    upstream_start start;
    std::uint64_t firstNumber = 0; ///< Of the first accepted announcement.
    std::uint64_t lastNumber = 0;
    time_point firstAt;
    time_point lastAt;
    std::uint32_t announcements = 0; ///< Number of accepted ones.
};

/// Outcome of an announcement.
struct start_decision
{
    announcement_result result = announcement_result::accepted;
    bool isOtherStart = false;        ///< The current start differs from the one before the announcement.
    bool isNowProven = false;         ///< The announcement has proven the current start.
    std::optional<known_start> ended; ///< Proven earlier, and ended since the current start is now proven.
};

/// Keeps the start that announces itself at present, and whether it is proven to be the living one. Two starts cannot
/// live at one address, so a proven one implies that all others have ended. Not thread safe.
class upstream_starts
{
public:
    explicit upstream_starts(duration period)
        : m_period(period)
    {}
    /// Sets the expected time between two announcements.
    void setPeriod(duration period) { m_period = period; }
    /// `isServing`: the current start has announced itself lately and has not left.
    start_decision observe(const start_observation &observed, bool isServing, time_point now);

    const std::optional<known_start> &current() const { return m_current; }
    bool isProven() const { return m_isProven; }
    /// Whether `id` names the current start or the last proven one.
    bool isKnownId(const std::string &id) const;

private:
    bool isFresh(const start_observation &observed) const;
    std::optional<announcement_result> refusal(const start_observation &observed, bool isServing, time_point now) const;
    void follow(const start_observation &observed, time_point now);
    bool proves(const start_observation &observed, time_point now) const;

    duration m_period;
    std::optional<known_start> m_current;
    std::optional<known_start> m_lastProven; ///< Equals m_current while that is proven.
    bool m_isProven = false;
    time_point m_aloneSince; ///< No other start has been accepted since.
};

} // namespace citroncrank
