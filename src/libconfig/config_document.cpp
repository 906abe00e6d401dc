#include "citroncrank/config_document.h"
#include "citroncrank/nearest_name.h"

#include "config_text_pvt.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <algorithm>
#include <functional>
#include <set>
#include <yaml-cpp/yaml.h>

namespace citroncrank {

namespace {

using field_reader = std::function<void(const YAML::Node &, const std::string &path)>;
using field_readers = std::map<std::string, field_reader, std::less<>>;

/// Parses YAML into a revision and collects all faults with their lines.
class document_parser
{
public:
    explicit document_parser(std::string fileName)
        : m_file(std::move(fileName))
    {}

    parsed_document run(std::string_view text);

private:
    void add(config_fault_kind kind, const std::string &path, const std::string &key, const std::string &message,
             const std::string &nearest = {});
    std::string suggest(std::string_view name, const std::vector<std::string_view> &known) const;
    int findLine(std::string path) const;
    void addValidation(std::vector<config_fault> faults);

    void readMap(const YAML::Node &node, const std::string &path, const std::string &what, const field_readers &fields);
    void readList(const YAML::Node &node, const std::string &path,
                  const std::function<void(const YAML::Node &, const std::string &)> &readItem);
    template<typename Value, typename Parse>
    field_reader scalar(Value *target, const std::string &expected, Parse parse);
    field_reader text(std::string *target);
    field_reader optionalText(std::optional<std::string> *target);
    field_reader time(wall_time *target);
    field_reader classField(std::function<void(flow_class)> store);

    void readRoot(const YAML::Node &root);
    void readDefaults(const YAML::Node &node, const std::string &path);
    void readService(const YAML::Node &node, const std::string &path);
    void readAddress(const YAML::Node &node, const std::string &path, service_definition *service);
    void readReply(const YAML::Node &node, const std::string &path, service_address *target);
    void readException(const YAML::Node &node, const std::string &path);
    void readScope(const YAML::Node &node, const std::string &path, config_scope *scope);
    void readValue(const std::string &key, const YAML::Node &node, const std::string &path, config_value *target);
    void reportUnknownKey(const std::string &key, const std::string &path);

    std::string m_file;
    std::map<std::string, int> m_lines;
    std::set<std::string> m_faultyPaths;
    std::vector<config_fault> m_faults;
    config_revision m_revision;
};

template<typename Value, typename Parse>
field_reader document_parser::scalar(Value *target, const std::string &expected, Parse parse)
{
    return [this, target, expected, parse](const YAML::Node &node, const std::string &path) {
        if (node.IsScalar()) {
            if (auto value = parse(node.Scalar())) {
                *target = std::move(*value);
                return;
            }
        }
        const std::string field = path.substr(path.rfind('.') + 1);
        add(config_fault_kind::wrong_type, path, field,
            concat("\"", field, "\" is not ", expected, node.IsScalar() ? ": " : "",
                   node.IsScalar() ? quoteYaml(node.Scalar()) : ""));
    };
}

field_reader document_parser::text(std::string *target)
{
    return scalar(target, "a text", [](const std::string &value) { return std::optional<std::string>(value); });
}

field_reader document_parser::optionalText(std::optional<std::string> *target)
{
    return scalar(target, "a text", [](const std::string &value) { return std::optional<std::string>(value); });
}

field_reader document_parser::time(wall_time *target)
{
    return scalar(target, "a time such as 2026-12-04T09:30:00Z", parseWallTime);
}

field_reader document_parser::classField(std::function<void(flow_class)> store)
{
    return [this, store = std::move(store)](const YAML::Node &node, const std::string &path) {
        flow_class value{};
        const auto parse = [](const std::string &text) -> std::optional<flow_class> {
            for (const auto candidate : {flow_class::urgent, flow_class::normal, flow_class::bulk}) {
                if (text == toString(candidate))
                    return candidate;
            }
            return std::nullopt;
        };
        const auto before = m_faults.size();
        scalar(&value, "one of urgent, normal, bulk", parse)(node, path);
        if (m_faults.size() == before)
            store(value);
    };
}

parsed_document document_parser::run(std::string_view text)
{
    if (text.size() > kMaxDocumentBytes) {
        add(config_fault_kind::too_large, "", "",
            concat("the document has ", text.size(), " bytes; the limit is ", kMaxDocumentBytes));
    } else if (const auto offset = invalidUtf8(text)) {
        m_lines[""] = int(std::count(text.begin(), text.begin() + std::ptrdiff_t(*offset), '\n')) + 1;
        add(config_fault_kind::malformed_yaml, "", "", "the document is not valid UTF-8");
    } else {
        try {
            readRoot(YAML::Load(std::string(text)));
            addValidation(validateConfig(m_revision));
        } catch (const YAML::Exception &error) {
            m_lines[""] = error.mark.line + 1;
            add(config_fault_kind::malformed_yaml, "", "", concat("not valid YAML: ", error.msg));
        }
    }
    std::stable_sort(m_faults.begin(), m_faults.end(), [](const auto &a, const auto &b) { return a.line < b.line; });
    if (m_faults.empty())
        return {std::move(m_revision), {}};
    return {std::nullopt, std::move(m_faults)};
}

void document_parser::add(config_fault_kind kind, const std::string &path, const std::string &key,
                          const std::string &message, const std::string &nearest)
{
    const std::string hint = nearest.empty() ? "" : concat("; did you mean \"", nearest, "\"?");
    m_faults.push_back({kind, m_file, findLine(path), path, key, nearest, message + hint});
    m_faultyPaths.insert(path);
}

std::string document_parser::suggest(std::string_view name, const std::vector<std::string_view> &known) const
{
    // The search compares a name with all known ones; the limit bounds the time for a document full of unknown names.
    constexpr std::size_t kMaxSuggestions = 1000;
    return m_faults.size() < kMaxSuggestions ? nearestName(name, known) : std::string();
}

/// Line of a path, or of the nearest enclosing element that has one.
int document_parser::findLine(std::string path) const
{
    for (;;) {
        if (const auto found = m_lines.find(path); found != m_lines.end())
            return found->second;
        const auto cut = path.find_last_of(".[");
        if (cut == std::string::npos)
            break;
        path.resize(cut);
    }
    const auto root = m_lines.find("");
    return root == m_lines.end() ? 1 : root->second;
}

/// Skips faults at paths for which parsing already reported one, since they are its consequence.
void document_parser::addValidation(std::vector<config_fault> faults)
{
    for (auto &fault : faults) {
        if (m_faultyPaths.count(fault.path) != 0)
            continue;
        fault.file = m_file;
        fault.line = findLine(fault.path);
        m_faults.push_back(std::move(fault));
    }
}

void document_parser::readMap(const YAML::Node &node, const std::string &path, const std::string &what,
                              const field_readers &fields)
{
    m_lines.emplace(path, node.Mark().line + 1);
    if (!node.IsMap()) {
        add(config_fault_kind::wrong_type, path, what, concat(what, " must be a map"));
        return;
    }
    std::vector<std::string_view> known;
    for (const auto &[name, reader] : fields)
        known.push_back(name);
    std::set<std::string> seen;
    for (const auto &entry : node) {
        const std::string name = entry.first.IsScalar() ? entry.first.Scalar() : std::string();
        const std::string fieldPath = path.empty() ? name : concat(path, ".", name);
        m_lines.emplace(fieldPath, entry.first.Mark().line + 1);
        const auto field = fields.find(name);
        if (field == fields.end())
            add(config_fault_kind::unknown_key, fieldPath, name, concat(what, " has no field \"", name, "\""),
                suggest(name, known));
        else if (!seen.insert(name).second)
            add(config_fault_kind::duplicate, fieldPath, name, concat("\"", name, "\" occurs twice"));
        else
            field->second(entry.second, fieldPath);
    }
}

void document_parser::readList(const YAML::Node &node, const std::string &path,
                               const std::function<void(const YAML::Node &, const std::string &)> &readItem)
{
    if (node.IsNull())
        return;
    if (!node.IsSequence()) {
        add(config_fault_kind::wrong_type, path, path, concat("\"", path, "\" must be a list"));
        return;
    }
    std::size_t index = 0;
    for (const auto &item : node)
        readItem(item, concat(path, "[", index++, "]"));
}

void document_parser::readRoot(const YAML::Node &root)
{
    const auto parseNumber = [](const std::string &value) {
        std::uint64_t number = 0;
        return absl::SimpleAtoi(value, &number) ? std::optional(number) : std::nullopt;
    };
    readMap(root, "", "the document",
            {{"revision", scalar(&m_revision.number, "a whole number", parseNumber)},
             {"changeId", text(&m_revision.changeId)},
             {"author", text(&m_revision.author)},
             {"reason", text(&m_revision.reason)},
             {"acceptedAt", time(&m_revision.acceptedAt)},
             {"defaults", [this](const auto &node, const auto &path) { readDefaults(node, path); }},
             {"services",
              [this](const auto &node, const auto &path) {
                  readList(node, path, [this](const auto &item, const auto &at) { readService(item, at); });
              }},
             {"exceptions", [this](const auto &node, const auto &path) {
                  readList(node, path, [this](const auto &item, const auto &at) { readException(item, at); });
              }}});
}

void document_parser::readDefaults(const YAML::Node &node, const std::string &path)
{
    if (node.IsNull())
        return;
    if (!node.IsMap()) {
        add(config_fault_kind::wrong_type, path, path, "\"defaults\" must be a map of keys to values");
        return;
    }
    for (const auto &entry : node) {
        const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : std::string();
        const std::string at = concat(path, ".", key);
        m_lines.emplace(at, entry.first.Mark().line + 1);
        if (m_revision.defaults.count(key) != 0) {
            m_lines[at] = entry.first.Mark().line + 1;
            add(config_fault_kind::duplicate, at, key, concat("default \"", key, "\" occurs twice"));
        } else if (findKey(key) == nullptr) {
            reportUnknownKey(key, at);
        } else {
            readValue(key, entry.second, at, &m_revision.defaults[key]);
        }
    }
}

void document_parser::reportUnknownKey(const std::string &key, const std::string &path)
{
    std::vector<std::string_view> known;
    for (const auto &spec : configKeys())
        known.push_back(spec.name);
    add(config_fault_kind::unknown_key, path, key, concat("there is no key \"", key, "\""), suggest(key, known));
}

void document_parser::readValue(const std::string &key, const YAML::Node &node, const std::string &path,
                                config_value *target)
{
    const key_spec &spec = *findKey(key);
    *target = spec.fallback;
    if (node.IsScalar()) {
        if (const auto value = parseValue(spec, node.Scalar())) {
            *target = *value;
            return;
        }
    }
    add(config_fault_kind::wrong_type, path, key,
        concat("the value of \"", key, "\" is not a ", toString(spec.type), " such as ", formatValue(spec.fallback),
               node.IsScalar() ? ": " + quoteYaml(node.Scalar()) : ""));
}

void document_parser::readService(const YAML::Node &node, const std::string &path)
{
    service_definition &service = m_revision.services.emplace_back();
    readMap(node, path, "a service",
            {{"name", text(&service.name)}, {"addresses", [&](const auto &list, const auto &listPath) {
                                                 readList(list, listPath, [&](const auto &item, const auto &at) {
                                                     readAddress(item, at, &service);
                                                 });
                                             }}});
}

void document_parser::readAddress(const YAML::Node &node, const std::string &path, service_definition *service)
{
    service_address &target = service->addresses.emplace_back();
    const auto parseKind = [](const std::string &value) -> std::optional<flow_kind> {
        if (value == "request")
            return flow_kind::request;
        return value == "session" ? std::optional(flow_kind::session) : std::nullopt;
    };
    readMap(node, path, "an address",
            {{"address", scalar(&target.address, "an address such as 10.0.0.1:443", parseHostAddress)},
             {"class", classField([&](flow_class value) { target.flowClass = value; })},
             {"kind", scalar(&target.kind, "one of request, session", parseKind)},
             {"deadline", scalar(&target.deadline, "a time span such as 10s", parseDuration)},
             {"notRunReply", [&](const auto &value, const auto &at) { readReply(value, at, &target); }}});
}

void document_parser::readReply(const YAML::Node &node, const std::string &path, service_address *target)
{
    if (node.Tag() != "tag:yaml.org,2002:binary") {
        optionalText (&target->notRunReply)(node, path);
        return;
    }
    std::string bytes;
    if (absl::Base64Unescape(node.Scalar(), &bytes))
        target->notRunReply = bytes;
    else
        add(config_fault_kind::wrong_type, path, "notRunReply", "\"notRunReply\" is not valid base64");
}

void document_parser::readException(const YAML::Node &node, const std::string &path)
{
    config_exception &target = m_revision.exceptions.emplace_back();
    std::optional<YAML::Node> value;
    wall_time expires;
    const auto readExpiry = [&](const YAML::Node &field, const std::string &at) {
        time (&expires)(field, at);
        target.expires = expires;
    };
    readMap(node, path, "an exception",
            {{"id", text(&target.id)},
             {"scope", [&](const auto &scope, const auto &at) { readScope(scope, at, &target.scope); }},
             {"key", text(&target.key)},
             {"value", [&](const auto &field, const auto &) { value.emplace(field); }},
             {"reason", text(&target.reason)},
             {"author", text(&target.author)},
             {"created", time(&target.created)},
             {"expires", readExpiry}});
    // The type of the value depends on the key, which may come after the value in the file.
    if (!target.key.empty() && findKey(target.key) == nullptr)
        reportUnknownKey(target.key, path + ".key");
    else if (!value)
        add(config_fault_kind::missing, path + ".value", "value",
            concat("exception ", quoteYaml(target.id), " has no value"));
    else if (!target.key.empty())
        readValue(target.key, *value, path + ".value", &target.value);
}

void document_parser::readScope(const YAML::Node &node, const std::string &path, config_scope *scope)
{
    readMap(node, path, "a scope",
            {{"service", optionalText(&scope->service)},
             {"class", classField([scope](flow_class value) { scope->flowClass = value; })},
             {"domain", optionalText(&scope->domain)},
             {"host", optionalText(&scope->host)}});
}

} // namespace

parsed_document parseConfigDocument(std::string_view text, const std::string &fileName)
{
    return document_parser(fileName).run(text);
}

std::string toString(const config_fault &fault)
{
    if (fault.line == 0)
        return fault.message;
    return concat(fault.file, ":", fault.line, ": ", fault.message);
}

} // namespace citroncrank
