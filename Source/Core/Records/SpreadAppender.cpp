#include "Records/SpreadAppender.h"

#include "Common/Logging.h"

#include <algorithm>
#include <utility>

namespace Records {

spread_appender::spread_appender(record_store& store, timer_service& timers, const spread_options& options)
    : m_timers(timers)
    , m_options(options)
    , m_failoverAfter(options.failoverAfter)
{
    for (int part = 0; part < options.parts; ++part)
        m_parts.push_back({ .appender = std::make_shared<batch_appender>(store, timers,
                                appender_options { .where = { options.topic, part },
                                    .writer = options.writer,
                                    .giveUpAfter = options.settleAfter,
                                    .giveUpRefusedAfter = options.giveUpRefusedAfter }) });
}

void spread_appender::add(std::vector<keyed_record> records, done_handler done)
{
    const auto added = std::make_shared<attempt>(attempt { .records = std::move(records),
        .done = std::move(done),
        .tried = std::vector<bool>(m_parts.size(), false) });
    tryNext(added);
    if (!added->isOver)
        m_timers.after(m_options.settleAfter, [added] { finish(*added, append_outcome::Unknown); });
}

std::optional<std::size_t> spread_appender::nextPart(const attempt& records) const
{
    for (std::size_t step = 0; step < m_parts.size(); ++step) {
        const auto part = (static_cast<std::size_t>(m_options.firstPart) + step) % m_parts.size();
        const auto& state = m_parts[part];
        const bool isResting
            = m_timers.now() < state.restsUntil || state.appender->isStuck(m_failoverAfter);
        if (!records.tried[part] && !isResting)
            return part;
    }
    return std::nullopt;
}

void spread_appender::tryNext(const std::shared_ptr<attempt>& records)
{
    if (const auto part = nextPart(*records))
        send(records, *part);
    else if (records->open == 0)
        finish(*records, records->mayBeStored ? append_outcome::Unknown : append_outcome::Refused);
}

void spread_appender::send(const std::shared_ptr<attempt>& records, std::size_t part)
{
    records->tried[part] = true;
    ++records->open;
    const auto hasSettled = std::make_shared<bool>(false);
    m_parts[part].appender->add(
        records->records, [weak = weak_from_this(), records, part, hasSettled, sentAt = m_timers.now()](append_outcome outcome) {
            *hasSettled = true;
            // The parts' appenders are ours, so holding on to ourselves there would never end.
            if (const auto self = weak.lock())
                self->onSettled(records, part, outcome, sentAt);
        });
    m_timers.after(m_failoverAfter, [self = shared_from_this(), records, part, hasSettled] {
        if (*hasSettled || records->isOver)
            return;
        self->rest(part);
        self->tryNext(records);
    });
}

void spread_appender::learnPace(Common::millis took)
{
    m_failoverAfter = std::clamp(took * 2, m_options.failoverAfter, m_options.settleAfter);
}

void spread_appender::onSettled(
    const std::shared_ptr<attempt>& records, std::size_t part, append_outcome outcome, Common::instant sentAt)
{
    --records->open;
    if (outcome == append_outcome::Stored) {
        learnPace(Common::elapsed(sentAt, m_timers.now()));
        finish(*records, outcome);
        return;
    }
    records->mayBeStored = records->mayBeStored || outcome != append_outcome::Refused;
    rest(part);
    if (!records->isOver)
        tryNext(records);
}

void spread_appender::rest(std::size_t part)
{
    auto& state = m_parts[part];
    const auto now = m_timers.now();
    if (now >= state.restsUntil)
        Common::writeEvent(Common::log_level::Warning, Common::log_category::Store, "part_rests",
            { { "topic", m_options.topic }, { "part", std::to_string(part) } });
    state.restsUntil = now + m_options.restTime;
}

void spread_appender::finish(attempt& records, append_outcome outcome)
{
    if (!std::exchange(records.isOver, true))
        records.done(outcome);
}

}
