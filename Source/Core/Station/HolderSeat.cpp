#include "Station/HolderSeat.h"

#include "Common/Logging.h"

#include <algorithm>

namespace Station {

namespace {

    constexpr Common::millis joinInterval { 250 };
    constexpr Common::millis joinTimeout { 500 };
    /// A join that takes longer puts the store's health in doubt.
    constexpr Common::millis slowJoin { 200 };
    constexpr Common::millis claimTimeout { 1200 };
    constexpr Common::millis claimRetry { 80 };
    /// Part of the time to live for which a join confirms the seat; the rest covers clocks that differ.
    constexpr double confirmedShare = 0.85;
    /// Partition of the group's topic that stands for the holder's seat.
    constexpr int seatPart = 0;

}

holder_seat::holder_seat(Records::record_store& store, Records::timer_service& timers, const seat_options& options,
    Records::topic_follower& progress, const progress_feed& feed)
    : m_store(store)
    , m_timers(timers)
    , m_options(options)
    , m_progress(progress)
    , m_feed(feed)
{
}

void holder_seat::start(std::function<void(won_seat)> onWon, std::function<void()> onDealtAway)
{
    m_onWon = std::move(onWon);
    m_onDealtAway = std::move(onDealtAway);
    join();
}

Dispatch::seat_standing holder_seat::standing() const
{
    const bool isLate = m_joinBegan && m_timers.now() - *m_joinBegan > slowJoin;
    return { .isHeld = m_isDealtHere, .confirmedUntil = m_confirmedUntil, .isInDoubt = m_hasFailed || isLate };
}

void holder_seat::vacate() { m_state = seat_state::Idle; }

void holder_seat::leave(std::function<void()> onDone)
{
    m_hasLeft = true;
    m_isDealtHere = false;
    m_store.leave({ .group = m_options.group, .member = m_options.member }, joinTimeout, std::move(onDone));
}

void holder_seat::join()
{
    if (m_hasLeft)
        return;
    const auto began = m_timers.now();
    m_joinBegan = began;
    m_store.join({ .group = m_options.group,
                     .member = m_options.member,
                     .topic = m_options.progressTopic.topic,
                     .timeToLive = m_options.timeToLive,
                     .generation = m_generation },
        joinTimeout, [self = shared_from_this(), began](const std::optional<Records::group_share>& share) {
            self->m_joinBegan.reset();
            self->m_hasFailed = !share;
            self->onShare(share, began);
            self->m_timers.after(joinInterval, [self] { self->join(); });
        });
}

void holder_seat::onShare(const std::optional<Records::group_share>& share, Common::instant began)
{
    if (!share || m_hasLeft)
        return;
    // While the seat wasn't confirmed it may have been dealt to another and back.
    const bool wasElsewhere = m_state == seat_state::Holding && share->generation != m_generation
        && began >= m_confirmedUntil;
    m_generation = share->generation;
    if (wasElsewhere) {
        m_state = seat_state::Idle;
        m_onDealtAway();
    }
    const bool wasDealtHere = m_isDealtHere;
    m_isDealtHere = std::find(share->parts.begin(), share->parts.end(), seatPart) != share->parts.end();
    if (m_isDealtHere) {
        const auto time = std::chrono::duration<double, std::milli>(
            static_cast<double>(m_options.timeToLive.count()) * confirmedShare);
        m_confirmedUntil = began + std::chrono::duration_cast<Common::boot_clock::duration>(time);
        if (m_state == seat_state::Idle)
            claim();
        return;
    }
    if (!wasDealtHere || m_state == seat_state::Idle)
        return;
    Common::writeEvent(Common::log_level::Info, Common::log_category::Roster, "seat_dealt_away",
        { { "generation", std::to_string(m_generation) } });
    m_state = seat_state::Idle;
    m_onDealtAway();
}

void holder_seat::claim()
{
    m_state = seat_state::Claiming;
    // The claim is taken only where the partition ends as we have read it, so nothing of an earlier holder is missed.
    m_progress.refresh(claimTimeout, [self = shared_from_this()](bool isRead) {
        if (self->m_state != seat_state::Claiming)
            return;
        if (isRead && self->isConfirmed())
            self->sendClaim();
        else
            self->m_state = seat_state::Idle;
    });
}

void holder_seat::sendClaim()
{
    const auto at = m_progress.next();
    const auto number = m_feed.claim().number + 1;
    const Records::append_request request { .where = m_options.progressTopic,
        .records = { claimRecord({ .member = m_options.member, .number = number }) },
        .endsAt = at,
        .position = Records::writer_position { .writer = m_options.writer, .epoch = at.value + 1, .sequence = 0 } };
    m_store.append(request, claimTimeout, [self = shared_from_this(), at, number](const auto& result) {
        self->onClaim(result, at, number);
    });
}

void holder_seat::onClaim(const Records::append_result& result, Common::log_offset at, std::int64_t number)
{
    if (m_state != seat_state::Claiming)
        return;
    if (result.outcome == Records::append_outcome::Stored) {
        m_state = seat_state::Holding;
        Common::writeEvent(Common::log_level::Info, Common::log_category::Roster, "seat_claimed",
            { { "token", std::to_string(at.value + 1) }, { "number", std::to_string(number) } });
        m_onWon({ .token = at.value + 1, .number = number });
        return;
    }
    // A claim without an answer may stand; the next one has a higher token all the same.
    m_timers.after(claimRetry, [self = shared_from_this()] {
        if (self->m_state != seat_state::Claiming)
            return;
        self->m_state = seat_state::Idle;
        if (self->isConfirmed())
            self->claim();
    });
}

}
