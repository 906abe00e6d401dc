#pragma once

/// @file
/// What both packet programs share: loop, log, metrics, HTTP endpoint, datagrams of other nodes.

#include "citroncrank/datagram_socket.h"
#include "citroncrank/event_log.h"
#include "citroncrank/event_loop.h"
#include "citroncrank/http_endpoint.h"
#include "citroncrank/metrics.h"
#include "citroncrank/owner_message_batch.h"
#include "citroncrank/packet_action.h"
#include "citroncrank/packet_node_settings.h"
#include "citroncrank/settings_watch.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace citroncrank {

/// Base of the two packet programs. Derived classes own the decision core; it is used in the loop's thread only.
class packet_node
{
public:
    packet_node(settings_watch settingsFile, const std::string &component);
    virtual ~packet_node() = default;
    packet_node(const packet_node &) = delete;
    packet_node &operator=(const packet_node &) = delete;

protected:
    /// Opens the socket of the plane. Returns false and stores the cause.
    bool openNodeSocket(std::error_code *lastReason);
    /// Carries actions out and empties the list.
    void perform(packet_actions *actions);
    /// Called for each message of another node.
    virtual void onMessage(const host_address &from, node_message message) = 0;
    virtual void onDeliver(std::string packetBytes) = 0;
    /// Reads the settings file again on SIGHUP and after changes without a signal. SIGTERM calls `onStop`.
    void watchSignalsAndSettings(std::function<void()> onStop);
    /// Takes over changed values of a settings file without faults.
    virtual void applySettings(const settings_values &values);
    /// Sends what waits in the sockets and the log.
    virtual void flush();

    void log(log_class kind, const std::string &text);
    /// Thread-safe writer for the store's threads.
    std::function<void(const std::string &)> storeLog();

    settings_watch m_settingsFile;
    packet_node_settings m_settings;
    std::uint64_t m_incarnation;
    event_log m_log;
    metrics_registry m_metrics;
    event_loop m_loop;
    datagram_socket m_plane;
    packet_actions m_actions;
    std::vector<timer_subscription> m_timers;

private:
    void sendToNode(const host_address &to, const node_message &message);
    void noteReading(const settings_reading &reading, const char *cause);

    metric_counter &m_forwarded;
    metric_counter &m_toCallers;
    metric_counter &m_resets;
    metric_counter &m_malformed;
    owner_message_batch m_ownerMessages;
    std::optional<time_point> m_nextLogFlush;
};

/// Exit codes of the packet programs.
enum packet_exit_code : int { exit_ok = 0, exit_usage = 2, exit_bad_settings = 3, exit_cannot_listen = 4 };

/// Command line of the packet programs.
struct packet_command_line
{
    std::string settingsFile;
    bool checkOnly = false;
    bool describe = false;
};

/// Parses the command line. Without --settings the platform's environment variable names the file. Returns the exit code
/// when the program should end at once.
std::optional<int> parsePacketCommandLine(int argc, char **argv, const char *program, const char *purpose,
                                          packet_command_line *options);
/// Prints all faults, one per line.
void printSettingsFaults(const std::vector<settings_fault> &faults);

} // namespace citroncrank
