// Measures whether interests reduce the cost of a configuration update: bytes of one revision if each node gets the
// whole document, only its own service (exact interest), or all services of the same flow class (generalised interest,
// row "pruned"), and how many nodes could serve each form to a replaced node. Balancers always get the whole document.

#include "citroncrank/config_document.h"
#include "citroncrank/frame_codec.h"

#include <cstdio>
#include <vector>

namespace citroncrank {
namespace {

constexpr int kNodesPerAddress = 10;
constexpr double kBalancerShare = 730.0 / 4630.0;
constexpr int kChangesPerDay = 700;
constexpr int kSecondsPerDay = 86'400;

config_revision makeRevision(int addresses)
{
    config_revision revision{.number = 42,
                             .changeId = "41-0123456789abcdef",
                             .author = "interest-bench",
                             .reason = "measurement",
                             .acceptedAt = wall_time(std::chrono::seconds(1'000'000))};
    for (int i = 0; i < addresses; ++i) {
        const host_address address{0x0A000000U + std::uint32_t(i), 443};
        revision.services.push_back({"service-" + std::to_string(i),
                                     {{address, flow_class(i % kFlowClassCount), flow_kind::request,
                                       std::chrono::seconds(10), "HTTP/1.1 503 Service Unavailable\r\n\r\n"}}});
    }
    revision.defaults["retry.burst"] = std::int64_t(7);
    return revision;
}

/// Copy of the revision with only the services that the filter accepts.
template<typename predicate>
config_revision filtered(const config_revision &whole, predicate passes)
{
    config_revision part = whole;
    std::erase_if(part.services, [&](const service_definition &service) { return !passes(service); });
    return part;
}

double frameBytes(const config_revision &revision)
{
    std::string out;
    frame_codec({{1, "0123456789abcdef"}, std::nullopt})
        .encode({.body = config_revision_body{revision.number, formatConfigDocument(revision)}}, &out);
    return double(out.size());
}

void printRow(const char *form, int nodes, double agentBytes, double balancerBytes, double servers)
{
    const double mean = (1 - kBalancerShare) * agentBytes + kBalancerShare * balancerBytes;
    std::printf("| %5d | %-11s | %9.0f | %9.0f | %9.0f | %8.1f | %8.0f |\n", nodes, form, agentBytes, balancerBytes,
                mean, mean * kChangesPerDay / kSecondsPerDay, servers);
}

void measure(int nodes)
{
    const int addresses = nodes / kNodesPerAddress;
    const auto whole = makeRevision(addresses);
    const double wholeBytes = frameBytes(whole);
    const auto &own = whole.services.front();
    const double exact = frameBytes(filtered(whole, [&](const auto &item) { return item.name == own.name; }));
    const double pruned = frameBytes(filtered(
        whole, [&](const auto &item) { return item.addresses.front().flowClass == own.addresses.front().flowClass; }));
    const double balancers = nodes * kBalancerShare;
    const double agentsPerService = nodes * (1 - kBalancerShare) / addresses;
    printRow("whole", nodes, wholeBytes, wholeBytes, nodes);
    printRow("exact", nodes, exact, wholeBytes, balancers + agentsPerService);
    printRow("pruned", nodes, pruned, wholeBytes, balancers + nodes * (1 - kBalancerShare) / kFlowClassCount);
}

} // namespace
} // namespace citroncrank

int main()
{
    std::printf("| nodes | form        | B, agent  | B, balan. | B, mean   | B/s mean | servers  |\n");
    std::printf("| ----- | ----------- | --------- | --------- | --------- | -------- | -------- |\n");
    for (const int nodes : {100, 400, 1000, 4630})
        citroncrank::measure(nodes);
    return 0;
}
