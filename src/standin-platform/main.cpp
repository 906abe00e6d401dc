#include "citroncrank/standin_platform.h"

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace citroncrank {
namespace {

int serve(const std::string &listen, const std::string &portFile)
{
    auto address = parseStandinAddress(listen);
    if (!address) {
        std::cerr << "standin-platform: invalid address, expected=IPv4:PORT value=" << listen << "\n";
        return 2;
    }
    boost::asio::io_context context(1);
    standin_platform platform(context, *address);
    address->port = platform.port();
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](auto &&...) { context.stop(); });
    if (!announceStandinPort("standin-platform", *address, portFile)) {
        std::cerr << "standin-platform: cannot write the port file, path=" << portFile << "\n";
        return 1;
    }
    context.run();
    return 0;
}

} // namespace
} // namespace citroncrank

int main(int argumentCount, char **arguments)
{
    CLI::App app("Stand-in of the platform's object API (test use only)");
    std::string listen = "127.0.0.1:0";
    std::string portFile;
    app.add_option("--listen", listen, "IPv4 address and port; port 0 lets the system choose")->capture_default_str();
    app.add_option("--announce-port", portFile, "File that gets the port once the server listens");
    CLI11_PARSE(app, argumentCount, arguments);
    try {
        return citroncrank::serve(listen, portFile);
    } catch (const std::exception &error) {
        std::cerr << "standin-platform: cannot listen, address=" << listen << " reason=" << error.what() << "\n";
        return 1;
    }
}
