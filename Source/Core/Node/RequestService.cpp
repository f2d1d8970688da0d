#include "Node/RequestService.h"

#include "Common/Hashing.h"
#include "Fleet/WorkRules.h"
#include "Requests/RequestParser.h"

#include <algorithm>
#include <thread>

namespace Node {

namespace {

    using Requests::outcome;
    using Requests::refusal_reason;

    constexpr Common::millis retryDelay { 25 };
    /// Extra time for a holder to answer that a deadline has passed.
    constexpr Common::millis deadlineGrace { 250 };
    /// Limit for the acknowledgement of queued work.
    constexpr Common::millis enqueueTimeout { 5000 };

    /// Counts a request as open while it is served.
    class open_count {
    public:
        explicit open_count(std::atomic<std::int64_t>& count)
            : m_count(count)
        {
            ++m_count;
        }
        ~open_count() { --m_count; }
        open_count(const open_count&) = delete;
        open_count& operator=(const open_count&) = delete;

    private:
        std::atomic<std::int64_t>& m_count;
    };

    bool isStillWaiting(const outcome& result)
    {
        return result.kind == Requests::outcome_kind::Unknown && result.reason == refusal_reason::StillWaiting;
    }

    bool shouldRetry(const outcome& result)
    {
        const bool elsewhere = result.reason == refusal_reason::HolderMoved || result.reason == refusal_reason::ViewStale;
        return result.kind == Requests::outcome_kind::NotRun && elsewhere;
    }

}

request_service::route request_service::routeOf(const Requests::submission& submitted, Common::instant now)
{
    route found { .identity = submitted.work.identity };
    const auto lock = m_parts.context.lock();
    const auto& state = m_parts.context.state();
    if (!m_parts.context.replica().hasState() || !m_parts.context.mayAct(now)) {
        found.refusal = refusal_reason::ViewStale;
        return found;
    }
    const auto queue = state.queues.find(found.identity.queue);
    if (queue == state.queues.end()) {
        found.refusal = refusal_reason::QueueUnknown;
        return found;
    }
    if (queue->second.open && submitted.key.empty()) {
        found.identity.team = Fleet::openTeam(found.identity.queue);
    } else if (submitted.key.empty()) {
        found.refusal = refusal_reason::KeyMissing;
    } else {
        found.key = Common::hashKey(submitted.key);
        const auto team = Fleet::teamOfKey(state, found.key);
        if (!team)
            found.refusal = state.keys.contains(found.key) ? refusal_reason::KeyWithdrawn : refusal_reason::KeyUnknown;
        else if (!found.identity.team.empty() && found.identity.team != *team)
            found.refusal = refusal_reason::KeyOfOtherTeam;
        else
            found.identity.team = *team;
    }
    if (!found.refusal && !Fleet::effectiveQuota(state, found.identity.team))
        found.refusal = refusal_reason::TeamUnknown;
    found.holder = Fleet::holderOf(state, Fleet::poolShard(queue->second.pool));
    if (!found.holder)
        return found;
    found.isLocal = found.holder->holder == m_parts.context.self();
    const auto member = state.members.find(found.holder->holder);
    if (member != state.members.end())
        found.address = member->second.info.peers;
    return found;
}

outcome request_service::run(Requests::submission submitted)
{
    if (m_stopping)
        return Requests::notRun(refusal_reason::Stopping);
    const open_count counted(m_open);
    const auto began = Common::boot_clock::now();
    const outcome result = runUntil(submitted, began + submitted.work.remaining);
    const auto took = Common::elapsed(began, Common::boot_clock::now());
    m_parts.outcomeMetrics.onOutcome(submitted.work.identity.team.value, result, took);
    return result;
}

outcome request_service::runUntil(Requests::submission& submitted, Common::instant deadline)
{
    bool mayHaveRun = false;
    while (true) {
        const auto now = Common::boot_clock::now();
        if (now >= deadline) {
            return mayHaveRun ? Requests::unknownOutcome(refusal_reason::HolderLost)
                              : Requests::notRun(refusal_reason::NoHolder);
        }
        const route found = routeOf(submitted, now);
        const bool isStale = found.refusal == refusal_reason::ViewStale;
        if (found.refusal && !isStale)
            return mayHaveRun ? Requests::unknownOutcome(*found.refusal) : Requests::notRun(*found.refusal);
        if (isStale || !found.holder) {
            std::this_thread::sleep_for(retryDelay);
            continue;
        }
        forwarded_request forwarded { .request = submitted.work,
            .key = found.key,
            .forwardId = Common::randomId(),
            .epoch = found.holder->epoch };
        submitted.work.identity = found.identity;
        forwarded.request.identity = found.identity;
        forwarded.request.remaining = Common::elapsed(now, deadline);
        const attempt_result tried = attempt(found, forwarded);
        if (tried.isOutcomeUnknown && !submitted.work.idempotent)
            return settleUntil(submitted, forwarded.forwardId, deadline);
        const bool isFinal = !tried.retry && !tried.isOutcomeUnknown;
        if (isFinal && mayHaveRun && tried.result.kind == Requests::outcome_kind::NotRun)
            return Requests::unknownOutcome(tried.result.reason);
        if (isFinal)
            return tried.result;
        mayHaveRun = mayHaveRun || tried.isOutcomeUnknown;
        std::this_thread::sleep_for(retryDelay);
    }
}

request_service::attempt_result request_service::attempt(const route& found, const forwarded_request& forwarded)
{
    attempt_result tried;
    if (found.isLocal) {
        tried.result = submitLocally(forwarded);
    } else {
        peer_failure failure = peer_failure::None;
        tried.result = forwardTo(found.address, forwarded, failure);
        tried.retry = failure == peer_failure::NotReached;
        tried.isOutcomeUnknown = failure == peer_failure::NoAnswer;
        if (failure != peer_failure::None)
            return tried;
    }
    tried.retry = shouldRetry(tried.result);
    const bool isTruncated = !Requests::digestMatches(tried.result);
    const bool isLost = tried.result.kind == Requests::outcome_kind::Unknown
        && tried.result.reason == refusal_reason::HolderLost && forwarded.request.idempotent;
    tried.isOutcomeUnknown = isTruncated || isLost;
    return tried;
}

outcome request_service::settleUntil(
    const Requests::submission& submitted, const std::string& forwardId, Common::instant deadline)
{
    while (true) {
        const auto now = Common::boot_clock::now();
        if (now >= deadline)
            return Requests::unknownOutcome(refusal_reason::HolderLost);
        const route found = routeOf(submitted, now);
        const settle_query query { .identity = submitted.work.identity,
            .forwardId = forwardId,
            .remaining = Common::elapsed(now, deadline) };
        std::optional<outcome> answer;
        if (found.holder && found.isLocal) {
            answer = serveSettle(query);
        } else if (found.holder) {
            peer_failure failure = peer_failure::None;
            answer = m_parts.peers.settle(found.address, query, failure);
        }
        const bool mustAskAgain = answer && answer->kind == Requests::outcome_kind::Unknown
            && (answer->reason == refusal_reason::ViewStale || answer->reason == refusal_reason::HolderMoved
                || isStillWaiting(*answer));
        if (answer && !mustAskAgain && Requests::digestMatches(*answer))
            return *answer;
        std::this_thread::sleep_for(retryDelay);
    }
}

outcome request_service::forwardTo(
    const Common::endpoint& holder, const forwarded_request& forwarded, peer_failure& failure)
{
    auto answer = m_parts.peers.forward(holder, forwarded, failure);
    while (answer && isStillWaiting(*answer)) {
        answer = m_parts.peers.await(holder, { forwarded.forwardId }, failure);
        // The holder has accepted the request, so a failed connection doesn't prove that it didn't run.
        if (!answer)
            failure = peer_failure::NoAnswer;
    }
    return answer.value_or(Requests::unknownOutcome(refusal_reason::HolderLost));
}

outcome request_service::submitLocally(const forwarded_request& forwarded)
{
    const auto waiting = m_parts.waiters.add();
    {
        const auto lock = m_parts.context.lock();
        if (const auto answer = m_parts.pools.submitRequest(forwarded, waiting->id(), Common::boot_clock::now()))
            return *answer;
    }
    const auto answer = waiting->wait(forwarded.request.remaining + deadlineGrace);
    return answer.value_or(Requests::unknownOutcome(refusal_reason::DeadlinePassed));
}

outcome request_service::serveForwarded(const forwarded_request& forwarded)
{
    const open_count counted(m_forwarded);
    const auto now = Common::boot_clock::now();
    pending_forward pending { .waiting = m_parts.waiters.add(),
        .deadline = now + forwarded.request.remaining + deadlineGrace };
    {
        const auto lock = m_parts.context.lock();
        if (const auto answer = m_parts.pools.submitRequest(forwarded, pending.waiting->id(), now))
            return *answer;
    }
    return waitForOutcome(forwarded.forwardId, std::move(pending));
}

outcome request_service::serveAwait(const await_query& query)
{
    const open_count counted(m_forwarded);
    auto pending = takePending(query.forwardId);
    if (!pending)
        return Requests::unknownOutcome(refusal_reason::HolderLost);
    return waitForOutcome(query.forwardId, std::move(*pending));
}

outcome request_service::waitForOutcome(const std::string& forwardId, pending_forward pending)
{
    const auto left = Common::elapsed(Common::boot_clock::now(), pending.deadline);
    if (const auto answer = pending.waiting->wait(std::min(left, maxHolderReplyTime)))
        return *answer;
    if (left <= maxHolderReplyTime)
        return Requests::unknownOutcome(refusal_reason::DeadlinePassed);
    keepPending(forwardId, std::move(pending));
    return Requests::unknownOutcome(refusal_reason::StillWaiting);
}

void request_service::keepPending(const std::string& forwardId, pending_forward pending)
{
    const std::lock_guard lock(m_pendingLock);
    dropExpiredForwards();
    m_pendingForwards[forwardId] = std::move(pending);
}

void request_service::dropExpiredForwards()
{
    const auto now = Common::boot_clock::now();
    std::erase_if(m_pendingForwards, [now](const auto& entry) { return entry.second.deadline < now; });
}

std::int64_t request_service::forwardedCount()
{
    const std::lock_guard lock(m_pendingLock);
    dropExpiredForwards();
    return m_forwarded + static_cast<std::int64_t>(m_pendingForwards.size());
}

std::optional<request_service::pending_forward> request_service::takePending(const std::string& forwardId)
{
    const std::lock_guard lock(m_pendingLock);
    const auto found = m_pendingForwards.find(forwardId);
    if (found == m_pendingForwards.end())
        return std::nullopt;
    pending_forward pending = std::move(found->second);
    m_pendingForwards.erase(found);
    return pending;
}

outcome request_service::serveSettle(const settle_query& query)
{
    const open_count counted(m_forwarded);
    const auto waiting = m_parts.waiters.add();
    {
        const auto lock = m_parts.context.lock();
        if (const auto answer = m_parts.pools.settle(query, waiting->id(), Common::boot_clock::now()))
            return *answer;
    }
    const auto answer = waiting->wait(std::min(query.remaining, maxHolderReplyTime));
    return answer.value_or(Requests::unknownOutcome(refusal_reason::StillWaiting));
}

queue_receipt request_service::enqueue(const Requests::submission& submitted)
{
    queue_receipt receipt;
    if (m_stopping) {
        receipt.refusal = Requests::notRun(refusal_reason::Stopping);
        return receipt;
    }
    const open_count counted(m_open);
    const auto now = Common::boot_clock::now();
    const route found = routeOf(submitted, now);
    if (found.refusal) {
        receipt.refusal = Requests::notRun(*found.refusal);
        return receipt;
    }
    auto lock = m_parts.context.lock();
    const auto deadline = Common::wallNow() + Common::wall_millis { submitted.work.remaining.count() };
    const auto id = m_parts.context.submitOwn(Fleet::accept_work { .identity = found.identity,
        .key = found.key,
        .needs = submitted.work.needs,
        .idempotent = submitted.work.idempotent,
        .deadline = deadline,
        .payload = submitted.work.payload });
    const auto result = m_parts.context.waitForResult(lock, id, now + enqueueTimeout);
    if (!result) {
        const bool certain = m_parts.context.commit().withdraw(id);
        receipt.refusal = certain ? Requests::notRun(refusal_reason::LogUnavailable)
                                  : Requests::unknownOutcome(refusal_reason::LogUnavailable);
        return receipt;
    }
    receipt.accepted = result->accepted();
    receipt.offset = result->offset;
    if (!receipt.accepted) {
        const bool reused = result->reason == Fleet::rejection::IdReused;
        receipt.refusal = Requests::notRun(reused ? refusal_reason::IdReused : refusal_reason::KeyWithdrawn);
    }
    return receipt;
}

request_report request_service::find(const Requests::submission& reference)
{
    request_report report;
    const route found = routeOf(reference, Common::boot_clock::now());
    if (found.refusal) {
        report.result = Requests::unknownOutcome(*found.refusal);
        return report;
    }
    const auto lock = m_parts.context.lock();
    const auto work = m_parts.context.state().works.find(found.identity);
    if (work == m_parts.context.state().works.end()) {
        report.result = Requests::unknownOutcome(refusal_reason::NotFound);
        return report;
    }
    switch (work->second.phase) {
    case Fleet::work_phase::Queued:
        report.state = request_state::Queued;
        break;
    case Fleet::work_phase::Intended:
        report.state = request_state::Running;
        break;
    case Fleet::work_phase::Finished:
        report.state = request_state::Finished;
        report.result = work->second.result;
        break;
    }
    return report;
}

outcome request_service::cancel(const Requests::submission& reference)
{
    const auto now = Common::boot_clock::now();
    const route found = routeOf(reference, now);
    if (found.refusal)
        return Requests::unknownOutcome(*found.refusal);
    {
        auto lock = m_parts.context.lock();
        const auto work = m_parts.context.state().works.find(found.identity);
        const bool isQueued = work != m_parts.context.state().works.end() && work->second.queued;
        if (isQueued && work->second.phase == Fleet::work_phase::Finished)
            return work->second.result;
    }
    bool certain = false;
    if (found.holder && found.isLocal) {
        const auto lock = m_parts.context.lock();
        certain = m_parts.pools.cancel(found.identity, now);
    } else if (found.holder) {
        const auto reply = m_parts.peers.cancel(found.address, found.identity);
        certain = reply && reply->certainlyNotRun;
    }
    return certain ? Requests::notRun(refusal_reason::Cancelled) : Requests::unknownOutcome(refusal_reason::Cancelled);
}

}
