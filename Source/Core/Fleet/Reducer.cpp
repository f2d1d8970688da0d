#include "Fleet/Reducer.h"

#include "Fleet/MembershipRules.h"
#include "Fleet/PoolRules.h"
#include "Fleet/TemplateRules.h"
#include "Fleet/WorkRules.h"

#include <algorithm>
#include <array>

namespace Fleet {

namespace {

    /// Applies one command body to the state.
    struct applier {
        fleet_state& state;
        const command& source;
        Common::log_offset offset;
        Common::revision_number& currentRevision;

        rejection operator()(const publish_template& body) const { return applyCommand(state, body, source.role, currentRevision); }

        template <typename Body>
        rejection operator()(const Body& body) const
        {
            if constexpr (requires { applyCommand(state, body, offset); })
                return applyCommand(state, body, offset);
            else
                return applyCommand(state, body);
        }
    };

    void recordResult(fleet_state& state, const command& source, const command_result& result)
    {
        auto& order = source.author.empty() ? state.systemResults : state.operatorResults;
        state.results[source.id] = result;
        order.push_back(source.id);
        if (order.size() <= maxKeptResults)
            return;
        state.results.erase(order.front());
        order.pop_front();
    }

    void recordHistory(fleet_state& state, const command& source, Common::log_offset offset)
    {
        state.history.push_back({ .offset = offset,
            .at = state.latestStamp,
            .author = source.author,
            .role = source.role,
            .what = std::string(nameOf(source.body)),
            .why = source.why });
        if (state.history.size() > maxKeptHistory)
            state.history.pop_front();
    }

    void applyOne(fleet_state& state, const command& source, Common::log_offset offset)
    {
        if (!source.id.empty() && state.results.contains(source.id))
            return;
        command_result result { .offset = offset };
        result.reason = std::visit(applier { state, source, offset, result.standing }, source.body);
        if (source.id.empty())
            return;
        recordResult(state, source, result);
        if (result.accepted() && !source.author.empty())
            recordHistory(state, source, offset);
    }

}

void applyRecord(fleet_state& state, const envelope& record, Common::log_offset offset)
{
    state.latestStamp = std::max(state.latestStamp, record.at);
    for (const command& source : record.commands)
        applyOne(state, source, offset);
    state.applied = offset;
    dropOldOutcomes(state);
}

std::optional<command_result> resultOf(const fleet_state& state, const Common::command_id& id)
{
    const auto found = state.results.find(id);
    if (found == state.results.end())
        return std::nullopt;
    return found->second;
}

std::string_view nameOf(const command_body& body)
{
    constexpr std::array<std::string_view, std::variant_size_v<command_body>> names {
        "join_member", "renew_member", "leave_member", "expire_member", "claim_shard", "release_shard",
        "publish_template", "define_queue", "grant_key", "withdraw_key", "set_zone", "place_instance", "begin_move",
        "release_instance", "join_pool", "drain_instance", "return_instance", "accept_work", "intend_work",
        "finish_work", "cancel_work", "retire_member"
    };
    return names.at(body.index());
}

}
