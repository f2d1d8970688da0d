#include "Records/TopicFollower.h"

#include <algorithm>
#include <utility>

namespace Records {

namespace {

    constexpr Common::millis retryDelay { 150 };

}

topic_follower::topic_follower(
    record_store& store, timer_service& timers, const follower_options& options, record_sink& sink)
    : m_store(store)
    , m_timers(timers)
    , m_options(options)
    , m_sink(sink)
{
}

void topic_follower::start() { readNewest({}); }

void topic_follower::readNewest(const std::string& afterKey)
{
    const auto began = m_timers.now();
    m_store.newest(m_options.where, afterKey, m_options.timeoutMargin,
        [self = shared_from_this(), began](const newest_result& page) { self->onPage(page, began); });
}

void topic_follower::onPage(const newest_result& page, Common::instant began)
{
    if (!page.isRead) {
        m_timers.after(retryDelay, [self = shared_from_this()] {
            self->m_newest.clear();
            self->m_newestEnd.reset();
            self->readNewest({});
        });
        return;
    }
    if (!m_newestEnd)
        m_newestEnd = page.end;
    m_newest.insert(m_newest.end(), page.records.begin(), page.records.end());
    if (page.hasMore && !page.records.empty()) {
        readNewest(page.records.back().key);
        return;
    }
    m_sink.restart();
    for (const auto& record : m_newest)
        m_sink.apply(record);
    // Later pages may have records from after the end of the first page; reading from that end repeats them.
    m_next = *m_newestEnd;
    m_newest.clear();
    m_newestEnd.reset();
    m_isLoaded = true;
    confirm(began);
    m_sink.settled();
    readNext();
}

void topic_follower::readNext()
{
    const auto began = m_timers.now();
    m_store.read(m_options.where, m_next, m_options.wait, m_options.wait + m_options.timeoutMargin,
        [self = shared_from_this(), began](const read_result& result) { self->onRead(result, began, true); });
}

void topic_follower::onRead(const read_result& result, Common::instant began, bool isLoop)
{
    if (result.outcome == read_outcome::Gone && isLoop) {
        m_isLoaded = false;
        readNewest({});
        return;
    }
    if (result.outcome != read_outcome::Read) {
        if (isLoop)
            retryLater();
        return;
    }
    const bool hasNewRecords = result.next > m_next;
    applyAll(result);
    if (m_next >= result.end)
        confirm(began);
    if (hasNewRecords)
        m_sink.settled();
    if (!isLoop)
        return;
    if (hasNewRecords)
        delayNextRead();
    else
        readNext();
}

void topic_follower::delayNextRead()
{
    m_isDelayed = true;
    m_timers.after(m_options.gap, [self = shared_from_this(), number = ++m_delays] {
        if (self->m_isDelayed && self->m_delays == number) {
            self->m_isDelayed = false;
            self->readNext();
        }
    });
}

void topic_follower::setGap(Common::millis readInterval)
{
    const bool isShorter = readInterval < m_options.gap;
    m_options.gap = readInterval;
    if (isShorter && std::exchange(m_isDelayed, false))
        readNext();
}

void topic_follower::applyAll(const read_result& result)
{
    for (const auto& record : result.records) {
        if (record.offset >= m_next)
            m_sink.apply(record);
    }
    m_next = std::max(m_next, result.next);
}

void topic_follower::retryLater()
{
    m_timers.after(retryDelay, [self = shared_from_this()] { self->readNext(); });
}

void topic_follower::confirm(Common::instant began)
{
    if (!m_confirmedAt || *m_confirmedAt < began)
        m_confirmedAt = began;
    std::vector<std::shared_ptr<barrier>> later;
    std::vector<std::shared_ptr<barrier>> reached;
    for (const auto& entry : m_barriers)
        (entry->since <= began ? reached : later).push_back(entry);
    m_barriers = std::move(later);
    for (const auto& entry : reached) {
        if (std::exchange(entry->isOver, true))
            continue;
        entry->action(true);
    }
}

void topic_follower::refresh(Common::millis limit, std::function<void(bool)> action)
{
    const auto entry = std::make_shared<barrier>();
    entry->since = m_timers.now();
    entry->action = std::move(action);
    m_barriers.push_back(entry);
    m_timers.after(limit, [self = shared_from_this(), entry] {
        std::erase(self->m_barriers, entry);
        if (!std::exchange(entry->isOver, true))
            entry->action(false);
    });
    readForBarriers();
}

void topic_follower::readForBarriers()
{
    if (m_isBarrierReadOpen || !m_isLoaded || m_barriers.empty())
        return;
    m_isBarrierReadOpen = true;
    const auto began = m_timers.now();
    m_store.read(m_options.where, m_next, Common::millis(0), m_options.timeoutMargin,
        [self = shared_from_this(), began](const read_result& result) {
            self->m_isBarrierReadOpen = false;
            if (self->m_isLoaded)
                self->onRead(result, began, false);
            // Barriers added during this read need one that begins after them.
            if (result.outcome == read_outcome::Read)
                self->readForBarriers();
        });
}

}
