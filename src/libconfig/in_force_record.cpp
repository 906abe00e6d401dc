#include "citroncrank/config_dissemination.h"

#include "config_text_pvt.h"
#include "seeded_random_pvt.h"

#include <absl/strings/str_format.h>
#include <algorithm>
#include <yaml-cpp/yaml.h>

namespace citroncrank {

namespace {

// A platform that comes back from an older copy lacks the records of some seconds.
constexpr std::size_t kMaxLatestRecords = 8;

} // namespace

std::string inForceKey(const std::string &domain, std::uint64_t revision)
{
    return absl::StrFormat("config/in-force/%010d/%s", revision, domain);
}

std::string formatInForceRecord(const config_in_force_record &record)
{
    std::string out = concat("domain: ", quoteYaml(record.domain), "\nrevision: ", record.revision,
                             "\nfirstApplied: ", quoteYaml(formatWallTime(record.firstApplied)),
                             "\nlastApplied: ", quoteYaml(formatWallTime(record.lastApplied)),
                             "\nlaggingCount: ", record.laggingCount, "\nlagging:\n");
    for (const auto &name : record.lagging)
        append(&out, "  - ", quoteYaml(name), "\n");
    return out;
}

std::optional<config_in_force_record> parseInForceRecord(const std::string &text)
{
    try {
        const YAML::Node root = YAML::Load(text);
        config_in_force_record record;
        record.domain = root["domain"].as<std::string>();
        record.revision = root["revision"].as<std::uint64_t>();
        record.laggingCount = root["laggingCount"].as<std::uint64_t>();
        const auto first = parseWallTime(root["firstApplied"].as<std::string>());
        const auto last = parseWallTime(root["lastApplied"].as<std::string>());
        if (!first || !last)
            return std::nullopt;
        record.firstApplied = *first;
        record.lastApplied = *last;
        if (!root["lagging"].IsNull())
            record.lagging = root["lagging"].as<std::vector<std::string>>();
        return record;
    } catch (const YAML::Exception &) {
        return std::nullopt;
    }
}

config_in_force_record mergeInForceRecords(const config_in_force_record &left, const config_in_force_record &right)
{
    config_in_force_record merged = left.laggingCount <= right.laggingCount ? left : right;
    merged.firstApplied = std::min(left.firstApplied, right.firstApplied);
    merged.lastApplied = std::max(left.lastApplied, right.lastApplied);
    return merged;
}

void backoff_timer::failed(duration first, duration longest, time_point now, std::uint64_t random)
{
    constexpr int kMaxDoublings = 16;
    const duration delay = std::min(first * (1 << std::min(m_failures, kMaxDoublings)), longest);
    ++m_failures;
    m_next = now + seeded_random(random).jitter(delay);
}

void in_force_recorder::addReport(const applied_report &report, time_point now)
{
    auto &applied = m_applied[report.member];
    const bool caughtUp = applied < report.revision;
    applied = std::max(applied, report.revision);
    const auto known = m_pending.find(report.revision);
    if (known == m_pending.end()) {
        if (report.revision <= m_closedUpTo)
            return;
        m_pending[report.revision] = {report.appliedAt, report.appliedAt, now, 1, 0, now};
        if (m_pending.size() > m_settings.maxRecords) {
            m_pending.erase(m_pending.begin());
            ++m_dropped;
        }
        return;
    }
    auto &pending = known->second;
    // A repeated report does not change the record and must not cause another write.
    if (caughtUp || report.appliedAt < pending.firstApplied || report.appliedAt > pending.lastApplied)
        ++pending.reports;
    pending.firstApplied = std::min(pending.firstApplied, report.appliedAt);
    pending.lastApplied = std::max(pending.lastApplied, report.appliedAt);
}

config_in_force_record in_force_recorder::makeRecord(std::uint64_t revision, const pending_record &pending,
                                                     const domain_members &members) const
{
    config_in_force_record record{m_settings.domain, revision, pending.firstApplied, pending.lastApplied, 0, {}};
    for (const auto &[member, incarnation] : members) {
        const auto applied = m_applied.find(member);
        if (applied != m_applied.end() && applied->second >= revision)
            continue;
        ++record.laggingCount;
        if (record.lagging.size() < kMaxLaggingNames)
            record.lagging.push_back(member);
    }
    return record;
}

std::vector<applied_report> in_force_recorder::overdueReports(const domain_members &members, time_point now) const
{
    std::vector<applied_report> overdue;
    if (m_pending.empty() || now - m_pending.rbegin()->second.since < m_settings.reportPeriod)
        return overdue;
    const auto &[revision, pending] = *m_pending.rbegin();
    for (auto &member : makeRecord(revision, pending, members).lagging)
        overdue.push_back({std::move(member), revision, wall_time()});
    return overdue;
}

bool in_force_recorder::isDue(const pending_record &pending, const config_in_force_record &record, time_point now) const
{
    if (record.laggingCount == 0)
        return true;
    if (now - pending.since < m_settings.recordDelay)
        return false;
    return pending.writtenReports == 0
           || (pending.reports > pending.writtenReports && now - pending.writtenAt >= m_settings.recordDelay);
}

void in_force_recorder::expire(const domain_members &members, time_point now)
{
    std::erase_if(m_pending, [&](const auto &entry) {
        const bool isOver = entry.second.writtenReports > 0 && now - entry.second.since > m_settings.recordRetention;
        if (isOver)
            m_closedUpTo = std::max(m_closedUpTo, entry.first);
        return isOver;
    });
    // Drops members that no longer exist. Replacement hosts can have new names, so the map would grow without bound.
    if (m_applied.size() > 2 * members.size() + kMaxLaggingNames)
        std::erase_if(m_applied, [&](const auto &entry) { return members.count(entry.first) == 0; });
}

std::optional<config_in_force_record> in_force_recorder::nextWrite(const domain_members &members, time_point now,
                                                                   std::uint64_t random)
{
    if (m_writing && now >= m_writeDeadline)
        writeFailed(m_writing->revision, now, random);
    if (m_writing || !m_backoff.isDue(now))
        return std::nullopt;
    expire(members, now);
    if (!m_rewrites.empty()) {
        m_writing = m_rewrites.front();
        m_rewrites.pop_front();
        m_writeDeadline = now + m_settings.platformTimeout;
        return m_writing;
    }
    for (const auto &[revision, pending] : m_pending) {
        auto record = makeRecord(revision, pending, members);
        if (!isDue(pending, record, now))
            continue;
        m_writing = record;
        m_writingReports = pending.reports;
        m_writeDeadline = now + m_settings.platformTimeout;
        return record;
    }
    return std::nullopt;
}

void in_force_recorder::writeDone(const record_write_done &result, time_point now, std::uint64_t random)
{
    const std::uint64_t revision = result.revision;
    if (!m_writing || m_writing->revision != revision)
        return;
    if (result.era < m_era) {
        writeFailed(revision, now, random);
        return;
    }
    m_backoff.succeeded();
    const bool isComplete = m_writing->laggingCount == 0;
    recordWritten(*m_writing);
    m_writing.reset();
    const auto found = m_pending.find(revision);
    if (found == m_pending.end())
        return;
    if (isComplete && found->second.reports == m_writingReports) {
        m_pending.erase(found);
        m_closedUpTo = std::max(m_closedUpTo, revision);
    } else {
        found->second.writtenReports = m_writingReports;
        found->second.writtenAt = now;
    }
}

void in_force_recorder::recordWritten(const config_in_force_record &record)
{
    m_latest[record.revision] = record;
    if (m_latest.size() > kMaxLatestRecords)
        m_latest.erase(m_latest.begin());
}

void in_force_recorder::rewriteLatest(std::uint64_t era)
{
    m_era = era;
    m_rewrites.clear();
    for (const auto &[revision, record] : m_latest)
        m_rewrites.push_back(record);
    m_backoff = {};
}

// A record of m_pending is written again anyway.
void in_force_recorder::writeFailed(std::uint64_t revision, time_point now, std::uint64_t random)
{
    if (!m_writing || m_writing->revision != revision)
        return;
    if (!m_pending.contains(revision))
        m_rewrites.push_front(*m_writing);
    m_writing.reset();
    m_backoff.failed(m_settings.initialBackoff, m_settings.maxBackoff, now, random);
}

} // namespace citroncrank
