#pragma once

/// @file
/// Fixture of the tests that stop a packet program by SIGTERM.

#include "citroncrank/event_loop.h"
#include "citroncrank/ids.h"
#include "citroncrank/settings_watch.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <iostream>
#include <memory>
#include <string>
#include <system_error>
#include <thread>
#include <unistd.h>
#include <vector>

namespace citroncrank {

/// A client whose connection goes silent after the first part of its request.
class silent_client
{
public:
    silent_client(const std::string &address, const std::string &partOfRequest)
    {
        const host_address server = *parseHostAddress(address);
        m_socket.connect({boost::asio::ip::address_v4(server.ip), server.port});
        boost::asio::write(m_socket, boost::asio::buffer(partOfRequest));
    }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket{m_context};
};

/// Runs a node of type `node_type` in the thread of the test.
template<typename node_type>
class node_stop_fixture : public ::testing::Test
{
protected:
    void openNode(const char *settingsText, const settings_table &table)
    {
        event_loop::installSignalHandlers();
        const std::filesystem::path file =
            std::filesystem::temp_directory_path() / ("node-stop-test-" + std::to_string(::getpid()) + ".yaml");
        std::ofstream(file) << settingsText;
        std::vector<settings_fault> faults;
        auto settings = settings_watch::open(file.string(), table, &faults);
        std::filesystem::remove(file);
        ASSERT_TRUE(settings) << faults.size() << " faults";
        m_node = std::make_unique<node_type>(std::move(*settings));
        std::error_code reason;
        ASSERT_TRUE(m_node->listen(&reason)) << reason.message();
    }

    /// Runs the node and returns the time between SIGTERM and its end.
    duration runUntilStopped()
    {
        std::atomic<time_point> stoppedAt{};
        std::thread stopper([&] {
            std::this_thread::sleep_for(std::chrono::milliseconds(300));
            stoppedAt = monotonicNow();
            std::raise(SIGTERM);
        });
        m_node->run();
        const duration stopTime = monotonicNow() - stoppedAt.load();
        stopper.join();
        std::cout << "stop_ms=" << wholeMilliseconds(stopTime) << "\n";
        return stopTime;
    }

    std::unique_ptr<node_type> m_node;
};

} // namespace citroncrank
