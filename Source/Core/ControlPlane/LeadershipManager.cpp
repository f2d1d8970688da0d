#include "ControlPlane/LeadershipManager.h"

#include "Common/Logging.h"

#include <utility>

namespace ControlPlane {

namespace {

    /// Shortest time between intake reads of the leader.
    constexpr Common::millis leaderIntakeInterval { 20 };
    /// How long a new leader waits for the store before it gives up leadership.
    constexpr Common::millis takeoverTimeout { 2000 };
    /// Longest wait for the answer to a release, with what was stored before it.
    constexpr Common::millis releaseTimeout { 600 };
    /// Leadership isn't released if the instance manager takes longer to answer the open orders.
    constexpr Common::millis openOrdersTimeout { 500 };
    constexpr Common::millis releasePollInterval { 20 };
    constexpr Common::millis handoverCheckInterval { 100 };
    constexpr Common::millis handoverRequestTimeout { 300 };
    /// Longest time without claims after terms that couldn't be started.
    constexpr Common::millis maxClaimBackoff { 4000 };
    /// A leader that can't hand over yet tries again for this long after a request. Longer than the instance manager
    /// takes to answer an order.
    constexpr Common::millis handoverRequestLifetime { 2000 };
    /// Time without an active leader after which all instances read the workers. Reading them anew takes more of the
    /// store than following them, so a short silence isn't enough.
    constexpr Common::millis workerReadingDelay { 3000 };
    /// The stretch of reads is stored again when it has grown by this factor, or is 1 again.
    constexpr double stretchStep = 1.5;
    constexpr auto leaderWriter = "holder";

}

leadership_manager::leadership_manager(const leadership_parts& parts, const leadership_options& options)
    : m_parts(parts)
    , m_options(options)
    , m_election(std::make_shared<leader_election>(parts.store, parts.timers,
          election_options { .member = options.member,
              .capacity = options.capacity,
              .progressTopic = options.progressTopic,
              .writer = leaderWriter,
              .pacing = parts.pacing },
          parts.progress, parts.progressFeed))
    , m_handoverCandidate(options.member)
{
}

leadership_manager::~leadership_manager()
{
    if (m_term)
        m_term->stop();
    endRelease();
}

void leadership_manager::start()
{
    m_leaderActiveAt = m_parts.timers.now();
    m_election->start([this](const won_election& won) { onElected(won); }, [this] { return findObstacle(); });
    watchHandovers();
}

term_obstacle leadership_manager::findObstacle() const
{
    if (m_parts.timers.now() < m_claimsFrom)
        return term_obstacle::TermAbandoned;
    if (!m_rules)
        return term_obstacle::NoRules;
    if (!m_parts.workerList.isLoaded())
        return term_obstacle::WorkersNotRead;
    return m_parts.intake.isLoaded() ? term_obstacle::None : term_obstacle::JobsNotRead;
}

void leadership_manager::stepDown()
{
    m_election->withdraw();
    endTerm();
}

void leadership_manager::discardTerm()
{
    if (!m_term)
        return;
    m_claimsFrom = m_parts.timers.now() + m_claimBackoff;
    loseTerm();
}

void leadership_manager::onElected(const won_election& won)
{
    setLeading(true);
    m_termBegan = m_parts.timers.now();
    m_term = std::make_shared<leader_term>(leader_term_parts { .store = m_parts.store,
                                               .timers = m_parts.timers,
                                               .workers = m_parts.workers,
                                               .instances = m_parts.instances,
                                               .operatorFormat = m_parts.operatorFormat,
                                               .jobRegistry = m_parts.jobRegistry,
                                               .election = *m_election,
                                               .progress = m_parts.progressFeed,
                                               .states = m_parts.stateFeed,
                                               .progressReader = m_parts.progress,
                                               .eventCounters = m_parts.eventCounters,
                                               .health = m_parts.health },
        leader_term_options { .token = { won.token },
            .number = won.number,
            .progressTopic = m_options.progressTopic,
            .stateTopic = m_options.stateTopic,
            .statusTopic = m_options.statusTopic,
            .writer = leaderWriter,
            .workerBounds = m_options.workerBounds,
            .storeLimits = m_options.storeLimits,
            .maxPlacedTasks = m_options.maxPlacedTasks },
        [this] { loseTerm(); });
    m_term->startHeartbeats();
    // The workers and jobs of earlier leaders must be known before anything is started.
    m_parts.workerList.refresh(takeoverTimeout, [this, term = m_term](bool isRead) { readJobs(term, isRead); });
}

void leadership_manager::readJobs(const std::shared_ptr<leader_term>& term, bool areWorkersRead)
{
    m_parts.intake.refresh(takeoverTimeout, [this, term, areWorkersRead](bool isRead) {
        if (term != m_term)
            return;
        const bool isConfirmed = m_election->status().isConfirmed(m_parts.timers.now());
        if (areWorkersRead && isRead && isConfirmed && m_rules)
            startDispatching(*term);
        else
            abandonTerm();
    });
}

void leadership_manager::abandonTerm()
{
    m_claimsFrom = m_parts.timers.now() + m_claimBackoff;
    m_claimBackoff = std::min(2 * m_claimBackoff, maxClaimBackoff);
    endTerm();
}

void leadership_manager::startDispatching(leader_term& term)
{
    m_claimBackoff = minClaimBackoff;
    term.setRules(*m_rules);
    term.setEvacuated(m_evacuated);
    term.setWaves(m_waves);
    for (const auto& [id, worker] : m_workers)
        term.workerRegistered(worker.entry, worker.seenAt);
    term.start(m_parts.progressFeed.waves());
}

void leadership_manager::loseTerm()
{
    const auto term = std::exchange(m_term, nullptr);
    if (term)
        term->stop();
    setLeading(false);
    m_election->returnToStandby();
}

void leadership_manager::endTerm(const std::string& successor)
{
    const auto term = m_term;
    if (!term || !term->knowsAllPlacements()) {
        loseTerm();
        return;
    }
    m_term.reset();
    endRelease();
    m_releasing = term;
    term->stopOrders();
    setLeading(false);
    m_election->returnToStandby();
    release(term, successor, m_parts.timers.now() + openOrdersTimeout);
}

void leadership_manager::release(
    const std::shared_ptr<leader_term>& term, const std::string& successor, Common::instant until)
{
    // Orders that the instance manager has yet to carry out would end tasks that the next leader places there.
    if (term->hasOpenOrders()) {
        if (m_parts.timers.now() < until)
            m_parts.timers.after(
                releasePollInterval, [this, term, successor, until] { release(term, successor, until); });
        else
            endRelease();
        return;
    }
    term->release(successor, releaseTimeout, [this, number = term->number(), successor](bool isStored) {
        m_releasing.reset();
        if (isStored)
            copyRelease(number, successor);
    });
}

void leadership_manager::endRelease()
{
    if (const auto term = std::exchange(m_releasing, nullptr))
        term->stop();
}

void leadership_manager::copyRelease(std::int64_t number, const std::string& successor)
{
    // Instances that follow only the end of the progress read the copy.
    const Records::append_request copy { .partition = m_options.stateTopic, .records = { releaseRecord(number, successor) } };
    m_parts.store.append(copy, releaseTimeout, [](const auto&) {});
}

void leadership_manager::setLeading(bool isLeading)
{
    if (m_parts.pacing)
        m_parts.pacing->setLeading(isLeading);
    m_parts.intake.setInterval(isLeading ? leaderIntakeInterval : standbyIntakeInterval);
}

void leadership_manager::chooseWorkerReading()
{
    if (!m_parts.pacing)
        return;
    const auto now = m_parts.timers.now();
    if (m_election->isLeaderActive())
        m_leaderActiveAt = now;
    const bool isFirst = m_term || m_parts.pacing->isFirstCandidate();
    const bool hasLeader = now - m_leaderActiveAt < workerReadingDelay;
    if (isFirst || !hasLeader)
        m_parts.workerList.setFollowing(Records::partition_following::Records);
    else if (m_parts.workerList.isEndKnown())
        m_parts.workerList.setFollowing(Records::partition_following::End);
}

void leadership_manager::publishStretch()
{
    if (!m_parts.pacing || !m_term)
        return;
    const auto stretch = m_parts.pacing->measuredStretch();
    const auto stored = std::max(m_parts.handoverFeed.stretch(), m_publishedStretch);
    if (stretch < stored * stretchStep && (stretch > 1 || stored <= 1))
        return;
    m_publishedStretch = stretch;
    const Records::append_request request { .partition = m_options.handoverTopic, .records = { stretchRecord(stretch) } };
    m_parts.store.append(request, handoverRequestTimeout, [](const auto&) {});
}

void leadership_manager::watchHandovers()
{
    chooseWorkerReading();
    publishStretch();
    if (m_term)
        considerHandingOver();
    else
        considerRequestingHandover();
    m_parts.timers.after(handoverCheckInterval, [this] { watchHandovers(); });
}

void leadership_manager::considerRequestingHandover()
{
    const auto& claim = m_parts.progressFeed.claim();
    const auto& newest = m_parts.handoverFeed.request();
    if (newest)
        m_election->noteRequest(*newest);
    const bool canStartTerm
        = m_election->isCandidate() && m_parts.progress.confirmedAt() && findObstacle() == term_obstacle::None;
    const handover_view view { .claim = claim.number,
        .own = roomOf(m_options.capacity),
        .leader = roomOf(claim.capacity),
        .canStartTerm = canStartTerm,
        .isLeaderActive = m_election->isLeaderActive(),
        .newestRequest = newest && newest->claim == claim.number ? std::optional(newest->offset) : std::nullopt };
    if (!m_handoverCandidate.isRequestDue(view, m_parts.timers.now()))
        return;
    // A successor that can't read the workers and jobs would have to end its term at once.
    m_parts.workerList.refresh(handoverRequestTimeout, [this, number = claim.number](bool areWorkersRead) {
        m_parts.intake.refresh(handoverRequestTimeout, [this, number, areWorkersRead](bool areJobsRead) {
            if (areWorkersRead && areJobsRead && !m_term && m_parts.progressFeed.claim().number == number)
                sendHandoverRequest(number);
        });
    });
}

void leadership_manager::sendHandoverRequest(std::int64_t number)
{
    const auto& claim = m_parts.progressFeed.claim();
    Common::writeEvent(Common::log_level::Info, Common::log_category::Membership, "handover_requested",
        { { "number", std::to_string(number) }, { "leader", claim.member },
            { "leader_room", std::to_string(roomOf(claim.capacity).value) },
            { "room", std::to_string(roomOf(m_options.capacity).value) } });
    const Records::append_request request { .partition = m_options.handoverTopic,
        .records = { handoverRecord(
            { .member = m_options.member, .claim = number, .capacity = m_options.capacity, .offset = {} }) } };
    m_parts.store.append(request, handoverRequestTimeout, [](const auto&) {});
}

void leadership_manager::considerHandingOver()
{
    const auto request = m_parts.handoverFeed.request();
    if (!request || request->claim != m_term->number())
        return;
    const auto now = m_parts.timers.now();
    if (m_request != request->offset) {
        m_request = request->offset;
        m_requestSeenAt = now;
        m_isRequestAnswered = false;
    }
    if (m_isRequestAnswered)
        return;
    const auto answer = answerHandover(roomOf(request->capacity), handoverState());
    m_term->pauseInstanceOrders(answer == handover_answer::OrdersOpen);
    if (answer == handover_answer::Agreed) {
        m_isRequestAnswered = true;
        Common::writeEvent(Common::log_level::Info, Common::log_category::Membership, "handover_agreed",
            { { "number", std::to_string(request->claim) }, { "successor", request->member } });
        endTerm(request->member);
    } else if (now - m_requestSeenAt >= handoverRequestLifetime) {
        m_isRequestAnswered = true;
        m_term->pauseInstanceOrders(false);
        refuseHandover(*request, answer);
    }
}

void leadership_manager::refuseHandover(const handover_request& request, handover_answer answer) const
{
    Common::writeEvent(Common::log_level::Info, Common::log_category::Membership, "handover_refused",
        { { "number", std::to_string(request.claim) }, { "candidate", request.member }, { "reason", toText(answer) } });
}

handover_leader leadership_manager::handoverState() const
{
    const auto now = m_parts.timers.now();
    const auto& feed = m_parts.progressFeed;
    return { .room = roomOf(m_options.capacity),
        .termAge = Common::elapsed(m_termBegan, now),
        .followsFailedHandover = feed.released() + 1 == m_term->number() && !feed.successor().empty()
            && feed.successor() != m_options.member,
        .isConfirmed = m_election->status().isConfirmed(now),
        .arePlacementsLogged = m_term->areAllPlacementsLogged(),
        .hasOpenOrders = m_term->hasOpenOrders() };
}

void leadership_manager::setRules(const Rules::fleet_rules& rules)
{
    m_rules = rules;
    if (m_term)
        m_term->setRules(rules);
}

void leadership_manager::setEvacuated(const std::set<Common::data_centre_id>& zones)
{
    m_evacuated = zones;
    if (m_term)
        m_term->setEvacuated(zones);
}

void leadership_manager::setWaves(const std::map<std::int64_t, Rules::maintenance_wave>& waves)
{
    m_waves = waves;
    if (m_term)
        m_term->setWaves(waves);
}

void leadership_manager::workerRegistered(const Dispatch::worker_entry& worker)
{
    auto& known = m_workers.try_emplace(worker.id, registered_worker { .seenAt = m_parts.timers.now() }).first->second;
    known.entry = worker;
    if (m_term)
        m_term->workerRegistered(worker, known.seenAt);
}

void leadership_manager::workerUnregistered(const Common::worker_id& id)
{
    m_workers.erase(id);
    if (m_term)
        m_term->workerUnregistered(id);
}

void leadership_manager::jobAccepted(const Common::job_id& id)
{
    if (m_term)
        m_term->jobAccepted(id);
}

void leadership_manager::jobCancelled(const Common::job_id& id)
{
    if (m_term)
        m_term->jobCancelled(id);
}

}
