#include "citroncrank/balancer_node.h"

#include <iostream>

using namespace citroncrank;

int main(int argc, char **argv)
{
    plane_options options;
    if (const auto exitCode = parsePlaneOptions(argc, argv, "citroncrank-packet-balancer",
                                                "Hands callers' packets to the agents of their services", &options))
        return *exitCode;
    if (options.describe) {
        std::cout << describeSettings(packetBalancerTable());
        return plane_ok;
    }
    std::vector<settings_fault> faults;
    const auto file = readPacketBalancerFile(options.settingsFile, &faults);
    if (!file) {
        printSettingsFaults(faults);
        return plane_bad_settings;
    }
    if (options.checkOnly) {
        std::cout << options.settingsFile << ": settings are valid\n";
        return plane_ok;
    }
    balancer_node node(*file);
    std::error_code reason;
    if (!node.listen(&reason)) {
        std::cerr << "balancer: cannot listen: " << reason.message() << "\n";
        return plane_cannot_listen;
    }
    node.run();
    return plane_ok;
}
