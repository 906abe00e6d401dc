#include "citroncrank/node_registry_worker.h"

#include "citroncrank/snapshot_worker.h"
#include "json_fields.h"
#include "names.h"
#include "watch_cursor_pvt.h"

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>
#include <chrono>
#include <cstring>

namespace citroncrank {

namespace json = boost::json;

namespace {

using std::chrono::milliseconds;

// Entries of stale nodes are removed between two watches, so this bounds the delay of their removal.
constexpr milliseconds kNodesWatchTimeout{8000};
// allowEntry() and renewEntry() end this wait.
constexpr duration kIdleWait = std::chrono::seconds(60);
// Delay before the entries are listed again after a failed write.
constexpr duration kRelistDelay = milliseconds(100);
constexpr milliseconds kRemoveTimeout{500};
constexpr duration kRepublishDelay = milliseconds(100);

} // namespace

/// Log texts for the removal of another node's entry.
struct node_registry_worker::removal_texts
{
    const char *entry;
    const char *snapshotNotRemoved;
    const char *reason;
};

const node_registry_worker::removal_texts node_registry_worker::kSilentNode{
    "entry of a silent node", "snapshot of a silent node not removed", "silent"};
const node_registry_worker::removal_texts node_registry_worker::kReplacedNode{
    "entry of a replaced node", "snapshot of a replaced node not removed", "replaced"};

std::string formatNode(const listed_node &node)
{
    json::object entry{
        {"role", node.isAgent ? "agent" : "balancer"}, {"address", toString(node.address)}, {"domain", node.domain}};
    if (node.isAgent) {
        entry["service"] = node.service;
        entry["slots"] = node.slots;
    }
    return json::serialize(entry);
}

std::optional<listed_node> parseNode(const std::string &text, platform::document_fault *lastReason)
{
    platform::document_fault ignored;
    std::optional<listed_node> result;
    const auto read = [&result](const json::object &entry) {
        const host_address address = platform::addressAt(entry, "address");
        const std::string role = platform::textAt(entry, "role");
        if (role != "agent" && role != "balancer")
            platform::throwFault(platform::document_fault_kind::unknown_value, "role",
                                 absl::StrCat("unknown role ", role));
        listed_node node{
            .address = address, .isAgent = role == "agent", .service = {}, .domain = platform::textAt(entry, "domain")};
        if (node.isAgent) {
            node.service = platform::textAt(entry, "service");
            node.slots = platform::number16At(entry, "slots");
        }
        result = std::move(node);
    };
    platform::parseDocument(text, read, lastReason == nullptr ? &ignored : lastReason);
    return result;
}

node_registry_worker::node_registry_worker(const store_access &access, std::string nodeName, listed_node self,
                                           bool keepsWatching, receiver receive)
    : store_worker("nodes", access)
    , m_key(platform::kNodesPrefix + std::move(nodeName))
    , m_self(std::move(self))
    , m_keepsWatching(keepsWatching)
    , m_pacing(std::make_unique<change_pacing>())
    , m_receive(std::move(receive))
    , m_storeAddress(access.address)
{}

node_registry_worker::~node_registry_worker()
{
    stop();
}

std::optional<duration> node_registry_worker::step()
{
    if (!m_isPublished) {
        publish();
        if (!m_isPublished)
            return kRepublishDelay;
    }
    if (m_isRenewalRequested.exchange(false) || takeLaterEra())
        cursor().invalidate();
    if (!cursor().from())
        return listEntries();
    if (!m_isOwnEntryWritten)
        return m_isEntryAllowed ? checkOwnEntry() : std::optional<duration>(kIdleWait);
    return m_keepsWatching ? watchEntries() : std::optional<duration>(kIdleWait);
}

void node_registry_worker::allowEntry(std::uint32_t slots)
{
    m_slots = slots;
    if (!m_isEntryAllowed.exchange(true))
        wake();
}

void node_registry_worker::renewEntry()
{
    m_isRenewalRequested = true;
    wake();
}

std::optional<duration> node_registry_worker::listEntries()
{
    std::map<std::string, object_entry> entries;
    std::string after;
    std::optional<object_version> seen;
    for (bool more = true; more;) {
        platform_failure reason = platform_failure::unavailable;
        const auto list = store().list({.prefix = platform::kNodesPrefix, .after = after}, &reason);
        const duration pause = recordCall(list.has_value(), reason);
        if (!list)
            return pause;
        for (const object_entry &entry : list->entries)
            entries[entry.key] = entry;
        // A watch from the version of the first page also reports the changes made between the pages.
        if (!seen)
            seen = list->version;
        more = list->more && !list->entries.empty();
        if (more)
            after = list->entries.back().key;
    }
    keepReadableEntries(&entries);
    m_entries = std::move(entries);
    // The store may have lost the entry, or another node may have removed it.
    m_isOwnEntryWritten = false;
    cursor().recordListing(*seen);
    const auto own = m_entries.find(m_key);
    log(absl::StrCat("entries read, count=", m_entries.size(), " revision=", toString(*seen),
                     " own=", toString(own != m_entries.end() ? own->second.version : object_version{})));
    publish();
    removeEarlierEntries();
    return duration(0);
}

bool node_registry_worker::isReadable(const std::string &key, const std::optional<std::string> &value)
{
    platform::document_fault fault{.what = "no value"};
    if (value && parseNode(*value, &fault))
        return true;
    log(absl::StrCat("node entry cannot be parsed, key=", key, " reason=", fault.what));
    countMalformed("node_entry");
    return false;
}

// An entry that another writer has replaced by an unreadable one keeps its last readable content. Its version is kept
// too, so no write or removal matches the unreadable one. This node replaces its own.
void node_registry_worker::keepReadableEntries(std::map<std::string, object_entry> *entries)
{
    for (auto &[key, entry] : *entries) {
        if (isReadable(key, entry.value) || key == m_key)
            continue;
        if (const auto known = m_entries.find(key); known != m_entries.end())
            entry = known->second;
    }
}

// Saves a write if an earlier incarnation wrote the same entry.
std::optional<duration> node_registry_worker::checkOwnEntry()
{
    m_self.slots = m_slots;
    const auto own = m_entries.find(m_key);
    m_isOwnEntryWritten = own != m_entries.end() && own->second.value && parseNode(*own->second.value) == m_self;
    return m_isOwnEntryWritten ? std::optional<duration>(duration(0)) : writeOwnEntry();
}

// The write is conditional on the version, so a delayed write of an earlier incarnation cannot overwrite this one.
std::optional<duration> node_registry_worker::writeOwnEntry()
{
    platform_failure reason = platform_failure::unavailable;
    const auto own = m_entries.find(m_key);
    const auto version = own == m_entries.end()
                             ? store().create(m_key, formatNode(m_self), &reason)
                             : store().update(m_key, formatNode(m_self), own->second.version, &reason);
    if (version) {
        m_isOwnEntryWritten = true;
        log(absl::StrCat("own entry written, version=", toString(*version)));
        return recordCall(true, reason);
    }
    if (reason == platform_failure::rejected) {
        log("own entry rejected");
        return std::nullopt;
    }
    // The outcome may be unknown; listing the entries shows whether the write took effect.
    cursor().invalidate();
    return recordCall(reason == platform_failure::conflict, reason) + kRelistDelay;
}

// One attempt is enough, since balancers remove the entries of stale nodes. The entry is read first, since the store may
// have come back from an older copy: the entry then has another version, or the name belongs to another node.
bool node_registry_worker::removeOwnEntry()
{
    if (!m_isEntryAllowed)
        return true;
    platform::platform_store store({m_storeAddress, kRemoveTimeout});
    platform_failure reason = platform_failure::unavailable;
    const auto entry = store.get(m_key, &reason);
    const auto node = entry ? parseNode(entry->value) : std::nullopt;
    if (entry && (!node || node->address != m_self.address)) {
        log("own entry not removed, reason=belongs to another node");
        return false;
    }
    if (entry && store.remove(m_key, entry->version, &reason))
        log("own entry removed");
    else
        log(absl::StrCat("own entry not removed, reason=", toString(reason)));
    return true;
}

std::optional<duration> node_registry_worker::watchEntries()
{
    duration pause{0};
    const auto result = awaitChanges(platform::kNodesPrefix, kNodesWatchTimeout, &pause);
    if (!result)
        return pause;
    for (const object_change &change : result->changes) {
        if (change.value && isReadable(change.key, change.value))
            m_entries[change.key] = {change.key, change.version, change.value->size(), change.value};
        else if (!change.value || change.key == m_key)
            m_entries.erase(change.key); // This node lists and writes its own entry again.
    }
    if (!m_entries.contains(m_key))
        m_isOwnEntryWritten = false;
    if (!result->changes.empty())
        publish();
    removeStaleEntries();
    return m_pacing->pauseAfter(!result->changes.empty());
}

void node_registry_worker::removeStaleEntries()
{
    for (const host_address &address : m_staleNodes ? m_staleNodes() : std::vector<host_address>())
        removeEntriesOf(address, kSilentNode);
}

// The host of such an entry is gone, since this node has its address. The entry may have come back with an older copy of
// the store, or its host has failed.
void node_registry_worker::removeEarlierEntries()
{
    removeEntriesOf(m_self.address, kReplacedNode);
}

// Removal is conditional on the version, so an entry that its node has rewritten since is kept.
void node_registry_worker::removeEntriesOf(const host_address &address, const removal_texts &texts)
{
    for (const auto &[key, entry] : m_entries) {
        const auto node = entry.value ? parseNode(*entry.value) : std::nullopt;
        if (!node || node->address != address || key == m_key)
            continue;
        platform_failure reason = platform_failure::unavailable;
        const bool isRemoved = store().remove(key, entry.version, &reason).has_value();
        log(absl::StrCat(texts.entry, ", key=", key, " removed=", isRemoved,
                         " reason=", isRemoved ? texts.reason : toString(reason)));
        const std::string name = key.substr(std::strlen(platform::kNodesPrefix));
        if (isRemoved && node->isAgent && !removeSnapshot(&store(), name, &reason))
            log(absl::StrCat(texts.snapshotNotRemoved, ", node=", name, " reason=", toString(reason)));
    }
}

void node_registry_worker::publish()
{
    m_isPublished = m_receive(readNodes());
    if (!m_isPublished)
        log(absl::StrCat("entries not taken over, the event loop is busy, count=", m_entries.size()));
}

// If several entries name an address, the host of the one that was written last has it.
std::vector<listed_node> node_registry_worker::readNodes() const
{
    struct latest_entry
    {
        object_version version;
        listed_node node;
    };
    std::map<host_address, latest_entry> latest;
    for (const auto &[key, entry] : m_entries) {
        const auto node = entry.value ? parseNode(*entry.value) : std::nullopt;
        if (!node)
            continue;
        latest_entry &known = latest[node->address];
        if (known.version < entry.version)
            known = {entry.version, *node};
    }
    std::vector<listed_node> nodes;
    nodes.reserve(latest.size());
    for (const auto &[address, entry] : latest)
        nodes.push_back(entry.node);
    return nodes;
}

} // namespace citroncrank
