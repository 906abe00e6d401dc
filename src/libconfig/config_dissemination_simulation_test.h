#pragma once

/// @file
/// Simulation of the spread of the configuration, for its tests.

#include "model_scheduler_pvt.h"
#include "simulated_fleet_test.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <utility>
#include <variant>
#include <vector>

namespace citroncrank {

/// Simulates a fleet with a platform and two operators, under random faults from a seed.
class simulation
{
public:
    explicit simulation(std::uint64_t seed, platform_return returns = platform_return::complete)
        : m_returns(returns)
        , m_time(seed)
    {
        m_loss = int(m_time.random() % 30);
        const std::size_t count = 6 + m_time.random() % 15;
        for (std::size_t i = 0; i < count; ++i)
            m_nodes.push_back({"node-" + std::to_string(i), "domain-" + std::to_string(i % 3)});
        for (std::size_t i = 0; i < count; ++i)
            startNode(i);
        for (std::uint64_t i = 0; i < 2; ++i) {
            m_operators.push_back({config_log({}, seed + i), {}});
            every(std::chrono::milliseconds(100), [this, i] { runOperator(&m_operators[i]); });
        }
        every(std::chrono::milliseconds(500), [this] { injectFault(); });
        every(std::chrono::milliseconds(200), [this] { check(); });
    }

    void run()
    {
        m_time.runUntil(time_point(std::chrono::seconds(45)));
        m_faultsEnded = true;
        if (m_down)
            switchPlatform();
        setPartition("");
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (!m_nodes[i].dissemination)
                startNode(i);
        }
        // Records are written one at a time, and each lost response delays the next write by seconds.
        m_time.runUntil(time_point(std::chrono::seconds(165)));
        checkEnd();
    }

    int reverted = 0;
    int overdue = 0;
    int restores = 0;
    int writtenBack = 0;    ///< Revisions that nodes wrote back after a restore.
    std::size_t checks = 0; ///< Checks of one node against the time limit while faults occurred.
    int otherViolations = 0;
    std::map<std::uint64_t, std::string> history;

private:
    void every(duration period, const std::function<void()> &action)
    {
        m_time.after(period, [this, period, action] {
            action();
            every(period, action);
        });
    }

    dissemination_time timeAt(const simulated_node &node) const
    {
        return {m_time.now,
                wall_time(std::chrono::seconds(1'000'000)) + node.wallOffset + m_time.now.time_since_epoch()};
    }

    void startNode(std::size_t index)
    {
        auto &node = m_nodes[index];
        config_dissemination_settings settings{.name = node.name, .domain = node.domain};
        node.dissemination = std::make_unique<config_dissemination>(settings, m_time.random(), timeAt(node));
        node.watchAbove.reset();
        node.highest = 0;
        node.knownEra = 0;
        ++node.incarnation;
        node.faultEndedAt = m_time.now;
        members_changed all;
        for (const auto &other : m_nodes)
            all.members.push_back({other.name, other.domain, true, other.incarnation});
        deliver(index, all);
        tick(index, node.incarnation);
    }

    void tick(std::size_t index, std::uint64_t started)
    {
        if (!m_nodes[index].dissemination || m_nodes[index].incarnation != started)
            return;
        deliver(index, dissemination_tick{});
        if (m_time.chance(20)) { // One membership message per second on average.
            const std::size_t peer = m_time.random() % m_nodes.size();
            send(index, peer,
                 revision_advertised{nodeIdFromName(m_nodes[index].name),
                                     m_nodes[index].dissemination->currentNumber()});
            if (m_nodes[peer].dissemination)
                send(peer, index,
                     revision_advertised{nodeIdFromName(m_nodes[peer].name),
                                         m_nodes[peer].dissemination->currentNumber()});
        }
        m_time.after(std::chrono::milliseconds(200), [this, index, started] { tick(index, started); });
    }

    bool isPartitioned(std::size_t index) const { return m_nodes[index].domain == m_partitionedDomain; }

    void send(std::size_t from, std::size_t to, const config_dissemination_event &event)
    {
        if (m_time.chance(m_loss))
            return;
        for (int copies = m_time.chance(10) ? 2 : 1; copies > 0; --copies) {
            m_time.after(m_time.delay(), [this, from, to, event] {
                if (isPartitioned(from) == isPartitioned(to))
                    deliver(to, event);
            });
        }
    }

    /// Runs `request` on the platform and delivers its event, unless either direction is lost or the platform is down.
    void callPlatform(std::size_t from, const config_dissemination_event &failure,
                      const std::function<config_dissemination_event()> &request)
    {
        m_time.after(m_time.delay(), [this, from, failure, request] {
            if (m_down || isPartitioned(from)) {
                if (m_time.chance(50))
                    deliver(from, failure);
                return;
            }
            const auto answer = request();
            if (!m_time.chance(m_loss))
                m_time.after(m_time.delay(), [this, from, answer, era = m_era] {
                    learnEra(from, era);
                    deliver(from, answer);
                });
        });
    }

    void learnEra(std::size_t index, std::uint64_t era)
    {
        const std::uint64_t before = m_nodes[index].knownEra;
        m_nodes[index].knownEra = std::max(before, era);
        if (before != 0 && before < era && m_returns == platform_return::from_copy)
            deliver(index, platform_restored{era});
    }

    std::size_t indexOf(node_id id) const
    {
        std::size_t index = 0;
        while (nodeIdFromName(m_nodes[index].name) != id)
            ++index;
        return index;
    }

    void deliver(std::size_t index, const config_dissemination_event &event)
    {
        auto &node = m_nodes[index];
        if (!node.dissemination)
            return;
        for (const auto &action : node.dissemination->handle(event, timeAt(node)))
            std::visit([&](const auto &value) { perform(index, value); }, action);
    }

    void perform(std::size_t index, const fetch_from_peer &action)
    {
        send(index, indexOf(action.peer), fetch_requested{nodeIdFromName(m_nodes[index].name), action.above});
    }
    void perform(std::size_t index, const advertise_to_peer &action)
    {
        send(index, indexOf(action.peer), revision_advertised{nodeIdFromName(m_nodes[index].name), action.number});
    }
    void perform(std::size_t index, const send_body &action)
    {
        send(index, indexOf(action.peer),
             body_received{nodeIdFromName(m_nodes[index].name), action.number, action.document});
    }
    void perform(std::size_t index, const send_report &action)
    {
        send(index, indexOf(action.peer), report_received{nodeIdFromName(m_nodes[index].name), action.report});
    }
    void perform(std::size_t index, const start_watch &action)
    {
        if (m_down)
            m_time.after(m_time.delay(), [this, index] { deliver(index, watch_failed{}); });
        else
            m_nodes[index].watchAbove = action.above;
    }
    void perform(std::size_t index, const stop_watch &) { m_nodes[index].watchAbove.reset(); }
    void perform(std::size_t index, const read_platform &action)
    {
        callPlatform(index, platform_read_failed{}, [this, action]() -> config_dissemination_event {
            if (history.empty() || history.rbegin()->first <= action.above)
                return platform_read_done{};
            return platform_read_done{history.rbegin()->first, std::make_shared<std::string>(history.rbegin()->second)};
        });
    }
    void perform(std::size_t index, const apply_revision &action)
    {
        auto &node = m_nodes[index];
        reverted += action.revision->number <= node.highest;
        node.highest = action.revision->number;
        m_applied[action.revision->number].insert(action.revision->changeId);
    }
    void perform(std::size_t index, const write_in_force_record &action)
    {
        callPlatform(index, record_write_failed{action.record.revision},
                     [this, action]() -> config_dissemination_event {
                         const auto key = inForceKey(action.record.domain, action.record.revision);
                         const auto [known, isNew] = m_records.emplace(key, action.record);
                         if (!isNew)
                             known->second = mergeInForceRecords(known->second, action.record);
                         m_recordWrittenAt[key] = m_time.now;
                         return record_write_done{action.record.revision, m_era};
                     });
    }

    void perform(std::size_t index, const write_lost_revisions &action)
    {
        callPlatform(index, lost_revisions_write_failed{}, [this, action]() -> config_dissemination_event {
            lost_revisions_written result{action.era, action.isComplete};
            for (const auto &revision : action.revisions) {
                const auto found = history.find(revision.number);
                if (found == history.end()) {
                    ++writtenBack;
                    createRevision({0, revisionKey(revision.number), *revision.text});
                } else if (found->second != *revision.text) {
                    ++result.conflicts;
                }
            }
            if (action.isComplete && action.era == m_era)
                m_notedEra = m_era;
            return result;
        });
    }

    /// The platform has lost the writes of the last seconds. Delayed writes of clients are lost as well.
    void restoreCopy()
    {
        const time_point copiedAt =
            m_platformChangedAt - m_time.between(std::chrono::milliseconds(200), std::chrono::seconds(9));
        ++restores;
        ++m_era;
        m_restoredAt = m_time.now;
        std::erase_if(m_acceptedAt, [&](const auto &entry) { return entry.second > copiedAt; });
        std::erase_if(history, [&](const auto &entry) { return !m_acceptedAt.contains(entry.first); });
        std::erase_if(m_recordWrittenAt, [&](const auto &entry) { return entry.second > copiedAt; });
        std::erase_if(m_records, [&](const auto &entry) { return !m_recordWrittenAt.contains(entry.first); });
    }

    /// Clients make the first change after a restore once it is noted as handled, or after 15 s.
    bool isRestoreHandled() const
    {
        return m_era == 1 || m_notedEra == m_era || m_time.now - m_restoredAt > std::chrono::seconds(15);
    }

    void createRevision(const create_object &request)
    {
        const auto number = *parseRevisionKey(request.key);
        if (!history.emplace(number, request.value).second)
            return;
        m_acceptedAt[number] = m_time.now;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_nodes[i].watchAbove && !isPartitioned(i) && !m_time.chance(m_loss))
                m_time.after(m_time.delay(), [this, i, number, text = std::make_shared<std::string>(request.value)] {
                    deliver(i, watch_event{number, text});
                });
        }
    }

    config_log_event answer(const create_object &request)
    {
        if (m_down || m_time.chance(5))
            return store_failed{request.request, store_failure::unavailable};
        const bool exists = history.count(*parseRevisionKey(request.key)) != 0;
        if (m_time.chance(5)) { // Takes effect after the client got an unknown outcome.
            m_time.after(m_time.between(std::chrono::seconds(0), std::chrono::seconds(4)),
                         [this, request, era = m_era] {
                             if (era == m_era)
                                 createRevision(request);
                         });
            return store_failed{request.request, store_failure::unknown_outcome};
        }
        createRevision(request);
        if (m_time.chance(15))
            return store_failed{request.request, store_failure::unknown_outcome};
        return exists ? config_log_event(object_exists{request.request}) : object_created{request.request};
    }
    config_log_event answer(const read_object &request)
    {
        if (m_down || m_time.chance(10))
            return store_failed{request.request, store_failure::unavailable};
        const auto found = history.find(*parseRevisionKey(request.key));
        return object_read{request.request,
                           found == history.end() ? std::nullopt : std::optional<std::string>(found->second)};
    }

    void runOperator(simulated_operator *client)
    {
        if (client->busy) {
            performActions(client, client->log.advance(m_time.now));
        } else if (!m_faultsEnded && m_time.chance(8) && isRestoreHandled()) {
            if (client->draft.changeId.empty()) {
                client->base = history.empty() ? 0 : history.rbegin()->first;
                client->draft = makeDraft(client->base, m_time.random());
            }
            client->busy = true;
            client->era = m_era;
            performActions(client, client->log.propose(client->draft, client->base, m_time.now));
        }
    }

    void performActions(simulated_operator *client, const std::vector<config_log_action> &actions)
    {
        for (const auto &action : actions) {
            if (const auto *result = std::get_if<change_result>(&action))
                finish(client, *result);
            else
                m_time.after(m_time.delay(), [this, client, action] {
                    if (abandonAfterRestore(client))
                        return;
                    const auto event = std::holds_alternative<create_object>(action)
                                           ? answer(std::get<create_object>(action))
                                           : answer(std::get<read_object>(action));
                    m_time.after(m_time.delay(), [this, client, event] {
                        performActions(client, client->log.handle(event, m_time.now));
                    });
                });
        }
    }

    /// A client reads the era before it writes, and does not go on with a change that began before a restore. It then
    /// finds out whether the change was accepted.
    bool abandonAfterRestore(simulated_operator *client)
    {
        if (client->era == m_era)
            return false;
        client->busy = false;
        client->draft = {};
        client->log = config_log({}, m_time.random());
        return true;
    }

    void finish(simulated_operator *client, const change_result &result)
    {
        if (abandonAfterRestore(client))
            return;
        client->busy = false;
        // After an unknown outcome, the operator proposes the same change again.
        if (result.outcome == change_outcome::unknown_outcome)
            return;
        if (result.outcome == change_outcome::accepted)
            m_accepted.push_back(result.changeId);
        if (result.outcome == change_outcome::conflict)
            m_lost.push_back(result.changeId);
        client->draft = {};
    }

    void switchPlatform()
    {
        m_down = !m_down;
        if (!m_down && m_returns != platform_return::complete)
            restoreCopy();
        m_platformChangedAt = m_time.now;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_down && std::exchange(m_nodes[i].watchAbove, std::nullopt))
                deliver(i, watch_failed{});
        }
    }

    void setPartition(const std::string &domain)
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (isPartitioned(i))
                m_nodes[i].faultEndedAt = m_time.now;
        }
        m_partitionedDomain = domain;
    }

    void injectFault()
    {
        if (m_faultsEnded)
            return;
        if (m_time.chance(m_down ? 15 : 3))
            switchPlatform();
        if (m_time.chance(m_partitionedDomain.empty() ? 2 : 15))
            setPartition(m_partitionedDomain.empty() ? "domain-" + std::to_string(m_time.random() % 3) : "");
        const std::size_t index = m_time.random() % m_nodes.size();
        if (m_time.chance(5))
            m_nodes[index].wallOffset = m_time.between(std::chrono::seconds(-3600), std::chrono::seconds(3600));
        if (m_time.chance(5) && m_nodes[index].dissemination)
            replaceNode(index);
    }

    void replaceNode(std::size_t index)
    {
        m_nodes[index].dissemination.reset();
        m_nodes[index].watchAbove.reset();
        notifyMembers(index, std::chrono::seconds(3));
        m_time.after(m_time.between(std::chrono::seconds(0), std::chrono::seconds(8)), [this, index] {
            if (!m_nodes[index].dissemination)
                startNode(index);
            notifyMembers(index, std::chrono::seconds(1));
        });
    }

    /// Delivers to each other node, after at most `within`, whether the node is up at that moment.
    void notifyMembers(std::size_t index, duration within)
    {
        for (std::size_t other = 0; other < m_nodes.size(); ++other)
            m_time.after(m_time.between(std::chrono::milliseconds(100), within), [this, index, other] {
                const auto &node = m_nodes[index];
                if (other != index)
                    deliver(other, members_changed{
                                       {{node.name, node.domain, node.dissemination != nullptr, node.incarnation}}});
            });
    }

    /// The time limit starts at the acceptance of the revision or at the end of the last fault that kept the node from
    /// learning of it, whichever is later.
    void check()
    {
        if (m_down || m_time.now - m_platformChangedAt < kInForceTimeLimit)
            return;
        std::uint64_t due = 0;
        for (const auto &[number, acceptedAt] : m_acceptedAt) {
            if (m_time.now - acceptedAt >= kInForceTimeLimit)
                due = number;
        }
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            const auto &node = m_nodes[i];
            if (due == 0 || !node.dissemination || isPartitioned(i)
                || m_time.now - node.faultEndedAt < kInForceTimeLimit)
                continue;
            checks += m_faultsEnded ? 0 : 1;
            overdue += node.dissemination->currentNumber() < due;
        }
    }

    void checkEnd()
    {
        std::map<std::string, int> stored;
        std::uint64_t expected = 1;
        for (const auto &[number, text] : history) {
            const auto parsed = parseConfigDocument(text, "");
            // A restored platform may lack a revision that no node has applied.
            expected = restores == 0 ? expected : number;
            otherViolations += number != expected++;
            ++stored[parsed.revision->changeId];
        }
        for (const auto &[number, changeIds] : m_applied) {
            otherViolations += changeIds.size() != 1;
            otherViolations += stored[*changeIds.begin()] != 1;
        }
        for (const auto &id : m_accepted)
            otherViolations += restores == 0 && stored[id] != 1;
        for (const auto &id : m_lost)
            otherViolations += stored[id] != 0;
        for (const auto &node : m_nodes) {
            otherViolations += !node.dissemination->isReady() && !history.empty();
            const auto record = m_records.find(inForceKey(node.domain, expected - 1));
            otherViolations += !history.empty() && (record == m_records.end() || record->second.laggingCount != 0);
        }
    }

    platform_return m_returns;
    scheduler m_time;
    std::uint64_t m_era = 1;
    std::uint64_t m_notedEra = 1;
    time_point m_restoredAt;
    std::map<std::string, time_point> m_recordWrittenAt;
    std::map<std::uint64_t, std::set<std::string>> m_applied; ///< Change ids of the revisions that were in force.
    int m_loss = 0;
    std::vector<simulated_node> m_nodes;
    std::vector<simulated_operator> m_operators;
    std::map<std::string, config_in_force_record> m_records;
    std::vector<std::string> m_accepted;
    std::vector<std::string> m_lost;
    std::string m_partitionedDomain; ///< Failure domain without contact to the others and to the platform.
    std::map<std::uint64_t, time_point> m_acceptedAt;
    time_point m_platformChangedAt;
    bool m_down = false;
    bool m_faultsEnded = false;
};

} // namespace citroncrank
