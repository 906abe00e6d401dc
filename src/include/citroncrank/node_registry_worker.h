#pragma once

/// @file
/// Thread that keeps a node's entry in the platform's store and reads those of the others.

#include "citroncrank/packet_balancer.h"
#include "citroncrank/store_worker.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace citroncrank {

class change_pacing;

/// Keeps this node's entry in the store and reads the others'. A balancer goes on watching them; an agent waits for renewEntry()
/// once both is done, since balancers make themselves known to it.
class node_registry_worker : public store_worker
{
public:
    using receiver = std::function<void(std::vector<listed_node> nodes)>;
    /// Nodes whose entries are to be removed.
    using stale_nodes_source = std::function<std::vector<host_address>()>;

    node_registry_worker(const host_address &store, std::string nodeName, listed_node self, bool goesOnWatching,
                         receiver receive, store_log log);
    ~node_registry_worker() override;

    /// Lets the worker write this node's entry. An agent is listed once its upstream has announced itself.
    /// `slots` is 0 for a balancer.
    void allowEntry(std::uint32_t slots);
    /// Lets the worker read the entries again and write this node's if it is missing.
    void renewEntry();
    /// Lets the worker remove entries. Must be called before start().
    void removeStaleNodes(stale_nodes_source source) { m_forgotten = std::move(source); }
    /// Removes this node's entry, for a node that does not come back. Call after stop(). Waits for the store a short time.
    void removeOwn();

protected:
    std::optional<duration> step() override;

private:
    std::optional<duration> readAll();
    std::optional<duration> checkOwn();
    std::optional<duration> writeOwn();
    void removeEntries();
    std::optional<duration> wait();
    void publish();

    std::string m_key;
    listed_node m_self;
    bool m_goesOnWatching;
    std::unique_ptr<change_pacing> m_pacing;
    receiver m_receive;
    stale_nodes_source m_forgotten;
    std::map<std::string, object_entry> m_entries;
    std::atomic<bool> m_isEntryAllowed = false;
    std::atomic<bool> m_isRenewalAsked = false;
    std::atomic<std::uint32_t> m_slots = 0;
    bool m_isOwnWritten = false;
    object_version m_ownVersion = 0;
    host_address m_storeAddress;
};

/// Entry of a node as JSON.
std::string formatNode(const listed_node &node);
/// Inverse of formatNode(). Nullopt for an entry of another writer.
std::optional<listed_node> parseNode(const std::string &text);

} // namespace citroncrank
