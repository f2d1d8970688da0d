#include "Records/BatchAppender.h"

#include <algorithm>
#include <utility>

namespace Records {

namespace {

    constexpr Common::millis retryDelay { 60 };
    /// Longest timeout of a call, as a multiple of `callTimeout`.
    constexpr int maxTimeoutFactor = 4;

    std::size_t bytesOf(const std::vector<keyed_record>& records)
    {
        std::size_t bytes = 0;
        for (const auto& record : records)
            bytes += sizeInAppend(record);
        return bytes;
    }

}

batch_appender::batch_appender(record_store& store, timer_service& timers, const appender_options& options)
    : m_store(store)
    , m_timers(timers)
    , m_options(options)
    , m_timeout(options.callTimeout)
{
}

void batch_appender::add(std::vector<keyed_record> records, done_handler done)
{
    m_waiting.push_back({ .records = std::move(records), .done = std::move(done) });
    sendNext();
}

void batch_appender::stop()
{
    m_isStopped = true;
    // Handlers may own this appender.
    const auto waiting = std::exchange(m_waiting, {});
    const auto batch = std::exchange(m_batch, {});
}

void batch_appender::sendNext()
{
    if (m_isBusy || m_waiting.empty() || m_isStopped)
        return;
    m_isBusy = true;
    m_batchBegan = m_timers.now();
    const auto due = m_lastSend + m_options.appendInterval;
    const auto now = m_timers.now();
    if (due <= now) {
        sendBatch();
        return;
    }
    m_timers.after(Common::elapsed(now, due), [self = shared_from_this()] { self->sendBatch(); });
}

void batch_appender::sendBatch()
{
    if (m_isStopped)
        return;
    std::size_t taken = 0;
    std::size_t bytes = 0;
    m_request = { .partition = m_options.partition,
        .position = writer_position {
            .writer = m_options.writer, .epoch = m_options.epoch, .sequence = m_options.sequence } };
    while (taken < m_waiting.size() && m_request.records.size() < m_options.maxRecords) {
        const auto& next = m_waiting[taken].records;
        bytes += bytesOf(next);
        if (taken > 0 && bytes > m_options.maxBytes)
            break;
        m_request.records.insert(m_request.records.end(), next.begin(), next.end());
        ++taken;
    }
    const auto end = m_waiting.begin() + static_cast<std::ptrdiff_t>(taken);
    m_batch.assign(std::make_move_iterator(m_waiting.begin()), std::make_move_iterator(end));
    m_waiting.erase(m_waiting.begin(), end);
    m_batchBegan = m_timers.now();
    m_mayBeStored = false;
    sendRequest();
}

void batch_appender::sendRequest()
{
    m_lastSend = m_timers.now();
    m_store.append(m_request, m_timeout,
        [self = shared_from_this()](const append_result& result) { self->onResult(result); });
}

void batch_appender::adaptTimeout(const append_result& result)
{
    if (result.outcome == append_outcome::Unknown)
        m_timeout = std::min(m_timeout * 2, m_options.callTimeout * maxTimeoutFactor);
    else if (m_timers.now() - m_lastSend < m_options.callTimeout / 2)
        m_timeout = m_options.callTimeout;
}

bool batch_appender::isOverdue() const
{
    if (!m_options.giveUpAfter)
        return false;
    const auto limit = m_mayBeStored ? *m_options.giveUpAfter : m_options.giveUpRefusedAfter;
    return m_timers.now() - m_batchBegan >= limit;
}

void batch_appender::onResult(const append_result& result)
{
    if (m_isStopped)
        return;
    adaptTimeout(result);
    switch (result.outcome) {
    case append_outcome::Stored:
        ++m_options.sequence;
        if (m_options.onStored)
            m_options.onStored(m_request.records, result.offset);
        finish(append_outcome::Stored);
        return;
    case append_outcome::Fenced:
    case append_outcome::EndMismatch:
        finish(append_outcome::Fenced);
        return;
    case append_outcome::OutOfSequence:
        if (!m_options.giveUpAfter) {
            finish(append_outcome::Fenced);
            return;
        }
        // A higher epoch may begin at any sequence and fences what was sent under the lower one.
        ++m_options.epoch;
        m_options.sequence = 0;
        finish(append_outcome::Unknown);
        return;
    case append_outcome::Unknown:
        m_mayBeStored = true;
        break;
    case append_outcome::Refused:
        break;
    }
    if (isOverdue()) {
        ++m_options.epoch;
        m_options.sequence = 0;
        finish(m_mayBeStored ? append_outcome::Unknown : append_outcome::Refused);
        return;
    }
    m_timers.after(retryDelay, [self = shared_from_this()] {
        if (!self->m_isStopped)
            self->sendRequest();
    });
}

void batch_appender::finish(append_outcome outcome)
{
    const auto batch = std::exchange(m_batch, {});
    m_isBusy = false;
    for (const auto& entry : batch)
        entry.done(outcome);
    sendNext();
}

}
