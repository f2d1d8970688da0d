#include "ControlPlane/LeaderElection.h"

#include "Common/Hashing.h"
#include "Common/Logging.h"

#include <algorithm>
#include <utility>

namespace ControlPlane {

namespace {

    constexpr Common::millis watchInterval { 50 };
    /// A leader loses leadership when its records have stopped for this long, confirmed by a read of the store.
    constexpr Common::millis leaderTimeout { 700 };
    /// Silence after which the store is read, so that an outage isn't taken for a failed leader.
    constexpr Common::millis probeDelay { 300 };
    /// Candidates are staggered by up to this time to avoid competing claims.
    constexpr std::uint64_t maxStaggerMillis = 100;
    /// How long others leave leadership to the successor that a release names.
    constexpr Common::millis successorWait { 700 };
    constexpr Common::millis probeTimeout { 500 };
    /// A store that hasn't answered for this long counts as out of reach.
    constexpr Common::millis unansweredTime { 800 };
    /// Silence after which the leader's records are read, so that they are known when its leadership counts as vacant.
    constexpr Common::millis suspicionTime { 450 };
    constexpr Common::millis claimTimeout { 1200 };
    /// Share of the leader timeout for which a record confirms leadership; the rest covers clock differences.
    constexpr double confirmedShare = 0.85;

    const char* toText(term_obstacle obstacle)
    {
        switch (obstacle) {
        case term_obstacle::NoRules:
            return "no_rules";
        case term_obstacle::WorkersNotRead:
            return "workers_not_read";
        case term_obstacle::JobsNotRead:
            return "jobs_not_read";
        case term_obstacle::TermAbandoned:
            return "term_abandoned";
        case term_obstacle::None:
            break;
        }
        return "none";
    }

}

leader_election::leader_election(Records::record_store& store, Records::timer_service& timers,
    const election_options& options,
    Records::partition_reader& progress, const progress_feed& feed)
    : m_store(store)
    , m_timers(timers)
    , m_options(options)
    , m_progress(progress)
    , m_feed(feed)
{
}

void leader_election::start(
    std::function<void(won_election)> onElected, std::function<term_obstacle()> findObstacle)
{
    m_onElected = std::move(onElected);
    m_findObstacle = std::move(findObstacle);
    watch();
}

Dispatch::leadership_status leader_election::status() const
{
    return { .isHeld = m_state == election_state::Leading, .confirmedUntil = m_confirmedUntil };
}

void leader_election::confirm(Common::instant began)
{
    const auto time = std::chrono::duration<double, std::milli>(static_cast<double>(leaderTimeout.count()) * confirmedShare);
    m_confirmedUntil = std::max(m_confirmedUntil, began + std::chrono::duration_cast<Common::boot_clock::duration>(time));
}

void leader_election::returnToStandby()
{
    m_state = election_state::Standby;
    m_quietSince = m_timers.now();
    m_hasLeaderStored = false;
}

void leader_election::withdraw() { m_hasWithdrawn = true; }

bool leader_election::isVacant() const { return m_feed.released() >= m_feed.claim().number; }

void leader_election::logObstacle()
{
    if (std::exchange(m_loggedObstacle, m_obstacle) != m_obstacle)
        Common::writeEvent(Common::log_level::Info, Common::log_category::Membership, "claim_deferred",
            { { "reason", toText(m_obstacle) }, { "number", std::to_string(m_feed.claim().number + 1) } });
}

Common::millis leader_election::patient(Common::millis time) const
{
    if (!m_options.pacing)
        return time;
    return Common::millis(static_cast<std::int64_t>(static_cast<double>(time.count()) * m_options.pacing->patience()));
}

Common::millis leader_election::vacancyTime() const
{
    if (!isVacant())
        return patient(leaderTimeout);
    return m_feed.successor().empty() || isNamedSuccessor() ? Common::millis(0) : successorWait;
}

Common::millis leader_election::standbyTime() const
{
    if (isNamedSuccessor())
        return Common::millis(0);
    const Common::millis stagger { static_cast<std::int64_t>(
        Common::rendezvousRank(m_options.member, std::to_string(m_feed.claim().number)) % maxStaggerMillis) };
    auto reference = roomOf(m_feed.claim().capacity);
    if (m_request && m_request->claim == m_feed.claim().number)
        reference = std::max(reference, roomOf(m_request->capacity));
    return stagger + claimDelay(roomOf(m_options.capacity), reference);
}

bool leader_election::isClaimDue(Common::instant now)
{
    m_obstacle = m_findObstacle ? m_findObstacle() : term_obstacle::None;
    if (m_obstacle != term_obstacle::None)
        m_obstructedUntil = now;
    const bool isSilent = now - m_quietSince >= vacancyTime() + standbyTime() && (isVacant() || m_isProbed);
    if (!isSilent)
        return false;
    if (m_obstacle != term_obstacle::None) {
        logObstacle();
        return false;
    }
    // Many candidates lose their obstacle at the same time, for example when the first rules are published.
    return now - m_obstructedUntil >= standbyTime();
}

bool leader_election::isNamedSuccessor() const { return isVacant() && m_feed.successor() == m_options.member; }

const char* leader_election::claimReason() const
{
    if (!isVacant())
        return "leader_silent";
    if (m_feed.claim().number == 0)
        return "first_term";
    return isNamedSuccessor() ? "named_successor" : "released";
}

bool leader_election::isLeaderActive() const
{
    return m_state == election_state::Standby && !isVacant() && m_timers.now() - m_quietSince < patient(probeDelay);
}

void leader_election::noteRecords(Common::instant now)
{
    if (!m_progress.isLoaded()) {
        const auto confirmed = m_progress.confirmedAt();
        // Silence counts only while the store answers.
        if (confirmed && now - *confirmed > patient(unansweredTime)) {
            m_quietSince = now;
            return;
        }
        if (m_progress.following() == Records::partition_following::Records)
            return;
    }
    const bool hasNewRecords = m_progress.next() != m_lastEnd;
    if (hasNewRecords || m_quietSince == Common::instant()) {
        m_hasLeaderStored = m_quietSince != Common::instant();
        m_hasSeenLeader = m_hasLeaderStored;
        m_lastEnd = m_progress.next();
        m_quietSince = now;
        m_isProbed = false;
    }
}

void leader_election::chooseFollowing(Common::instant now)
{
    const bool isFirst = !m_options.pacing || m_options.pacing->isFirstCandidate();
    const bool isSuspect = (isFirst && isVacant()) || now - m_quietSince >= patient(suspicionTime);
    if (isSuspect || !m_feed.claim().publishesStates) {
        m_hasLeaderStored = false;
        m_progress.setFollowing(Records::partition_following::Records);
    } else if (m_progress.isLoaded() && m_hasLeaderStored) {
        m_progress.setFollowing(Records::partition_following::End);
    }
}

void leader_election::watch()
{
    if (m_hasWithdrawn)
        return;
    m_timers.after(watchInterval, [self = shared_from_this()] { self->watch(); });
    if (m_state != election_state::Standby)
        return;
    const auto now = m_timers.now();
    noteRecords(now);
    chooseFollowing(now);
    if (!m_progress.isLoaded())
        return;
    const auto quiet = now - m_quietSince;
    if (isClaimDue(now))
        claim();
    else if (!m_isProbed && !m_isProbing && quiet >= patient(probeDelay))
        probe();
}

void leader_election::probe()
{
    m_isProbing = true;
    m_progress.refresh(probeTimeout, [self = shared_from_this()](bool isRead) {
        self->m_isProbing = false;
        self->m_isProbed = isRead;
        if (!isRead)
            self->m_quietSince = self->m_timers.now();
    });
}

void leader_election::claim()
{
    m_state = election_state::Claiming;
    m_claimReason = claimReason();
    // The claim is stored only if the partition still ends where this instance has read to, so that no record of an
    // earlier leader is missed.
    m_progress.refresh(claimTimeout, [self = shared_from_this()](bool isRead) {
        if (self->m_state != election_state::Claiming)
            return;
        const bool isQuiet = self->m_progress.next() == self->m_lastEnd;
        if (isRead && !self->m_hasWithdrawn && (isQuiet || self->isVacant()))
            self->sendClaim();
        else
            self->returnToStandby();
    });
}

void leader_election::sendClaim()
{
    const auto at = m_progress.next();
    const auto number = m_feed.claim().number + 1;
    const auto began = m_timers.now();
    const Records::append_request request { .partition = m_options.progressTopic,
        .records = { claimRecord({ .member = m_options.member, .number = number, .capacity = m_options.capacity, .publishesStates = true }) },
        .expectedEnd = at,
        .position = Records::writer_position { .writer = m_options.writer, .epoch = at.value + 1, .sequence = 0 } };
    m_store.append(request, claimTimeout, [self = shared_from_this(), at, number, began](const auto& result) {
        self->onClaim(result, at, number, began);
    });
}

void leader_election::onClaim(
    const Records::append_result& result, Common::log_offset at, std::int64_t number, Common::instant began)
{
    if (m_state != election_state::Claiming)
        return;
    if (result.outcome != Records::append_outcome::Stored) {
        // A claim without an answer may be stored; the next one still has a higher token.
        returnToStandby();
        return;
    }
    // The store takes two simultaneous claims for one append that was sent twice and confirms both, so read back which
    // one is stored.
    m_progress.refresh(claimTimeout, [self = shared_from_this(), at, number, began](bool isRead) {
        if (self->m_state != election_state::Claiming)
            return;
        const auto& newest = self->m_feed.claim();
        if (isRead && newest.member == self->m_options.member && newest.number == number)
            self->becomeLeader({ .token = at.value + 1, .number = number }, began);
        else
            self->returnToStandby();
    });
}

void leader_election::becomeLeader(const won_election& won, Common::instant began)
{
    m_state = election_state::Leading;
    m_confirmedUntil = {};
    confirm(began);
    Common::writeEvent(Common::log_level::Info, Common::log_category::Membership, "leadership_claimed",
        { { "token", std::to_string(won.token) }, { "number", std::to_string(won.number) },
            { "reason", m_claimReason }, { "millicores", std::to_string(m_options.capacity.processor.value) },
            { "megabits", std::to_string(m_options.capacity.link.value) } });
    m_onElected(won);
}

}
