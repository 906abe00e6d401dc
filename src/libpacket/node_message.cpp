#include "citroncrank/node_message.h"

#include "node_message_pvt.h"

#include <absl/strings/str_cat.h>

namespace citroncrank {

namespace {

host_address fromWire(const wire::Address *address)
{
    return address == nullptr ? host_address{} : host_address{address->ip(), address->port()};
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

owner_nack decodeNack(const wire::Flow &flow, std::uint8_t certainty)
{
    return {.flow = {fromWire(&flow.caller()), fromWire(&flow.service())},
            .isUncertain = certainty != kDenied,
            .isExpected = certainty == kExpected};
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
    case kReplacedRoutes:
        return rejection_reason::replaced_routes;
    default:
        return rejection_reason(reason);
    }
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
        .visited = fromWire(source.visited()),
        .routesVersion = source.routes_version(),
        .isNewestKnown = source.newest_known()};
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
                            fromWire(source.packet()), source.newest_routes(), fromWire(source.newest_holder())};
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
                          .evacuationsAgeMilliseconds = source.evacuations_age_ms(),
                          .takesOpenings = source.takes_openings()};
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
    case rejection_reason::replaced_routes:
        return "replaced_routes";
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
