#include "citroncrank/node_message.h"

#include "generated/node_message_generated.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <type_traits>
#include <utility>

namespace citroncrank {

namespace {

namespace wire = packet_wire;
using builder = flatbuffers::FlatBufferBuilder;

// Holds a forwarded packet of the largest size without growing.
constexpr std::size_t kBuilderBytes = 1536;

wire::Address toWire(const host_address &address)
{
    return {address.ip, address.port};
}

host_address fromWire(const wire::Address *address)
{
    return address == nullptr ? host_address{} : host_address{address->ip(), address->port()};
}

flatbuffers::Offset<flatbuffers::Vector<const wire::Address *>> toWire(builder *out,
                                                                       const std::vector<host_address> &addresses)
{
    return out->CreateVectorOfStructs<wire::Address>(
        addresses.size(), [&](std::size_t index, wire::Address *target) { *target = toWire(addresses[index]); });
}

std::vector<host_address> fromWire(const flatbuffers::Vector<const wire::Address *> *addresses)
{
    std::vector<host_address> result;
    if (addresses == nullptr)
        return result;
    result.reserve(addresses->size());
    for (const wire::Address *address : *addresses)
        result.push_back(fromWire(address));
    return result;
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

std::vector<agent_load_sample> fromWire(const flatbuffers::Vector<const wire::Load *> *samples)
{
    std::vector<agent_load_sample> result;
    if (samples == nullptr)
        return result;
    for (const wire::Load *sample : *samples) {
        if (result.size() < kMaxLoadSamples)
            result.push_back({fromWire(&sample->agent()), sample->busy(), sample->slots(), sample->processing_ms()});
    }
    return result;
}

// Values of the field "unsure". Older readers take any but the first as uncertain.
constexpr std::uint8_t kDenied = 0;
constexpr std::uint8_t kUncertain = 1;
constexpr std::uint8_t kExpected = 2;

std::uint8_t encodeCertainty(const owner_nack &nack)
{
    if (!nack.isUncertain)
        return kDenied;
    return nack.isExpected ? kExpected : kUncertain;
}

owner_nack decodeNack(const wire::Flow &flow, std::uint8_t certainty)
{
    return {.flow = {fromWire(&flow.caller()), fromWire(&flow.service())},
            .isUncertain = certainty != kDenied,
            .isExpected = certainty == kExpected};
}

// Values of the field "detail". Older readers drop a message with a reason that they do not know, so a newer reason is
// sent as the closest older one, with a detail.
constexpr std::uint8_t kNoDetail = 0;
constexpr std::uint8_t kEvacuated = 1;
constexpr std::uint8_t kCold = 2;
constexpr std::uint8_t kNoTime = 3;

std::pair<rejection_reason, std::uint8_t> encodeReason(rejection_reason reason)
{
    switch (reason) {
    case rejection_reason::evacuated:
        return {rejection_reason::draining, kEvacuated};
    case rejection_reason::cold:
        return {rejection_reason::full, kCold};
    case rejection_reason::no_time:
        return {rejection_reason::full, kNoTime};
    default:
        return {reason, kNoDetail};
    }
}

rejection_reason decodeReason(std::uint8_t reason, std::uint8_t detail)
{
    switch (detail) {
    case kEvacuated:
        return rejection_reason::evacuated;
    case kCold:
        return rejection_reason::cold;
    case kNoTime:
        return rejection_reason::no_time;
    default:
        return rejection_reason(reason);
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

std::string fromWire(const flatbuffers::Vector<std::uint8_t> *bytes)
{
    return bytes == nullptr ? std::string() : std::string(reinterpret_cast<const char *>(bytes->data()), bytes->size());
}

std::string fromWire(const flatbuffers::String *text)
{
    return text == nullptr ? std::string() : text->str();
}

std::optional<evacuation_set> fromWire(const wire::Evacuations *source)
{
    if (source == nullptr)
        return std::nullopt;
    evacuation_set result{.version = {source->era(), source->revision()}, .domains = {}};
    if (source->domains() != nullptr) {
        for (const flatbuffers::String *domain : *source->domains())
            result.domains.push_back(fromWire(domain));
    }
    return result;
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
                               message.isTrial, message.isSettled, visited, message.limits.coldRateMilli)
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
    return wire::CreateNotTaken(*out, std::uint8_t(reason), std::uint8_t(message.purpose), bytes, detail).Union();
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
                                     message.areEvacuationsConfirmed, message.evacuationsAgeMilliseconds)
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

std::optional<node_message> decodeBody(const wire::Forward &source)
{
    if (source.purpose() > std::uint8_t(forward_purpose::probe) || source.packet() == nullptr)
        return std::nullopt;
    return forwarded_packet{
        .purpose = forward_purpose(source.purpose()),
        .service = fromWire(source.service()),
        .origin = fromWire(source.origin()),
        .alternates = fromWire(source.alternates()),
        .limits = {source.priority(), source.latency_target_ms(), source.timeout_ms(), source.cold_rate_milli()},
        .packetBytes = fromWire(source.packet()),
        .isTrial = source.trial(),
        .isSettled = source.settled(),
        .visited = fromWire(source.visited())};
}

std::optional<node_message> decodeBody(const wire::Owner &source)
{
    if (source.flow() == nullptr)
        return std::nullopt;
    return owner_notice{{fromWire(&source.flow()->caller()), fromWire(&source.flow()->service())},
                        fromWire(source.loads())};
}

std::optional<node_message> decodeBody(const wire::NotTaken &source)
{
    if (source.reason() >= kRejectionReasonCount || source.purpose() > std::uint8_t(forward_purpose::probe)
        || source.packet() == nullptr)
        return std::nullopt;
    return rejection_notice{decodeReason(source.reason(), source.detail()), forward_purpose(source.purpose()),
                            fromWire(source.packet())};
}

std::optional<agent_report> decodeReport(const wire::Report *source)
{
    if (source == nullptr || source->state() >= kAgentStateCount)
        return std::nullopt;
    return agent_report{.service = fromWire(source->service()),
                        .domain = fromWire(source->domain()),
                        .incarnation = source->incarnation(),
                        .number = source->number(),
                        .state = agent_state(source->state()),
                        .slots = source->slots(),
                        .busy = source->busy(),
                        .flows = source->flows(),
                        .meanBusyMilli = source->mean_busy_milli(),
                        .coldMilliseconds = source->cold_ms(),
                        .periodMilliseconds = source->period_ms(),
                        .processingMilliseconds = source->processing_ms(),
                        .isFailing = source->failing(),
                        .isTrialDue = source->trial_due(),
                        .evacuations = {source->evacuations_era(), source->evacuations_revision()},
                        .processingMicroseconds = source->processing_us(),
                        .answers = source->answers(),
                        .waitMilliseconds = source->wait_ms()};
}

std::optional<node_message> decodeBody(const wire::Report &source)
{
    const auto report = decodeReport(&source);
    return report ? std::optional<node_message>(*report) : std::nullopt;
}

std::optional<node_message> decodeBody(const wire::BalancerHello &source)
{
    return balancer_hello{.incarnation = source.incarnation(),
                          .domain = fromWire(source.domain()),
                          .routesVersion = source.routes_version(),
                          .http = fromWire(source.http()),
                          .balancers = fromWire(source.balancers()),
                          .agents = source.agents(),
                          .isEntryMissing = source.entry_missing(),
                          .storeEra = source.store_era(),
                          .unlistedAgents = fromWire(source.unlisted_agents()),
                          .areRoutesConfirmed = source.routes_confirmed(),
                          .confirmationAgeMilliseconds = source.confirmation_age_ms(),
                          .evacuations = fromWire(source.evacuations()),
                          .areEvacuationsConfirmed = source.evacuations_confirmed(),
                          .evacuationsAgeMilliseconds = source.evacuations_age_ms()};
}

std::optional<node_message> decodeBody(const wire::AgentHello &source)
{
    const auto report = decodeReport(source.report());
    return report ? std::optional<node_message>(agent_hello{*report}) : std::nullopt;
}

std::optional<node_message> decodeBody(const wire::OwnerList &source)
{
    flow_owner_list result;
    if (source.entries() == nullptr || source.entries()->size() > kMaxOwnersPerMessage)
        return std::nullopt;
    for (const wire::OwnedFlow *entry : *source.entries())
        result.entries.push_back(
            {{fromWire(&entry->flow().caller()), fromWire(&entry->flow().service())}, fromWire(&entry->owner())});
    return result;
}

std::optional<node_message> decodeBody(const wire::Question &source)
{
    if (source.flow() == nullptr)
        return std::nullopt;
    return owner_query{{fromWire(&source.flow()->caller()), fromWire(&source.flow()->service())},
                       fromWire(source.service()),
                       source.has_acknowledged(),
                       source.acknowledged()};
}

std::optional<node_message> decodeBody(const wire::Denial &source)
{
    if (source.flow() == nullptr)
        return std::nullopt;
    return decodeNack(*source.flow(), source.unsure());
}

std::optional<node_message> decodeBody(const wire::QuestionList &source)
{
    if (source.entries() == nullptr || source.entries()->size() > kMaxOwnersPerMessage)
        return std::nullopt;
    owner_query_list result;
    for (const wire::AskedFlow *entry : *source.entries())
        result.queries.push_back({{fromWire(&entry->flow().caller()), fromWire(&entry->flow().service())},
                                  fromWire(source.service()),
                                  entry->has_acknowledged(),
                                  entry->acknowledged()});
    return result;
}

std::optional<node_message> decodeBody(const wire::DenialList &source)
{
    if (source.entries() == nullptr || source.entries()->size() > kMaxOwnersPerMessage)
        return std::nullopt;
    owner_nack_list result;
    for (const wire::DeniedFlow *entry : *source.entries())
        result.nacks.push_back(decodeNack(entry->flow(), entry->unsure()));
    return result;
}

} // namespace

const char *toString(rejection_reason reason)
{
    switch (reason) {
    case rejection_reason::wrong_service:
        return "wrong_service";
    case rejection_reason::draining:
        return "draining";
    case rejection_reason::not_serving:
        return "not_serving";
    case rejection_reason::full:
        return "full";
    case rejection_reason::unknown_flow:
        return "unknown_flow";
    case rejection_reason::ended_flow:
        return "ended_flow";
    case rejection_reason::evacuated:
        return "evacuated";
    case rejection_reason::cold:
        return "cold";
    case rejection_reason::no_time:
        return "no_time";
    }
    return "unknown";
}

const char *toString(agent_state state)
{
    switch (state) {
    case agent_state::unconfirmed:
        return "unconfirmed";
    case agent_state::ready:
        return "ready";
    case agent_state::draining:
        return "draining";
    case agent_state::silent:
        return "silent";
    case agent_state::left:
        return "left";
    case agent_state::stopping:
        return "stopping";
    }
    return "unknown";
}

std::string toString(const flow_key &flow)
{
    return absl::StrCat(toString(flow.caller), ">", toString(flow.service));
}

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

std::optional<node_message> decodeNodeMessage(std::string_view datagram)
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(datagram.data());
    flatbuffers::Verifier verifier(data, datagram.size());
    if (!wire::VerifyMessageBuffer(verifier))
        return std::nullopt;
    const wire::Message *const message = wire::GetMessage(data);
    if (message->body() == nullptr)
        return std::nullopt;
    switch (message->body_type()) {
    case wire::Body::Forward:
        return decodeBody(*message->body_as_Forward());
    case wire::Body::Owner:
        return decodeBody(*message->body_as_Owner());
    case wire::Body::NotTaken:
        return decodeBody(*message->body_as_NotTaken());
    case wire::Body::Report:
        return decodeBody(*message->body_as_Report());
    case wire::Body::BalancerHello:
        return decodeBody(*message->body_as_BalancerHello());
    case wire::Body::AgentHello:
        return decodeBody(*message->body_as_AgentHello());
    case wire::Body::OwnerList:
        return decodeBody(*message->body_as_OwnerList());
    case wire::Body::Question:
        return decodeBody(*message->body_as_Question());
    case wire::Body::Denial:
        return decodeBody(*message->body_as_Denial());
    case wire::Body::QuestionList:
        return decodeBody(*message->body_as_QuestionList());
    case wire::Body::DenialList:
        return decodeBody(*message->body_as_DenialList());
    case wire::Body::NONE:
        break;
    }
    return std::nullopt;
}

} // namespace citroncrank
