#include "queueing_model.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace citroncrank::bench {

namespace {

constexpr duration kInDomainDelay = std::chrono::microseconds(200);
constexpr duration kCrossDomainDelay = std::chrono::milliseconds(4);
constexpr duration kMaxAnnouncementDelay = std::chrono::seconds(2);
constexpr duration kWarmUpTime = std::chrono::seconds(30);
constexpr double kInitialExtraSlowdown = 2; // a cold upstream starts at three times its normal service time

double slowdown(const upstream_host &host, time_point now)
{
    if (!host.coldSince || now - *host.coldSince >= kWarmUpTime)
        return 1;
    return 1 + kInitialExtraSlowdown * (1 - double((now - *host.coldSince).count()) / double(kWarmUpTime.count()));
}

} // namespace

queueing_model::queueing_model(const deployment &plan, const service_plan &servicePlan,
                               const policy_settings &policySettings, std::uint64_t seed)
    : random(seed)
    , service(servicePlan)
    , policy(policySettings)
    , m_domains(plan.domains)
{
    for (std::size_t index = 0; index < service.upstreams; ++index)
        addUpstream();
    const auto table = buildTable();
    for (std::size_t index = 0; index < plan.balancers; ++index)
        balancers.push_back({index % plan.domains.size(), table, load_hints(policy.hints), random.below(1000)});
}

std::size_t queueing_model::addUpstream()
{
    const auto index = upstreams.size();
    const auto domain = index % m_domains.size();
    const member_record member{.name = absl::StrCat(service.name, "-", index),
                               .role = node_role::agent,
                               .incarnation = 1,
                               .domain = m_domains[domain],
                               .service = service.name,
                               .serving = serving_state::ready,
                               .slots = service.slots,
                               .connections = service.connections};
    upstreamOf.emplace(memberNodeId(member), index);
    upstreams.push_back({.member = member, .domain = domain, .lastChange = events.now()});
    distributeTable();
    return index;
}

std::shared_ptr<const upstream_table> queueing_model::buildTable() const
{
    std::vector<member_record> members;
    for (const auto &host : upstreams)
        members.push_back(host.member);
    return std::make_shared<upstream_table>(upstream_table::build(members, m_tableRevision));
}

duration queueing_model::delay(std::size_t fromDomain, std::size_t toDomain)
{
    const auto base = fromDomain == toDomain ? kInDomainDelay : kCrossDomainDelay;
    return base + random.exponential(base / 10);
}

std::size_t queueing_model::balancerFor(std::size_t edgeDomain)
{
    if (!policy.nearBalancers)
        return randomBalancer();
    const auto inDomain = (balancers.size() - edgeDomain - 1) / m_domains.size() + 1;
    return edgeDomain + m_domains.size() * random.below(inDomain);
}

void queueing_model::viaBalancer(std::size_t edgeDomain, std::size_t upstreamDomain, event_queue::action then)
{
    const auto over = balancers[balancerFor(edgeDomain)].domain;
    events.after(delay(edgeDomain, over) + delay(over, upstreamDomain), std::move(then));
}

void queueing_model::accountBusy(upstream_host *host)
{
    host->busyMicroseconds += host->running * (events.now() - host->lastChange).count();
    host->lastChange = events.now();
}

void queueing_model::serve(std::size_t upstream, request_flow *flow, event_queue::action ended)
{
    auto &host = upstreams[upstream];
    accountBusy(&host);
    ++host.running;
    flow->started = events.now();
    recordStart(*flow);
    const auto work = duration(std::int64_t(double(flow->work.count()) * slowdown(host, events.now())));
    events.after(work, [this, upstream, flow, ended = std::move(ended)] {
        accountBusy(&upstreams[upstream]);
        --upstreams[upstream].running;
        respond(upstream, *flow);
        ended();
    });
}

void queueing_model::respond(std::size_t upstream, const request_flow &flow)
{
    const auto over = balancers[balancerFor(flow.edgeDomain)].domain;
    const auto arrives = events.now() + delay(upstreams[upstream].domain, over) + delay(over, flow.edgeDomain);
    auto &counts = countsOf(flow);
    ++counts.completed;
    counts.withinDeadline += arrives <= flow.deadline ? 1 : 0;
}

phase_result &queueing_model::phaseOf(const request_flow &flow)
{
    const auto later = std::upper_bound(phaseStarts.begin(), phaseStarts.end(), flow.arrival);
    return phases[std::size_t(later - phaseStarts.begin())];
}

void queueing_model::recordStart(const request_flow &flow)
{
    auto &phase = phaseOf(flow);
    phase.queueWaits.push_back(flow.queueWait.count());
    phase.startDelays.push_back((*flow.started - flow.arrival).count());
}

void queueing_model::announce(std::size_t upstream, serving_state serving)
{
    auto &member = upstreams[upstream].member;
    member.serving = serving;
    ++member.version;
    distributeTable();
}

void queueing_model::distributeTable()
{
    ++m_tableRevision;
    const auto table = buildTable();
    for (auto &balancer : balancers) {
        const duration propagationDelay{std::int64_t(random.uniform() * double(kMaxAnnouncementDelay.count()))};
        events.after(propagationDelay, [&balancer, table] {
            if (balancer.table->revision() < table->revision())
                balancer.table = table;
        });
    }
}

load_report queueing_model::reportedLoad(std::size_t upstream, load_report actual) const
{
    switch (upstreams[upstream].fault) {
    case report_fault::none:
        break;
    case report_fault::frozen_idle:
        actual.busySlots = 0;
        actual.queued = 0;
        break;
    case report_fault::inverted:
        actual.busySlots = std::uint16_t(actual.slots - std::min(actual.slots, actual.busySlots));
        actual.queued = 0;
        break;
    }
    return actual;
}

void queueing_model::startSampling(std::function<std::uint32_t()> heldSlots)
{
    m_heldSlots = std::move(heldSlots);
    resetBusyTimes();
    events.after(std::chrono::seconds(1), [this] { sample(); });
}

void queueing_model::resetBusyTimes()
{
    for (auto &host : upstreams) {
        accountBusy(&host);
        host.busyMicroseconds = 0;
    }
}

void queueing_model::sample()
{
    std::int64_t most = 0;
    std::int64_t total = 0;
    std::uint32_t running = 0;
    for (auto &host : upstreams) {
        accountBusy(&host);
        most = std::max(most, host.busyMicroseconds);
        total += host.busyMicroseconds;
        running += host.running;
    }
    const double slots = double(upstreams.size() * service.slots);
    const auto later = std::upper_bound(phaseStarts.begin(), phaseStarts.end(), events.now() - duration(1));
    auto &phase = phases[std::size_t(later - phaseStarts.begin())];
    phase.busyShares.push_back(running / slots);
    phase.heldShares.push_back(m_heldSlots() / slots);
    if (total > 0)
        phase.imbalances.push_back(double(most) * double(upstreams.size()) / double(total));
    resetBusyTimes();
    events.after(std::chrono::seconds(1), [this] { sample(); });
}

} // namespace citroncrank::bench
