#include "citroncrank/admission.h"

#include "class_queues_pvt.h"
#include "service_estimate_pvt.h"
#include "usual_usage_pvt.h"

#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <cmath>
#include <set>

namespace citroncrank {

namespace {

// A shorter hint causes a retry before any request can have ended; a longer one outlasts most overloads.
constexpr std::chrono::milliseconds kMinRetryAfter{5};
constexpr std::chrono::milliseconds kMaxRetryAfter{30'000};
// The readiness of a starting upstream is checked about once a second.
constexpr std::chrono::milliseconds kStartingRetryAfter{1'000};

} // namespace

class admission_queue::implementation
{
public:
    explicit implementation(const admission_settings &settings)
        : m_settings(settings)
        , m_queues(effectiveShares())
        , m_estimate(settings.initialServiceTime)
    {}

    admission_result request(const reservation &value, time_point now);
    bool release(const reservation_key &key, time_point now);
    bool cancel(const reservation_key &key, time_point now);
    std::vector<admission_event> advance(time_point now);
    std::optional<time_point> nextDeadline() const;
    void setServing(serving_state state, time_point now);
    void setSettings(const admission_settings &settings);
    std::uint16_t usableSlots(time_point now) const;
    load_report load(time_point now) const;
    duration estimatedWait(flow_class flowClass, time_point now) const;
    serving_state serving() const { return m_serving; }

private:
    struct grant
    {
        flow_class flowClass = flow_class::normal;
        flow_kind kind = flow_kind::request;
        time_point since;
        double charged = 0; ///< Slot time charged to the class, in microseconds.
    };
    struct waiting_entry
    {
        flow_class flowClass = flow_class::normal;
        queue_rank rank;
        std::optional<time_point> latestStart;
    };

    std::optional<refusal> refusalForServingState() const;
    admission_result requestSession(const reservation &value, time_point now);
    admission_result requestSlot(const reservation &value, time_point now);
    std::optional<refusal> makeQueueSpace(flow_class flowClass, time_point now);
    void enqueue(const reservation_key &key, const waiting_entry &entry);
    void dequeue(const reservation_key &key, const waiting_entry &entry);
    void refuseQueued(const reservation_key &key, refusal_reason reason, time_point now);
    void refuseAll(refusal_reason reason, time_point now);
    void grantNext(flow_class flowClass, time_point now);
    queue_rank computeRank(const reservation &value) const;
    std::optional<time_point> latestStart(const reservation &value, time_point now) const;
    duration expectedWait(double reservationsAhead, time_point now) const;
    std::chrono::milliseconds retryHint(flow_class flowClass, time_point now) const;
    std::uint16_t positionOf(const waiting_entry &entry) const;
    std::optional<time_point> nextSlotUsable() const;
    class_queues::shares effectiveShares() const;
    bool hasFreeSlot(time_point now) const { return m_busySlots < usableSlots(now); }

    admission_settings m_settings;
    usual_usage m_usage;
    class_queues m_queues;
    service_estimate m_estimate;
    serving_state m_serving = serving_state::starting;
    time_point m_readySince;
    std::uint32_t m_busySlots = 0;
    std::uint32_t m_sessions = 0;
    std::uint64_t m_nextSequence = 0;
    absl::flat_hash_map<reservation_key, grant> m_grants;
    absl::flat_hash_map<reservation_key, waiting_entry> m_waiting;
    absl::flat_hash_map<std::uint64_t, reservation_key> m_keyOfSequence;
    std::set<std::pair<time_point, std::uint64_t>> m_expiry;
    std::vector<admission_event> m_events;
};

admission_result admission_queue::implementation::request(const reservation &value, time_point now)
{
    const auto key = keyOf(value);
    if (m_grants.contains(key))
        return granted{};
    if (const auto found = m_waiting.find(key); found != m_waiting.end())
        return queued{positionOf(found->second)};
    if (const auto refused = refusalForServingState())
        return *refused;
    if (value.deadline && *value.deadline <= now)
        return refusal{refusal_reason::deadline_exceeded, std::chrono::milliseconds(0)};
    return value.kind == flow_kind::session ? requestSession(value, now) : requestSlot(value, now);
}

std::optional<refusal> admission_queue::implementation::refusalForServingState() const
{
    if (m_serving == serving_state::draining)
        return refusal{refusal_reason::draining, std::chrono::milliseconds(0)};
    if (m_serving == serving_state::starting)
        return refusal{refusal_reason::not_ready, kStartingRetryAfter};
    return std::nullopt;
}

admission_result admission_queue::implementation::requestSession(const reservation &value, time_point now)
{
    // Sessions are not queued: they stay open for hours, longer than a caller waits.
    if (m_sessions >= m_settings.connections)
        return refusal{refusal_reason::no_free_connection, kStartingRetryAfter};
    ++m_sessions;
    m_grants.emplace(keyOf(value), grant{value.flowClass, flow_kind::session, now, 0});
    return granted{};
}

admission_result admission_queue::implementation::requestSlot(const reservation &value, time_point now)
{
    const auto key = keyOf(value);
    if (hasFreeSlot(now) && m_waiting.empty()) {
        ++m_busySlots;
        // Not charged to the class: with an empty queue the slot is taken from no other class.
        m_grants.emplace(key, grant{value.flowClass, flow_kind::request, now, 0});
        return granted{};
    }
    const waiting_entry entry{value.flowClass, computeRank(value), latestStart(value, now)};
    const auto wait = expectedWait(m_queues.reservationsAhead(value.flowClass, entry.rank), now);
    if (entry.latestStart && now + wait > *entry.latestStart) {
        m_usage.recordOverload();
        return refusal{refusal_reason::deadline_exceeded, retryHint(value.flowClass, now)};
    }
    if (const auto refused = makeQueueSpace(value.flowClass, now))
        return *refused;
    enqueue(key, entry);
    return queued{positionOf(entry)};
}

// Makes a place in a full queue by shedding the last reservation of a class that exceeds its reserved places: a less
// urgent class, the least urgent first, or a more urgent one if the arriving class is within its own reserve.
std::optional<refusal> admission_queue::implementation::makeQueueSpace(flow_class flowClass, time_point now)
{
    const std::size_t limit = m_settings.queueLimit;
    if (m_queues.size() < limit)
        return std::nullopt;
    const bool withinReserve = m_queues.size(flowClass) < m_queues.reservedPlaces(flowClass, limit);
    for (int index = kFlowClassCount - 1; index >= 0; --index) {
        const auto victim = flow_class(index);
        const bool overReserve = m_queues.size(victim) > m_queues.reservedPlaces(victim, limit);
        if (victim == flowClass || !overReserve || (victim < flowClass && !withinReserve))
            continue;
        refuseQueued(m_keyOfSequence.at(m_queues.back(victim).sequence), refusal_reason::shed, now);
        return std::nullopt;
    }
    m_usage.recordOverload();
    const auto reason = flowClass == flow_class::bulk ? refusal_reason::shed : refusal_reason::no_free_slot;
    return refusal{reason, retryHint(flowClass, now)};
}

void admission_queue::implementation::enqueue(const reservation_key &key, const waiting_entry &entry)
{
    m_queues.insert(entry.flowClass, entry.rank);
    m_keyOfSequence.emplace(entry.rank.sequence, key);
    if (entry.latestStart)
        m_expiry.emplace(*entry.latestStart, entry.rank.sequence);
    m_waiting.emplace(key, entry);
    ++m_nextSequence;
}

void admission_queue::implementation::dequeue(const reservation_key &key, const waiting_entry &entry)
{
    m_queues.erase(entry.flowClass, entry.rank);
    m_keyOfSequence.erase(entry.rank.sequence);
    if (entry.latestStart)
        m_expiry.erase({*entry.latestStart, entry.rank.sequence});
    m_waiting.erase(key);
}

void admission_queue::implementation::refuseQueued(const reservation_key &key, refusal_reason reason, time_point now)
{
    const auto copiedKey = key; // `key` may refer to an element of a map that dequeue() modifies
    const auto entry = m_waiting.at(copiedKey);
    dequeue(copiedKey, entry);
    m_usage.recordOverload();
    const bool stateRefusal = reason == refusal_reason::draining || reason == refusal_reason::not_ready;
    const auto hint = stateRefusal ? refusalForServingState()->retryAfter : retryHint(entry.flowClass, now);
    m_events.push_back({copiedKey, refusal{reason, hint}});
}

void admission_queue::implementation::refuseAll(refusal_reason reason, time_point now)
{
    while (const auto next = m_queues.nextClass())
        refuseQueued(m_keyOfSequence.at(m_queues.front(*next).sequence), reason, now);
}

bool admission_queue::implementation::release(const reservation_key &key, time_point now)
{
    const auto found = m_grants.find(key);
    if (found == m_grants.end())
        return false;
    const grant ended = found->second;
    m_grants.erase(found);
    if (ended.kind == flow_kind::session) {
        --m_sessions;
        return true;
    }
    --m_busySlots;
    m_estimate.recordServed(ended.flowClass, now - ended.since);
    if (ended.charged > 0)
        m_queues.refund(ended.flowClass, ended.charged - double((now - ended.since).count()));
    m_usage.recordUsage(ended.flowClass, now - ended.since);
    return true;
}

bool admission_queue::implementation::cancel(const reservation_key &key, time_point)
{
    if (const auto found = m_waiting.find(key); found != m_waiting.end()) {
        const auto entry = found->second;
        dequeue(key, entry);
        m_estimate.recordCancelled();
        return true;
    }
    const auto found = m_grants.find(key);
    if (found == m_grants.end())
        return false;
    const grant unused = found->second;
    m_grants.erase(found);
    if (unused.kind == flow_kind::session) {
        --m_sessions;
        return true;
    }
    --m_busySlots;
    m_queues.refund(unused.flowClass, unused.charged);
    m_estimate.recordCancelled();
    return true;
}

std::vector<admission_event> admission_queue::implementation::advance(time_point now)
{
    if (m_usage.advance(m_settings.slots, now))
        m_queues.setShares(effectiveShares());
    while (!m_expiry.empty() && m_expiry.begin()->first < now)
        refuseQueued(m_keyOfSequence.at(m_expiry.begin()->second), refusal_reason::deadline_exceeded, now);
    while (hasFreeSlot(now)) {
        const auto next = m_queues.nextClass();
        if (!next)
            break;
        grantNext(*next, now);
    }
    return std::exchange(m_events, {});
}

void admission_queue::implementation::grantNext(flow_class flowClass, time_point now)
{
    const auto key = m_keyOfSequence.at(m_queues.front(flowClass).sequence);
    const auto entry = m_waiting.at(key);
    // Classes are charged for slot time rather than per grant; otherwise a class with long requests would exceed its
    // share.
    const double cost = m_estimate.mean(flowClass);
    m_queues.charge(flowClass, cost);
    dequeue(key, entry);
    ++m_busySlots;
    m_grants.emplace(key, grant{flowClass, flow_kind::request, now, cost});
    m_events.push_back({key, granted{}});
}

std::optional<time_point> admission_queue::implementation::nextDeadline() const
{
    std::optional<time_point> next;
    if (!m_expiry.empty())
        next = m_expiry.begin()->first + duration(1);
    if (m_waiting.empty() || m_serving != serving_state::ready)
        return next;
    const auto usable = nextSlotUsable();
    return usable && (!next || *usable < *next) ? usable : next;
}

// During the warm-up slots become usable by time alone, without an event that would run advance().
std::optional<time_point> admission_queue::implementation::nextSlotUsable() const
{
    if (m_busySlots >= m_settings.slots)
        return std::nullopt;
    const double initialFraction = std::clamp(m_settings.warmUpFraction, 0.0, 1.0);
    const double needed = double(m_busySlots + 1) / m_settings.slots;
    if (needed <= initialFraction)
        return m_readySince;
    const double fraction = (needed - initialFraction) / (1 - initialFraction);
    return m_readySince + duration(std::int64_t(std::ceil(fraction * double(m_settings.warmUp.count()))));
}

void admission_queue::implementation::setServing(serving_state state, time_point now)
{
    if (state == m_serving)
        return;
    // The warm-up is skipped when a drain is cancelled, because the upstream is already warm.
    if (state == serving_state::ready)
        m_readySince = m_serving == serving_state::starting ? now : now - m_settings.warmUp;
    m_serving = state;
    if (const auto refused = refusalForServingState())
        refuseAll(refused->reason, now);
}

void admission_queue::implementation::setSettings(const admission_settings &settings)
{
    m_settings = settings;
    m_queues.setShares(effectiveShares());
}

class_queues::shares admission_queue::implementation::effectiveShares() const
{
    // Requests arrive at random, so a class needs more capacity than its mean usage.
    constexpr double kHeadroom = 1.5;
    double total = 0;
    for (const auto share : m_settings.classShares)
        total += std::max<double>(share, 1);
    class_queues::shares result{};
    for (std::size_t index = 0; index < result.size(); ++index) {
        const double configured = std::max<double>(m_settings.classShares[index], 1);
        const double limit = configured * std::max(m_settings.maxShareFactor, 1.0);
        result[index] = std::clamp(m_usage.usualFraction(flow_class(index)) * kHeadroom * total, configured, limit);
    }
    return result;
}

std::uint16_t admission_queue::implementation::usableSlots(time_point now) const
{
    if (m_serving != serving_state::ready)
        return 0;
    const auto elapsed = now - m_readySince;
    if (elapsed >= m_settings.warmUp)
        return m_settings.slots;
    const double initialFraction = std::clamp(m_settings.warmUpFraction, 0.0, 1.0);
    const double fraction =
        initialFraction + (1 - initialFraction) * double(elapsed.count()) / double(m_settings.warmUp.count());
    // Without it nextSlotUsable() can return a time just before the slot becomes usable.
    constexpr double kRoundingTolerance = 1e-6;
    const double usable = std::floor(fraction * m_settings.slots + kRoundingTolerance);
    return std::uint16_t(std::clamp<double>(usable, std::min<int>(1, m_settings.slots), m_settings.slots));
}

load_report admission_queue::implementation::load(time_point now) const
{
    constexpr std::size_t kMaxCount = UINT16_MAX;
    return {.busySlots = std::uint16_t(std::min<std::size_t>(m_busySlots, kMaxCount)),
            .slots = usableSlots(now),
            .queued = std::uint16_t(std::min(m_waiting.size(), kMaxCount)),
            .sessions = m_sessions,
            .connections = m_settings.connections,
            .draining = m_serving == serving_state::draining};
}

duration admission_queue::implementation::estimatedWait(flow_class flowClass, time_point now) const
{
    if (hasFreeSlot(now) && m_waiting.empty())
        return duration(0);
    return expectedWait(m_queues.reservationsAhead(flowClass, {time_point::max(), m_nextSequence}), now);
}

queue_rank admission_queue::implementation::computeRank(const reservation &value) const
{
    return {value.deadline.value_or(value.arrival + m_settings.rankingDeadline)
                + value.attempt * m_settings.attemptOffset,
            m_nextSequence};
}

// A request that starts later than its deadline minus the mean service time occupies a slot without meeting the
// deadline. At most half of the remaining time is reserved for service: otherwise one slow request would raise the mean
// enough to refuse every request with a short deadline.
std::optional<time_point> admission_queue::implementation::latestStart(const reservation &value, time_point now) const
{
    if (!value.deadline)
        return std::nullopt;
    const auto service = duration(std::int64_t(m_estimate.mean(value.flowClass)));
    return *value.deadline - std::min(service, (*value.deadline - now) / 2);
}

duration admission_queue::implementation::expectedWait(double reservationsAhead, time_point now) const
{
    const double slots = std::max<double>(usableSlots(now), 1);
    return duration(std::int64_t((reservationsAhead * m_estimate.servedFraction() + 1) * m_estimate.mean() / slots));
}

std::chrono::milliseconds admission_queue::implementation::retryHint(flow_class flowClass, time_point now) const
{
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(estimatedWait(flowClass, now));
    return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

std::uint16_t admission_queue::implementation::positionOf(const waiting_entry &entry) const
{
    return std::uint16_t(std::min<double>(m_queues.reservationsAhead(entry.flowClass, entry.rank), UINT16_MAX));
}

admission_queue::admission_queue(const admission_settings &settings)
    : m_implementation(std::make_unique<implementation>(settings))
{}
admission_queue::~admission_queue() = default;
admission_queue::admission_queue(admission_queue &&) noexcept = default;
admission_queue &admission_queue::operator=(admission_queue &&) noexcept = default;

admission_result admission_queue::request(const reservation &value, time_point now)
{
    return m_implementation->request(value, now);
}
bool admission_queue::release(const reservation_key &key, time_point now)
{
    return m_implementation->release(key, now);
}
bool admission_queue::cancel(const reservation_key &key, time_point now)
{
    return m_implementation->cancel(key, now);
}
std::vector<admission_event> admission_queue::advance(time_point now)
{
    return m_implementation->advance(now);
}
std::optional<time_point> admission_queue::nextDeadline() const
{
    return m_implementation->nextDeadline();
}
void admission_queue::setServing(serving_state state, time_point now)
{
    m_implementation->setServing(state, now);
}
void admission_queue::setSettings(const admission_settings &settings)
{
    m_implementation->setSettings(settings);
}
serving_state admission_queue::serving() const
{
    return m_implementation->serving();
}
std::uint16_t admission_queue::usableSlots(time_point now) const
{
    return m_implementation->usableSlots(now);
}
load_report admission_queue::load(time_point now) const
{
    return m_implementation->load(now);
}
duration admission_queue::estimatedWait(flow_class flowClass, time_point now) const
{
    return m_implementation->estimatedWait(flowClass, now);
}

} // namespace citroncrank
