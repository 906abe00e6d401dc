#include "citroncrank/store_worker.h"

#include "watch_cursor_pvt.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <utility>

namespace citroncrank {

namespace {

using std::chrono::milliseconds;

constexpr duration kMaxRetryDelay = std::chrono::seconds(1);
constexpr std::uint32_t kMaxDoublings = 4;

} // namespace

store_worker::store_worker(std::string name, const store_access &access, milliseconds callDeadline)
    : m_name(std::move(name))
    , m_log(access.log)
    , m_countMalformed(access.countMalformed)
    , m_eras(access.eras)
    , m_store({access.address, callDeadline})
    , m_cursor(std::make_unique<watch_cursor>())
    , m_random(std::random_device{}())
{
    m_store.setMalformedObserver([this](platform::malformed_document document, const platform::document_fault &fault) {
        const bool isEntry = document == platform::malformed_document::entry;
        log(absl::StrCat(isEntry ? "entry of the store" : "answer of the store",
                         " cannot be read, kind=", platform::toString(fault.kind), " reason=", fault.what));
        countMalformed(isEntry ? "store_entry" : "store_answer");
    });
    m_eras->subscribe(this, [this] { onLaterEra(); });
}

// A watch may have begun after the store's return, at a number of an earlier era that the store has passed again. It would
// wait until its time-out.
void store_worker::onLaterEra()
{
    if (m_isWatchInProgress)
        m_store.abortCall();
    wake();
}

std::string store_worker::eraText() const
{
    return absl::StrCat("era=", m_store.era());
}

void store_worker::recordEra()
{
    const store_era before = std::exchange(m_era, m_store.era());
    if (before == m_era)
        return;
    if (before != 0)
        log(absl::StrCat("store came back from an older copy, ", eraText(), " before=", before));
    m_eras->observe(m_era);
}

duration store_worker::recordCall(bool succeeded, platform_failure reason)
{
    recordEra();
    if (succeeded) {
        if (std::exchange(m_isLost, false))
            log(absl::StrCat("store is back, ", eraText()));
        m_failuresInRow = 0;
        return duration(0);
    }
    if (!std::exchange(m_isLost, true))
        log(absl::StrCat("store is lost, reason=", toString(reason)));
    const duration delay =
        std::min<duration>(kFirstStoreRetryDelay * (1U << std::min(m_failuresInRow, kMaxDoublings)), kMaxRetryDelay);
    ++m_failuresInRow;
    // Half of the delay is random, so that nodes that lost the store at the same time do not retry at the same time.
    return delay / 2 + duration(std::int64_t(m_random() % std::uint64_t(delay.count())) / 2);
}

store_worker::~store_worker()
{
    m_eras->unsubscribe(this);
}

// An era that another node made up, or that the store does not confirm, is handled only once, so that it does not cause
// a call in each step.
bool store_worker::takeLaterEra()
{
    const store_era latest = m_eras->latest();
    if (m_era == 0 || latest <= std::max(m_era, m_handledEra))
        return false;
    m_handledEra = latest;
    return true;
}

std::optional<watch_result> store_worker::awaitChanges(const char *prefix, milliseconds wait, duration *pause)
{
    platform_failure reason = platform_failure::unavailable;
    // A store that was lost may have come back from an older copy, and a watch from a number of an earlier era waits in
    // vain. Its answer tells the era, so the first one does not wait.
    m_isWatchInProgress = true;
    auto result = m_store.watch({prefix, *m_cursor->from(), m_isLost ? milliseconds(0) : wait}, &reason);
    m_isWatchInProgress = false;
    if (!result && takeLaterEra()) {
        log("store came back from an older copy, as others know, listing objects again");
        m_cursor->invalidate();
        *pause = duration(0);
        return std::nullopt;
    }
    if (!result && reason == platform_failure::history_gone) {
        recordEra();
        log(absl::StrCat("history is gone, listing objects again, from=", toString(*m_cursor->from()), " ", eraText()));
        m_cursor->invalidate();
        *pause = duration(0);
        return std::nullopt;
    }
    *pause = recordCall(result.has_value(), reason);
    if (result)
        m_cursor->recordWatch(*result);
    return result;
}

} // namespace citroncrank
