#include "citroncrank/versioned_objects.h"

#include <algorithm>
#include <array>

namespace citroncrank {

namespace {

/// Bounds one watch result, so that a watcher that is far behind does not receive all revisions in one response.
constexpr std::size_t kMaxWatchResponseBytes = 4 * 1024 * 1024;

bool isKeyCharacter(char character)
{
    const bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool isDigit = character >= '0' && character <= '9';
    return isLetter || isDigit || character == '.' || character == '_' || character == '-' || character == '/';
}

bool checkWrite(const std::string &key, const std::string &value, platform_failure *lastReason)
{
    *lastReason = platform_failure::rejected;
    return isValidObjectKey(key) && value.size() <= kMaxObjectValueBytes;
}

} // namespace

const char *toString(platform_failure failure)
{
    static constexpr std::array<const char *, kPlatformFailureCount> kNames{
        "not_found", "conflict", "unavailable", "unknown_outcome", "rejected", "history_gone"};
    return kNames[std::size_t(failure)];
}

bool isValidObjectKey(const std::string &key)
{
    return !key.empty() && key.size() <= kMaxObjectKeyBytes && key.front() != '/'
           && std::all_of(key.begin(), key.end(), isKeyCharacter);
}

std::optional<stored_object> versioned_objects::get(const std::string &key, platform_failure *lastReason) const
{
    const auto found = m_records.find(key);
    if (found == m_records.end() || !found->second.value) {
        *lastReason = isValidObjectKey(key) ? platform_failure::not_found : platform_failure::rejected;
        return std::nullopt;
    }
    return stored_object{key, versionOf(found->second), *found->second.value};
}

std::optional<write_number> versioned_objects::create(const std::string &key, const std::string &value,
                                                      platform_failure *lastReason)
{
    if (!checkWrite(key, value, lastReason))
        return std::nullopt;
    const auto found = m_records.find(key);
    if (found != m_records.end() && found->second.value) {
        *lastReason = platform_failure::conflict;
        return std::nullopt;
    }
    return store(key, value);
}

std::optional<write_number> versioned_objects::update(const std::string &key, const std::string &value,
                                                      write_number expected, platform_failure *lastReason)
{
    if (!checkWrite(key, value, lastReason) || !checkExpected(key, expected, lastReason))
        return std::nullopt;
    return store(key, value);
}

std::optional<write_number> versioned_objects::remove(const std::string &key, write_number expected,
                                                      platform_failure *lastReason)
{
    if (!checkExpected(key, expected, lastReason))
        return std::nullopt;
    return store(key, std::nullopt);
}

std::optional<object_list> versioned_objects::list(const list_query &query, platform_failure *lastReason) const
{
    if (query.limit == 0 || query.limit > kMaxListEntries) {
        *lastReason = platform_failure::rejected;
        return std::nullopt;
    }
    // All keys with the prefix sort before the prefix followed by a byte above every key character. A key followed by a
    // zero byte is the first string that sorts after the key.
    std::string low = query.prefix;
    std::string high = query.prefix + '\x7F';
    if (!query.after.empty() && query.descending)
        high = std::min(high, query.after);
    if (!query.after.empty() && !query.descending)
        low = std::max(low, query.after + '\0');
    object_list result{.entries = {}, .version = {m_era, m_version}};
    if (low >= high)
        return result;
    const auto add = [&](const auto &item) {
        result.more = item.second.value && result.entries.size() == query.limit;
        if (item.second.value && !result.more)
            result.entries.push_back({item.first, versionOf(item.second), item.second.value->size()});
        return result.more;
    };
    const auto first = m_records.lower_bound(low);
    const auto last = m_records.lower_bound(high);
    if (query.descending)
        (void)std::find_if(std::make_reverse_iterator(last), std::make_reverse_iterator(first), add);
    else
        (void)std::find_if(first, last, add);
    return result;
}

watch_result versioned_objects::changesAfter(const std::string &prefix, write_number from) const
{
    // A watcher with a later version last read a store that this one has replaced; it gets all objects.
    if (from > m_version)
        from = 0;
    watch_result result{.changes = {}, .version = {m_era, m_version}};
    std::size_t bytes = 0;
    for (auto item = m_keysByVersion.upper_bound(from); item != m_keysByVersion.end(); ++item) {
        if (!item->second.starts_with(prefix))
            continue;
        const record &current = m_records.at(item->second);
        bytes += current.value ? current.value->size() : 0;
        if (!result.changes.empty() && bytes > kMaxWatchResponseBytes) {
            result.version = result.changes.back().version;
            break;
        }
        result.changes.push_back({item->second, versionOf(current), current.value});
    }
    return result;
}

void versioned_objects::restore(const versioned_objects &copy)
{
    const store_era next = m_era + 1;
    *this = copy;
    m_era = next;
}

bool versioned_objects::checkExpected(const std::string &key, write_number expected, platform_failure *lastReason) const
{
    const auto current = get(key, lastReason);
    if (current && current->version.number != expected)
        *lastReason = platform_failure::conflict;
    return current && current->version.number == expected;
}

write_number versioned_objects::store(const std::string &key, std::optional<std::string> value)
{
    record &target = m_records[key];
    m_keysByVersion.erase(target.version);
    target = {++m_version, std::move(value)};
    m_keysByVersion.emplace(m_version, key);
    return m_version;
}

} // namespace citroncrank
