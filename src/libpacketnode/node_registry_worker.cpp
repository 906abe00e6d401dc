#include "citroncrank/node_registry_worker.h"

#include "citroncrank/snapshot_worker.h"
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

// Between two watches entries of nodes that are gone are removed.
constexpr milliseconds kNodesWatchWait{8000};
// allowEntry() and renewEntry() end this wait.
constexpr duration kEntryWait = std::chrono::seconds(60);
// Reading the entries again after a failed write.
constexpr duration kReadAgainDelay = milliseconds(100);
constexpr milliseconds kRemoveDeadline{500};

} // namespace

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

std::optional<listed_node> parseNode(const std::string &text)
{
    try {
        const json::value parsed = json::parse(text);
        const json::object &entry = parsed.as_object();
        const auto address = parseHostAddress(std::string(entry.at("address").as_string()));
        const auto &role = entry.at("role").as_string();
        if (!address || (role != "agent" && role != "balancer"))
            return std::nullopt;
        listed_node node{.address = *address,
                         .isAgent = role == "agent",
                         .service = {},
                         .domain = std::string(entry.at("domain").as_string())};
        if (node.isAgent) {
            node.service = std::string(entry.at("service").as_string());
            node.slots = entry.at("slots").to_number<std::uint32_t>();
        }
        return node;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

node_registry_worker::node_registry_worker(const host_address &store, std::string nodeName, listed_node self,
                                           bool goesOnWatching, receiver receive, store_log log)
    : store_worker("nodes", store, std::move(log))
    , m_key(platform::kNodesPrefix + std::move(nodeName))
    , m_self(std::move(self))
    , m_goesOnWatching(goesOnWatching)
    , m_pacing(std::make_unique<change_pacing>())
    , m_receive(std::move(receive))
    , m_storeAddress(store)
{}

node_registry_worker::~node_registry_worker()
{
    stop();
}

std::optional<duration> node_registry_worker::step()
{
    if (m_isRenewalAsked.exchange(false)) {
        cursor().historyGone();
        m_isOwnWritten = false;
    }
    if (!cursor().from())
        return readAll();
    if (!m_isOwnWritten)
        return m_isEntryAllowed ? checkOwn() : std::optional<duration>(kEntryWait);
    return m_goesOnWatching ? wait() : std::optional<duration>(kEntryWait);
}

void node_registry_worker::allowEntry(std::uint32_t slots)
{
    m_slots = slots;
    if (!m_isEntryAllowed.exchange(true))
        wake();
}

void node_registry_worker::renewEntry()
{
    m_isRenewalAsked = true;
    wake();
}

std::optional<duration> node_registry_worker::readAll()
{
    std::map<std::string, object_entry> entries;
    std::string after;
    std::optional<object_version> seen;
    for (bool more = true; more;) {
        platform_failure reason = platform_failure::unavailable;
        const auto list = store().list({.prefix = platform::kNodesPrefix, .after = after}, &reason);
        const duration pause = noteCall(list.has_value(), reason);
        if (!list)
            return pause;
        for (const object_entry &entry : list->entries)
            entries[entry.key] = entry;
        // The first page is the oldest; a watch from there misses nothing.
        if (!seen)
            seen = list->version;
        more = list->more && !list->entries.empty();
        if (more)
            after = list->entries.back().key;
    }
    m_entries = std::move(entries);
    cursor().listed(*seen);
    const auto own = m_entries.find(m_key);
    m_ownVersion = own != m_entries.end() ? own->second.version : 0;
    publish();
    return duration(0);
}

// An entry that says the same from an earlier start stays as it is.
std::optional<duration> node_registry_worker::checkOwn()
{
    m_self.slots = m_slots;
    const auto own = m_entries.find(m_key);
    m_isOwnWritten = own != m_entries.end() && own->second.value && parseNode(*own->second.value) == m_self;
    return m_isOwnWritten ? std::optional<duration>(duration(0)) : writeOwn();
}

// Writing is conditional, so a write that an earlier process sent and that takes effect late cannot undo this one.
std::optional<duration> node_registry_worker::writeOwn()
{
    platform_failure reason = platform_failure::unavailable;
    const auto own = m_entries.find(m_key);
    const auto version = own == m_entries.end()
                             ? store().create(m_key, formatNode(m_self), &reason)
                             : store().update(m_key, formatNode(m_self), own->second.version, &reason);
    if (version) {
        m_isOwnWritten = true;
        m_ownVersion = *version;
        log(absl::StrCat("own entry written, version=", *version));
        return noteCall(true, reason);
    }
    if (reason == platform_failure::rejected) {
        log("own entry rejected");
        return std::nullopt;
    }
    // Reading again shows whether the write took effect.
    cursor().historyGone();
    return noteCall(reason == platform_failure::conflict, reason) + kReadAgainDelay;
}

// An entry that stays is removed by a balancer later, so one attempt is enough.
void node_registry_worker::removeOwn()
{
    if (m_ownVersion == 0)
        return;
    platform::platform_store store({m_storeAddress, kRemoveDeadline});
    platform_failure reason = platform_failure::unavailable;
    if (store.remove(m_key, m_ownVersion, &reason))
        log("own entry removed");
    else
        log(absl::StrCat("own entry not removed, reason=", toString(reason)));
}

std::optional<duration> node_registry_worker::wait()
{
    duration pause{0};
    const auto result = awaitChanges(platform::kNodesPrefix, kNodesWatchWait, &pause);
    if (!result)
        return pause;
    for (const object_change &change : result->changes) {
        if (change.value)
            m_entries[change.key] = {change.key, change.version, change.value->size(), change.value};
        else
            m_entries.erase(change.key);
    }
    if (!result->changes.empty())
        publish();
    removeEntries();
    return m_pacing->pauseAfter(!result->changes.empty());
}

// Removal is conditional on the version, so an entry that its node has written again stays.
void node_registry_worker::removeEntries()
{
    for (const host_address &address : m_forgotten ? m_forgotten() : std::vector<host_address>()) {
        for (const auto &[key, entry] : m_entries) {
            const auto node = entry.value ? parseNode(*entry.value) : std::nullopt;
            if (!node || node->address != address || key == m_key)
                continue;
            platform_failure reason = platform_failure::unavailable;
            const bool isRemoved = store().remove(key, entry.version, &reason).has_value();
            log(absl::StrCat("entry of a silent node, key=", key, " removed=", isRemoved,
                             " reason=", isRemoved ? "silent" : toString(reason)));
            const std::string name = key.substr(std::strlen(platform::kNodesPrefix));
            if (isRemoved && node->isAgent && !removeSnapshot(&store(), name, &reason))
                log(absl::StrCat("snapshot of a silent node not removed, node=", name, " reason=", toString(reason)));
        }
    }
}

void node_registry_worker::publish()
{
    std::vector<listed_node> nodes;
    for (const auto &[key, entry] : m_entries) {
        const auto node = entry.value ? parseNode(*entry.value) : std::nullopt;
        if (node)
            nodes.push_back(*node);
        else
            log(absl::StrCat("entry names no node, key=", key));
    }
    m_receive(std::move(nodes));
}

} // namespace citroncrank
