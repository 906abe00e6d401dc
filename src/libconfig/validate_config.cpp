#include "citroncrank/config_document.h"
#include "citroncrank/nearest_name.h"

#include "config_text_pvt.h"

#include <array>
#include <set>

namespace citroncrank {

namespace {

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxReplyBytes = 16 * 1024;
constexpr duration kMaxDeadline = std::chrono::hours(24);

class validator
{
public:
    explicit validator(const config_revision &revision)
        : m_revision(revision)
    {}

    std::vector<config_fault> run()
    {
        checkDefaults();
        for (std::size_t i = 0; i < m_revision.services.size(); ++i)
            checkService(m_revision.services[i], concat("services[", i, "]"));
        for (std::size_t i = 0; i < m_revision.exceptions.size(); ++i)
            checkException(m_revision.exceptions[i], concat("exceptions[", i, "]"));
        return std::move(m_faults);
    }

private:
    void add(config_fault_kind kind, const std::string &path, std::string_view key, const std::string &message,
             const std::string &nearest = {})
    {
        const std::string hint = nearest.empty() ? "" : concat("; did you mean \"", nearest, "\"?");
        m_faults.push_back({kind, "", 0, path, std::string(key), nearest, message + hint});
    }

    void checkDefaults();
    void checkValue(const std::string &key, const config_value &value, const std::string &path);
    void checkName(const std::string &name, const std::string &path, const std::string &what);
    void checkService(const service_definition &service, const std::string &path);
    void checkAddress(const service_address &listener, const std::string &path);
    void checkException(const config_exception &exception, const std::string &path);
    void checkScope(const config_exception &exception, const std::string &path);
    void checkTimes(const config_exception &exception, const std::string &path);

    const config_revision &m_revision;
    std::vector<config_fault> m_faults;
    std::set<std::string> m_services;
    std::set<host_address> m_addresses;
    std::set<std::string> m_exceptionIds;
    std::map<std::pair<std::string, config_scope>, std::string> m_exceptionScopes;
};

void validator::checkDefaults()
{
    for (const auto &[key, value] : m_revision.defaults)
        checkValue(key, value, "defaults." + key);
}

void validator::checkValue(const std::string &key, const config_value &value, const std::string &path)
{
    const key_spec *spec = findKey(key);
    if (spec == nullptr) {
        add(config_fault_kind::unknown_key, path, key, concat("there is no key \"", key, "\""));
    } else if (value.index() != spec->fallback.index()) {
        add(config_fault_kind::wrong_type, path, key,
            concat("the value of \"", key, "\" is not a ", toString(spec->type)));
        // The negated form also rejects NaN, for which every comparison is false.
    } else if (!(spec->lowest <= value && value <= spec->highest)) {
        add(config_fault_kind::out_of_bounds, path, key,
            concat("the value ", formatValue(value), " of \"", key, "\" is outside ", formatValue(spec->lowest), " to ",
                   formatValue(spec->highest)));
    }
}

void validator::checkName(const std::string &name, const std::string &path, const std::string &what)
{
    if (isBlank(name))
        add(config_fault_kind::missing, path, what, concat(what, " is missing or blank"));
    else if (name.size() > kMaxNameBytes)
        add(config_fault_kind::out_of_bounds, path, what, concat(what, " is longer than ", kMaxNameBytes, " bytes"));
    else if (invalidUtf8(name))
        add(config_fault_kind::wrong_type, path, what, concat(what, " is not valid UTF-8"));
}

void validator::checkService(const service_definition &service, const std::string &path)
{
    checkName(service.name, path + ".name", "the name of a service");
    if (!m_services.insert(service.name).second)
        add(config_fault_kind::duplicate, path + ".name", service.name,
            concat("service ", quoteYaml(service.name), " is defined twice"));
    if (service.addresses.empty())
        add(config_fault_kind::missing, path + ".addresses", service.name,
            concat("service ", quoteYaml(service.name), " has no address"));
    for (std::size_t i = 0; i < service.addresses.size(); ++i)
        checkAddress(service.addresses[i], concat(path, ".addresses[", i, "]"));
}

void validator::checkAddress(const service_address &listener, const std::string &path)
{
    const std::string text = toString(listener.address);
    if (listener.address.port == 0)
        add(config_fault_kind::missing, path + ".address", "address", "the listener has no address");
    else if (!m_addresses.insert(listener.address).second)
        // Two services at one address could not be told apart, and flows would reach the wrong one.
        add(config_fault_kind::duplicate, path + ".address", text, concat("address ", text, " is used twice"));
    if (listener.deadline < duration(0) || listener.deadline > kMaxDeadline)
        add(config_fault_kind::out_of_bounds, path + ".deadline", "deadline",
            concat("the deadline of ", text, " is outside 0s to ", formatDuration(kMaxDeadline)));
    if (listener.notRunReply && listener.notRunReply->size() > kMaxReplyBytes)
        add(config_fault_kind::out_of_bounds, path + ".notRunReply", "notRunReply",
            concat("the reply of ", text, " is longer than ", kMaxReplyBytes, " bytes"));
}

void validator::checkException(const config_exception &exception, const std::string &path)
{
    const std::string name = concat("exception ", quoteYaml(exception.id));
    checkName(exception.id, path + ".id", "the id of an exception");
    if (!m_exceptionIds.insert(exception.id).second)
        add(config_fault_kind::duplicate, path + ".id", exception.id, concat(name, " is defined twice"));
    if (isBlank(exception.reason))
        add(config_fault_kind::missing, path + ".reason", "reason",
            concat(name, " has no reason; each exception must carry one"));
    if (isBlank(exception.author))
        add(config_fault_kind::missing, path + ".author", "author", concat(name, " has no author"));
    for (const auto *text : {&exception.reason, &exception.author}) {
        if (invalidUtf8(*text))
            add(config_fault_kind::wrong_type, path, exception.id, concat(name, " is not valid UTF-8"));
    }
    if (exception.key.empty())
        add(config_fault_kind::missing, path + ".key", "key", concat(name, " has no key"));
    else if (findKey(exception.key) == nullptr)
        add(config_fault_kind::unknown_key, path + ".key", exception.key,
            concat("there is no key \"", exception.key, "\""));
    else
        checkValue(exception.key, exception.value, path + ".value");
    checkScope(exception, path);
    checkTimes(exception, path);
}

std::uint8_t scopeParts(const config_scope &scope)
{
    unsigned parts = 0;
    parts |= scope.host ? unsigned(scope_host) : 0U;
    parts |= scope.service ? unsigned(scope_service) : 0U;
    parts |= scope.flowClass ? unsigned(scope_class) : 0U;
    parts |= scope.domain ? unsigned(scope_domain) : 0U;
    return std::uint8_t(parts);
}

void validator::checkScope(const config_exception &exception, const std::string &path)
{
    const std::string name = concat("exception ", quoteYaml(exception.id));
    const std::uint8_t parts = scopeParts(exception.scope);
    const key_spec *spec = findKey(exception.key);
    if (parts == 0)
        add(config_fault_kind::wrong_scope, path + ".scope", "scope",
            concat(name, " has no scope; change the default instead"));
    else if (spec != nullptr && (parts & ~spec->scopes) != 0)
        add(config_fault_kind::wrong_scope, path + ".scope", exception.key,
            concat(name, " would never apply: \"", exception.key, "\" does not depend on ", toString(exception.scope)));
    for (const auto &part : {exception.scope.service, exception.scope.domain, exception.scope.host}) {
        if (part)
            checkName(*part, path + ".scope", "a name in a scope");
    }
    if (const auto &service = exception.scope.service; service && m_services.count(*service) == 0) {
        const std::vector<std::string_view> known(m_services.begin(), m_services.end());
        add(config_fault_kind::unknown_service, path + ".scope.service", *service,
            concat(name, " names service ", quoteYaml(*service), ", which is not defined"),
            nearestName(*service, known));
    }
    const auto [other, isNew] = m_exceptionScopes.emplace(std::pair(exception.key, exception.scope), exception.id);
    if (!isNew)
        add(config_fault_kind::ambiguous, path + ".scope", exception.key,
            concat("exceptions ", quoteYaml(other->second), " and ", quoteYaml(exception.id), " both set \"",
                   exception.key, "\" for ", toString(exception.scope)));
}

void validator::checkTimes(const config_exception &exception, const std::string &path)
{
    const std::string name = concat("exception ", quoteYaml(exception.id));
    if (exception.created <= wall_time())
        add(config_fault_kind::missing, path + ".created", "created", concat(name, " has no creation time"));
    else if (exception.expires && *exception.expires <= exception.created)
        add(config_fault_kind::wrong_order, path + ".expires", "expires",
            concat(name, " expires before it was created"));
}

} // namespace

std::vector<config_fault> validateConfig(const config_revision &revision)
{
    return validator(revision).run();
}

std::vector<config_fault> validateAcceptedHeader(const config_revision &revision)
{
    std::vector<config_fault> faults;
    const auto require = [&](bool holds, const std::string &field, const std::string &message) {
        if (!holds)
            faults.push_back({config_fault_kind::missing, "", 0, field, field, "", message});
    };
    require(revision.number > 0, "revision", "the revision has no number");
    require(revision.changeId.starts_with(concat(revision.number - 1, "-")), "changeId",
            "the change id does not name the revision that the change was made against");
    require(!isBlank(revision.author), "author", "the revision has no author");
    require(!isBlank(revision.reason), "reason", "the revision has no reason");
    require(revision.acceptedAt > wall_time(), "acceptedAt", "the revision has no time of acceptance");
    for (const auto *text : {&revision.changeId, &revision.author, &revision.reason})
        require(!invalidUtf8(*text), "revision", "the revision is not valid UTF-8");
    return faults;
}

const char *toString(config_fault_kind kind)
{
    static constexpr std::array<const char *, kConfigFaultKindCount> kNames{
        "too_large", "malformed_yaml", "unknown_key", "unknown_service", "wrong_type", "out_of_bounds",
        "missing",   "duplicate",      "ambiguous",   "wrong_scope",     "wrong_order"};
    return kNames[std::size_t(kind)];
}

} // namespace citroncrank
