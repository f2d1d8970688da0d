#include "Jobs/JobRegistry.h"

#include "Jobs/HeldBytes.h"

#include <algorithm>
#include <utility>

namespace Jobs {

namespace {

    bool wasAcceptedBefore(const job_record& left, const job_record& right)
    {
        return left.acceptedAt != right.acceptedAt ? left.acceptedAt < right.acceptedAt : left.id < right.id;
    }

    bool usesFirstLane(const known_job& job) { return !job.lanes.empty() && job.lanes.front() == 0; }

    job_state later(job_state left, job_state right) { return isFinal(left) ? left : std::max(left, right); }

}

bool job_registry::accept(job_record record)
{
    auto& job = m_jobs[record.id.value];
    // Clients that got no answer submit a job again; only the first copy counts.
    if (job.record)
        return false;
    job.record = std::move(record);
    job.heldBytes = heldBytes(*job.record);
    m_openBytes += job.heldBytes;
    if (isFinal(job.state))
        finish(job);
    const auto scope = scopeOf(*job.record);
    const auto [first, last] = m_earlyCancellations.equal_range(callerIdOf(job.record->id).value);
    for (auto entry = first; entry != last;) {
        const bool isMeant = entry->second.covers(scope);
        job.isCancelled = job.isCancelled || isMeant;
        // Another team's may be about a job that isn't known yet.
        entry = isMeant ? m_earlyCancellations.erase(entry) : std::next(entry);
    }
    return true;
}

bool job_registry::cancel(const Common::job_id& id)
{
    const auto found = locate(id);
    if (found == m_jobs.end())
        return !std::exchange((hasScope(id) ? m_jobs[id.value] : m_unscoped[id.value]).isCancelled, true);
    return !std::exchange(m_jobs[found->first].isCancelled, true);
}

std::optional<Common::job_id> job_registry::cancel(const Common::caller_job_id& id, const caller_scope& scope)
{
    if (const auto* job = find(id, scope))
        return cancel(job->id) ? std::optional(job->id) : std::nullopt;
    if (!awaitsJob(id, scope))
        m_earlyCancellations.emplace(id.value, scope);
    return std::nullopt;
}

bool job_registry::awaitsJob(const Common::caller_job_id& id, const caller_scope& scope) const
{
    const auto [first, last] = m_earlyCancellations.equal_range(id.value);
    return std::any_of(first, last, [&scope](const auto& entry) { return entry.second == scope; });
}

void job_registry::replacePart(known_job& job, job_progress progress)
{
    // A job's lanes only become more. Its parts were stored at different times.
    if (progress.lanes.size() > job.lanes.size())
        job.lanes = progress.lanes;
    job.hasState = true;
    // The leader applies a final state before it reads its own, possibly older, records back.
    if (isFinal(job.state))
        return;
    if (progress.part == 0)
        job.state = progress.state;
    if (isFinal(job.state))
        finish(job);
    else
        job.parts.insert_or_assign(progress.part, stored_tasks(std::move(progress.tasks)));
}

void job_registry::finish(known_job& job)
{
    job.parts.clear();
    m_openBytes -= std::exchange(job.heldBytes, 0);
    // Callers ask for the state only.
    if (job.record)
        job.record->spec = {};
}

void job_registry::advance(job_progress progress)
{
    if (!hasScope(progress.job)) {
        auto& unscoped = m_unscoped[progress.job.value];
        replacePart(unscoped, std::move(progress));
        return;
    }
    if (usesCallerKey(progress))
        dropUnscopedPart(callerIdOf(progress.job), progress.part);
    auto& job = m_jobs[progress.job.value];
    replacePart(job, std::move(progress));
}

void job_registry::dropUnscopedPart(const Common::caller_job_id& id, int part)
{
    const auto found = m_unscoped.find(id.value);
    if (found == m_unscoped.end())
        return;
    auto& job = found->second;
    job.parts.erase(part);
    if (part == 0) {
        job.state = job_state::Pending;
        job.hasState = false;
    }
    if (!job.hasState && job.parts.empty() && !job.isCancelled)
        m_unscoped.erase(found);
}

bool job_registry::noteState(const Common::job_id& id, job_state state)
{
    const auto note = [&](known_job& job) {
        job.hasState = true;
        // Progress that was read first may be newer.
        job.state = later(job.state, state);
        if (isFinal(job.state))
            finish(job);
        return true;
    };
    if (hasScope(id)) {
        const auto copy = m_unscoped.find(callerIdOf(id).value);
        if (copy != m_unscoped.end() && copy->second.parts.empty() && !copy->second.isCancelled)
            m_unscoped.erase(copy);
        return note(m_jobs[id.value]);
    }
    const auto [first, last] = namesakes({ id.value });
    const bool isKnown = std::any_of(first, last,
        [state](const auto& entry) { return entry.second.hasState && entry.second.state == state; });
    return !isKnown && note(m_unscoped[id.value]);
}

void job_registry::visitStates(const std::function<void(const Common::job_id&, job_state)>& visit) const
{
    for (auto job = m_jobs.begin(); job != m_jobs.end(); ++job)
        visit({ job->first }, progressStateOf(job));
    for (const auto& [id, job] : m_unscoped) {
        if (ownerOf({ id }) == m_jobs.end())
            visit({ id }, job.state);
    }
}

void job_registry::forget(const Common::job_id& id)
{
    const auto found = m_jobs.find(id.value);
    if (found == m_jobs.end())
        return;
    m_openBytes -= found->second.heldBytes;
    m_jobs.erase(found);
}

std::pair<job_registry::job_map::const_iterator, job_registry::job_map::const_iterator> job_registry::namesakes(
    const Common::caller_job_id& id) const
{
    const auto first = jobIdOf(id, "").value;
    auto end = first;
    ++end.back();
    return { m_jobs.lower_bound(first), m_jobs.lower_bound(end) };
}

job_registry::job_map::const_iterator job_registry::ownerOf(const Common::caller_job_id& id) const
{
    if (const auto unscoped = m_jobs.find(id.value); unscoped != m_jobs.end())
        return unscoped;
    const auto [first, last] = namesakes(id);
    auto owner = m_jobs.end();
    for (auto job = first; job != last; ++job) {
        if (usesFirstLane(job->second))
            return job;
        const bool isEarlier = job->second.record
            && (owner == m_jobs.end() || wasAcceptedBefore(*job->second.record, *owner->second.record));
        if (isEarlier)
            owner = job;
    }
    return owner;
}

job_registry::job_map::const_iterator job_registry::locate(const Common::job_id& id) const
{
    return hasScope(id) ? m_jobs.find(id.value) : ownerOf({ id.value });
}

const known_job* job_registry::unscopedOf(job_map::const_iterator job) const
{
    if (m_unscoped.empty())
        return nullptr;
    const auto id = callerIdOf({ job->first });
    const auto found = m_unscoped.find(id.value);
    return found != m_unscoped.end() && ownerOf(id) == job ? &found->second : nullptr;
}

job_state job_registry::progressStateOf(job_map::const_iterator job) const
{
    const auto* unscoped = unscopedOf(job);
    const auto state = job->second.state;
    return unscoped ? later(state, unscoped->state) : state;
}

bool job_registry::isCancelled(job_map::const_iterator job) const
{
    const auto* unscoped = unscopedOf(job);
    return job->second.isCancelled || (unscoped && unscoped->isCancelled);
}

const job_record* job_registry::find(const Common::job_id& id) const
{
    const auto found = locate(id);
    return found == m_jobs.end() || !found->second.record ? nullptr : &*found->second.record;
}

const job_record* job_registry::find(const Common::caller_job_id& id, const caller_scope& scope) const
{
    if (const auto* job = find(jobIdOf(id, scope)))
        return job;
    const auto isMeant = [&scope](const known_job& job) { return job.record && scope.covers(scopeOf(*job.record)); };
    const auto [first, last] = namesakes(id);
    const auto found = std::find_if(first, last, [&isMeant](const auto& entry) { return isMeant(entry.second); });
    if (found != last)
        return &*found->second.record;
    const auto unscoped = m_jobs.find(id.value);
    return unscoped != m_jobs.end() && isMeant(unscoped->second) ? &*unscoped->second.record : nullptr;
}

bool job_registry::isCancelled(const Common::job_id& id) const
{
    const auto found = locate(id);
    return found != m_jobs.end() && isCancelled(found);
}

job_progress job_registry::progressOf(const Common::job_id& id) const
{
    job_progress whole { .job = id };
    visitProgress(id, [&whole](const job_progress& part) {
        whole.job = part.job;
        whole.state = part.state;
        whole.lanes = part.lanes;
        whole.tasks.insert(whole.tasks.end(), part.tasks.begin(), part.tasks.end());
    });
    return whole;
}

void job_registry::visitProgress(
    const Common::job_id& id, const std::function<void(const job_progress&)>& visit) const
{
    const auto found = locate(id);
    if (found == m_jobs.end())
        return;
    const auto* unscoped = unscopedOf(found);
    job_progress progress { .job = { found->first }, .state = progressStateOf(found), .lanes = found->second.lanes };
    if (unscoped && progress.lanes.empty())
        progress.lanes = unscoped->lanes;
    const auto parts = partsOf(id);
    for (const int part : parts) {
        // Each part of the unscoped progress is newer than the job's own.
        const bool isUnscoped = unscoped && unscoped->parts.contains(part);
        progress.part = part;
        progress.tasks = (isUnscoped ? *unscoped : found->second).parts.at(part).all();
        visit(progress);
    }
    if (parts.empty())
        visit(progress);
}

std::set<int> job_registry::partsOf(const Common::job_id& id) const
{
    std::set<int> numbers;
    const auto found = locate(id);
    if (found == m_jobs.end())
        return numbers;
    for (const auto& [part, tasks] : found->second.parts)
        numbers.insert(part);
    if (const auto* unscoped = unscopedOf(found)) {
        for (const auto& [part, tasks] : unscoped->parts)
            numbers.insert(part);
    }
    return numbers;
}

std::optional<job_state> job_registry::stateOf(const Common::job_id& id) const
{
    const auto found = locate(id);
    if (found == m_jobs.end() || !found->second.record)
        return std::nullopt;
    const auto state = progressStateOf(found);
    return !isFinal(state) && isCancelled(found) ? job_state::Cancelled : state;
}

int job_registry::highestLaneOfOthers(const Common::job_id& id) const
{
    int highest = -1;
    const auto [first, last] = namesakes(callerIdOf(id));
    for (auto job = first; job != last; ++job) {
        if (job->first == id.value)
            continue;
        for (const int lane : job->second.lanes)
            highest = std::max(highest, lane);
        // Its lanes may be in records of earlier versions.
        if (progressStateOf(job) != job_state::Pending)
            highest = std::max(highest, 0);
    }
    const auto unscoped = m_unscoped.find(callerIdOf(id).value);
    const bool isOfOther = unscoped != m_unscoped.end() && unscoped->second.hasState
        && ownerOf(callerIdOf(id)) != m_jobs.find(id.value);
    return isOfOther ? std::max(highest, 0) : highest;
}

int job_registry::waitingIn(const Common::queue_id& queue) const
{
    int waiting = 0;
    for (auto job = m_jobs.begin(); job != m_jobs.end(); ++job) {
        const auto& record = job->second.record;
        if (record && record->queue == queue && progressStateOf(job) == job_state::Pending && !isCancelled(job))
            ++waiting;
    }
    return waiting;
}

std::vector<Common::job_id> job_registry::openJobs() const { return unfinished(false); }

std::vector<Common::job_id> job_registry::cancelledJobs() const { return unfinished(true); }

std::vector<Common::job_id> job_registry::unfinished(bool wantsCancelled) const
{
    std::vector<Common::job_id> jobs;
    for (auto job = m_jobs.begin(); job != m_jobs.end(); ++job) {
        if (job->second.record && isCancelled(job) == wantsCancelled && !isFinal(progressStateOf(job)))
            jobs.push_back({ job->first });
    }
    return jobs;
}

}
