#include "Targets/WorkerLeaseTracker.h"

#include <algorithm>
#include <set>

namespace Targets {

void worker_lease_tracker::onAnswer(const std::string& workerIncarnation, worker_millis clock, Common::instant answered)
{
    m_incarnation = workerIncarnation;
    m_clock = clock;
    m_clockReceivedAt = answered;
    m_isUnresponsive = false;
}

std::optional<worker_millis> worker_lease_tracker::clockAt(Common::instant when) const
{
    if (m_incarnation.empty())
        return std::nullopt;
    // The worker read its clock before the answer arrived, so the result is never ahead of that clock.
    const auto difference = std::chrono::duration_cast<Common::millis>(when - m_clockReceivedAt);
    return worker_millis { m_clock.value + difference.count() };
}

void worker_lease_tracker::onStartSent(const Common::task_id& task, Common::instant notAfter, Common::instant leaseUntil)
{
    m_tasks[task] = { .phase = start_phase::Sent,
        .workerIncarnation = m_incarnation,
        .notAfter = notAfter,
        .leaseUntil = leaseUntil };
}

void worker_lease_tracker::onStartAccepted(const Common::task_id& task, Common::instant answered)
{
    const auto found = m_tasks.find(task);
    if (found == m_tasks.end())
        return;
    found->second.phase = start_phase::Accepted;
    found->second.acceptedAt = answered;
}

void worker_lease_tracker::onStartUnconfirmed(const Common::task_id& task)
{
    const auto found = m_tasks.find(task);
    if (found != m_tasks.end())
        found->second.phase = start_phase::Unconfirmed;
}

void worker_lease_tracker::adopt(const Common::task_id& task, Common::instant now)
{
    m_tasks.try_emplace(task,
        tracked_task { .phase = start_phase::Accepted,
            .workerIncarnation = m_incarnation,
            .notAfter = now,
            .acceptedAt = now,
            .leaseUntil = now,
            .adopted = true });
}

std::vector<Common::task_id> worker_lease_tracker::renewable() const
{
    std::vector<Common::task_id> tasks;
    if (m_isUnresponsive)
        return tasks;
    for (const auto& [task, tracked] : m_tasks) {
        if (tracked.phase != start_phase::Sent && tracked.workerIncarnation == m_incarnation)
            tasks.push_back(task);
    }
    return tasks;
}

void worker_lease_tracker::onRenewalSent(const std::vector<Common::task_id>& tasks, Common::instant leaseUntil)
{
    for (const auto& task : tasks) {
        const auto found = m_tasks.find(task);
        if (found != m_tasks.end())
            found->second.leaseUntil = std::max(found->second.leaseUntil, leaseUntil);
    }
}

std::vector<Common::task_id> worker_lease_tracker::adopted() const
{
    std::vector<Common::task_id> tasks;
    for (const auto& [task, tracked] : m_tasks) {
        if (tracked.adopted)
            tasks.push_back(task);
    }
    return tasks;
}

worker_lease_tracker::ended_tasks worker_lease_tracker::reconcile(const poll_reply& reply, Common::instant began)
{
    std::set<Common::task_id> shown;
    for (const running_task& task : reply.running)
        shown.insert(task.task);
    for (const finished_task& task : reply.finished)
        shown.insert(task.task);
    ended_tasks result;
    for (auto& [task, tracked] : m_tasks) {
        if (tracked.phase == start_phase::Sent)
            continue;
        if (shown.contains(task)) {
            if (tracked.phase == start_phase::Unconfirmed)
                onStartAccepted(task, began);
            continue;
        }
        if (tracked.workerIncarnation != reply.life) {
            result.lost.push_back(task);
        } else if (tracked.phase == start_phase::Accepted) {
            if (began > tracked.acceptedAt)
                result.lost.push_back(task);
        } else if (began > tracked.notAfter + m_margin) {
            result.neverStarted.push_back(task);
        }
    }
    return result;
}

std::vector<Common::task_id> worker_lease_tracker::expiredTasks(Common::instant now) const
{
    std::vector<Common::task_id> tasks;
    if (!m_isUnresponsive)
        return tasks;
    for (const auto& [task, tracked] : m_tasks) {
        if (tracked.phase != start_phase::Sent && now > tracked.leaseUntil + m_margin)
            tasks.push_back(task);
    }
    return tasks;
}

}
