#include "citroncrank/config_dissemination.h"

#include "seeded_random_pvt.h"

#include <algorithm>
#include <utility>

// Platform side of the dissemination: roles, watches, reads and in-force records.

namespace citroncrank {

namespace {

/// Must be equal on all nodes, so that the members of a failure domain select the same watchers and recorder.
constexpr std::uint64_t kWatcherSalt = 0x636F6E666967;

} // namespace

void config_dissemination::updateRoles()
{
    std::vector<std::pair<std::uint64_t, std::string>> scores;
    for (const auto &[name, incarnation] : m_domainMembers)
        scores.emplace_back(hashPair(nodeIdFromName(name), kWatcherSalt), name);
    const auto watchers = std::min(kWatchersPerDomain, scores.size());
    std::partial_sort(scores.begin(), scores.begin() + std::ptrdiff_t(watchers), scores.end());
    scores.resize(watchers);
    setRecorder(scores.front().second, m_domainMembers[scores.front().second]);
    setWatching(std::any_of(scores.begin(), scores.end(),
                            [this](const auto &score) { return score.second == m_settings.name; }));
}

void config_dissemination::setRecorder(const std::string &name, std::uint64_t incarnation)
{
    if (name == m_recorderName && incarnation == m_recorderIncarnation)
        return;
    m_recorderName = name;
    m_recorderIncarnation = incarnation;
    // A new or restarted recorder has no reports, so all are sent again. Jitter keeps the members of a failure domain
    // from sending at the same moment.
    for (auto &own : m_reports) {
        own.acknowledged = false;
        own.nextSend = m_when.now + seeded_random(random()).jitter(std::chrono::milliseconds(500));
    }
}

void config_dissemination::setWatching(bool watching)
{
    if (watching == m_watching)
        return;
    m_watching = watching;
    if (!watching && std::exchange(m_watchRunning, false))
        addAction(stop_watch{});
    if (watching) {
        m_readBackoff.setNext(m_when.now);
        watchIfDue();
    }
}

void config_dissemination::on(const watch_event &event)
{
    handlePlatformRevision(event.number, event.document);
}

void config_dissemination::on(const platform_read_done &event)
{
    m_reading = false;
    m_readBackoff.succeeded();
    m_readBackoff.setNext(m_when.now + seeded_random(random()).jitter(m_settings.watcherReadPeriod));
    handlePlatformRevision(event.number, event.document);
    m_platformRead = true;
}

void config_dissemination::handlePlatformRevision(std::uint64_t number, const shared_text &document)
{
    m_watchBackoff.succeeded();
    if (number > 0 && !applyBody(number, document))
        m_highestRejectedOnPlatform = std::max(m_highestRejectedOnPlatform, number);
    m_highestKnown = std::max(m_highestKnown, number);
}

void config_dissemination::on(const platform_read_failed &)
{
    m_reading = false;
    m_readBackoff.failed(m_settings.initialBackoff, m_settings.maxBackoff, m_when.now, random());
}

void config_dissemination::on(const watch_failed &)
{
    m_watchRunning = false;
    m_watchBackoff.failed(m_settings.initialBackoff, m_settings.maxBackoff, m_when.now, random());
}

std::uint64_t config_dissemination::knownFromPlatform() const
{
    return std::max(currentNumber(), m_highestRejectedOnPlatform);
}

void config_dissemination::watchIfDue()
{
    if (!m_watching || m_watchRunning || !m_watchBackoff.isDue(m_when.now))
        return;
    m_watchRunning = true;
    addAction(start_watch{knownFromPlatform()});
}

void config_dissemination::readPlatformIfDue()
{
    if (m_reading && m_when.now >= m_readDeadline)
        on(platform_read_failed{});
    const bool readinessOverdue = !m_ready && m_when.now >= m_readinessDeadline;
    if (m_reading || !(m_watching || readinessOverdue) || !m_readBackoff.isDue(m_when.now))
        return;
    m_reading = true;
    m_readDeadline = m_when.now + m_settings.platformTimeout;
    addAction(read_platform{knownFromPlatform()});
}

void config_dissemination::on(const report_received &event)
{
    if (event.report.member != m_settings.name) {
        if (!isRecorder())
            return;
        m_recorder.addReport(event.report, m_when.now);
        addAction(send_report{event.peer, event.report});
        writeRecords();
        return;
    }
    const bool isRequest = event.report.appliedAt == wall_time();
    for (auto &own : m_reports) {
        if (isRequest && own.report.revision >= event.report.revision)
            own.acknowledged = false;
        else if (own.report == event.report)
            own.acknowledged = true;
    }
}

/// A member may hold acknowledgements of a recorder that has since restarted and lost its reports. The recorder
/// therefore requests overdue reports.
void config_dissemination::requestReports()
{
    if (!isRecorder() || m_when.now < m_nextReportRequest)
        return;
    m_nextReportRequest = m_when.now + m_settings.reportPeriod;
    for (auto &report : m_recorder.overdueReports(m_domainMembers, m_when.now)) {
        const auto peer = nodeIdFromName(report.member);
        addAction(send_report{peer, std::move(report)});
    }
}

void config_dissemination::sendReports()
{
    if (m_recorderName.empty())
        return;
    for (auto &own : m_reports) {
        if (own.acknowledged || m_when.now < own.nextSend)
            continue;
        own.nextSend = m_when.now + m_settings.reportPeriod;
        if (isRecorder()) {
            own.acknowledged = true;
            m_recorder.addReport(own.report, m_when.now);
        } else {
            addAction(send_report{nodeIdFromName(m_recorderName), own.report});
        }
    }
}

void config_dissemination::writeRecords()
{
    if (auto record = m_recorder.nextWrite(m_domainMembers, m_when.now, random()))
        addAction(write_in_force_record{std::move(*record)});
}

// A revision that is in force here may be gone from the platform. Without it, its number would be given out again, and
// nodes that hold it would never take the new one.
void config_dissemination::on(const platform_restored &event)
{
    m_lostRevisions.platformRestored(event.era, m_when.now);
    m_recorder.rewriteLatest(event.era);
    m_readBackoff.setNext(m_when.now);
    writeLostRevisions();
    writeRecords();
}

void config_dissemination::on(const lost_revisions_written &event)
{
    m_lostRevisions.writeDone(event);
}

void config_dissemination::on(const lost_revisions_write_failed &)
{
    m_lostRevisions.writeFailed(m_when.now, random());
}

void config_dissemination::writeLostRevisions()
{
    if (auto write = m_lostRevisions.nextWrite(m_when.now))
        addAction(std::move(*write));
}

void config_dissemination::on(const record_write_done &event)
{
    m_recorder.writeDone(event, m_when.now, random());
    writeRecords();
}

void config_dissemination::on(const record_write_failed &event)
{
    m_recorder.writeFailed(event.revision, m_when.now, random());
}

} // namespace citroncrank
