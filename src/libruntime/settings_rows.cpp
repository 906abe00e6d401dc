#include "citroncrank/settings_rows.h"

namespace citroncrank {

namespace {

// Every membership record and log line contains these names, so their length is limited.
constexpr std::int64_t kMaxNameBytes = 64;

settings_key requiredNameKey(const char *path, const char *description)
{
    return {.path = path,
            .type = settings_type::text,
            .description = description,
            .required = true,
            .minimum = 1,
            .maximum = kMaxNameBytes};
}

} // namespace

settings_table hostIdentityKeys()
{
    return {requiredNameKey("name", "Name of this node, unique in the fleet."),
            requiredNameKey("region", "Region of this host."),
            requiredNameKey("domain", "Failure domain of this host.")};
}

} // namespace citroncrank
