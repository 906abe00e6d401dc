#include "citroncrank/packet_node_settings.h"

#include "citroncrank/settings_rows.h"
#include "citroncrank/watch_timing.h"

namespace citroncrank {

namespace {

settings_table commonTable()
{
    settings_table table = hostIdentityKeys();
    const settings_table further = {
        {.path = "listen.plane",
         .type = settings_type::address,
         .description = "Address for messages between nodes (UDP).",
         .required = true},
        {.path = "listen.http",
         .type = settings_type::address,
         .description = "Address for readiness, metrics and the routes in force.",
         .required = true},
        {.path = "caller-address",
         .type = settings_type::address,
         .description = "Callers receive packets at their own IP address and the port of this address (UDP).",
         .required = true},
        {.path = "platform",
         .type = settings_type::address,
         .description = "Address of the platform's store.",
         .required = true},
        {.path = "store-writes",
         .type = settings_type::number,
         .description = "Write calls that the platform's store accepts from all nodes together.",
         .defaultValue = "400",
         .minimum = 1,
         .maximum = 1'000'000,
         .unit = "calls per second",
         .isReloadable = true},
        {.path = "seeds",
         .type = settings_type::address,
         .description = "Balancers that may be running. The port is ignored: each uses the port of listen.plane.",
         .isList = true,
         .isReloadable = true},
        {.path = "flow-lifetime",
         .type = settings_type::duration,
         .description = "The state of a flow older than this may be evicted.",
         .defaultValue = "60s",
         .isReloadable = true},
        {.path = "stop-time",
         .type = settings_type::duration,
         .description = "Time between SIGTERM and SIGKILL.",
         .defaultValue = "6s",
         .isReloadable = true},
        {.path = "evacuation-time",
         .type = settings_type::duration,
         .description = "Longest time from the write of an evacuation to the platform's store until no upstream of the "
                        "failure domain gets a new flow. Without it evacuations are neither read nor applied.",
         .minimum = duration(kMinWatchLimit).count()},
        {.path = "configuration-time",
         .type = settings_type::duration,
         .description =
             "Longest time from the confirmation of a configuration until all balancers apply it. The waits and "
             "time-outs of the watch of the platform's store follow from it.",
         .defaultValue = "3s",
         .minimum = duration(kMinWatchLimit).count()},
        {.path = "cold-excess",
         .type = settings_type::decimal,
         .description = "Agents: an upstream that is cold after its start gets at most the rate of new flows of its "
                        "service times this factor, plus cold-slack, in any second. Without it there is no limit.",
         .minimum = 0,
         .maximum = 1'000'000,
         .isReloadable = true},
        {.path = "cold-slack",
         .type = settings_type::decimal,
         .description = "Agents: new flows beyond cold-excess that a cold upstream may get in any second.",
         .defaultValue = "0",
         .minimum = 0,
         .maximum = 1'000'000,
         .isReloadable = true},
    };
    table.insert(table.end(), further.begin(), further.end());
    return table;
}

} // namespace

settings_table packetBalancerTable()
{
    settings_table table = commonTable();
    table.push_back({.path = "listen.packets",
                     .type = settings_type::address,
                     .description = "Address to which routers send callers' packets (UDP).",
                     .required = true});
    table.push_back({.path = "configuration-watchers",
                     .type = settings_type::integer,
                     .description = "Balancers of each failure domain that watch the configuration in the platform's "
                                    "store. The others hear of changes from them.",
                     .defaultValue = "3",
                     .minimum = 1,
                     .maximum = 1000,
                     .isReloadable = true});
    return table;
}

settings_table packetAgentTable()
{
    settings_table table = commonTable();
    table.push_back({.path = "listen.upstream-packets",
                     .type = settings_type::address,
                     .description = "Address to which the upstream sends its packets (UDP).",
                     .required = true});
    table.push_back({.path = "listen.announcements",
                     .type = settings_type::address,
                     .description = "Address to which the upstream sends its announcements (HTTP).",
                     .required = true});
    table.push_back({.path = "upstream.address",
                     .type = settings_type::address,
                     .description = "Address at which the upstream receives packets (UDP).",
                     .required = true});
    table.push_back({.path = "upstream.service",
                     .type = settings_type::text,
                     .description = "Service of the upstream.",
                     .required = true,
                     .minimum = 1});
    table.push_back({.path = "upstream.announcement-period",
                     .type = settings_type::duration,
                     .description = "Expected time between two announcements of the upstream.",
                     .defaultValue = "1s",
                     .isReloadable = true});
    table.push_back(
        {.path = "snapshot-pause",
         .type = settings_type::duration,
         .description = "Minimum time between two snapshots of the open flows in the platform's store. 0s: none.",
         .defaultValue = "1s",
         .isReloadable = true});
    return table;
}

packet_node_settings parsePacketNodeSettings(const settings_values &values)
{
    packet_node_settings node{.name = values.getText("name"),
                              .region = values.getText("region"),
                              .domain = values.getText("domain"),
                              .nodeAddress = values.getAddress("listen.plane"),
                              .http = values.getAddress("listen.http"),
                              .callerPort = values.getAddress("caller-address").port,
                              .platform = values.getAddress("platform"),
                              .storeWritesPerSecond = std::uint32_t(values.getInteger("store-writes")),
                              .seeds = {},
                              .flowLifetime = values.getDuration("flow-lifetime"),
                              .stopTime = values.getDuration("stop-time"),
                              .evacuationTime = values.has("evacuation-time")
                                                    ? std::optional(values.getDuration("evacuation-time"))
                                                    : std::nullopt};
    if (values.has("seeds")) {
        for (const host_address &seed : values.getAddresses("seeds"))
            node.seeds.push_back({seed.ip, node.nodeAddress.port});
    }
    return node;
}

packet_balancer_node_settings parsePacketBalancerNodeSettings(const settings_values &values)
{
    return {.node = parsePacketNodeSettings(values),
            .packets = values.getAddress("listen.packets"),
            .routesWatchers = std::size_t(values.getInteger("configuration-watchers")),
            .configurationTime = values.getDuration("configuration-time")};
}

packet_agent_node_settings parsePacketAgentNodeSettings(const settings_values &values)
{
    std::optional<cold_opening_limit> coldLimit;
    if (values.has("cold-excess"))
        coldLimit = {.excessMilli = std::uint32_t(values.getInteger("cold-excess")),
                     .slackMilli = std::uint32_t(values.getInteger("cold-slack"))};
    return {.node = parsePacketNodeSettings(values),
            .upstreamPackets = values.getAddress("listen.upstream-packets"),
            .announcements = values.getAddress("listen.announcements"),
            .upstream = values.getAddress("upstream.address"),
            .service = values.getText("upstream.service"),
            .announcementPeriod = values.getDuration("upstream.announcement-period"),
            .minSnapshotInterval = values.getDuration("snapshot-pause"),
            .coldLimit = coldLimit,
            .configurationTime = values.getDuration("configuration-time")};
}

} // namespace citroncrank
