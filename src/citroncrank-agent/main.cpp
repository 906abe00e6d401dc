#include "agent_process.h"
#include "citroncrank/daemon_main.h"

int main(int argc, char **argv)
{
    return citroncrank::daemonMain<citroncrank::agent_process>(
        argc, argv, {"citroncrank-agent", "Owns the flows of the upstream beside it.", "agent"},
        citroncrank::readAgentFile, citroncrank::agentSettingsTable());
}
