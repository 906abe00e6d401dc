#include "encode_body_pvt.h"

namespace citroncrank {

namespace {

using builder_type = flatbuffers::FlatBufferBuilder;

wire::Address wireAddress(const host_address &address)
{
    return {address.ip, address.port};
}

flatbuffers::Offset<wire::Member> encodeMember(const member_record &record, builder_type &builder)
{
    const auto name = builder.CreateString(record.name);
    const auto region = builder.CreateSharedString(record.region);
    const auto domain = builder.CreateSharedString(record.domain);
    const auto service = builder.CreateSharedString(record.service);
    const auto address = wireAddress(record.address);
    return wire::CreateMember(builder, name, std::uint8_t(record.role), record.incarnation, record.version, &address,
                              region, domain, std::uint8_t(record.state), service, std::uint8_t(record.serving),
                              record.slots, record.connections, record.configRevision, record.httpPort);
}

struct body_encoder
{
    builder_type &builder;

    encoded_body operator()(const hello_body &body) const
    {
        return {wire::Body::Hello, wire::CreateHello(builder, builder.CreateString(body.name)).Union()};
    }
    encoded_body operator()(const open_body &body) const
    {
        const auto tried = builder.CreateVector(body.tried);
        return {
            wire::Body::Open,
            wire::CreateOpen(builder, std::uint8_t(body.kind), body.remaining.count(), body.attempt, tried).Union()};
    }
    encoded_body operator()(const offer_body &body) const
    {
        return {wire::Body::Offer, wire::CreateOffer(builder, body.offer).Union()};
    }
    encoded_body operator()(const queued_body &body) const
    {
        return {wire::Body::Queued, wire::CreateQueued(builder, body.position).Union()};
    }
    encoded_body operator()(const refused_body &body) const
    {
        return {
            wire::Body::Refused,
            wire::CreateRefused(builder, std::uint8_t(body.reason), std::uint32_t(body.retryAfter.count())).Union()};
    }
    encoded_body operator()(const data_body &body) const
    {
        const auto *bytes = reinterpret_cast<const std::uint8_t *>(body.bytes.data());
        const auto vector = builder.CreateVector(bytes, body.bytes.size());
        return {wire::Body::Data,
                wire::CreateData(builder, body.offer, body.offset, vector, body.fin, body.ack, body.windowEnd).Union()};
    }
    encoded_body operator()(const ack_body &body) const
    {
        return {wire::Body::Ack, wire::CreateAck(builder, body.ack, body.windowEnd, body.finReceived).Union()};
    }
    encoded_body operator()(const cancel_body &body) const
    {
        return {wire::Body::Cancel, wire::CreateCancel(builder, body.offer).Union()};
    }
    encoded_body operator()(const fence_body &body) const
    {
        return {wire::Body::Fence, wire::CreateFence(builder, body.offer).Union()};
    }
    encoded_body operator()(const fenced_body &body) const
    {
        return {wire::Body::Fenced, wire::CreateFenced(builder, body.offer, body.delivered).Union()};
    }
    encoded_body operator()(const reset_body &body) const
    {
        return {wire::Body::Reset, wire::CreateReset(builder, std::uint8_t(body.reason), body.offer).Union()};
    }
    encoded_body operator()(const ping_body &body) const
    {
        return {wire::Body::Ping, wire::CreatePing(builder, body.nonce).Union()};
    }
    encoded_body operator()(const pong_body &body) const
    {
        return {wire::Body::Pong, wire::CreatePong(builder, body.nonce).Union()};
    }
    encoded_body operator()(const gossip_message &body) const
    {
        std::vector<flatbuffers::Offset<wire::Member>> records;
        records.reserve(body.records.size());
        for (const auto &record : body.records)
            records.push_back(encodeMember(record, builder));
        const auto recordVector = builder.CreateVector(records);
        const auto digests = builder.CreateVector(body.digests);
        const auto sender = builder.CreateString(body.sender);
        const auto target = builder.CreateString(body.target);
        const auto senderAddress = wireAddress(body.senderAddress);
        const auto targetAddress = wireAddress(body.targetAddress);
        return {wire::Body::Gossip,
                wire::CreateGossip(builder, std::uint8_t(body.kind), body.sequence, sender, &senderAddress, target,
                                   &targetAddress, body.configRevision, digests, recordVector)
                    .Union()};
    }
    encoded_body operator()(const config_fetch_body &body) const
    {
        return {wire::Body::ConfigFetch, wire::CreateConfigFetch(builder, body.above).Union()};
    }
    encoded_body operator()(const config_revision_body &body) const
    {
        return {wire::Body::ConfigRevision,
                wire::CreateConfigRevision(builder, body.revision, builder.CreateString(body.document)).Union()};
    }
    encoded_body operator()(const applied_body &body) const
    {
        return {wire::Body::Applied, wire::CreateApplied(builder, builder.CreateString(body.node), body.revision,
                                                         body.appliedAt.time_since_epoch().count())
                                         .Union()};
    }
};

} // namespace

encoded_body encodeBody(const frame_body &body, flatbuffers::FlatBufferBuilder *builder)
{
    return std::visit(body_encoder{*builder}, body);
}

} // namespace citroncrank
