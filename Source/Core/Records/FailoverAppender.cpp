#include "Records/FailoverAppender.h"

#include "Common/Logging.h"

#include <algorithm>
#include <utility>

namespace Records {

failover_appender::failover_appender(record_store& store, timer_service& timers, const failover_options& options)
    : m_timers(timers)
    , m_options(options)
    , m_failoverAfter(options.failoverAfter)
{
    for (int partitionIndex = 0; partitionIndex < options.partitionCount; ++partitionIndex)
        m_partitions.push_back({ .appender = std::make_shared<batch_appender>(store, timers,
                                     appender_options { .partition = { options.topic, partitionIndex },
                                         .writer = options.writer,
                                         .giveUpAfter = options.resultTimeout,
                                         .giveUpRefusedAfter = options.giveUpRefusedAfter }) });
}

void failover_appender::add(std::vector<keyed_record> records, done_handler done)
{
    const auto added = std::make_shared<attempt>(attempt { .records = std::move(records),
        .done = std::move(done),
        .tried = std::vector<bool>(m_partitions.size(), false) });
    tryNext(added);
    if (!added->isOver)
        m_timers.after(m_options.resultTimeout, [added] { finish(*added, append_outcome::Unknown); });
}

std::optional<std::size_t> failover_appender::nextPartition(const attempt& records) const
{
    for (std::size_t step = 0; step < m_partitions.size(); ++step) {
        const auto partitionIndex = (static_cast<std::size_t>(m_options.firstPartition) + step) % m_partitions.size();
        const auto& state = m_partitions[partitionIndex];
        const bool isBackingOff
            = m_timers.now() < state.backoffUntil || state.appender->isStuck(m_failoverAfter);
        if (!records.tried[partitionIndex] && !isBackingOff)
            return partitionIndex;
    }
    return std::nullopt;
}

void failover_appender::tryNext(const std::shared_ptr<attempt>& records)
{
    if (const auto partitionIndex = nextPartition(*records))
        send(records, *partitionIndex);
    else if (records->pending == 0)
        finish(*records, records->mayBeStored ? append_outcome::Unknown : append_outcome::Refused);
}

void failover_appender::send(const std::shared_ptr<attempt>& records, std::size_t partitionIndex)
{
    records->tried[partitionIndex] = true;
    ++records->pending;
    const auto hasResult = std::make_shared<bool>(false);
    m_partitions[partitionIndex].appender->add(records->records,
        [weak = weak_from_this(), records, partitionIndex, hasResult, sentAt = m_timers.now()](append_outcome outcome) {
            *hasResult = true;
            // The partitions' appenders belong to this object, so a strong reference in their handlers would be a
            // cycle.
            if (const auto self = weak.lock())
                self->onResult(records, partitionIndex, outcome, sentAt);
        });
    m_timers.after(m_failoverAfter, [self = shared_from_this(), records, partitionIndex, hasResult] {
        if (*hasResult || records->isOver)
            return;
        self->backOff(partitionIndex);
        self->tryNext(records);
    });
}

void failover_appender::adaptFailover(Common::millis took)
{
    m_failoverAfter = std::clamp(took * 2, m_options.failoverAfter, m_options.resultTimeout);
}

void failover_appender::onResult(
    const std::shared_ptr<attempt>& records, std::size_t partitionIndex, append_outcome outcome, Common::instant sentAt)
{
    --records->pending;
    if (outcome == append_outcome::Stored) {
        adaptFailover(Common::elapsed(sentAt, m_timers.now()));
        finish(*records, outcome);
        return;
    }
    records->mayBeStored = records->mayBeStored || outcome != append_outcome::Refused;
    backOff(partitionIndex);
    if (!records->isOver)
        tryNext(records);
}

void failover_appender::backOff(std::size_t partitionIndex)
{
    auto& state = m_partitions[partitionIndex];
    const auto now = m_timers.now();
    if (now >= state.backoffUntil)
        Common::writeEvent(Common::log_level::Warning, Common::log_category::Store, "partition_backoff",
            { { "topic", m_options.topic }, { "part", std::to_string(partitionIndex) } });
    state.backoffUntil = now + m_options.backoffTime;
}

void failover_appender::finish(attempt& records, append_outcome outcome)
{
    if (!std::exchange(records.isOver, true))
        records.done(outcome);
}

}
