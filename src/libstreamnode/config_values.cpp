#include "citroncrank/config_values.h"

#include <stdexcept>

namespace citroncrank {

namespace {

/// Reads the effective values of settings for one place and time. A key that is missing from the key table is a
/// programming error.
class value_reader
{
public:
    value_reader(const config_revision &revision, const config_place &place)
        : m_revision(revision)
        , m_time(place.when)
    {
        m_scope.domain = place.domain;
        m_scope.host = place.host;
    }

    value_reader &service(const std::string &name)
    {
        m_scope.service = name;
        return *this;
    }
    value_reader &flowClass(flow_class value)
    {
        m_scope.flowClass = value;
        return *this;
    }

    duration time(std::string_view key) const { return std::get<duration>(value(key)); }
    std::int64_t count(std::string_view key) const { return std::get<std::int64_t>(value(key)); }
    double ratio(std::string_view key) const { return std::get<double>(value(key)); }

    stream_limits stream() const
    {
        return {.windowBytes = std::uint64_t(count("flow.window")),
                .minimumTimeout = time("flow.retransmit-lowest"),
                .maximumTimeout = time("flow.retransmit-highest"),
                .initialTimeout = time("flow.retransmit-first")};
    }

private:
    config_value value(std::string_view key) const
    {
        const auto found = effectiveValue(m_revision, key, m_scope, m_time);
        if (!found)
            throw std::logic_error("configuration key is not in the key table: " + std::string(key));
        return found->value;
    }

    const config_revision &m_revision;
    wall_time m_time;
    config_scope m_scope;
};

} // namespace

admission_settings admissionSettings(const config_revision &revision, const std::string &service,
                                     const config_place &place, const admission_settings &announced)
{
    const auto reader = value_reader(revision, place).service(service);
    admission_settings settings = announced;
    settings.queueLimit = std::uint16_t(reader.count("admission.queue-limit"));
    settings.classShares = {std::uint16_t(reader.count("admission.urgent-weight")),
                            std::uint16_t(reader.count("admission.normal-weight")),
                            std::uint16_t(reader.count("admission.bulk-weight"))};
    settings.warmUp = reader.time("admission.warm-up");
    return settings;
}

agent_settings agentSettings(const config_revision &revision, const config_place &place, const agent_settings &base)
{
    const auto reader = value_reader(revision, place).service(base.service);
    agent_settings settings = base;
    settings.offerTimeout = reader.time("agent.offer-timeout");
    settings.withdrawnRetention = reader.time("agent.withdrawn-memory");
    settings.edgeSilence = reader.time("flow.edge-silence");
    settings.idleProbe = reader.time("flow.idle-probe");
    settings.stream = reader.stream();
    return settings;
}

health_check_settings healthCheckSettings(const config_revision &revision, const std::string &service,
                                          const config_place &place)
{
    const auto reader = value_reader(revision, place).service(service);
    return {.period = reader.time("agent.health-period"),
            .failuresUntilDown = int(reader.count("agent.health-failures"))};
}

std::map<host_address, listener_settings> listenerSettings(const config_revision &revision, const config_place &place)
{
    std::map<host_address, listener_settings> listeners;
    for (const auto &service : revision.services) {
        for (const auto &address : service.addresses) {
            const auto reader = value_reader(revision, place).service(service.name).flowClass(address.flowClass);
            caller_flow_settings flow;
            flow.service = service.name;
            flow.flowClass = address.flowClass;
            flow.kind = address.kind;
            flow.deadline = address.deadline;
            flow.fanOut = int(reader.count("flow.open-fan-out"));
            flow.stream = reader.stream();
            // Requests keep the short default interval, so that a dead owner is detected soon. Sessions may be idle all
            // day, and probing millions of them that often would use up the budget for control traffic.
            if (address.kind == flow_kind::session)
                flow.idleProbe = reader.time("flow.idle-probe");
            listeners[address.address] = {std::move(flow), address.notRunReply.value_or("")};
        }
    }
    return listeners;
}

balancer_settings balancerSettings(const config_revision &revision, const config_place &place,
                                   const balancer_settings &base)
{
    balancer_settings settings = base;
    settings.hintAge = value_reader(revision, place).time("routing.load-hint-age");
    return settings;
}

retry_budget_settings retryBudgetSettings(const config_revision &revision, const config_place &place)
{
    const value_reader reader(revision, place);
    return {.retriesPer1000Successes = std::uint32_t(reader.ratio("retry.budget") * 1000.0),
            .initialTokens = std::uint32_t(reader.count("retry.burst")),
            .maxTokens = std::max<std::uint32_t>(100, std::uint32_t(reader.count("retry.burst")))};
}

} // namespace citroncrank
