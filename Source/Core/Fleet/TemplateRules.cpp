#include "Fleet/TemplateRules.h"

#include <algorithm>

namespace Fleet {

namespace {

    constexpr Common::percent highestMinAvailable { 99 };

    bool setsFieldOfOtherRole(const template_fields& fields, operator_role role)
    {
        if (role == operator_role::ProductManager)
            return fields.maxInMaintenance.has_value();
        return std::ranges::any_of(fields.teams, [](const team_fields& team) { return team.share.has_value(); });
    }

    rejection checkRanges(const template_fields& fields)
    {
        for (const team_fields& team : fields.teams) {
            if (team.share && (team.share->value < 0 || *team.share > wholeShare))
                return rejection::SharesOverWhole;
            if (team.upperLimit && (team.upperLimit->value < 0 || *team.upperLimit > highestUpperLimit))
                return rejection::LimitOutOfRange;
        }
        if (fields.maxInMaintenance && fields.maxInMaintenance->value < 1)
            return rejection::BudgetNeverMet;
        if (fields.minAvailable && (fields.minAvailable->value < 0 || *fields.minAvailable > highestMinAvailable))
            return rejection::BudgetNeverMet;
        return rejection::None;
    }

    bool hasTeamOfOtherAccount(const fleet_state& state, const publish_template& publish)
    {
        for (const auto& [name, account] : state.accounts) {
            if (name == publish.account)
                continue;
            for (const team_fields& other : account.productManager.teams) {
                if (std::ranges::find(publish.fields.teams, other.team, &team_fields::team) != publish.fields.teams.end())
                    return true;
            }
        }
        return false;
    }

    Common::share_weight sumOfShares(const template_fields& fields)
    {
        Common::share_weight sum;
        for (const team_fields& team : fields.teams)
            sum += team.share.value_or(Common::share_weight {});
        return sum;
    }

    bool sharesExceedWhole(const fleet_state& state, const publish_template& publish)
    {
        Common::share_weight sum = sumOfShares(publish.fields);
        for (const auto& [name, account] : state.accounts) {
            if (name != publish.account)
                sum += sumOfShares(account.productManager);
        }
        return sum > wholeShare;
    }

}

rejection applyCommand(
    fleet_state& state, const publish_template& publish, operator_role role, Common::revision_number& currentRevision)
{
    if (role == operator_role::System)
        return rejection::RoleMissing;
    const auto found = state.accounts.find(publish.account);
    currentRevision = found == state.accounts.end() ? Common::revision_number {} : found->second.revision;
    if (publish.expected != currentRevision)
        return rejection::RevisionConflict;
    if (setsFieldOfOtherRole(publish.fields, role))
        return rejection::FieldNotOwned;
    if (const rejection reason = checkRanges(publish.fields); reason != rejection::None)
        return reason;
    if (hasTeamOfOtherAccount(state, publish))
        return rejection::TeamOfOtherAccount;
    if (role == operator_role::ProductManager && sharesExceedWhole(state, publish))
        return rejection::SharesOverWhole;
    account_template& account = state.accounts[publish.account];
    account.revision = currentRevision + Common::revision_number { 1 };
    (role == operator_role::ProductManager ? account.productManager : account.operationsLead) = publish.fields;
    return rejection::None;
}

rejection applyCommand(fleet_state& state, const define_queue& define)
{
    if (define.queue.empty() || define.pool.empty())
        return rejection::NameUnknown;
    const auto found = state.queues.find(define.queue);
    // Queued work is bound to the pool of its queue, so a queue never changes pools.
    if (found != state.queues.end() && found->second.pool != define.pool)
        return rejection::NameInUse;
    state.queues[define.queue] = { .pool = define.pool, .open = define.open, .openLimit = define.openLimit };
    return rejection::None;
}

rejection applyCommand(fleet_state& state, const grant_key& grant)
{
    if (grant.hash.empty() || !effectiveQuota(state, grant.team))
        return rejection::NameUnknown;
    if (state.keys.contains(grant.hash))
        return rejection::KeyInUse;
    state.keys[grant.hash] = { .team = grant.team };
    return rejection::None;
}

rejection applyCommand(fleet_state& state, const withdraw_key& withdraw)
{
    const auto found = state.keys.find(withdraw.hash);
    if (found == state.keys.end())
        return rejection::NameUnknown;
    found->second.withdrawn = true;
    return rejection::None;
}

}
