#include "citroncrank/balancer_node.h"
#include "citroncrank/plane_main.h"

int main(int argc, char **argv)
{
    using namespace citroncrank;
    return planeMain<balancer_node>(
        argc, argv,
        {.name = "citroncrank-packet-balancer", .purpose = "Hands callers' packets to the agents of their services"},
        packetBalancerTable());
}
