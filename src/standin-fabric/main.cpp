#include "fabric.h"

#include <CLI/CLI.hpp>
#include <absl/strings/str_split.h>
#include <csignal>
#include <iostream>
#include <random>

namespace {

std::atomic<bool> stopping{false};

void onSignal(int)
{
    stopping = true;
}

/// Parses "127.0.0.1:8080,service=receipts,class=bulk,kind=request,deadline-ms=10000".
bool addListener(const std::string &text, citroncrank::fabric_settings *settings)
{
    using namespace citroncrank;
    const std::vector<std::string> parts = absl::StrSplit(text, ',');
    const auto address = parseHostAddress(parts.front());
    if (!address)
        return false;
    listener_settings listener;
    listener.notRunReply = "HTTP/1.1 503 Service Unavailable\r\nX-Outcome: not-run\r\nConnection: close\r\n"
                           "Content-Length: 0\r\n\r\n";
    for (std::size_t i = 1; i < parts.size(); ++i) {
        const std::vector<std::string> pair = absl::StrSplit(parts[i], absl::MaxSplits('=', 1));
        if (pair.size() != 2)
            return false;
        if (pair[0] == "service")
            listener.flow.service = pair[1];
        else if (pair[0] == "class")
            listener.flow.flowClass = pair[1] == "urgent" ? flow_class::urgent
                                      : pair[1] == "bulk" ? flow_class::bulk
                                                          : flow_class::normal;
        else if (pair[0] == "kind")
            listener.flow.kind = pair[1] == "session" ? flow_kind::session : flow_kind::request;
        else if (pair[0] == "deadline-ms")
            listener.flow.deadline = std::chrono::milliseconds(std::stoll(pair[1]));
        else
            return false;
    }
    settings->listeners[*address] = listener;
    return !listener.flow.service.empty();
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for the fabric: sprays the frames of each TCP caller over all balancers.");
    std::vector<std::string> listeners;
    std::vector<std::string> balancers;
    std::string key = "development-only-key";
    int keyId = 1;
    app.add_option("--listen", listeners, "ADDRESS,service=NAME[,class=C][,kind=K][,deadline-ms=N]")->required();
    app.add_option("--balancer", balancers, "Address of a balancer's hop listener")->required();
    app.add_option("--key", key, "Shared frame key");
    app.add_option("--key-id", keyId, "Id of the frame key")->check(CLI::Range(0, 255));
    CLI11_PARSE(app, argc, argv);

    citroncrank::fabric_settings settings;
    settings.edge = std::random_device()() | (std::uint64_t(std::random_device()()) << 32U);
    settings.net.keys.current = {std::uint8_t(keyId), key};
    for (const auto &text : listeners) {
        if (!addListener(text, &settings)) {
            std::cerr << "fabric: bad --listen value \"" << text << "\"\n";
            return 2;
        }
    }
    for (const auto &text : balancers) {
        const auto address = citroncrank::parseHostAddress(text);
        if (!address) {
            std::cerr << "fabric: bad --balancer value \"" << text << "\"\n";
            return 2;
        }
        settings.balancers.push_back(*address);
    }
    std::signal(SIGTERM, onSignal);
    std::signal(SIGINT, onSignal);
    std::signal(SIGPIPE, SIG_IGN);
    citroncrank::fabric fabric(settings);
    std::error_code reason;
    if (!fabric.listen(&reason)) {
        std::cerr << "fabric: cannot listen: " << reason.message() << "\n";
        return 1;
    }
    std::cout << "fabric: listening" << std::endl;
    fabric.run(stopping);
    return 0;
}
