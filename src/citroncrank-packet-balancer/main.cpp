#include "citroncrank/packet_balancer_node.h"
#include "citroncrank/packet_main.h"

int main(int argc, char **argv)
{
    using namespace citroncrank;
    return packetMain<packet_balancer_node>(
        argc, argv,
        {.name = "citroncrank-packet-balancer", .purpose = "Forwards callers' packets to the agents of their services"},
        packetBalancerTable());
}
