#include "Dispatch/Dispatcher.h"

#include <algorithm>
#include <utility>

/// What the leader concludes about the incarnations of a worker. Only registrations and lists of runs name the incarnation
/// that they come from, so a restart is noticed later than its first answers arrive:
/// - An order is carried out and answered by the incarnation that was known when it was sent, or by a later one.
/// - Runs that an incarnation has listed end with it. Any other run that was sent, answered or not, may be one of the next
///   incarnation, until that one has answered a poll that was sent after the start was answered.
/// - The clock of an incarnation is known from its lists only. A deadline on the clock of an earlier one may be any time on
///   its own, so it may grant the longest lease of the worker.
/// - What names an earlier incarnation than the known one is out of date, unless it answers an order to the known one.
namespace Dispatch {

namespace {

    /// Delay before a worker whose incarnation has changed is polled.
    constexpr Common::millis restartPollDelay { 150 };

}

dispatcher::reply_origin dispatcher::originOf(
    const worker_state& worker, const worker_address& recipient, const order_reply& reply)
{
    if (reply.outcome == order_outcome::OtherIncarnation) {
        // It shows who is at the address to which the order was sent.
        const bool isOutOfDate = recipient.address != worker.entry.address
            || recipient.incarnationStartedAt != worker.entry.incarnationStartedAt;
        return isOutOfDate ? reply_origin::Outdated : reply_origin::OtherWorker;
    }
    const auto known = worker.entry.incarnationStartedAt;
    const auto named = reply.incarnationStartedAt.value_or(recipient.incarnationStartedAt);
    if (named == known)
        return reply_origin::Known;
    // An order to the known incarnation is answered by that one or a later one, whatever times they state.
    const bool isLater = recipient.incarnationStartedAt == known || named > known;
    return isLater ? reply_origin::NextIncarnation : reply_origin::Outdated;
}

void dispatcher::noteOrigin(worker_state& worker, reply_origin origin, const order_reply& reply, Common::instant now)
{
    if (origin != reply_origin::OtherWorker && origin != reply_origin::NextIncarnation)
        return;
    auto entry = worker.entry;
    if (origin == reply_origin::NextIncarnation)
        entry.incarnationStartedAt = *reply.incarnationStartedAt;
    // Kind and capacity are known once this incarnation has registered.
    entry.capacity = {};
    const bool hadListedAllEnds = worker.hasListedAllEnds;
    discardIncarnation(worker, entry, now);
    worker.isRegistered = false;
    // Nothing runs any more on a worker whose address another one has. What it had listed remains complete.
    if (origin == reply_origin::OtherWorker) {
        worker.leaseExpiryBound = std::min(worker.leaseExpiryBound, now);
        worker.hasListedAllEnds = hadListedAllEnds;
    }
    worker.nextPollAt = now + restartPollDelay;
}

worker_state* dispatcher::acceptReply(const worker_address& recipient, const order_reply& reply, Common::instant now)
{
    const auto found = m_workers.find(recipient.id);
    if (found == m_workers.end())
        return nullptr;
    auto& worker = found->second;
    const auto origin = originOf(worker, recipient, reply);
    noteOrigin(worker, origin, reply, now);
    if (origin == reply_origin::OtherWorker)
        return nullptr;
    noteFence(worker, reply);
    return &worker;
}

void dispatcher::noteFence(const worker_state& worker, const order_reply& reply)
{
    if (reply.outcome != order_outcome::Fenced || m_isFenced)
        return;
    m_isFenced = true;
    observe({ .kind = dispatch_event_kind::Fenced, .worker = worker.entry.id });
}

std::map<Jobs::task_name, task_run> dispatcher::takeUnlisted(worker_state& worker, bool isStarting)
{
    std::map<Jobs::task_name, task_run> unlisted;
    for (const auto& [name, run] : worker.runs) {
        if (run.isSent && !run.isListed && (run.phase == run_phase::Starting) == isStarting)
            unlisted.emplace(name, run);
    }
    for (auto& [name, run] : unlisted) {
        dropRun(worker, name);
        // What the earlier incarnation answered to a stop doesn't bind the next one.
        run.stopSentAt.reset();
        run.stopAcceptedAt.reset();
        run.isStopInFlight = false;
    }
    return unlisted;
}

dispatcher::worker_loss dispatcher::takeOpenLoss(worker_loss& loss, const std::map<Jobs::task_name, task_run>& unlisted)
{
    auto open = loss;
    std::erase_if(open.runs, [&unlisted](const auto& lost) {
        const auto run = unlisted.find(lost.task);
        return run == unlisted.end() || !run->second.hasBegun;
    });
    std::erase_if(loss.runs, [&unlisted](const auto& lost) {
        const auto run = unlisted.find(lost.task);
        // A start that was given up may have caused the crash.
        return run != unlisted.end() && (run->second.hasBegun || run->second.phase == run_phase::Inherited);
    });
    return open;
}

void dispatcher::discardIncarnation(worker_state& worker, const worker_entry& entry, Common::instant now)
{
    observe({ .kind = dispatch_event_kind::WorkerRestarted, .worker = entry.id });
    const bool isPlanned = worker.isEndExpected();
    const bool isNextIncarnation = worker.entry.incarnationStartedAt != entry.incarnationStartedAt;
    std::map<Jobs::task_name, task_run> unlisted;
    if (isNextIncarnation)
        unlisted = takeUnlisted(worker, true);
    auto loss = lossOf(worker, now);
    if (isNextIncarnation)
        unlisted.merge(takeUnlisted(worker, false));
    const auto openLoss = takeOpenLoss(loss, unlisted);
    loseAllRuns(worker, now);
    worker.beginIncarnation(entry);
    if (isNextIncarnation) {
        worker.incarnationKnownSince = now;
        worker.noteLease(now, m_options.bounds.longestLease);
    }
    carryOver(worker, unlisted);
    m_uncommittedEnds.erase(entry.id);
    m_acknowledgedEnds[entry.id] = {};
    m_openLosses.erase(entry.id);
    for (const auto& earlier : takeLosses(loss.address))
        noteCrash(earlier);
    if (isPlanned)
        return;
    if (!openLoss.runs.empty())
        m_openLosses.emplace(entry.id, openLoss);
    suspectRecentStarts(loss);
    noteCrash(loss);
}

void dispatcher::carryOver(worker_state& worker, const std::map<Jobs::task_name, task_run>& unlisted)
{
    for (const auto& [name, run] : unlisted) {
        addRun(worker, name, run);
        observe({ .kind = dispatch_event_kind::RunUndetermined, .task = name, .worker = worker.entry.id, .run = run.run });
        if (run.phase == run_phase::Starting)
            orderStop(worker, name, stop_reason::StartUnanswered);
    }
}

void dispatcher::settleOpenLoss(const worker_state& worker, const std::set<std::pair<Jobs::task_name, run_number>>& listed,
    Common::instant sentAt)
{
    const auto found = m_openLosses.find(worker.entry.id);
    if (found == m_openLosses.end())
        return;
    auto& open = found->second.runs;
    // What the present incarnation runs, or has reported as ended, wasn't lost with the earlier one.
    std::erase_if(open, [&worker, &listed](const auto& lost) {
        const auto run = worker.runs.find(lost.task);
        return run == worker.runs.end() || run->second.run != lost.run || listed.contains({ lost.task, lost.run });
    });
    auto settled = found->second;
    const auto isSettled = [sentAt](const auto& lost) { return !lost.startedAt || *lost.startedAt < sentAt; };
    std::erase_if(settled.runs, [&isSettled](const auto& lost) { return !isSettled(lost); });
    std::erase_if(open, isSettled);
    if (open.empty())
        m_openLosses.erase(found);
    suspectRecentStarts(settled);
    noteCrash(settled);
}

bool dispatcher::isOfEarlierIncarnation(const worker_state& worker, const Jobs::task_name& name)
{
    auto* job = findJob(name.job);
    const auto* task = job ? job->find(name) : nullptr;
    return task && task->phase == task_phase::Placed && task->incarnation != Common::wall_millis()
        && task->incarnation < worker.entry.incarnationStartedAt;
}

}
