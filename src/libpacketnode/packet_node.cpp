#include "citroncrank/packet_node.h"

#include "citroncrank/version.h"
#include "names.h"
#include "packet_codec.h"

#include <CLI/CLI.hpp>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <utility>

namespace citroncrank {

namespace {

using std::chrono::milliseconds;

// Longest time that a line is buffered. Each flush makes system calls, so lines are written in groups.
constexpr duration kLogFlushPeriod = milliseconds(100);
// Longest time until a changed settings file is applied without a signal.
constexpr duration kSettingsCheckPeriod = std::chrono::seconds(2);

std::vector<std::string> logClassNames()
{
    return {"placement", "refusal", "owner", "request", "belief", "lifecycle"};
}

std::uint64_t wallMilliseconds()
{
    return std::uint64_t(std::chrono::duration_cast<milliseconds>(wallNow().time_since_epoch()).count());
}

} // namespace

packet_node::packet_node(settings_watch settingsFile, const std::string &component)
    : m_settingsFile(std::move(settingsFile))
    , m_settings(parsePacketNodeSettings(m_settingsFile.values()))
    , m_incarnation(wallMilliseconds())
    , m_log({.descriptor = 1, .component = component, .classNames = logClassNames()})
    , m_nodeDatagrams(m_metrics.counter("citroncrank_plane_datagrams_total", "Datagrams sent to other nodes."))
    , m_packetsToCallers(m_metrics.counter("citroncrank_plane_caller_packets_total", "Packets sent to callers."))
    , m_resets(m_metrics.counter("citroncrank_plane_resets_total", "Resets sent to callers."))
    , m_malformed(m_metrics.counter("citroncrank_plane_malformed_total", "Datagrams that could not be read."))
    , m_storeEraGauge(m_metrics.gauge("citroncrank_store_era",
                                      "Times that the store came back from an older copy, as it tells in its answers."))
{}

bool packet_node::openNodeSocket(std::error_code *lastReason)
{
    if (!m_nodeSocket.open(m_settings.nodeAddress, lastReason))
        return false;
    m_loop.watch(m_nodeSocket.descriptor(), [this] {
        m_nodeSocket.receivePending([this](const host_address &from, std::string_view datagram) {
            auto message = decodeNodeMessage(datagram);
            if (!message) {
                m_malformed.increment();
                return;
            }
            if (const auto *const hello = std::get_if<balancer_hello>(&*message))
                m_storeEras->observe(hello->storeEra);
            onMessage(from, std::move(*message));
        });
    });
    m_loop.onIterationEnd([this] { flush(); });
    return true;
}

void packet_node::perform(packet_actions *actions)
{
    struct visitor
    {
        packet_node *self;

        void operator()(const send_to_node &action) const
        {
            if (!self->m_ownerMessages.add(action.to, action.message))
                self->sendToNode(action.to, action.message);
        }
        void operator()(deliver_to_upstream &action) const { self->onDeliver(std::move(action.packetBytes)); }
        void operator()(send_to_caller &action) const
        {
            self->m_packetsToCallers.increment();
            self->m_nodeSocket.queue({action.caller.ip, self->m_settings.callerPort}, std::move(action.packetBytes));
        }
        void operator()(const reset_flow &action) const
        {
            self->m_resets.increment();
            self->m_nodeSocket.queue({action.flow.caller.ip, self->m_settings.callerPort},
                                     platform::encodeReset(action.flow, action.sequence));
        }
        void operator()(const log_decision &action) const { self->log(action.kind, action.text); }
    };
    for (packet_action &action : *actions)
        std::visit(visitor{this}, action);
    actions->clear();
}

void packet_node::sendToNode(const host_address &to, const node_message &message)
{
    m_nodeDatagrams.increment();
    m_nodeSocket.queue(to, encodeNodeMessage(message));
}

void packet_node::log(log_class kind, const std::string &text)
{
    m_log.write(std::size_t(kind), text);
}

void packet_node::endEndpoint(http_endpoint *endpoint, time_point loopEndedAt)
{
    const time_point workersEndedAt = monotonicNow();
    const std::size_t unfinished = endpoint->stop();
    log(log_class::lifecycle, absl::StrCat("ended, workers_ms=", wholeMilliseconds(workersEndedAt - loopEndedAt),
                                           " http_ms=", wholeMilliseconds(monotonicNow() - workersEndedAt),
                                           " unfinished_requests=", unfinished));
}

store_era packet_node::storeEra()
{
    const store_era latest = m_storeEras->latest();
    m_storeEraGauge.set(double(latest));
    return latest;
}

store_access packet_node::storeAccess()
{
    return {m_settings.platform, m_storeEras, storeLog(),
            [this](const char *document) { countMalformedDocument(document); }};
}

void packet_node::countMalformedDocument(const char *document)
{
    m_metrics
        .counter("citroncrank_malformed_documents_total",
                 "Documents of other writers that could not be read, and changed nothing.", {{"document", document}})
        .increment();
}

store_log packet_node::storeLog()
{
    return [this](const std::string &text) { m_log.write(std::size_t(log_class::lifecycle), text); };
}

void packet_node::setRefusalCounts(const refusal_counts &counts)
{
    for (int i = 0; i < kRefusalCauseCount; ++i) {
        m_metrics
            .gauge("citroncrank_refused_openings", "Openings that this node has refused, by cause, since its start.",
                   {{"cause", toString(refusal_cause(i))}})
            .set(double(counts[std::size_t(i)]));
    }
}

void packet_node::watchSignalsAndSettings(std::function<void()> onStop)
{
    m_loop.catchSignals(std::move(onStop), [this] { handleReload(m_settingsFile.read(), "signal"); });
    m_timers.push_back(m_loop.timers().subscribe(kSettingsCheckPeriod, [this](time_point) {
        if (const auto reading = m_settingsFile.readIfChanged())
            handleReload(*reading, "file_changed");
    }));
}

void packet_node::handleReload(const settings_reload_result &reading, const char *cause)
{
    if (!reading.faults.empty()) {
        log(log_class::lifecycle, absl::StrCat("settings not taken over, cause=", cause, " faults=",
                                               reading.faults.size(), " first=", toString(reading.faults.front())));
        return;
    }
    log(log_class::lifecycle,
        absl::StrCat("settings read again, cause=", cause, " applied=", absl::StrJoin(reading.changes.applied, ","),
                     " at_next_start=", absl::StrJoin(reading.changes.atNextStart, ",")));
    applySettings(m_settingsFile.values());
}

// Values that need a restart, such as addresses, are kept.
void packet_node::applySettings(const settings_values &values)
{
    const packet_node_settings changed = parsePacketNodeSettings(values);
    m_settings.seeds = changed.seeds;
    m_settings.flowLifetime = changed.flowLifetime;
    m_settings.stopTime = changed.stopTime;
}

void packet_node::flush()
{
    m_ownerMessages.flush([this](const host_address &to, const node_message &message) { sendToNode(to, message); });
    m_nodeSocket.flush();
    const time_point now = monotonicNow();
    if (m_nextLogFlush && now < *m_nextLogFlush)
        return;
    m_log.flush();
    m_nextLogFlush = now + kLogFlushPeriod;
}

std::optional<int> parsePacketCommandLine(int argc, char **argv, const char *program, const char *purpose,
                                          packet_command_line *options)
{
    CLI::App app(purpose, program);
    app.set_version_flag("--version", std::string(program) + " " + kVersion);
    app.add_option("--settings", options->settingsFile, "Settings file (YAML)")->envname(platform::kSettingsVariable);
    app.add_flag("--check", options->checkOnly, "Check the settings file and exit");
    app.add_flag("--describe-settings", options->describe, "Print the table of settings as Markdown and exit");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? exit_ok : exit_usage;
    }
    if (options->settingsFile.empty() && !options->describe) {
        std::cerr << app.help();
        return exit_usage;
    }
    return std::nullopt;
}

void printSettingsFaults(const std::vector<settings_fault> &faults)
{
    for (const auto &fault : faults)
        std::cerr << toString(fault) << "\n";
}

} // namespace citroncrank
