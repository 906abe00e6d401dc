#pragma once

/// @file
/// Calls to the HTTP endpoints of nodes (docs/node-api.md).

#include "client.h"

namespace citroncrank {

/// One call to one node.
struct node_call
{
    host_address address;
    std::string method = "GET";
    std::string path;
    boost::json::object body; ///< Sent with POST.
};

/// Calls a node and returns the JSON object of its response. Errors: unreachable, unknown_outcome (a POST without a
/// response), not_found, conflict, invalid_input.
std::optional<boost::json::object> callNode(const node_call &call, std::chrono::milliseconds deadline,
                                            client_failure *lastReason);

/// Response of one node among several. `value` is absent if the call failed.
struct node_response
{
    std::optional<boost::json::object> value;
    client_failure failure;
};

/// Calls several nodes in parallel. The responses have the order of the calls.
std::vector<node_response> callNodes(const std::vector<node_call> &calls, std::chrono::milliseconds deadline);

/// One entry of a node's member list.
struct known_member
{
    std::string name;
    std::string role;
    std::string region;
    std::string domain;
    std::string liveness;
    std::optional<host_address> httpAddress;
};

/// Queries the node of --node for all members that it knows. The result is ordered by failure domain and name.
std::optional<std::vector<known_member>> readMembers(const client &client, client_failure *lastReason);

/// Fields of a JSON object. Absent fields and fields of another type yield an empty string or 0.
std::string textField(const boost::json::object &source, const char *name);
std::uint64_t numberField(const boost::json::object &source, const char *name);

} // namespace citroncrank
