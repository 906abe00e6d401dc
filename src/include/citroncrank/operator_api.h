#pragma once

/// @file
/// Operator requests, answered by the decision thread so that each reply is a consistent snapshot.

#include "citroncrank/bounded_ring.h"
#include "citroncrank/decision_trail.h"
#include "citroncrank/fleet_node.h"
#include "citroncrank/loop_call_gate.h"

#include <boost/json/value.hpp>
#include <functional>
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
};

/// Queues requests of HTTP threads for the decision thread.
class operator_requests
{
public:
    using request_handler = std::function<operator_reply(const operator_request &)>;

    /// `wake` is called when a request is queued; it must be cheap and thread safe. `handle` is called in serve().
    operator_requests(std::function<void()> wake, request_handler handle);

    /// Queues a request and waits for the decision thread's reply. Replies 503 after 2 s, when the queue is full, and while
    /// closed.
    operator_reply submit(operator_request request);
    /// Called by the decision thread: answers all queued requests.
    void serve();
    /// Called by the decision thread before it stops to call serve(): replies 503 to the requests that wait, and to later
    /// ones until open().
    void close() { m_calls.close(); }
    void open() { m_calls.open(); }

private:
    request_handler m_handle;
    bounded_ring<std::function<void()>> m_ring{64};
    loop_call_gate m_calls;
};

/// Error reply with a JSON body.
operator_reply errorReply(int status, const std::string &code, const std::string &message);
operator_reply jsonReply(const boost::json::value &value);

/// Parts of /status that both daemons share.
boost::json::object describeNode(const fleet_node &node, std::size_t openFlows, bool ready);
/// Answer of /explain/ID.
operator_reply explainFlow(const decision_trail &trail, const member_record &local, const std::string &flowIdText);

} // namespace citroncrank
