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

/// Calls a node and returns the JSON object of its answer. Errors: unreachable, unknown_outcome (a POST without an
/// answer), not_found, conflict, invalid_input.
std::optional<boost::json::object> callNode(const node_call &call, std::chrono::milliseconds deadline,
                                            client_failure *lastReason);

/// Answer of one node among several; absent if the call failed.
struct node_answer
{
    std::optional<boost::json::object> value;
    client_failure failure;
};

/// Calls several nodes at once; the answers have the order of the calls.
std::vector<node_answer> callNodes(const std::vector<node_call> &calls, std::chrono::milliseconds deadline);

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

/// Asks the node of --node for all members it knows, ordered by failure domain and name.
std::optional<std::vector<known_member>> readMembers(const client &client, client_failure *lastReason);

/// Fields of a JSON object with a fallback for absent fields and other types.
std::string textField(const boost::json::object &source, const char *name);
std::uint64_t numberField(const boost::json::object &source, const char *name);

} // namespace citroncrank
