#include "citroncrank/packet_agent_node.h"
#include "citroncrank/packet_main.h"

int main(int argc, char **argv)
{
    using namespace citroncrank;
    return packetMain<packet_agent_node>(
        argc, argv,
        {.name = "citroncrank-packet-agent", .purpose = "Forwards packets to and from the upstream beside it"},
        packetAgentTable());
}
