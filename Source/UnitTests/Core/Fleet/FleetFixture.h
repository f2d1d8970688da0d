#pragma once

#include "Fleet/Reducer.h"

#include <string>

/// Helpers that build a fleet state command by command.
namespace Testing {

/// A fleet state to which each command is applied as a record of its own.
class fleet_fixture {
public:
    Fleet::fleet_state state;

    Fleet::command_result apply(Fleet::command_body body,
        Fleet::operator_role role = Fleet::operator_role::OperationsLead, const std::string& id = {})
    {
        const Common::command_id chosen { id.empty() ? "c" + std::to_string(m_next++) : id };
        const Fleet::envelope record { .at = { 1000 + m_offset },
            .by = { "test" },
            .commands = { { .id = chosen, .author = "ann", .role = role, .why = "test", .body = std::move(body) } } };
        Fleet::applyRecord(state, record, { m_offset++ });
        return Fleet::resultOf(state, chosen).value_or(Fleet::command_result {});
    }

    Fleet::rejection reason(Fleet::command_body body,
        Fleet::operator_role role = Fleet::operator_role::OperationsLead)
    {
        return apply(std::move(body), role).reason;
    }

    /// Adds a member whose peers' listener has the given port.
    Fleet::rejection join(const std::string& process, std::uint16_t port,
        std::vector<Common::process_id> backers = {}, std::vector<Common::process_id> gone = {})
    {
        return reason(Fleet::join_member { .info = { .process = { process }, .peers = { "127.0.0.1", port } },
            .version = state.membershipVersion,
            .backers = std::move(backers),
            .gone = std::move(gone) });
    }

    /// Adds an account with one team and its key, digest "hash-TEAM".
    void addTeam(const std::string& team, std::int64_t share, std::int64_t limit)
    {
        apply(Fleet::publish_template { .account = { "account-" + team },
                  .expected = {},
                  .fields = { .teams = { { .team = { team },
                                  .share = Common::share_weight { share },
                                  .upperLimit = Common::slot_count { limit } } } } },
            Fleet::operator_role::ProductManager);
        apply(Fleet::grant_key { .hash = { "hash-" + team }, .team = { team } });
    }

    void addQueue(const std::string& queue, const std::string& pool)
    {
        apply(Fleet::define_queue { .queue = { queue }, .pool = { pool } });
    }

    void addInstance(const std::string& name, const std::string& pool, const std::string& dataCentre = "dc1")
    {
        apply(Fleet::place_instance { .instance = { name },
            .pool = { pool },
            .dataCentre = { dataCentre },
            .rack = { dataCentre + "/r1" } });
    }

    Common::shard_epoch claim(const std::string& shard, const std::string& process)
    {
        return { apply(Fleet::claim_shard { .shard = { shard }, .process = { process } }).offset.value };
    }

private:
    std::int64_t m_offset { 0 };
    int m_next { 0 };
};

}
