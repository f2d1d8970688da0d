#include "Targets/WorkerLink.h"

#include <algorithm>
#include <set>

namespace Targets {

void worker_link::onAnswer(const std::string& life, worker_millis clock, Common::instant answered)
{
    m_life = life;
    m_clock = clock;
    m_clockAnswered = answered;
    m_isSilent = false;
}

std::optional<worker_millis> worker_link::clockAt(Common::instant when) const
{
    if (m_life.empty())
        return std::nullopt;
    // The clock was read before its answer arrived, so this errs towards an earlier time.
    const auto difference = std::chrono::duration_cast<Common::millis>(when - m_clockAnswered);
    return worker_millis { m_clock.value + difference.count() };
}

void worker_link::onStartSent(const Common::task_id& task, Common::instant notAfter, Common::instant leaseUntil)
{
    m_tasks[task] = { .phase = start_phase::Sent, .life = m_life, .notAfter = notAfter, .leaseUntil = leaseUntil };
}

void worker_link::onStartAccepted(const Common::task_id& task, Common::instant answered)
{
    const auto found = m_tasks.find(task);
    if (found == m_tasks.end())
        return;
    found->second.phase = start_phase::Accepted;
    found->second.acceptedAt = answered;
}

void worker_link::onStartUnclear(const Common::task_id& task)
{
    const auto found = m_tasks.find(task);
    if (found != m_tasks.end())
        found->second.phase = start_phase::Unclear;
}

void worker_link::adopt(const Common::task_id& task, Common::instant now)
{
    m_tasks.try_emplace(task,
        task_line { .phase = start_phase::Accepted,
            .life = m_life,
            .notAfter = now,
            .acceptedAt = now,
            .leaseUntil = now,
            .adopted = true });
}

std::vector<Common::task_id> worker_link::renewable() const
{
    std::vector<Common::task_id> tasks;
    if (m_isSilent)
        return tasks;
    for (const auto& [task, line] : m_tasks) {
        if (line.phase != start_phase::Sent && line.life == m_life)
            tasks.push_back(task);
    }
    return tasks;
}

void worker_link::onRenewalSent(const std::vector<Common::task_id>& tasks, Common::instant leaseUntil)
{
    for (const auto& task : tasks) {
        const auto found = m_tasks.find(task);
        if (found != m_tasks.end())
            found->second.leaseUntil = std::max(found->second.leaseUntil, leaseUntil);
    }
}

std::vector<Common::task_id> worker_link::adopted() const
{
    std::vector<Common::task_id> tasks;
    for (const auto& [task, line] : m_tasks) {
        if (line.adopted)
            tasks.push_back(task);
    }
    return tasks;
}

worker_link::verdicts worker_link::judge(const poll_reply& reply, Common::instant began)
{
    std::set<Common::task_id> shown;
    for (const running_task& task : reply.running)
        shown.insert(task.task);
    for (const finished_task& task : reply.finished)
        shown.insert(task.task);
    verdicts result;
    for (auto& [task, line] : m_tasks) {
        if (line.phase == start_phase::Sent)
            continue;
        if (shown.contains(task)) {
            if (line.phase == start_phase::Unclear)
                onStartAccepted(task, began);
            continue;
        }
        if (line.life != reply.life) {
            result.lost.push_back(task);
        } else if (line.phase == start_phase::Accepted) {
            if (began > line.acceptedAt)
                result.lost.push_back(task);
        } else if (began > line.notAfter + m_margin) {
            result.refused.push_back(task);
        }
    }
    return result;
}

std::vector<Common::task_id> worker_link::lapsed(Common::instant now) const
{
    std::vector<Common::task_id> tasks;
    if (!m_isSilent)
        return tasks;
    for (const auto& [task, line] : m_tasks) {
        if (line.phase != start_phase::Sent && now > line.leaseUntil + m_margin)
            tasks.push_back(task);
    }
    return tasks;
}

}
