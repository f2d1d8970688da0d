#include "Records/BatchAppender.h"

#include <algorithm>
#include <utility>

namespace Records {

namespace {

    /// Pause before a batch is sent again.
    constexpr Common::millis retryPause { 60 };
    /// The longest time for an answer, in usual ones.
    constexpr int mostPatience = 4;

    std::size_t bytesOf(const std::vector<keyed_record>& records)
    {
        std::size_t bytes = 0;
        for (const auto& record : records)
            bytes += record.key.size() + record.value.size();
        return bytes;
    }

}

batch_appender::batch_appender(record_store& store, timer_service& timers, const appender_options& options)
    : m_store(store)
    , m_timers(timers)
    , m_options(options)
    , m_patience(options.callTimeout)
{
}

void batch_appender::add(std::vector<keyed_record> records, done_handler done)
{
    m_waiting.push_back({ .records = std::move(records), .done = std::move(done) });
    pump();
}

void batch_appender::stop()
{
    m_isStopped = true;
    // Handlers may own us.
    const auto waiting = std::exchange(m_waiting, {});
    const auto batch = std::exchange(m_batch, {});
}

void batch_appender::pump()
{
    if (m_isBusy || m_waiting.empty() || m_isStopped)
        return;
    m_isBusy = true;
    m_batchBegan = m_timers.now();
    const auto due = m_lastSend + m_options.gap;
    const auto now = m_timers.now();
    if (due <= now) {
        send();
        return;
    }
    m_timers.after(Common::elapsed(now, due), [self = shared_from_this()] { self->send(); });
}

void batch_appender::send()
{
    if (m_isStopped)
        return;
    std::size_t taken = 0;
    std::size_t bytes = 0;
    m_request = { .where = m_options.where,
        .position = writer_position {
            .writer = m_options.writer, .epoch = m_options.epoch, .sequence = m_options.sequence } };
    while (taken < m_waiting.size() && m_request.records.size() < m_options.mostRecords) {
        const auto& next = m_waiting[taken].records;
        bytes += bytesOf(next);
        if (taken > 0 && bytes > m_options.mostBytes)
            break;
        m_request.records.insert(m_request.records.end(), next.begin(), next.end());
        ++taken;
    }
    const auto end = m_waiting.begin() + static_cast<std::ptrdiff_t>(taken);
    m_batch.assign(std::make_move_iterator(m_waiting.begin()), std::make_move_iterator(end));
    m_waiting.erase(m_waiting.begin(), end);
    m_batchBegan = m_timers.now();
    m_mayBeStored = false;
    sendAgain();
}

void batch_appender::sendAgain()
{
    m_lastSend = m_timers.now();
    m_store.append(m_request, m_patience,
        [self = shared_from_this()](const append_result& result) { self->onResult(result); });
}

void batch_appender::learnPatience(const append_result& result)
{
    if (result.outcome == append_outcome::Unknown)
        m_patience = std::min(m_patience * 2, m_options.callTimeout * mostPatience);
    else if (m_timers.now() - m_lastSend < m_options.callTimeout / 2)
        m_patience = m_options.callTimeout;
}

bool batch_appender::isOverdue() const
{
    if (!m_options.giveUpAfter)
        return false;
    const auto patience = m_mayBeStored ? *m_options.giveUpAfter : m_options.giveUpRefusedAfter;
    return m_timers.now() - m_batchBegan >= patience;
}

void batch_appender::onResult(const append_result& result)
{
    if (m_isStopped)
        return;
    learnPatience(result);
    switch (result.outcome) {
    case append_outcome::Stored:
        ++m_options.sequence;
        finish(append_outcome::Stored);
        return;
    case append_outcome::Fenced:
    case append_outcome::OtherEnd:
        finish(append_outcome::Fenced);
        return;
    case append_outcome::OutOfSequence:
        if (!m_options.giveUpAfter) {
            finish(append_outcome::Fenced);
            return;
        }
        // A higher epoch may begin at any sequence, and keeps out what was sent under the lower one.
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
    m_timers.after(retryPause, [self = shared_from_this()] {
        if (!self->m_isStopped)
            self->sendAgain();
    });
}

void batch_appender::finish(append_outcome outcome)
{
    const auto batch = std::exchange(m_batch, {});
    m_isBusy = false;
    for (const auto& entry : batch)
        entry.done(outcome);
    pump();
}

}
