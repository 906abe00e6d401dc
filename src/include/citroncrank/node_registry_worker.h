#pragma once

/// @file
/// Thread that maintains a node's entry in the platform's store and reads the entries of the other nodes.

#include "citroncrank/packet_balancer.h"
#include "citroncrank/store_worker.h"

#include "json_fields.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace citroncrank {

class change_pacing;

/// Writes this node's entry and reads those of the other nodes. A balancer then watches the entries for changes. An
/// agent does not, since balancers contact it directly; it only repeats both after renewEntry().
class node_registry_worker : public store_worker
{
public:
    /// Called in the worker's thread. Returns false if it cannot take the list now; the worker then passes it on again.
    using receiver = std::function<bool(std::vector<listed_node> nodes)>;
    /// Returns the nodes whose entries are to be removed.
    using stale_nodes_source = std::function<std::vector<host_address>()>;

    node_registry_worker(const store_access &access, std::string nodeName, listed_node self, bool keepsWatching,
                         receiver receive);
    ~node_registry_worker() override;

    /// Allows the worker to write this node's entry. An agent calls it once its upstream has announced itself, with the
    /// announced number of slots; a balancer passes 0.
    void allowEntry(std::uint32_t slots);
    /// Makes the worker list the entries again and write this node's entry if it is missing or outdated.
    void renewEntry();
    /// Makes the worker remove the entries of stale nodes. Must be called before start().
    void setStaleNodesSource(stale_nodes_source source) { m_staleNodes = std::move(source); }
    /// Removes this node's entry, for a node that is removed permanently. Makes one attempt of at most 500 ms a call. Call
    /// after stop(). Returns false if another node has taken over the name.
    bool removeOwnEntry();

protected:
    std::optional<duration> step() override;

private:
    struct removal_texts;
    static const removal_texts kSilentNode;
    static const removal_texts kReplacedNode;

    std::optional<duration> listEntries();
    std::optional<duration> checkOwnEntry();
    std::optional<duration> writeOwnEntry();
    void removeStaleEntries();
    void removeEarlierEntries();
    void removeEntriesOf(const host_address &address, const removal_texts &texts);
    std::optional<duration> watchEntries();
    bool isReadable(const std::string &key, const std::optional<std::string> &value);
    void keepReadableEntries(std::map<std::string, object_entry> *entries);
    void publish();
    std::vector<listed_node> readNodes() const;

    std::string m_key;
    listed_node m_self;
    bool m_keepsWatching;
    std::unique_ptr<change_pacing> m_pacing;
    receiver m_receive;
    stale_nodes_source m_staleNodes;
    std::map<std::string, object_entry> m_entries;
    bool m_isPublished = true; ///< The receiver has taken the entries.
    std::atomic<bool> m_isEntryAllowed = false;
    std::atomic<bool> m_isRenewalRequested = false;
    std::atomic<std::uint32_t> m_slots = 0;
    bool m_isOwnEntryWritten = false;
    host_address m_storeAddress;
};

/// Encodes the entry of a node as JSON.
std::string formatNode(const listed_node &node);
/// Inverse of formatNode(). Returns nullopt if the text is not a valid entry, and stores the cause unless `lastReason` is
/// null.
std::optional<listed_node> parseNode(const std::string &text, platform::document_fault *lastReason = nullptr);

} // namespace citroncrank
