#include "citroncrank/settings.h"

#include "settings_check_pvt.h"
#include "settings_document_pvt.h"
#include "settings_value_pvt.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <map>
#include <utility>

namespace citroncrank {

namespace {

// Validates one file. Collects faults and values.
class settings_validator
{
public:
    settings_validator(const std::string &file, const settings_table &table, std::vector<settings_fault> *faults)
        : m_file(file)
        , m_table(table)
        , m_faults(faults)
    {
        for (const auto &key : table)
            m_keys.emplace(key.path, &key);
    }

    void checkEntry(const document_entry &entry)
    {
        if (isInInvalidSection(entry.path))
            return;
        const auto [first, isNew] = m_lines.emplace(entry.path, entry.line);
        if (!isNew) {
            report(settings_fault_kind::duplicate_key, entry.line, entry.path,
                   absl::StrCat("first set at line ", first->second));
            return;
        }
        const auto key = m_keys.find(entry.path);
        if (key != m_keys.end())
            checkValue(entry, *key->second);
        else
            checkUnknown(entry);
    }

    void applyDefaults()
    {
        for (const auto &key : m_table) {
            if (m_lines.contains(key.path))
                continue;
            if (key.required)
                report(settings_fault_kind::missing_key, 0, key.path,
                       absl::StrCat("expected ", describeExpectedValue(key)));
            else if (key.defaultValue)
                store(key, 0, parseSettingsDefault(key));
        }
    }

    void report(settings_fault_kind kind, int line, const std::string &key, std::string detail)
    {
        m_faults->push_back({kind, m_file, line, key, std::move(detail)});
    }

    std::map<std::string, settings_value, std::less<>> takeValues() { return std::move(m_values); }

private:
    bool isInInvalidSection(const std::string &path) const
    {
        return !m_invalidSectionPrefix.empty() && path.starts_with(m_invalidSectionPrefix);
    }

    void checkValue(const document_entry &entry, const settings_key &key)
    {
        const auto wanted = key.isList ? entry_kind::list : entry_kind::scalar;
        if (entry.kind == wanted) {
            store(key, entry.line, parseSettingsValue(key, entry.values));
            return;
        }
        if (entry.kind == entry_kind::section)
            m_invalidSectionPrefix = entry.path + "."; // The keys in the section are not reported as further faults.
        report(settings_fault_kind::wrong_type, entry.line, entry.path,
               absl::StrCat("expected ", describeExpectedValue(key)));
    }

    void checkUnknown(const document_entry &entry)
    {
        if (isSection(entry.path)) {
            // A section name without a value ("listen:") is an empty section.
            if (entry.kind != entry_kind::section && entry.kind != entry_kind::null)
                report(settings_fault_kind::wrong_type, entry.line, entry.path, "expected a section");
            return;
        }
        if (entry.kind == entry_kind::section && entry.hasChildren)
            return; // Each key of the section is reported instead.
        report(settings_fault_kind::unknown_key, entry.line, entry.path, nearestKey(m_table, entry.path));
    }

    bool isSection(const std::string &path) const
    {
        const std::string prefix = path + ".";
        const auto next = m_keys.lower_bound(prefix);
        return next != m_keys.end() && next->first.starts_with(prefix);
    }

    void store(const settings_key &key, int line, std::variant<settings_value, value_fault> parsed)
    {
        if (auto *fault = std::get_if<value_fault>(&parsed))
            report(fault->kind, line, key.path, std::move(fault->detail));
        else
            m_values.insert_or_assign(key.path, std::get<settings_value>(std::move(parsed)));
    }

    const std::string &m_file;
    const settings_table &m_table;
    std::vector<settings_fault> *m_faults;
    std::map<std::string, const settings_key *, std::less<>> m_keys;
    std::map<std::string, int> m_lines;
    std::map<std::string, settings_value, std::less<>> m_values;
    std::string m_invalidSectionPrefix; ///< Path of a known key whose value is wrongly a section, followed by a dot.
};

std::optional<settings_values> failWithSyntaxFault(const std::string &file, const std::string &message,
                                                   std::vector<settings_fault> *faults)
{
    *faults = {{settings_fault_kind::syntax, file, 0, {}, message}};
    return std::nullopt;
}

} // namespace

std::optional<settings_values> parseSettings(std::string_view text, const std::string &fileName,
                                             const settings_table &table, std::vector<settings_fault> *faults)
{
    if (text.size() > kMaxSettingsBytes)
        return failWithSyntaxFault(fileName, absl::StrCat("the file is larger than ", kMaxSettingsBytes, " bytes"),
                                   faults);
    faults->clear();
    settings_validator validator(fileName, table, faults);
    const auto document = flattenYaml(text);
    for (const auto &entry : document.entries)
        validator.checkEntry(entry);
    // Keys after a syntax error are not parsed, so absent keys are not reported as missing.
    if (document.error)
        validator.report(settings_fault_kind::syntax, document.error->line, {}, document.error->message);
    else
        validator.applyDefaults();
    if (faults->empty())
        return settings_values(validator.takeValues());
    std::stable_sort(faults->begin(), faults->end(),
                     [](const auto &left, const auto &right) { return left.line < right.line; });
    return std::nullopt;
}

std::optional<settings_values> readSettings(const std::string &path, const settings_table &table,
                                            std::vector<settings_fault> *faults)
{
    errno = 0;
    std::ifstream stream(path, std::ios::binary);
    const int openError = errno; // Saved, because the allocation and the read below may overwrite errno.
    std::string text(kMaxSettingsBytes + 1, '\0');
    stream.read(text.data(), std::streamsize(text.size()));
    if (!stream.is_open())
        return failWithSyntaxFault(path, absl::StrCat("cannot be read: ", std::strerror(openError)), faults);
    if (stream.bad())
        return failWithSyntaxFault(path, "cannot be read: it is not a regular file or reading failed", faults);
    text.resize(std::size_t(stream.gcount()));
    return parseSettings(text, path, table, faults);
}

} // namespace citroncrank
