#include "citroncrank/timer_service.h"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <utility>

namespace citroncrank {

namespace {

time_point saturatingAdd(time_point from, duration delay)
{
    return from > time_point::max() - delay ? time_point::max() : from + delay;
}

// Keeps the phase of the timer, so that a late run does not shift all later runs.
time_point nextRun(time_point due, duration period, time_point now)
{
    const auto missed = (now - due) / period;
    return saturatingAdd(due + missed * period, period);
}

} // namespace

time_point monotonicNow()
{
    const auto elapsed = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::floor<duration>(elapsed));
}

wall_time wallNow()
{
    return std::chrono::floor<duration>(std::chrono::system_clock::now());
}

class timer_table
{
public:
    std::uint64_t add(time_point due, duration period, timer_service::callback run)
    {
        const std::uint64_t id = m_nextId++;
        m_entries.emplace(id, entry{due, period, std::move(run)});
        m_queue.emplace(due, id);
        return id;
    }

    void remove(std::uint64_t id)
    {
        const auto found = m_entries.find(id);
        if (found == m_entries.end())
            return;
        m_queue.erase({found->second.due, id});
        // Destroying the callback may cancel other timers and so modify the map: the entry is removed from it first.
        const auto removed = m_entries.extract(found);
    }

    bool contains(std::uint64_t id) const { return m_entries.contains(id); }

    std::optional<time_point> nextDue() const
    {
        if (m_queue.empty())
            return std::nullopt;
        return m_queue.begin()->first;
    }

    std::size_t runDue(time_point now)
    {
        const std::uint64_t firstNewId = m_nextId;
        std::size_t count = 0;
        for (auto next = findDue(now, firstNewId); next; next = findDue(now, firstNewId)) {
            run(*next, now);
            ++count;
        }
        return count;
    }

private:
    struct entry
    {
        time_point due;
        duration period; ///< Zero for a one-shot timer.
        timer_service::callback run;
    };

    std::optional<std::uint64_t> findDue(time_point now, std::uint64_t firstNewId) const
    {
        for (const auto &[due, id] : m_queue) {
            if (due > now)
                return std::nullopt;
            if (id < firstNewId)
                return id;
        }
        return std::nullopt;
    }

    // The callback is moved to a local variable while it runs, because it may cancel its own timer.
    void run(std::uint64_t id, time_point now)
    {
        auto &current = m_entries.at(id);
        m_queue.erase({current.due, id});
        auto callback = std::move(current.run);
        if (current.period == duration::zero()) {
            m_entries.erase(id);
            callback(now);
            return;
        }
        current.due = nextRun(current.due, current.period, now);
        m_queue.emplace(current.due, id);
        callback(now);
        const auto found = m_entries.find(id);
        if (found != m_entries.end())
            found->second.run = std::move(callback);
    }

    std::unordered_map<std::uint64_t, entry> m_entries;
    std::set<std::pair<time_point, std::uint64_t>> m_queue;
    std::uint64_t m_nextId = 1;
};

timer_subscription::timer_subscription(std::weak_ptr<timer_table> table, std::uint64_t id)
    : m_table(std::move(table))
    , m_id(id)
{}

timer_subscription::timer_subscription(timer_subscription &&other) noexcept
    : m_table(std::move(other.m_table))
    , m_id(std::exchange(other.m_id, 0))
{}

timer_subscription &timer_subscription::operator=(timer_subscription &&other) noexcept
{
    if (this != &other) {
        reset();
        m_table = std::move(other.m_table);
        m_id = std::exchange(other.m_id, 0);
    }
    return *this;
}

timer_subscription::~timer_subscription()
{
    reset();
}

void timer_subscription::reset()
{
    const auto id = std::exchange(m_id, 0);
    if (const auto table = m_table.lock())
        table->remove(id);
    m_table.reset();
}

bool timer_subscription::active() const
{
    const auto table = m_table.lock();
    return table && table->contains(m_id);
}

timer_service::timer_service(std::function<time_point()> clock)
    : m_clock(std::move(clock))
    , m_table(std::make_shared<timer_table>())
{}

timer_subscription timer_service::subscribe(duration period, callback run)
{
    const auto checked = std::max(period, duration(1));
    return {m_table, m_table->add(saturatingAdd(m_clock(), checked), checked, std::move(run))};
}

timer_subscription timer_service::at(time_point time, callback run)
{
    return {m_table, m_table->add(time, duration::zero(), std::move(run))};
}

std::size_t timer_service::runDue(time_point now)
{
    const auto table = m_table; // Keeps the table alive if a callback destroys the service.
    return table->runDue(now);
}

std::optional<time_point> timer_service::nextDue() const
{
    return m_table->nextDue();
}

} // namespace citroncrank
