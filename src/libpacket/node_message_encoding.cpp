#include "citroncrank/node_message.h"

#include "node_message_pvt.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace citroncrank {

namespace {

using builder = flatbuffers::FlatBufferBuilder;

// Holds a forwarded packet of the largest size without growing.
constexpr std::size_t kBuilderBytes = 1536;

wire::Address toWire(const host_address &address)
{
    return {address.ip, address.port};
}

flatbuffers::Offset<flatbuffers::Vector<const wire::Address *>> toWire(builder *out,
                                                                       const std::vector<host_address> &addresses)
{
    return out->CreateVectorOfStructs<wire::Address>(
        addresses.size(), [&](std::size_t index, wire::Address *target) { *target = toWire(addresses[index]); });
}

flatbuffers::Offset<flatbuffers::Vector<const wire::Load *>> toWire(builder *out,
                                                                    const std::vector<agent_load_sample> &samples)
{
    return out->CreateVectorOfStructs<wire::Load>(
        std::min(kMaxLoadSamples, samples.size()), [&](std::size_t index, wire::Load *target) {
            const agent_load_sample &sample = samples[index];
            *target = {toWire(sample.agent), sample.busy, sample.slots, sample.processingMilliseconds};
        });
}

std::uint8_t encodeCertainty(const owner_nack &nack)
{
    if (!nack.isUncertain)
        return kDenied;
    return nack.isExpected ? kExpected : kUncertain;
}

std::pair<rejection_reason, std::uint8_t> encodeReason(rejection_reason reason)
{
    switch (reason) {
    case rejection_reason::evacuated:
        return {rejection_reason::draining, kEvacuated};
    case rejection_reason::cold:
        return {rejection_reason::full, kCold};
    case rejection_reason::no_time:
        return {rejection_reason::full, kNoTime};
    case rejection_reason::replaced_routes:
        return {rejection_reason::wrong_service, kReplacedRoutes};
    default:
        return {reason, kNoDetail};
    }
}

flatbuffers::Offset<wire::Evacuations> toWire(builder *out, const std::optional<evacuation_set> &evacuations)
{
    if (!evacuations)
        return {};
    const auto domains = out->CreateVectorOfStrings(evacuations->domains);
    return wire::CreateEvacuations(*out, evacuations->version.era, evacuations->version.revision, domains);
}

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> toWire(builder *out, const std::string &bytes)
{
    return out->CreateVector(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
}

flatbuffers::Offset<void> encodeBody(builder *out, const forwarded_packet &message)
{
    const auto service = out->CreateString(message.service);
    const auto alternates = toWire(out, message.alternates);
    const auto bytes = toWire(out, message.packetBytes);
    const auto origin = toWire(message.origin);
    const auto visited = toWire(out, message.visited);
    return wire::CreateForward(*out, std::uint8_t(message.purpose), service, &origin, alternates, bytes,
                               message.limits.priority, message.limits.latencyTargetMs, message.limits.timeoutMs,
                               message.isTrial, message.isSettled, visited, message.limits.coldRateMilli,
                               message.routesVersion, message.isNewestKnown)
        .Union();
}

flatbuffers::Offset<void> encodeBody(builder *out, const owner_notice &message)
{
    const wire::Flow flow(toWire(message.flow.caller), toWire(message.flow.service));
    return wire::CreateOwner(*out, &flow, toWire(out, message.loads)).Union();
}

flatbuffers::Offset<void> encodeBody(builder *out, const rejection_notice &message)
{
    const auto bytes = toWire(out, message.packetBytes);
    const auto [reason, detail] = encodeReason(message.reason);
    const auto holder = toWire(message.newestHolder);
    return wire::CreateNotTaken(*out, std::uint8_t(reason), std::uint8_t(message.purpose), bytes, detail,
                                message.newestRoutes, &holder)
        .Union();
}

flatbuffers::Offset<wire::Report> encodeReport(builder *out, const agent_report &report)
{
    const auto service = out->CreateString(report.service);
    const auto domain = out->CreateString(report.domain);
    return wire::CreateReport(*out, service, domain, report.incarnation, report.number, std::uint8_t(report.state),
                              report.slots, report.busy, report.flows, report.meanBusyMilli, report.coldMilliseconds,
                              report.periodMilliseconds, report.isFailing, report.isTrialDue,
                              report.processingMilliseconds, report.evacuations.era, report.evacuations.revision,
                              report.processingMicroseconds, report.answers, report.waitMilliseconds);
}

flatbuffers::Offset<void> encodeBody(builder *out, const agent_report &message)
{
    return encodeReport(out, message).Union();
}

flatbuffers::Offset<void> encodeBody(builder *out, const balancer_hello &message)
{
    const auto balancers = toWire(out, message.balancers);
    const auto unlisted = toWire(out, message.unlistedAgents);
    const auto http = toWire(message.http);
    const auto domain = out->CreateString(message.domain);
    const auto evacuations = toWire(out, message.evacuations);
    return wire::CreateBalancerHello(*out, domain, message.incarnation, message.routesVersion, &http, balancers,
                                     message.agents, message.isEntryMissing, message.storeEra, unlisted,
                                     message.areRoutesConfirmed, message.confirmationAgeMilliseconds, evacuations,
                                     message.areEvacuationsConfirmed, message.evacuationsAgeMilliseconds,
                                     message.takesOpenings)
        .Union();
}

flatbuffers::Offset<void> encodeBody(builder *out, const agent_hello &message)
{
    return wire::CreateAgentHello(*out, encodeReport(out, message.report)).Union();
}

flatbuffers::Offset<void> encodeBody(builder *out, const flow_owner_list &message)
{
    const auto entries = out->CreateVectorOfStructs<wire::OwnedFlow>(
        message.entries.size(), [&](std::size_t index, wire::OwnedFlow *target) {
            const flow_owner_entry &entry = message.entries[index];
            *target = {wire::Flow(toWire(entry.flow.caller), toWire(entry.flow.service)), toWire(entry.owner)};
        });
    return wire::CreateOwnerList(*out, entries).Union();
}

flatbuffers::Offset<void> encodeBody(builder *out, const owner_query &message)
{
    const auto service = out->CreateString(message.service);
    const wire::Flow flow(toWire(message.flow.caller), toWire(message.flow.service));
    return wire::CreateQuestion(*out, &flow, service, message.hasAcknowledged, message.acknowledged).Union();
}

flatbuffers::Offset<void> encodeBody(builder *out, const owner_nack &message)
{
    const wire::Flow flow(toWire(message.flow.caller), toWire(message.flow.service));
    return wire::CreateDenial(*out, &flow, encodeCertainty(message)).Union();
}

flatbuffers::Offset<void> encodeBody(builder *out, const owner_query_list &message)
{
    const auto service = out->CreateString(message.queries.empty() ? "" : message.queries.front().service);
    const auto entries = out->CreateVectorOfStructs<wire::AskedFlow>(
        message.queries.size(), [&](std::size_t index, wire::AskedFlow *target) {
            const owner_query &query = message.queries[index];
            *target = {wire::Flow(toWire(query.flow.caller), toWire(query.flow.service)), query.acknowledged,
                       query.hasAcknowledged};
        });
    return wire::CreateQuestionList(*out, service, entries).Union();
}

flatbuffers::Offset<void> encodeBody(builder *out, const owner_nack_list &message)
{
    const auto entries = out->CreateVectorOfStructs<wire::DeniedFlow>(
        message.nacks.size(), [&](std::size_t index, wire::DeniedFlow *target) {
            const owner_nack &nack = message.nacks[index];
            *target = {wire::Flow(toWire(nack.flow.caller), toWire(nack.flow.service)), encodeCertainty(nack)};
        });
    return wire::CreateDenialList(*out, entries).Union();
}

template<typename message_type>
constexpr wire::Body bodyType()
{
    if constexpr (std::is_same_v<message_type, forwarded_packet>)
        return wire::Body::Forward;
    else if constexpr (std::is_same_v<message_type, owner_notice>)
        return wire::Body::Owner;
    else if constexpr (std::is_same_v<message_type, rejection_notice>)
        return wire::Body::NotTaken;
    else if constexpr (std::is_same_v<message_type, agent_report>)
        return wire::Body::Report;
    else if constexpr (std::is_same_v<message_type, balancer_hello>)
        return wire::Body::BalancerHello;
    else if constexpr (std::is_same_v<message_type, flow_owner_list>)
        return wire::Body::OwnerList;
    else if constexpr (std::is_same_v<message_type, owner_query>)
        return wire::Body::Question;
    else if constexpr (std::is_same_v<message_type, owner_nack>)
        return wire::Body::Denial;
    else if constexpr (std::is_same_v<message_type, owner_query_list>)
        return wire::Body::QuestionList;
    else if constexpr (std::is_same_v<message_type, owner_nack_list>)
        return wire::Body::DenialList;
    else
        return wire::Body::AgentHello;
}

} // namespace

std::string encodeNodeMessage(const node_message &message)
{
    builder out(kBuilderBytes);
    std::visit(
        [&out](const auto &body) {
            const auto offset = encodeBody(&out, body);
            const auto type = bodyType<std::decay_t<decltype(body)>>();
            wire::FinishMessageBuffer(out, wire::CreateMessage(out, type, offset));
        },
        message);
    return {reinterpret_cast<const char *>(out.GetBufferPointer()), out.GetSize()};
}

} // namespace citroncrank
