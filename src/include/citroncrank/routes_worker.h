#pragma once

/// @file
/// Threads that keep a balancer's routes in step with the operator's configuration.

#include "citroncrank/packet_balancer.h"
#include "citroncrank/route_set.h"
#include "citroncrank/store_worker.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace citroncrank {

/// Watches the operator's configuration.
class routes_worker : public store_worker
{
public:
    /// Called in the worker's thread. The text is the document as stored.
    using receiver = std::function<void(std::shared_ptr<const route_set> routes, std::string text)>;
    /// Balancer that may be asked for the routes while the store does not answer.
    using fallback = std::function<std::optional<routes_offer>()>;

    routes_worker(const host_address &store, receiver receive, fallback peer, store_log log);
    ~routes_worker() override;

protected:
    std::optional<duration> step() override;

private:
    std::optional<duration> read();
    std::optional<duration> wait();
    void take(const std::string &text);
    void askPeer();

    receiver m_receive;
    fallback m_peer;
};

/// Asks other balancers for a version that this one lacks.
class peer_routes_worker : public worker_thread
{
public:
    peer_routes_worker(routes_worker::receiver receive, routes_worker::fallback peer, store_log log);
    ~peer_routes_worker() override { stop(); }

protected:
    std::optional<duration> step() override;

private:
    void fetch(const routes_offer &offer);

    routes_worker::receiver m_receive;
    routes_worker::fallback m_peer;
    store_log m_log;
    bool m_isMissing = false; ///< A newer version was seen at the last step.
};

} // namespace citroncrank
