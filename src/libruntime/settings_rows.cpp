#include "citroncrank/settings_rows.h"

namespace citroncrank {

namespace {

// Names travel in each membership record and each log line.
constexpr std::int64_t kMaxNameBytes = 64;

settings_key nameRow(const char *path, const char *description)
{
    return {.path = path,
            .type = settings_type::text,
            .description = description,
            .required = true,
            .minimum = 1,
            .maximum = kMaxNameBytes};
}

} // namespace

settings_table hostIdentityRows()
{
    return {nameRow("name", "Name of this node, unique in the fleet."), nameRow("region", "Region of this host."),
            nameRow("domain", "Failure domain of this host.")};
}

} // namespace citroncrank
