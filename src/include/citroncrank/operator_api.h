#pragma once

/// @file
/// Operator requests, answered by the decision thread so that each reply is a consistent snapshot.

#include "citroncrank/bounded_ring.h"
#include "citroncrank/decision_trail.h"
#include "citroncrank/fleet_node.h"

#include <boost/json/value.hpp>
#include <functional>
#include <future>
#include <memory>
#include <string>

namespace citroncrank {

struct operator_reply
{
    int status = 200; ///< HTTP status.
    std::string body; ///< JSON.
};

struct operator_request
{
    std::string method;
    std::string path; ///< Without the query.
    std::string body;
    std::shared_ptr<std::promise<operator_reply>> reply;
};

/// Queues requests of HTTP threads for the decision thread.
class operator_requests
{
public:
    /// `wake` is called when a request is queued; it must be cheap and thread safe.
    explicit operator_requests(std::function<void()> wake);

    /// Queues a request and waits for the decision thread's reply. Replies 503 after 2 s or when the queue is full.
    operator_reply submit(std::string method, std::string path, std::string body);
    /// Called by the decision thread: answers all queued requests with `handler`.
    void serve(const std::function<operator_reply(const operator_request &)> &handler);

private:
    bounded_ring<operator_request> m_ring{64};
};

/// Error reply with a JSON body.
operator_reply errorReply(int status, const std::string &code, const std::string &message);
operator_reply jsonReply(const boost::json::value &value);

/// Parts of /status that both daemons share.
boost::json::object describeNode(const fleet_node &node, std::size_t openFlows, bool ready);
/// Answer of /explain/ID.
operator_reply explainFlow(const decision_trail &trail, const member_record &local, const std::string &flowIdText);

} // namespace citroncrank
