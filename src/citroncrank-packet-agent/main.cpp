#include "citroncrank/agent_node.h"
#include "citroncrank/plane_main.h"

int main(int argc, char **argv)
{
    using namespace citroncrank;
    return planeMain<agent_node>(
        argc, argv,
        {.name = "citroncrank-packet-agent", .purpose = "Carries packets to and from the upstream beside it"},
        packetAgentTable());
}
