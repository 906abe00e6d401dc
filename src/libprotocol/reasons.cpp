#include "citroncrank/frame.h"

#include <array>

namespace citroncrank {

const char *toString(refusal_reason reason)
{
    static constexpr std::array<const char *, kRefusalReasonCount> kNames{"no_free_slot",      "no_free_connection",
                                                                          "deadline_exceeded", "shed",
                                                                          "draining",          "not_ready",
                                                                          "wrong_service",     "wrong_incarnation",
                                                                          "offer_withdrawn",   "upstream_unreachable",
                                                                          "no_upstream",       "unknown_flow"};
    return kNames[std::size_t(reason)];
}

const char *toString(reset_reason reason)
{
    static constexpr std::array<const char *, kResetReasonCount> kNames{
        "caller_gone",    "upstream_reset", "owner_silent",  "edge_silent",
        "operator_ended", "unknown_flow",   "protocol_error"};
    return kNames[std::size_t(reason)];
}

} // namespace citroncrank
