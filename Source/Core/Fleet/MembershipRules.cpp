#include "Fleet/MembershipRules.h"

#include <algorithm>

namespace Fleet {

namespace {

    bool contains(const std::vector<Common::process_id>& list, const Common::process_id& process)
    {
        return std::ranges::find(list, process) != list.end();
    }

    void removeMember(fleet_state& state, const Common::process_id& process)
    {
        state.members.erase(process);
        std::erase_if(state.shards, [&process](const auto& entry) { return entry.second.holder == process; });
        state.membershipVersion += { 1 };
    }

    /// Members whose address the joining daemon has bound, so they can't be alive.
    std::vector<Common::process_id> membersAt(const fleet_state& state, const Common::endpoint& address)
    {
        std::vector<Common::process_id> found;
        for (const auto& [process, entry] : state.members) {
            if (entry.info.peers == address)
                found.push_back(process);
        }
        return found;
    }

}

bool hasMajority(const fleet_state& state, const std::vector<Common::process_id>& backers,
    const std::vector<Common::process_id>& gone, const Common::process_id& excluded)
{
    std::size_t voters = 0;
    std::size_t votes = 0;
    for (const auto& [process, entry] : state.members) {
        if (process == excluded || contains(gone, process))
            continue;
        ++voters;
        votes += contains(backers, process) ? 1 : 0;
    }
    return voters == 0 || votes * 2 > voters;
}

rejection applyCommand(fleet_state& state, const join_member& join, Common::log_offset offset)
{
    if (state.members.contains(join.info.process))
        return rejection::AlreadyMember;
    if (join.version != state.membershipVersion)
        return rejection::StaleMembership;
    const auto replaced = membersAt(state, join.info.peers);
    std::vector<Common::process_id> gone = join.gone;
    gone.insert(gone.end(), replaced.begin(), replaced.end());
    if (!hasMajority(state, join.backers, gone, join.info.process))
        return rejection::NoMajority;
    for (const auto& process : replaced)
        removeMember(state, process);
    state.members[join.info.process] = { .info = join.info, .joined = offset, .renewed = offset };
    state.membershipVersion += { 1 };
    return rejection::None;
}

rejection applyCommand(fleet_state& state, const renew_member& renew, Common::log_offset offset)
{
    const auto found = state.members.find(renew.process);
    if (found == state.members.end())
        return rejection::NotMember;
    found->second.renewed = offset;
    return rejection::None;
}

rejection applyCommand(fleet_state& state, const retire_member& retire)
{
    const auto found = state.members.find(retire.process);
    if (found == state.members.end())
        return rejection::NotMember;
    found->second.retiring = true;
    return rejection::None;
}

rejection applyCommand(fleet_state& state, const leave_member& leave)
{
    if (!state.members.contains(leave.process))
        return rejection::NotMember;
    removeMember(state, leave.process);
    return rejection::None;
}

rejection applyCommand(fleet_state& state, const expire_member& expire)
{
    const auto found = state.members.find(expire.process);
    if (found == state.members.end())
        return rejection::NotMember;
    if (found->second.renewed != expire.renewed)
        return rejection::Renewed;
    if (!hasMajority(state, expire.backers, expire.gone, expire.process))
        return rejection::NoMajority;
    removeMember(state, expire.process);
    return rejection::None;
}

rejection applyCommand(fleet_state& state, const claim_shard& claim, Common::log_offset offset)
{
    if (!state.members.contains(claim.process))
        return rejection::NotMember;
    if (state.shards.contains(claim.shard))
        return rejection::ShardHeld;
    state.shards[claim.shard] = { .holder = claim.process, .epoch = { offset.value } };
    return rejection::None;
}

rejection applyCommand(fleet_state& state, const release_shard& release)
{
    const auto found = state.shards.find(release.shard);
    if (found == state.shards.end() || found->second.holder != release.process)
        return rejection::NotMember;
    if (found->second.epoch != release.epoch)
        return rejection::StaleEpoch;
    state.shards.erase(found);
    return rejection::None;
}

}
