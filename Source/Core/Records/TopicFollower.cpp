#include "Records/TopicFollower.h"

#include <algorithm>
#include <utility>

namespace Records {

namespace {

    /// Pause after a read without an answer.
    constexpr Common::millis retryPause { 150 };

}

topic_follower::topic_follower(
    record_store& store, timer_service& timers, const follower_options& options, record_sink& sink)
    : m_store(store)
    , m_timers(timers)
    , m_options(options)
    , m_sink(sink)
{
}

void topic_follower::start() { listFrom({}); }

void topic_follower::listFrom(const std::string& afterKey)
{
    const auto began = m_timers.now();
    m_store.newest(m_options.where, afterKey, m_options.patience,
        [self = shared_from_this(), began](const newest_result& page) { self->onPage(page, began); });
}

void topic_follower::onPage(const newest_result& page, Common::instant began)
{
    if (!page.isRead) {
        m_timers.after(retryPause, [self = shared_from_this()] {
            self->m_listed.clear();
            self->m_listedEnd.reset();
            self->listFrom({});
        });
        return;
    }
    if (!m_listedEnd)
        m_listedEnd = page.end;
    m_listed.insert(m_listed.end(), page.records.begin(), page.records.end());
    if (page.hasMore && !page.records.empty()) {
        listFrom(page.records.back().key);
        return;
    }
    m_sink.restart();
    for (const auto& record : m_listed)
        m_sink.apply(record);
    // Later pages may hold newer records than the first page's end; reading from there repeats them.
    m_next = *m_listedEnd;
    m_listed.clear();
    m_listedEnd.reset();
    m_isFollowing = true;
    confirm(began);
    m_sink.settled();
    readOn();
}

void topic_follower::readOn()
{
    const auto began = m_timers.now();
    m_store.read(m_options.where, m_next, m_options.wait, m_options.wait + m_options.patience,
        [self = shared_from_this(), began](const read_result& result) { self->onRead(result, began, true); });
}

void topic_follower::onRead(const read_result& result, Common::instant began, bool isLoop)
{
    if (result.outcome == read_outcome::Gone && isLoop) {
        m_isFollowing = false;
        listFrom({});
        return;
    }
    if (result.outcome != read_outcome::Read) {
        if (isLoop)
            retryLater();
        return;
    }
    const bool isNews = result.next > m_next;
    applyAll(result);
    if (m_next >= result.end)
        confirm(began);
    if (isNews)
        m_sink.settled();
    if (!isLoop)
        return;
    if (isNews)
        pause();
    else
        readOn();
}

void topic_follower::pause()
{
    m_isPausing = true;
    m_timers.after(m_options.gap, [self = shared_from_this(), number = ++m_pauses] {
        if (self->m_isPausing && self->m_pauses == number) {
            self->m_isPausing = false;
            self->readOn();
        }
    });
}

void topic_follower::setGap(Common::millis gap)
{
    const bool isShorter = gap < m_options.gap;
    m_options.gap = gap;
    if (isShorter && std::exchange(m_isPausing, false))
        readOn();
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
    m_timers.after(retryPause, [self = shared_from_this()] { self->readOn(); });
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
    if (m_isBarrierReadOpen || !m_isFollowing || m_barriers.empty())
        return;
    m_isBarrierReadOpen = true;
    const auto began = m_timers.now();
    m_store.read(m_options.where, m_next, Common::millis(0), m_options.patience,
        [self = shared_from_this(), began](const read_result& result) {
            self->m_isBarrierReadOpen = false;
            if (self->m_isFollowing)
                self->onRead(result, began, false);
            // Those that came while this read was open need one that began after them.
            if (result.outcome == read_outcome::Read)
                self->readForBarriers();
        });
}

}
