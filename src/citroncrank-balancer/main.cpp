#include "balancer_process.h"
#include "citroncrank/daemon_main.h"

int main(int argc, char **argv)
{
    return citroncrank::daemonMain<citroncrank::balancer_process>(
        argc, argv, {"citroncrank-balancer", "Forwards frames between edges and agents.", "balancer"},
        citroncrank::readBalancerFile, citroncrank::balancerSettingsTable());
}
