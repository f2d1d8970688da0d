#include "Records/PartitionReader.h"

#include "Common/Logging.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace Records {

namespace {

    /// Delay after a read without an answer.
    constexpr Common::millis retryDelay { 150 };
    /// Factor by which timeouts and limits of the size of an answer are adapted.
    constexpr int adaptationFactor = 2;
    /// The limit grows when an answer took less than this share of its timeout.
    constexpr int quickAnswerShare = 4;
    /// Limit of the size of an answer that only has to tell the end.
    constexpr std::size_t endReadBytes = 1024;
    /// Number of stored batches that may wait for earlier records to be read.
    constexpr std::size_t maxStoredAhead = 256;

}

partition_reader::partition_reader(
    record_store& store, timer_service& timers, const partition_reader_options& options, record_sink& sink)
    : m_store(store)
    , m_timers(timers)
    , m_options(options)
    , m_sink(sink)
    , m_pageTimeout(options.timeoutMargin)
    , m_maxBytes(options.firstBytes)
{
}

void partition_reader::start() { startOver(); }

void partition_reader::startOver()
{
    m_newest.clear();
    m_newestEnd.reset();
    readPage();
}

void partition_reader::readPage()
{
    const auto began = m_timers.now();
    const auto afterKey = m_newest.empty() ? std::string() : m_newest.back().key;
    const auto number = ++m_pages;
    m_isPageOpen = true;
    m_store.newest(m_options.partition, afterKey, m_pageTimeout,
        [self = shared_from_this(), began, number](const newest_result& page) {
            if (self->m_pages == number)
                self->onPage(page, began);
        });
    if (m_pageTimeout > m_options.timeoutMargin)
        probeStore(number);
}

void partition_reader::probeStore(std::uint64_t page)
{
    m_timers.after(m_options.timeoutMargin, [self = shared_from_this(), page] {
        if (!self->m_isPageOpen || self->m_pages != page)
            return;
        self->m_store.read({ .partition = self->m_options.partition, .maxBytes = self->m_options.minBytes },
            self->m_options.timeoutMargin, [self, page](const read_result& result) {
                self->onProbe(page, result.outcome != read_outcome::Failed);
            });
    });
}

void partition_reader::onProbe(std::uint64_t page, bool isAnswered)
{
    m_wasSilent = m_wasSilent || !isAnswered;
    if (!m_isPageOpen || m_pages != page)
        return;
    if (isAnswered && m_wasSilent && m_mayRequestAgain) {
        m_wasSilent = false;
        m_mayRequestAgain = false;
        readPage();
    } else {
        probeStore(page);
    }
}

void partition_reader::onPage(const newest_result& page, Common::instant began)
{
    m_isPageOpen = false;
    m_refusals = page.isOverLimit ? m_refusals + 1 : 0;
    if (!page.isRead) {
        m_mayRequestAgain = true;
        if (Common::elapsed(began, m_timers.now()) >= m_pageTimeout)
            m_pageTimeout = std::min(m_pageTimeout * adaptationFactor, m_options.maxPageTimeout);
        m_timers.after(pacedRetryDelay(), [self = shared_from_this(), loop = m_loop] {
            if (self->m_loop == loop)
                self->readPage();
        });
        return;
    }
    if (!m_newestEnd) {
        m_newestEnd = page.end;
        m_newestBegan = began;
    }
    m_newest.insert(m_newest.end(), page.records.begin(), page.records.end());
    if (page.hasMore && !page.records.empty()) {
        readPage();
        return;
    }
    m_sink.reset();
    for (const auto& record : m_newest)
        apply(record);
    // Later pages may have records from after the end of the first page; reading from that end repeats them.
    m_next = *m_newestEnd;
    m_newest.clear();
    m_newestEnd.reset();
    m_pageTimeout = m_options.timeoutMargin;
    m_wasSilent = false;
    m_mayRequestAgain = true;
    m_isLoaded = true;
    m_sink.batchApplied();
    // Records that came after the first page may belong to pages that had been read, so only the next read confirms them.
    confirm(m_newestBegan);
    readNext();
    readForBarriers();
}

void partition_reader::readNext()
{
    const auto began = m_timers.now();
    const auto wait = m_isLongPolling ? m_options.wait : Common::millis(0);
    m_store.read(nextRequest(wait), wait + m_options.timeoutMargin,
        [self = shared_from_this(), began, loop = m_loop](const read_result& result) {
            if (self->m_loop == loop)
                self->onRead(result, began, true);
        });
}

void partition_reader::setFollowing(partition_following following)
{
    if (following == m_following)
        return;
    if (following == partition_following::End && !m_barriers.empty())
        return;
    m_following = following;
    m_isLoaded = false;
    if (following == partition_following::End && m_newestEnd)
        m_next = std::max(m_next, *m_newestEnd);
    m_storedAhead.clear();
    m_isDelayed = false;
    m_isPageOpen = false;
    ++m_pages;
    ++m_loop;
    if (following == partition_following::End)
        readEnd();
    else
        startOver();
}

void partition_reader::readEnd()
{
    m_store.read({ .partition = m_options.partition, .from = m_next, .maxBytes = endReadBytes }, m_options.timeoutMargin,
        [self = shared_from_this(), began = m_timers.now(), loop = m_loop](const read_result& result) {
            if (self->m_loop == loop)
                self->onEnd(result, began);
        });
}

void partition_reader::onEnd(const read_result& result, Common::instant began)
{
    if (result.outcome == read_outcome::Gone) {
        setFollowing(partition_following::Records);
        return;
    }
    if (result.outcome == read_outcome::Read) {
        m_next = std::max(m_next, result.end);
        m_confirmedAt = began;
    }
    m_timers.after(pacedInterval(), [self = shared_from_this(), loop = m_loop] {
        if (self->m_loop == loop)
            self->readEnd();
    });
}

void partition_reader::onRead(const read_result& result, Common::instant began, bool isLoop)
{
    if (result.outcome == read_outcome::Gone && isLoop) {
        m_isLoaded = false;
        m_storedAhead.clear();
        startOver();
        return;
    }
    adaptLimit(result, began);
    m_refusals = result.isOverLimit ? m_refusals + 1 : 0;
    if (result.outcome != read_outcome::Read) {
        if (isLoop)
            retryLater();
        return;
    }
    const bool hasNewRecords = result.next > m_next;
    applyAll(result);
    if (hasNewRecords)
        m_sink.batchApplied();
    if (m_next >= result.end)
        confirm(began);
    if (!isLoop)
        return;
    if (m_next < result.end)
        readNext();
    else if (hasNewRecords || !m_isLongPolling)
        delayNextRead();
    else
        readNext();
}

read_request partition_reader::nextRequest(Common::millis wait) const
{
    return { .partition = m_options.partition, .from = m_next, .wait = wait, .maxBytes = m_maxBytes };
}

void partition_reader::adaptLimit(const read_result& result, Common::instant began)
{
    const auto took = Common::elapsed(began, m_timers.now());
    if (result.outcome == read_outcome::Failed && took >= m_options.timeoutMargin) {
        m_maxBytes = std::max(m_maxBytes / adaptationFactor, m_options.minBytes);
        return;
    }
    // An answer without records means that the next record is larger than the limit.
    const bool isTooSmall = result.outcome == read_outcome::Read && result.records.empty() && result.next < result.end;
    const bool wasCut = result.outcome == read_outcome::Read && result.next < result.end;
    const bool wasQuick = took * quickAnswerShare < m_options.timeoutMargin;
    if (isTooSmall || (wasCut && wasQuick))
        m_maxBytes = std::min(m_maxBytes * adaptationFactor, m_options.maxBytes);
}

void partition_reader::delayNextRead()
{
    m_isDelayed = true;
    m_timers.after(pacedInterval(), [self = shared_from_this(), number = ++m_delays] {
        if (self->m_isDelayed && self->m_delays == number) {
            self->m_isDelayed = false;
            self->readNext();
        }
    });
}

void partition_reader::setInterval(Common::millis readInterval)
{
    const bool isShorter = readInterval < m_options.interval;
    m_options.interval = readInterval;
    if (isShorter && std::exchange(m_isDelayed, false))
        readNext();
}

void partition_reader::apply(const keyed_record& record)
{
    // One record that can't be handled must neither end the process nor keep the reader from those that follow.
    try {
        m_sink.apply(record);
    } catch (const std::exception& error) {
        Common::writeEvent(Common::log_level::Error, Common::log_category::Store, "record_failed",
            { { "topic", m_options.partition.topic }, { "key", record.key },
                { "offset", std::to_string(record.offset.value) }, { "reason", error.what() } });
    }
}

void partition_reader::applyAll(const read_result& result)
{
    for (const auto& record : result.records) {
        if (record.offset >= m_next)
            apply(record);
    }
    m_next = std::max(m_next, result.next);
    applyContiguous();
}

void partition_reader::applyStored(std::vector<keyed_record> records, Common::log_offset first)
{
    if (!m_isLoaded)
        return;
    // They are read like others when too many wait for earlier ones.
    if (m_storedAhead.size() >= maxStoredAhead)
        m_storedAhead.clear();
    m_storedAhead.emplace(first, std::move(records));
    applyContiguous();
}

void partition_reader::applyContiguous()
{
    while (!m_storedAhead.empty() && m_storedAhead.begin()->first <= m_next) {
        auto batch = m_storedAhead.extract(m_storedAhead.begin());
        auto offset = batch.key();
        for (auto& record : batch.mapped()) {
            record.offset = offset;
            ++offset.value;
            if (record.offset < m_next)
                continue;
            apply(record);
            m_next = offset;
        }
        m_sink.batchApplied();
    }
}

Common::millis partition_reader::pacedInterval() const
{
    if (!m_options.pacing)
        return m_options.interval;
    const auto factor = m_options.isForElection ? m_options.pacing->patience() : m_options.pacing->stretch();
    return Common::millis(static_cast<std::int64_t>(static_cast<double>(m_options.interval.count()) * factor));
}

Common::millis partition_reader::pacedRetryDelay() const
{
    return m_options.pacing ? m_options.pacing->retryDelay(retryDelay, m_refusals) : retryDelay;
}

void partition_reader::retryLater()
{
    m_timers.after(pacedRetryDelay(), [self = shared_from_this(), loop = m_loop] {
        if (self->m_loop == loop)
            self->readNext();
    });
}

void partition_reader::confirm(Common::instant began)
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

void partition_reader::refresh(Common::millis limit, std::function<void(bool)> action)
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

void partition_reader::readForBarriers()
{
    if (m_isBarrierReadOpen || !m_isLoaded || m_barriers.empty())
        return;
    m_isBarrierReadOpen = true;
    const auto began = m_timers.now();
    m_store.read(nextRequest(Common::millis(0)), m_options.timeoutMargin,
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
