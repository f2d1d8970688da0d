#include "Fleet/WorkRules.h"

#include "Common/Hashing.h"

namespace Fleet {

namespace {

    bool mayUseQueue(const fleet_state& state, const queue_record& queue, const accept_work& accept)
    {
        if (queue.open && accept.identity.team == openTeam(accept.identity.queue))
            return true;
        const auto team = teamOfKey(state, accept.key);
        return team && *team == accept.identity.team;
    }

    /// Whether the request certainly hasn't run yet and may still be started.
    bool mayRun(const work_record& work)
    {
        const bool certainlyNotRun = work.phase == work_phase::Finished
            && work.result.kind == Requests::outcome_kind::NotRun && !work.queued;
        return work.phase == work_phase::Queued || certainlyNotRun;
    }

    void finish(fleet_state& state, const Requests::work_identity& identity, work_record& work,
        const Requests::outcome& result)
    {
        if (work.phase != work_phase::Finished)
            state.finishedOrder.push_back(identity);
        work.phase = work_phase::Finished;
        work.result = result;
        work.finishedAt = state.latestStamp;
        work.payload.clear();
    }

}

std::optional<Common::team_id> teamOfKey(const fleet_state& state, const Common::key_hash& hash)
{
    const auto found = state.keys.find(hash);
    if (found == state.keys.end() || found->second.withdrawn)
        return std::nullopt;
    return found->second.team;
}

rejection applyCommand(fleet_state& state, const accept_work& accept, Common::log_offset offset)
{
    const auto queue = state.queues.find(accept.identity.queue);
    if (queue == state.queues.end())
        return rejection::NameUnknown;
    const std::string digest = Common::contentDigest(accept.payload);
    const auto known = state.works.find(accept.identity);
    if (known != state.works.end()) {
        const bool same = known->second.queued && known->second.payloadDigest == digest;
        return same ? rejection::None : rejection::IdReused;
    }
    if (!mayUseQueue(state, queue->second, accept))
        return rejection::KeyNotValid;
    state.works[accept.identity] = {
        .phase = work_phase::Queued,
        .needs = accept.needs,
        .idempotent = accept.idempotent,
        .queued = true,
        .deadline = accept.deadline,
        .payload = accept.payload,
        .payloadDigest = digest,
        .accepted = offset,
    };
    return rejection::None;
}

rejection applyCommand(fleet_state& state, const intend_work& intend, Common::log_offset offset)
{
    const auto queue = state.queues.find(intend.identity.queue);
    if (queue == state.queues.end())
        return rejection::NameUnknown;
    const auto holding = holderOf(state, poolShard(queue->second.pool));
    if (!holding || holding->epoch != intend.epoch)
        return rejection::StaleEpoch;
    const auto known = state.works.find(intend.identity);
    const bool isNew = known == state.works.end();
    if (!isNew && !mayRun(known->second))
        return rejection::IdReused;
    work_record& work = state.works[intend.identity];
    work.phase = work_phase::Intended;
    work.task = intend.task;
    work.instance = intend.instance;
    work.payloadDigest = intend.payloadDigest;
    if (isNew)
        work.accepted = offset;
    return rejection::None;
}

rejection applyCommand(fleet_state& state, const finish_work& finished)
{
    const auto found = state.works.find(finished.identity);
    if (found == state.works.end())
        return rejection::NameUnknown;
    work_record& work = found->second;
    const bool resolvesUnknown = work.phase == work_phase::Finished
        && work.result.kind == Requests::outcome_kind::Unknown
        && finished.result.kind == Requests::outcome_kind::Done;
    if (work.phase == work_phase::Finished && !resolvesUnknown)
        return rejection::AlreadyFinished;
    finish(state, finished.identity, work, finished.result);
    return rejection::None;
}

rejection applyCommand(fleet_state& state, const cancel_work& cancel)
{
    const auto found = state.works.find(cancel.identity);
    if (found == state.works.end())
        return rejection::NameUnknown;
    if (found->second.phase != work_phase::Queued)
        return rejection::WrongPhase;
    finish(state, cancel.identity, found->second, Requests::notRun(Requests::refusal_reason::Cancelled));
    return rejection::None;
}

void dropOldOutcomes(fleet_state& state)
{
    const Common::wall_millis oldest = state.latestStamp - outcomeRetention;
    while (!state.finishedOrder.empty()) {
        const auto found = state.works.find(state.finishedOrder.front());
        const bool isFinished = found != state.works.end() && found->second.phase == work_phase::Finished;
        if (isFinished && found->second.finishedAt > oldest)
            return;
        if (isFinished)
            state.works.erase(found);
        state.finishedOrder.pop_front();
    }
}

}
