#include "citroncrank/config_log.h"

#include "config_text_pvt.h"
#include "seeded_random_pvt.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <algorithm>

namespace citroncrank {

namespace {

constexpr std::size_t kNumberDigits = 10;

/// Compares everything except the time of acceptance, which each repetition of a proposal sets again.
bool isSameChange(config_revision left, const config_revision &right)
{
    left.acceptedAt = right.acceptedAt;
    return left == right;
}

config_fault makeFault(config_fault_kind kind, const std::string &key, const std::string &message)
{
    return {kind, "", 0, key, key, "", message};
}

} // namespace

std::string revisionKey(std::uint64_t number)
{
    return absl::StrFormat("config/revisions/%010d", number);
}

std::optional<std::uint64_t> parseRevisionKey(std::string_view key)
{
    std::uint64_t number = 0;
    if (!key.starts_with(kRevisionPrefix) || key.size() != kRevisionPrefix.size() + kNumberDigits
        || !absl::SimpleAtoi(toAbsl(key.substr(kRevisionPrefix.size())), &number))
        return std::nullopt;
    return revisionKey(number) == key ? std::optional(number) : std::nullopt;
}

std::string makeChangeId(std::uint64_t base, std::uint64_t seed)
{
    return absl::StrFormat("%d-%016x", base, seeded_random(seed).next());
}

std::optional<std::uint64_t> parseChangeIdBase(std::string_view changeId)
{
    const auto dash = changeId.find('-');
    std::uint64_t base = 0;
    if (dash == std::string_view::npos || dash + 1 == changeId.size()
        || !absl::SimpleAtoi(toAbsl(changeId.substr(0, dash)), &base))
        return std::nullopt;
    return base;
}

const char *toString(change_outcome outcome)
{
    static constexpr std::array<const char *, kChangeOutcomeCount> kNames{
        "accepted", "conflict", "unavailable", "unknown_outcome", "rejected", "invalid", "busy"};
    return kNames[std::size_t(outcome)];
}

config_log::config_log(config_log_settings settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
{}

std::vector<config_log_action> config_log::propose(config_revision draft, std::uint64_t base, time_point now)
{
    if (m_phase != phase::idle)
        return {change_result{change_outcome::busy, draft.changeId, 0, std::nullopt, {}}};
    draft.number = base + 1;
    m_draft = std::move(draft);
    m_document = formatConfigDocument(m_draft);
    m_failures = 0;
    m_mayBeWritten = false;
    auto faults = validateConfig(m_draft);
    const auto headerFaults = validateAcceptedHeader(m_draft);
    faults.insert(faults.end(), headerFaults.begin(), headerFaults.end());
    if (m_document.size() > kMaxDocumentBytes)
        faults.push_back(
            makeFault(config_fault_kind::too_large, "",
                      concat("the document has ", m_document.size(), " bytes; the limit is ", kMaxDocumentBytes)));
    if (!faults.empty())
        return finish({change_outcome::invalid, m_draft.changeId, 0, std::nullopt, std::move(faults)});
    m_phase = base == 0 ? phase::create : phase::check_base;
    return request(now);
}

std::vector<config_log_action> config_log::request(time_point now)
{
    m_waiting = false;
    m_timeout = now + m_settings.requestTimeout;
    ++m_request;
    if (m_phase == phase::create)
        return {create_object{m_request, revisionKey(m_draft.number), m_document}};
    return {read_object{m_request, revisionKey(m_draft.number - (m_phase == phase::check_base ? 1 : 0))}};
}

std::vector<config_log_action> config_log::retry(time_point now)
{
    if (++m_failures >= m_settings.maxAttempts) {
        const auto outcome = m_mayBeWritten ? change_outcome::unknown_outcome : change_outcome::unavailable;
        return finish({outcome, m_draft.changeId, m_draft.number, std::nullopt, {}});
    }
    seeded_random random(m_random);
    m_random = random.next();
    const int doublings = std::min(m_failures - 1, 16);
    m_timeout =
        now + random.jitter(std::min(m_settings.initialRetryDelay * (1 << doublings), m_settings.maxRetryDelay));
    m_waiting = true;
    return {};
}

std::vector<config_log_action> config_log::finish(change_result result)
{
    m_phase = phase::idle;
    m_waiting = false;
    m_timeout.reset();
    return {std::move(result)};
}

std::vector<config_log_action> config_log::advance(time_point now)
{
    if (!m_timeout || now < *m_timeout)
        return {};
    return m_waiting ? request(now) : handle(store_failed{m_request, store_failure::unknown_outcome}, now);
}

std::vector<config_log_action> config_log::handle(const config_log_event &event, time_point now)
{
    const auto requestNumber = [](const auto &answer) { return answer.request; };
    if (m_phase == phase::idle || m_waiting || std::visit(requestNumber, event) != m_request)
        return {};
    if (std::holds_alternative<object_created>(event))
        return finish({change_outcome::accepted, m_draft.changeId, m_draft.number, std::nullopt, {}});
    if (std::holds_alternative<object_exists>(event)) {
        // The object may be this change, from an attempt whose response was lost or from an earlier proposal.
        m_mayBeWritten = true;
        m_phase = phase::read_back;
        return request(now);
    }
    if (const auto *read = std::get_if<object_read>(&event))
        return handleRead(*read, now);
    const auto reason = std::get<store_failed>(event).reason;
    if (reason == store_failure::rejected && !m_mayBeWritten)
        return finish({change_outcome::rejected, m_draft.changeId, 0, std::nullopt, {}});
    if (reason == store_failure::unknown_outcome && m_phase == phase::create) {
        m_mayBeWritten = true;
        m_phase = phase::read_back;
    }
    return retry(now);
}

std::vector<config_log_action> config_log::handleRead(const object_read &event, time_point now)
{
    if (m_phase == phase::check_base) {
        if (!event.value)
            return finish({change_outcome::invalid,
                           m_draft.changeId,
                           0,
                           std::nullopt,
                           {makeFault(config_fault_kind::missing, "base", "the base revision does not exist")}});
        m_phase = phase::create;
        return request(now);
    }
    if (event.value)
        return evaluateStored(*event.value);
    // Not written yet, but the create without a response may still take effect. The outcome stays unknown until a
    // create is answered.
    m_phase = phase::create;
    return retry(now);
}

std::vector<config_log_action> config_log::evaluateStored(const std::string &stored)
{
    auto parsed = parseConfigDocument(stored, revisionKey(m_draft.number));
    if (parsed.revision && isSameChange(m_draft, *parsed.revision))
        return finish({change_outcome::accepted, m_draft.changeId, m_draft.number, std::nullopt, {}});
    return finish({change_outcome::conflict, m_draft.changeId, m_draft.number, std::move(parsed.revision),
                   std::move(parsed.faults)});
}

revision_summary summarizeRevision(const config_revision &revision)
{
    return {revision.number, revision.changeId, revision.author, revision.reason, revision.acceptedAt};
}

std::vector<std::uint64_t> revisionNumbers(const std::vector<std::string> &keys)
{
    std::vector<std::uint64_t> numbers;
    for (const auto &key : keys) {
        if (const auto number = parseRevisionKey(key))
            numbers.push_back(*number);
    }
    std::sort(numbers.begin(), numbers.end());
    return numbers;
}

std::optional<in_force_answer> inForceAt(const std::vector<revision_summary> &history, wall_time when)
{
    std::optional<in_force_answer> answer;
    for (const auto &revision : history) {
        if (revision.acceptedAt <= when && (!answer || answer->number < revision.number))
            answer = in_force_answer{revision.number, true};
    }
    for (const auto &revision : history) {
        if (answer && revision.number < answer->number && revision.acceptedAt > when)
            answer->certain = false;
    }
    return answer;
}

} // namespace citroncrank
