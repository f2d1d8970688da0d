#include "Station/HolderSeat.h"

#include "Common/Hashing.h"
#include "Common/Logging.h"

namespace Station {

namespace {

    constexpr Common::millis watchInterval { 50 };
    /// A leader loses leadership when its records have stopped for this long, confirmed by a read of the store.
    constexpr Common::millis leaderTimeout { 700 };
    /// Silence after which the store is read, so that an outage isn't taken for a failed leader.
    constexpr Common::millis probeDelay { 300 };
    /// Candidates are staggered by up to this time to avoid competing claims.
    constexpr std::uint64_t maxStaggerMillis = 100;
    constexpr Common::millis probeTimeout { 500 };
    constexpr Common::millis claimTimeout { 1200 };
    /// Share of the leader timeout for which a record confirms leadership; the rest covers clock differences.
    constexpr double confirmedShare = 0.85;

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

void holder_seat::start(std::function<void(won_seat)> onElected)
{
    m_onElected = std::move(onElected);
    watch();
}

Dispatch::seat_standing holder_seat::status() const
{
    return { .isHeld = m_state == seat_state::Leading, .confirmedUntil = m_confirmedUntil };
}

void holder_seat::confirm(Common::instant began)
{
    const auto time = std::chrono::duration<double, std::milli>(static_cast<double>(leaderTimeout.count()) * confirmedShare);
    m_confirmedUntil = std::max(m_confirmedUntil, began + std::chrono::duration_cast<Common::boot_clock::duration>(time));
}

void holder_seat::returnToStandby()
{
    m_state = seat_state::Standby;
    m_quietSince = m_timers.now();
}

void holder_seat::withdraw() { m_hasWithdrawn = true; }

bool holder_seat::isVacant() const { return m_feed.released() >= m_feed.claim().number; }

void holder_seat::watch()
{
    if (m_hasWithdrawn)
        return;
    m_timers.after(watchInterval, [self = shared_from_this()] { self->watch(); });
    if (m_state != seat_state::Standby || !m_progress.isLoaded())
        return;
    const auto now = m_timers.now();
    const bool hasNewRecords = m_progress.next() != m_lastEnd;
    if (hasNewRecords || m_quietSince == Common::instant()) {
        m_lastEnd = m_progress.next();
        m_quietSince = now;
        m_isProbed = false;
    }
    const Common::millis stagger { static_cast<std::int64_t>(
        Common::rendezvousRank(m_options.member, std::to_string(m_feed.claim().number)) % maxStaggerMillis) };
    const auto quiet = now - m_quietSince;
    if (isVacant() ? quiet >= stagger : m_isProbed && quiet >= leaderTimeout + stagger)
        claim();
    else if (!m_isProbed && !m_isProbing && quiet >= probeDelay)
        probe();
}

void holder_seat::probe()
{
    m_isProbing = true;
    m_progress.refresh(probeTimeout, [self = shared_from_this()](bool isRead) {
        self->m_isProbing = false;
        self->m_isProbed = isRead;
        if (!isRead)
            self->m_quietSince = self->m_timers.now();
    });
}

void holder_seat::claim()
{
    m_state = seat_state::Claiming;
    // The claim is stored only if the partition still ends where this instance has read to, so that no record of an
    // earlier leader is missed.
    m_progress.refresh(claimTimeout, [self = shared_from_this()](bool isRead) {
        if (self->m_state != seat_state::Claiming)
            return;
        const bool isQuiet = self->m_progress.next() == self->m_lastEnd;
        if (isRead && !self->m_hasWithdrawn && (isQuiet || self->isVacant()))
            self->sendClaim();
        else
            self->returnToStandby();
    });
}

void holder_seat::sendClaim()
{
    const auto at = m_progress.next();
    const auto number = m_feed.claim().number + 1;
    const auto began = m_timers.now();
    const Records::append_request request { .where = m_options.progressTopic,
        .records = { claimRecord({ .member = m_options.member, .number = number }) },
        .endsAt = at,
        .position = Records::writer_position { .writer = m_options.writer, .epoch = at.value + 1, .sequence = 0 } };
    m_store.append(request, claimTimeout, [self = shared_from_this(), at, number, began](const auto& result) {
        self->onClaim(result, at, number, began);
    });
}

void holder_seat::onClaim(
    const Records::append_result& result, Common::log_offset at, std::int64_t number, Common::instant began)
{
    if (m_state != seat_state::Claiming)
        return;
    if (result.outcome != Records::append_outcome::Stored) {
        // A claim without an answer may be stored; the next one still has a higher token.
        returnToStandby();
        return;
    }
    // The store takes two simultaneous claims for one append that was sent twice and confirms both, so read back which
    // one is stored.
    m_progress.refresh(claimTimeout, [self = shared_from_this(), at, number, began](bool isRead) {
        if (self->m_state != seat_state::Claiming)
            return;
        const auto& newest = self->m_feed.claim();
        if (isRead && newest.member == self->m_options.member && newest.number == number)
            self->becomeLeader({ .token = at.value + 1, .number = number }, began);
        else
            self->returnToStandby();
    });
}

void holder_seat::becomeLeader(const won_seat& won, Common::instant began)
{
    m_state = seat_state::Leading;
    m_confirmedUntil = {};
    confirm(began);
    Common::writeEvent(Common::log_level::Info, Common::log_category::Roster, "leadership_claimed",
        { { "token", std::to_string(won.token) }, { "number", std::to_string(won.number) } });
    m_onElected(won);
}

}
