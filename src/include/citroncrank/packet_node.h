#pragma once

/// @file
/// Base of both packet programs: event loop, log, metrics, settings and the socket for messages between nodes.

#include "citroncrank/datagram_socket.h"
#include "citroncrank/event_log.h"
#include "citroncrank/event_loop.h"
#include "citroncrank/http_endpoint.h"
#include "citroncrank/metrics.h"
#include "citroncrank/owner_message_batch.h"
#include "citroncrank/packet_action.h"
#include "citroncrank/packet_node_settings.h"
#include "citroncrank/refusal.h"
#include "citroncrank/settings_watch.h"
#include "citroncrank/store_worker.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace citroncrank {

/// Base of the two packet programs. Derived classes own the decision core, which is used only in the loop's thread.
class packet_node
{
public:
    packet_node(settings_watch settingsFile, const std::string &component);
    virtual ~packet_node() = default;
    packet_node(const packet_node &) = delete;
    packet_node &operator=(const packet_node &) = delete;

protected:
    /// Opens the socket for messages between nodes. Returns false and stores the cause on failure.
    bool openNodeSocket(std::error_code *lastReason);
    /// Executes the actions and clears the list.
    void perform(packet_actions *actions);
    /// Called for each message from another node.
    virtual void onMessage(const host_address &from, node_message message) = 0;
    /// Called for each packet for the upstream.
    virtual void onDeliver(std::string packetBytes) = 0;
    /// Reloads the settings file on SIGHUP and when it has changed. SIGTERM and SIGINT call `onStop`.
    void watchSignalsAndSettings(std::function<void()> onStop);
    /// Applies the reloadable values of a valid settings file.
    virtual void applySettings(const settings_values &values);
    /// Sends the queued datagrams and, at intervals, the buffered log lines.
    virtual void flush();

    void log(log_class kind, const std::string &text);
    /// Stops the endpoint and logs how long the process has taken to end since its loop did. Packets that arrive in that
    /// time are lost.
    void endEndpoint(http_endpoint *endpoint, time_point loopEndedAt);
    /// Publishes the refused openings by cause.
    void setRefusalCounts(const refusal_counts &counts);
    /// Thread-safe log function for the store workers.
    store_log storeLog();
    /// Latest era of the store that this node has heard of; also updates its metric.
    store_era storeEra();
    store_access storeAccess();
    /// Counts a document of another writer that cannot be read. Thread safe.
    void countMalformedDocument(const char *document);

    settings_watch m_settingsFile;
    packet_node_settings m_settings;
    std::uint64_t m_incarnation;
    event_log m_log;
    metrics_registry m_metrics;
    event_loop m_loop;
    datagram_socket m_nodeSocket;
    std::shared_ptr<store_era_monitor> m_storeEras = std::make_shared<store_era_monitor>();
    packet_actions m_actions;
    std::vector<timer_subscription> m_timers;

private:
    void sendToNode(const host_address &to, const node_message &message);
    void handleReload(const settings_reload_result &reading, const char *cause);

    metric_counter &m_nodeDatagrams;
    metric_counter &m_packetsToCallers;
    metric_counter &m_resets;
    metric_counter &m_malformed;
    metric_gauge &m_storeEraGauge;
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

/// Parses the command line. Without --settings the platform's environment variable names the file. Returns an exit code
/// if the program should end at once.
std::optional<int> parsePacketCommandLine(int argc, char **argv, const char *program, const char *purpose,
                                          packet_command_line *options);
/// Prints the faults to stderr, one per line.
void printSettingsFaults(const std::vector<settings_fault> &faults);

} // namespace citroncrank
