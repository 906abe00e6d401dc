#pragma once

/// @file
/// The fleet-wide configuration: one set of defaults, the services, and exceptions with a written reason each.

#include "citroncrank/ids.h"
#include "citroncrank/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace citroncrank {

/// Largest document, in bytes. The platform stores values of up to a megabyte.
constexpr std::size_t kMaxDocumentBytes = 1024 * 1024;

/// Value of a key: a count or number of bytes, a ratio, or a time span.
using config_value = std::variant<std::int64_t, double, duration>;

enum class value_type : std::uint8_t { count, bytes, ratio, time_span };
const char *toString(value_type type);

/// Parts of a scope that an exception for a key may name. Values are bits.
enum scope_part : std::uint8_t { scope_domain = 1, scope_class = 2, scope_service = 4, scope_host = 8 };

/// One fleet-wide key.
struct key_spec
{
    std::string_view name;
    value_type type = value_type::count;
    std::string_view unit;
    config_value lowest;
    config_value highest;
    config_value fallback;   ///< In force while neither the defaults nor an exception set the key.
    std::uint8_t scopes = 0; ///< Bits of `scope_part` that exceptions for this key may use.
    std::string_view description;
};

/// All keys, ordered by name.
const std::vector<key_spec> &configKeys();
/// Returns nullptr for an unknown key.
const key_spec *findKey(std::string_view name);
/// Markdown table of all keys, for the generated reference.
std::string describeKeys();

/// Scope of an exception, or the place for which a value is looked up. A part that is absent in the scope of an
/// exception matches every value.
struct config_scope
{
    std::optional<std::string> service;
    std::optional<flow_class> flowClass;
    std::optional<std::string> domain; ///< Failure domain.
    std::optional<std::string> host;
    auto operator<=>(const config_scope &) const = default;
};
/// Formats a scope as "service=receipts class=bulk", or "everywhere".
std::string toString(const config_scope &scope);

/// One listener of a service.
struct service_address
{
    host_address address;
    flow_class flowClass = flow_class::normal;
    flow_kind kind = flow_kind::request;
    duration deadline = std::chrono::seconds(10); ///< Longest wait of a flow before it is run; 0 means no deadline.
    std::optional<std::string> notRunReply;       ///< Bytes sent to a caller whose request was not run.
    bool operator==(const service_address &) const = default;
};

struct service_definition
{
    std::string name;
    std::vector<service_address> addresses;
    bool operator==(const service_definition &) const = default;
};

/// Override of a default within a scope, in force from the acceptance of its revision until it expires or is removed.
struct config_exception
{
    std::string id;
    config_scope scope;
    std::string key;
    config_value value;
    std::string reason;
    std::string author;
    wall_time created;                ///< Informational; the exception does not wait for this time.
    std::optional<wall_time> expires; ///< First moment at which the exception no longer applies.
    bool operator==(const config_exception &) const = default;
};

/// A complete snapshot of the configuration. A draft has number 0.
struct config_revision
{
    std::uint64_t number = 0;
    std::string changeId;
    std::string author;
    std::string reason;
    wall_time acceptedAt;
    std::map<std::string, config_value> defaults;
    std::vector<service_definition> services;
    std::vector<config_exception> exceptions;
    bool operator==(const config_revision &) const = default;
};

enum class config_fault_kind : std::uint8_t {
    too_large,       ///< The document exceeds kMaxDocumentBytes.
    malformed_yaml,  ///< Invalid YAML or invalid UTF-8.
    unknown_key,     ///< A key or field that does not exist.
    unknown_service, ///< An exception names a service that is not defined.
    wrong_type,      ///< The value does not have the type of its key or field.
    out_of_bounds,   ///< The value lies outside the bounds of its key or field.
    missing,         ///< A mandatory field is absent or blank.
    duplicate,       ///< A key, id, name or address occurs twice.
    ambiguous,       ///< Two exceptions set the same key for the same scope.
    wrong_scope,     ///< The scope is empty or has a part that the key cannot have.
    wrong_order,     ///< An exception expires before it was created.
};
constexpr int kConfigFaultKindCount = 11;
const char *toString(config_fault_kind kind);

/// One fault of a document.
struct config_fault
{
    config_fault_kind kind = config_fault_kind::malformed_yaml;
    std::string file;
    int line = 0;        ///< Counted from 1; 0 for a revision that was not read from a file.
    std::string path;    ///< Location in the document, for example "exceptions[2].value".
    std::string key;     ///< Offending key, field or name.
    std::string nearest; ///< Most similar known key, field or name, as a suggestion; empty when none is similar.
    std::string message;
    bool operator==(const config_fault &) const = default;
};
/// Formats a fault as "config.yaml:14: message".
std::string toString(const config_fault &fault);

/// `revision` is present exactly when `faults` is empty.
struct parsed_document
{
    std::optional<config_revision> revision;
    std::vector<config_fault> faults;
};

/// Parses and validates a document. Header fields (revision, changeId, author, reason, acceptedAt) may be absent, as
/// in a draft; validateAcceptedHeader covers them.
parsed_document parseConfigDocument(std::string_view text, const std::string &fileName);
/// Formats canonical YAML; parsing the text of a valid revision gives an equal revision.
std::string formatConfigDocument(const config_revision &revision);
/// Validates a revision that was not read from a file; the faults carry no file and line.
std::vector<config_fault> validateConfig(const config_revision &revision);
/// Validates the header of an accepted revision: number, change id that names number - 1, author, reason and time of
/// acceptance.
std::vector<config_fault> validateAcceptedHeader(const config_revision &revision);

/// Origin of an effective value.
enum class value_source : std::uint8_t { key_table, fleet_default, exception };

struct effective_value
{
    config_value value;
    value_source source = value_source::key_table;
    std::optional<config_exception> sourceException; ///< Present when the source is an exception.
    bool operator==(const effective_value &) const = default;
};

/// Value of a key at a place and time; nullopt for an unknown key. Among the unexpired exceptions that match, the most
/// specific scope wins: one that names a host before one that does not, then service, then class, then failure
/// domain. Validation allows one exception per key and scope, so the order is total.
std::optional<effective_value> effectiveValue(const config_revision &revision, std::string_view key,
                                              const config_scope &place, wall_time when);

enum class config_change_kind : std::uint8_t { added, removed, changed };
enum class config_subject : std::uint8_t { default_value, service, exception };

/// One difference between two revisions. `before` and `after` are canonical text, empty when absent.
struct config_change
{
    config_change_kind kind = config_change_kind::changed;
    config_subject subject = config_subject::default_value;
    std::string name;
    std::string before;
    std::string after;
    bool operator==(const config_change &) const = default;
};
/// Differences in defaults, services and exceptions. Reordered services or exceptions are not a difference.
std::vector<config_change> diffConfig(const config_revision &from, const config_revision &to);
/// Formats changes for operators, one per paragraph.
std::string formatChanges(const std::vector<config_change> &changes);

/// Formats a value with its unit, for example "250ms", "0.1" or "65536".
std::string formatValue(const config_value &value);
/// Parses a value for a key; nullopt when the text does not have the key's type. Does not check bounds.
std::optional<config_value> parseValue(const key_spec &spec, std::string_view text);
/// Formats a time span in the largest unit that divides it: us, ms, s, min or h.
std::string formatDuration(duration value);
/// Parses "250ms", "1.5s" or "30min"; nullopt without a unit.
std::optional<duration> parseDuration(std::string_view text);
/// Formats as RFC 3339 in UTC with up to six fractional digits.
std::string formatWallTime(wall_time when);
/// Parses RFC 3339; nullopt outside the years 1970 to 9999.
std::optional<wall_time> parseWallTime(std::string_view text);

} // namespace citroncrank
