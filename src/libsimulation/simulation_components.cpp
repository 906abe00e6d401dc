#include "simulation_components_pvt.h"

namespace citroncrank::simulation {

caller_record makeCaller(random_source *random, std::size_t edges)
{
    caller_record caller;
    caller.edge = random->between(0, edges - 1);
    caller.service = random->chance(150) ? "other" : "main";
    caller.kind = random->chance(333) ? flow_kind::session : flow_kind::request;
    caller.upstreamSendsFirst = random->chance(166);
    caller.abandonsFlow = random->chance(50);
    const std::uint64_t pieces = random->between(caller.upstreamSendsFirst ? 0 : 1, 3);
    for (std::uint64_t index = 0; index < pieces; ++index)
        caller.pieces.emplace_back(random->chance(30) ? 20'000 : random->between(1, 200), char('A' + index));
    return caller;
}

component_factory productComponents()
{
    return {[](edge_id edge) { return std::make_unique<product_edge>(edge); },
            [] { return std::make_unique<product_balancer>(); },
            [](const agent_settings &settings, const admission_settings &admission) {
                return std::make_unique<product_agent>(settings, admission);
            }};
}

} // namespace citroncrank::simulation
