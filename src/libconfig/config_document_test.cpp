#include "citroncrank/config_document.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace citroncrank {
namespace {

wall_time at(std::int64_t seconds)
{
    return wall_time(std::chrono::seconds(seconds));
}

config_exception exceptionFor(const std::string &id, config_scope scope, std::int64_t value)
{
    return {id, std::move(scope), "flow.window", 65'536 + value, "measured", "Sigrún", at(1000), std::nullopt};
}

config_revision sample()
{
    config_revision revision{
        .number = 3, .changeId = "2-a", .author = "Sigrún", .reason = "winter plan", .acceptedAt = at(5000)};
    revision.defaults["agent.offer-timeout"] = duration(std::chrono::seconds(2));
    revision.services.push_back({"receipts", {{{0x0A000001, 443}, flow_class::bulk}}});
    revision.exceptions.push_back(exceptionFor("night-limit", {.service = "receipts"}, 10));
    return revision;
}

std::string arbitraryText()
{
    const auto piece =
        rc::gen::element<std::string>("a", "Þ", "\n", "\"", "\\", ": ", " #", "\x04", "~", "0", "€", "\r");
    std::string text = "x";
    for (const auto &part : *rc::gen::container<std::vector<std::string>>(piece))
        text += part;
    return text.substr(0, text.size() < 100 ? text.size() : 1);
}

config_value arbitraryValue(const key_spec &spec)
{
    if (spec.type == value_type::ratio)
        return double(*rc::gen::inRange(0, 1'000'000)) / 1e6;
    if (spec.type != value_type::time_span)
        return *rc::gen::inRange(std::get<std::int64_t>(spec.lowest), std::get<std::int64_t>(spec.highest) + 1);
    return duration(
        *rc::gen::inRange(std::get<duration>(spec.lowest).count(), std::get<duration>(spec.highest).count() + 1));
}

service_address arbitraryAddress(std::uint16_t port)
{
    service_address listener{{*rc::gen::arbitrary<std::uint32_t>(), port},
                             flow_class(*rc::gen::inRange(0, 3)),
                             flow_kind(*rc::gen::inRange(0, 2)),
                             duration(*rc::gen::inRange(0, 100'000'000))};
    if (*rc::gen::arbitrary<bool>())
        listener.notRunReply = *rc::gen::arbitrary<std::string>();
    return listener;
}

config_revision arbitraryRevision()
{
    config_revision revision = sample();
    revision.reason = arbitraryText();
    revision.author = arbitraryText();
    for (const auto &spec : configKeys()) {
        if (*rc::gen::arbitrary<bool>())
            revision.defaults[std::string(spec.name)] = arbitraryValue(spec);
    }
    for (int i = *rc::gen::inRange(0, 4); i > 0; --i)
        revision.services.push_back({arbitraryText() + std::to_string(i), {arbitraryAddress(std::uint16_t(i))}});
    for (int i = *rc::gen::inRange(0, 5); i > 0; --i) {
        const auto &spec = *rc::gen::elementOf(configKeys());
        config_exception exception{std::to_string(i), {.host = std::to_string(i)}, std::string(spec.name)};
        exception.value = arbitraryValue(spec);
        exception.reason = exception.author = arbitraryText();
        exception.created = wall_time(duration(*rc::gen::inRange<std::int64_t>(1, 4'000'000'000'000'000)));
        if (*rc::gen::arbitrary<bool>())
            exception.expires = exception.created + duration(7);
        revision.exceptions.push_back(exception);
    }
    return revision;
}

std::vector<std::string> parseFaults(const std::string &text)
{
    std::vector<std::string> lines;
    for (const auto &fault : parseConfigDocument(text, "config.yaml").faults)
        lines.push_back(toString(fault));
    return lines;
}

// Guards against a value that is lost or altered between an operator's change and the nodes.
RC_GTEST_PROP(ConfigDocument, FormatAndParseRoundTrip, ())
{
    const config_revision revision = arbitraryRevision();
    const auto parsed = parseConfigDocument(formatConfigDocument(revision), "r.yaml");
    RC_ASSERT(parsed.faults.empty());
    RC_ASSERT(*parsed.revision == revision);
}

// Guards against a crash on corrupted text, and against an invalid revision being accepted from it.
RC_GTEST_PROP(ConfigDocument, DamagedTextGivesFaultsOrAValidRevision, ())
{
    std::string text = formatConfigDocument(arbitraryRevision());
    for (int i = *rc::gen::inRange(1, 6); i > 0; --i)
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    const auto parsed = parseConfigDocument(text, "r.yaml");
    RC_ASSERT(parsed.revision.has_value() == parsed.faults.empty());
    if (parsed.revision)
        RC_ASSERT(validateConfig(*parsed.revision).empty());
}

// Guards against a parser that stops at the first fault or reports the wrong line.
TEST(ConfigDocument, AllFaultsAreReportedWithLineAndNearestKey)
{
    const std::string text = R"(defaults:
  agent.offer-timout: 2s
  flow.window: 12
  flow.open-fan-out: many
services:
  - name: receipts
    addresses:
      - address: 10.0.0.1:443
        klass: bulk
exceptions:
  - id: night-limit
    scope: {service: receipts}
    key: admission.queue-limit
    value: 10
    author: Amina
    created: 2026-12-04T09:30:00Z
  - id: b
    scope: {service: recipts}
    key: routing.load-hint-age
    value: 2s
    reason: "  "
    author: Amina
    created: 2026-12-04T09:30:00Z
    expires: 2026-12-03T09:30:00Z
)";
    EXPECT_EQ(
        parseFaults(text),
        (std::vector<std::string>{
            R"(config.yaml:2: there is no key "agent.offer-timout"; did you mean "agent.offer-timeout"?)",
            R"(config.yaml:3: the value 12 of "flow.window" is outside 65536 to 16777216)",
            R"(config.yaml:4: the value of "flow.open-fan-out" is not a count such as 5: "many")",
            R"(config.yaml:9: an address has no field "klass"; did you mean "class"?)",
            R"(config.yaml:11: exception "night-limit" has no reason; each exception must carry one)",
            R"(config.yaml:18: exception "b" would never apply: "routing.load-hint-age" does not depend on service=recipts)",
            R"(config.yaml:18: exception "b" names service "recipts", which is not defined; did you mean "receipts"?)",
            R"(config.yaml:21: exception "b" has no reason; each exception must carry one)",
            R"(config.yaml:24: exception "b" expires before it was created)",
        }));
}

// Guards against a duplicate definition that silently replaces the first one.
TEST(ConfigDocument, DuplicatesAndAmbiguityAreRefused)
{
    EXPECT_EQ(parseFaults("defaults:\n  retry.burst: 1\n  retry.burst: 2\n"),
              std::vector<std::string>{R"(config.yaml:3: default "retry.burst" occurs twice)"});
    config_revision revision = sample();
    revision.exceptions.push_back(exceptionFor("other", {.service = "receipts"}, 20));
    revision.services.push_back({"returns-desk", revision.services[0].addresses});
    const auto faults = validateConfig(revision);
    ASSERT_EQ(faults.size(), 2U);
    EXPECT_EQ(faults[0].kind, config_fault_kind::duplicate);
    EXPECT_EQ(faults[1].kind, config_fault_kind::ambiguous);
}

// Guards against an unbounded or undecodable document reaching the YAML parser.
TEST(ConfigDocument, OversizedAndNonTextDocumentsAreRefused)
{
    EXPECT_EQ(parseConfigDocument(std::string(kMaxDocumentBytes + 1, ' '), "").faults.at(0).kind,
              config_fault_kind::too_large);
    EXPECT_EQ(parseFaults("a: 1\n\xC3("), std::vector<std::string>{"config.yaml:2: the document is not valid UTF-8"});
    EXPECT_EQ(parseConfigDocument("{", "").faults.at(0).kind, config_fault_kind::malformed_yaml);
    EXPECT_EQ(parseConfigDocument(std::string(500'000, '['), "").faults.at(0).kind, config_fault_kind::malformed_yaml);
    EXPECT_EQ(parseConfigDocument("- 1", "").faults.at(0).kind, config_fault_kind::wrong_type);
}

// Guards against an exception that outlives its expiry or loses to a less specific one.
TEST(ConfigDocument, MostSpecificUnexpiredExceptionWins)
{
    config_revision revision = sample();
    revision.exceptions.push_back(exceptionFor("class", {.flowClass = flow_class::bulk, .domain = "rvk-a"}, 11));
    revision.exceptions.push_back(exceptionFor("host", {.host = "h1"}, 12));
    revision.exceptions.back().expires = at(2000);
    const config_scope place{"receipts", flow_class::bulk, "rvk-a", "h1"};
    const auto valueAt = [&](const config_scope &where, int seconds) {
        return effectiveValue(revision, "flow.window", where, at(seconds))->sourceException->id;
    };
    EXPECT_EQ(valueAt(place, 1999), "host");
    EXPECT_EQ(valueAt(place, 2000), "night-limit");
    EXPECT_EQ(valueAt({"other", flow_class::bulk, "rvk-a", "h2"}, 1), "class");
    EXPECT_EQ(effectiveValue(revision, "agent.offer-timeout", place, at(1))->source, value_source::fleet_default);
    EXPECT_EQ(effectiveValue(revision, "retry.burst", place, at(1))->source, value_source::key_table);
    EXPECT_FALSE(effectiveValue(revision, "no.such", place, at(1)));
}

// Guards against the result depending on the order in which operators listed the exceptions.
RC_GTEST_PROP(ConfigDocument, PrecedenceDoesNotDependOnOrder, ())
{
    config_revision revision = sample();
    revision.exceptions.clear();
    for (int parts = 1; parts < 16; ++parts) {
        config_scope scope;
        if ((parts & scope_host) != 0)
            scope.host = "h";
        if ((parts & scope_service) != 0)
            scope.service = "receipts";
        if ((parts & scope_class) != 0)
            scope.flowClass = flow_class::bulk;
        if ((parts & scope_domain) != 0)
            scope.domain = "d";
        if (*rc::gen::arbitrary<bool>())
            revision.exceptions.push_back(exceptionFor(std::to_string(parts), scope, parts));
    }
    RC_PRE(!revision.exceptions.empty());
    RC_ASSERT(validateConfig(revision).empty());
    const std::string expected = revision.exceptions.back().id;
    const auto shuffled = *rc::gen::inRange<std::size_t>(0, revision.exceptions.size());
    std::swap(revision.exceptions[shuffled], revision.exceptions.back());
    const config_scope place{"receipts", flow_class::bulk, "d", "h"};
    RC_ASSERT(effectiveValue(revision, "flow.window", place, at(1))->sourceException->id == expected);
}

// Guards against a change that is missing from the differences an operator reviews before accepting it.
TEST(ConfigDocument, DiffNamesEveryChange)
{
    config_revision to = sample();
    to.defaults["agent.offer-timeout"] = duration(std::chrono::milliseconds(1500));
    to.services[0].addresses[0].deadline = std::chrono::seconds(3);
    to.exceptions.clear();
    const auto changes = diffConfig(sample(), to);
    ASSERT_EQ(changes.size(), 3U);
    EXPECT_EQ(formatChanges({changes[0]}), "changed default \"agent.offer-timeout\": 2s -> 1500ms\n");
    EXPECT_EQ(changes[1].subject, config_subject::service);
    EXPECT_EQ(changes[2].kind, config_change_kind::removed);
    EXPECT_TRUE(diffConfig(to, to).empty());
}

// Guards against a key whose default is outside its own bounds, or that is missing from the generated reference.
TEST(ConfigDocument, KeyTableIsConsistent)
{
    for (const auto &spec : configKeys()) {
        EXPECT_LE(spec.lowest, spec.fallback) << spec.name;
        EXPECT_LE(spec.fallback, spec.highest) << spec.name;
        EXPECT_NE(describeKeys().find(std::string(spec.name)), std::string::npos);
    }
}

} // namespace
} // namespace citroncrank
