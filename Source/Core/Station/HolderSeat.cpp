#include "Station/HolderSeat.h"

#include "Common/Hashing.h"
#include "Common/Logging.h"

namespace Station {

namespace {

    constexpr Common::millis watchInterval { 50 };
    /// A holder whose records have stopped for so long, by reads that the store answered, has lost its seat.
    constexpr Common::millis quietTime { 700 };
    /// The store is asked first after this part of it, so that an outage isn't taken for a quiet holder.
    constexpr Common::millis probeTime { 300 };
    /// Candidates begin up to this time apart, so that most claims aren't in vain.
    constexpr std::uint64_t spreadMillis = 100;
    constexpr Common::millis probeTimeout { 500 };
    constexpr Common::millis claimTimeout { 1200 };
    /// Part of the quiet time for which a record confirms the seat; the rest covers clocks that differ.
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

void holder_seat::start(std::function<void(won_seat)> onWon)
{
    m_onWon = std::move(onWon);
    watch();
}

Dispatch::seat_standing holder_seat::standing() const
{
    return { .isHeld = m_state == seat_state::Holding, .confirmedUntil = m_confirmedUntil };
}

void holder_seat::confirm(Common::instant began)
{
    const auto time = std::chrono::duration<double, std::milli>(static_cast<double>(quietTime.count()) * confirmedShare);
    m_confirmedUntil = std::max(m_confirmedUntil, began + std::chrono::duration_cast<Common::boot_clock::duration>(time));
}

void holder_seat::vacate()
{
    m_state = seat_state::Idle;
    m_quietSince = m_timers.now();
}

void holder_seat::leave() { m_hasLeft = true; }

bool holder_seat::isFree() const { return m_feed.released() >= m_feed.claim().number; }

void holder_seat::watch()
{
    if (m_hasLeft)
        return;
    m_timers.after(watchInterval, [self = shared_from_this()] { self->watch(); });
    if (m_state != seat_state::Idle || !m_progress.isFollowing())
        return;
    const auto now = m_timers.now();
    const bool isNews = m_progress.next() != m_seen;
    if (isNews || m_quietSince == Common::instant()) {
        m_seen = m_progress.next();
        m_quietSince = now;
        m_isProbed = false;
    }
    const Common::millis spread { static_cast<std::int64_t>(
        Common::rendezvousRank(m_options.member, std::to_string(m_feed.claim().number)) % spreadMillis) };
    const auto quiet = now - m_quietSince;
    if (isFree() ? quiet >= spread : m_isProbed && quiet >= quietTime + spread)
        claim();
    else if (!m_isProbed && !m_isProbing && quiet >= probeTime)
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
    // The claim is taken only where the partition ends as we have read it, so nothing of an earlier holder is missed.
    m_progress.refresh(claimTimeout, [self = shared_from_this()](bool isRead) {
        if (self->m_state != seat_state::Claiming)
            return;
        const bool isQuiet = self->m_progress.next() == self->m_seen;
        if (isRead && !self->m_hasLeft && (isQuiet || self->isFree()))
            self->sendClaim();
        else
            self->vacate();
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
        // A claim without an answer may stand; the next one has a higher token all the same.
        vacate();
        return;
    }
    // The store answers two claims of one moment alike, as one append that was sent twice.
    m_progress.refresh(claimTimeout, [self = shared_from_this(), at, number, began](bool isRead) {
        if (self->m_state != seat_state::Claiming)
            return;
        const auto& newest = self->m_feed.claim();
        if (isRead && newest.member == self->m_options.member && newest.number == number)
            self->win({ .token = at.value + 1, .number = number }, began);
        else
            self->vacate();
    });
}

void holder_seat::win(const won_seat& won, Common::instant began)
{
    m_state = seat_state::Holding;
    m_confirmedUntil = {};
    confirm(began);
    Common::writeEvent(Common::log_level::Info, Common::log_category::Roster, "seat_claimed",
        { { "token", std::to_string(won.token) }, { "number", std::to_string(won.number) } });
    m_onWon(won);
}

}
