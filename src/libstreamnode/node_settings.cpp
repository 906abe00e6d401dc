#include "citroncrank/node_settings.h"

#include "citroncrank/settings_rows.h"

namespace citroncrank {

namespace {

// libsodium's keyed hash takes keys of 16 to 64 bytes.
constexpr std::int64_t kMinSecretBytes = 16;
constexpr std::int64_t kMaxSecretBytes = 64;

settings_table commonTable()
{
    settings_table table = hostIdentityKeys();
    const settings_table further = {
        {.path = "listen",
         .type = settings_type::address,
         .description = "Address for frames of other nodes and of edges (TCP) and for membership (UDP).",
         .required = true},
        {.path = "http",
         .type = settings_type::address,
         .description = "Address of the operators' endpoint: metrics, readiness, status.",
         .required = true},
        {.path = "platform",
         .type = settings_type::address,
         .description = "Address of the platform's object API. Without it the node learns only from its seeds."},
        {.path = "seeds",
         .type = settings_type::address,
         .description = "Nodes to join through when the platform's roster cannot be read.",
         .isList = true},
        {.path = "keys.current-id",
         .type = settings_type::integer,
         .description = "Id of the key that signs frames.",
         .required = true,
         .minimum = 0,
         .maximum = 255},
        {.path = "keys.current-secret",
         .type = settings_type::secret,
         .description = "Key that signs frames, 16 to 64 bytes.",
         .required = true,
         .minimum = kMinSecretBytes,
         .maximum = kMaxSecretBytes},
        {.path = "keys.previous-id",
         .type = settings_type::integer,
         .description = "Id of a second key that is accepted during a rollover.",
         .minimum = 0,
         .maximum = 255},
        {.path = "keys.previous-secret",
         .type = settings_type::secret,
         .description = "Second key that is accepted during a rollover.",
         .minimum = kMinSecretBytes,
         .maximum = kMaxSecretBytes},
        {.path = "log.level",
         .type = settings_type::text,
         .description = "Lowest level that is logged.",
         .defaultValue = "info",
         .choices = {"debug", "info", "warn", "error"}},
        {.path = "log.format",
         .type = settings_type::text,
         .description = "Form of log lines.",
         .defaultValue = "text",
         .choices = {"text", "json"}},
        {.path = "log.file",
         .type = settings_type::text,
         .description = "Log file; empty logs to standard error.",
         .defaultValue = ""},
    };
    table.insert(table.end(), further.begin(), further.end());
    return table;
}

node_settings readCommon(const settings_values &values)
{
    node_settings node;
    node.name = values.getText("name");
    node.region = values.getText("region");
    node.domain = values.getText("domain");
    node.listen = values.getAddress("listen");
    node.http = values.getAddress("http");
    if (values.has("platform"))
        node.platform = values.getAddress("platform");
    if (values.has("seeds"))
        node.seeds = values.getAddresses("seeds");
    node.keys.current = {std::uint8_t(values.getInteger("keys.current-id")), values.getSecret("keys.current-secret")};
    if (values.has("keys.previous-id") && values.has("keys.previous-secret"))
        node.keys.previous =
            frame_key{std::uint8_t(values.getInteger("keys.previous-id")), values.getSecret("keys.previous-secret")};
    node.log.level = parseLogLevel(values.getText("log.level")).value_or(log_level::info);
    node.log.format = parseLogFormat(values.getText("log.format")).value_or(log_format::text);
    node.log.file = values.getText("log.file");
    return node;
}

/// Faults that concern more than one key.
void checkCommon(const settings_values &values, const std::string &path, std::vector<settings_fault> *faults)
{
    if (values.has("keys.previous-id") != values.has("keys.previous-secret"))
        faults->push_back({settings_fault_kind::missing_key,
                           path,
                           0,
                           values.has("keys.previous-id") ? "keys.previous-secret" : "keys.previous-id",
                           {}});
    if (values.has("keys.previous-id") && values.getInteger("keys.previous-id") == values.getInteger("keys.current-id"))
        faults->push_back(
            {settings_fault_kind::out_of_range, path, 0, "keys.previous-id", "an id other than keys.current-id"});
}

} // namespace

settings_table balancerSettingsTable()
{
    auto table = commonTable();
    table.push_back({.path = "accept",
                     .type = settings_type::address,
                     .description = "Service addresses on which this balancer accepts plain TCP itself, for networks "
                                    "that keep a flow on one host. Each must be an address of a configured service.",
                     .isList = true});
    return table;
}

settings_table agentSettingsTable()
{
    auto table = commonTable();
    table.push_back({.path = "service",
                     .type = settings_type::text,
                     .description = "Service of the upstream beside this agent.",
                     .required = true,
                     .minimum = 1,
                     .maximum = 64});
    table.push_back({.path = "upstream",
                     .type = settings_type::address,
                     .description = "Address of the upstream beside this agent.",
                     .required = true});
    table.push_back({.path = "slots",
                     .type = settings_type::integer,
                     .description = "Requests that the upstream serves at once.",
                     .required = true,
                     .minimum = 1,
                     .maximum = 65'535,
                     .unit = "requests"});
    table.push_back({.path = "connections",
                     .type = settings_type::integer,
                     .description = "Sessions that the upstream holds at once.",
                     .required = true,
                     .minimum = 1,
                     .maximum = 1'000'000,
                     .unit = "sessions"});
    return table;
}

std::optional<balancer_file> readBalancerFile(const std::string &path, std::vector<settings_fault> *faults)
{
    const auto values = readSettings(path, balancerSettingsTable(), faults);
    if (!values)
        return std::nullopt;
    checkCommon(*values, path, faults);
    if (!faults->empty())
        return std::nullopt;
    balancer_file file{.node = readCommon(*values), .accept = {}};
    if (values->has("accept"))
        file.accept = values->getAddresses("accept");
    return file;
}

std::optional<agent_file> readAgentFile(const std::string &path, std::vector<settings_fault> *faults)
{
    const auto values = readSettings(path, agentSettingsTable(), faults);
    if (!values)
        return std::nullopt;
    checkCommon(*values, path, faults);
    if (!faults->empty())
        return std::nullopt;
    return agent_file{.node = readCommon(*values),
                      .service = values->getText("service"),
                      .upstream = values->getAddress("upstream"),
                      .slots = std::uint16_t(values->getInteger("slots")),
                      .connections = std::uint32_t(values->getInteger("connections"))};
}

} // namespace citroncrank
