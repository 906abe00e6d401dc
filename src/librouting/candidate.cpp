#include "citroncrank/routing.h"

#include <algorithm>
#include <array>

namespace citroncrank {

namespace {

struct ranked_candidate
{
    const upstream_record *upstream = nullptr;
    std::uint64_t score = 0; ///< Rendezvous score; the lowest comes first.
    double load = 0;
};

bool isReady(const upstream_record &upstream, const load_estimate &estimate)
{
    const bool alive = upstream.state == member_state::alive || upstream.state == member_state::suspect;
    return alive && upstream.serving == serving_state::ready && !estimate.draining;
}

double loadFor(flow_kind kind, const load_estimate &estimate)
{
    return kind == flow_kind::session ? estimate.connectionLoad : estimate.slotLoad;
}

std::vector<ranked_candidate> findEligible(const upstream_table &table, const load_hints &hints,
                                           const candidate_query &query, time_point now,
                                           no_candidate_reason *lastReason)
{
    std::vector<ranked_candidate> result;
    const auto upstreams = table.ofService(query.service);
    auto reason = upstreams.empty() ? no_candidate_reason::unknown_service : no_candidate_reason::none_ready;
    const auto flowHash = hashPair(query.flow.high, query.flow.low, query.seed);
    for (const auto &upstream : upstreams) {
        const auto estimate = hints.estimate(upstream, now);
        if (!isReady(upstream, estimate))
            continue;
        if (std::find(query.tried.begin(), query.tried.end(), upstream.agent) != query.tried.end()) {
            reason = no_candidate_reason::all_tried;
            continue;
        }
        result.push_back({&upstream, hashPair(flowHash, upstream.agent), loadFor(query.kind, estimate)});
    }
    if (lastReason && result.empty())
        *lastReason = reason;
    return result;
}

/// Removes the candidates that do not match, unless none matches.
template<typename Predicate>
void preferMatching(std::vector<ranked_candidate> *candidates, Predicate keep)
{
    const auto end = std::stable_partition(candidates->begin(), candidates->end(), keep);
    if (end != candidates->begin())
        candidates->erase(end, candidates->end());
}

} // namespace

const char *toString(no_candidate_reason reason)
{
    static constexpr std::array<const char *, kNoCandidateReasonCount> kNames{"unknown_service", "none_ready",
                                                                              "all_tried"};
    return kNames[std::size_t(reason)];
}

std::optional<upstream_record> chooseCandidate(const upstream_table &table, const load_hints &hints,
                                               const candidate_query &query, time_point now,
                                               no_candidate_reason *lastReason)
{
    auto candidates = findEligible(table, hints, query, now, lastReason);
    if (candidates.empty())
        return std::nullopt;
    // A suspect member is often alive, but an open sent to it may time out.
    preferMatching(&candidates, [](const auto &each) { return each.upstream->state == member_state::alive; });
    preferMatching(&candidates, [](const auto &each) { return each.load < 1; });
    preferMatching(&candidates,
                   [&](const auto &each) { return each.load < 1 && each.upstream->domain == query.ownDomain; });

    const auto compared = std::min<std::size_t>(candidates.size(), std::max<std::uint32_t>(query.choices, 1));
    std::partial_sort(candidates.begin(), candidates.begin() + std::ptrdiff_t(compared), candidates.end(),
                      [](const auto &left, const auto &right) { return left.score < right.score; });
    // min_element returns the first of equal elements, so ties are broken by rendezvous order.
    const auto best = std::min_element(candidates.begin(), candidates.begin() + std::ptrdiff_t(compared),
                                       [](const auto &left, const auto &right) { return left.load < right.load; });
    return *best->upstream;
}

} // namespace citroncrank
