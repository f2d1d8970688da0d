#include "Node/OperatorApi.h"

#include "Common/Hashing.h"
#include "Common/JsonFields.h"
#include "Fleet/Budgets.h"
#include "Reports/BurnReport.h"

#include <algorithm>
#include <thread>

namespace Node {

namespace {

    using Common::json;

    constexpr int httpOk = 200;
    constexpr int httpAccepted = 202;
    constexpr int httpBadRequest = 400;
    constexpr int httpForbidden = 403;
    constexpr int httpNotFound = 404;
    constexpr int httpConflict = 409;
    /// How long a change may take to be applied here before it is reported as unknown.
    constexpr Common::millis changeTimeout { 4000 };
    /// How long to ask the other daemons whether they have applied a change before it is called pending.
    constexpr Common::millis confirmTimeout { 1500 };
    constexpr Common::millis confirmInterval { 20 };

    http_answer fault(int status, const char* error, const std::string& field)
    {
        return { .status = status, .body = Common::writeJson(json { { "error", error }, { "field", field } }) };
    }

    const char* toText(Fleet::operator_role role)
    {
        switch (role) {
        case Fleet::operator_role::ProductManager:
            return "product_manager";
        case Fleet::operator_role::OperationsLead:
            return "operations_lead";
        case Fleet::operator_role::System:
            break;
        }
        return "system";
    }

    const char* toText(Fleet::move_phase phase)
    {
        switch (phase) {
        case Fleet::move_phase::InPool:
            return "in_pool";
        case Fleet::move_phase::Leaving:
            return "leaving";
        case Fleet::move_phase::Released:
            break;
        }
        return "released";
    }

    struct change_maker {
        const char* verb;
        std::function<Fleet::command_body(const json&)> make;
    };

    Fleet::command_body makeZone(const json& in, Fleet::zone_kind kind)
    {
        return Fleet::set_zone { .kind = kind, .name = in.at("name").get<std::string>(), .out = in.at("out").get<bool>() };
    }

    Fleet::command_body makeTemplate(const json& in)
    {
        const auto fields = Fleet::decodeFields(Common::writeJson(in.at("fields")));
        if (!fields)
            throw json::other_error::create(Common::jsonOtherError, "fields", nullptr);
        return Fleet::publish_template { .account = in.at("account").get<Common::account_id>(),
            .expected = in.at("expected").get<Common::revision_number>(),
            .fields = *fields };
    }

    Fleet::command_body makeQueue(const json& in)
    {
        return Fleet::define_queue { .queue = in.at("queue").get<Common::queue_id>(),
            .pool = in.at("pool").get<Common::pool_id>(),
            .open = in.value("open", false),
            .openLimit = { in.value("openLimit", std::int64_t { 0 }) } };
    }

    Fleet::command_body makePlace(const json& in)
    {
        return Fleet::place_instance { .instance = in.at("instance").get<Common::instance_id>(),
            .pool = in.at("pool").get<Common::pool_id>(),
            .dataCentre = in.at("dataCentre").get<Common::data_centre_id>(),
            .rack = in.at("rack").get<Common::rack_id>() };
    }

    const std::vector<change_maker>& changeMakers()
    {
        static const std::vector<change_maker> makers {
            { "template", makeTemplate },
            { "queue", makeQueue },
            { "place", makePlace },
            { "grant-key",
                [](const json& in) -> Fleet::command_body {
                    return Fleet::grant_key {
                        .hash = in.at("hash").get<Common::key_hash>(), .team = in.at("team").get<Common::team_id>()
                    };
                } },
            { "withdraw-key",
                [](const json& in) -> Fleet::command_body {
                    return Fleet::withdraw_key { .hash = in.at("hash").get<Common::key_hash>() };
                } },
            { "data-centre", [](const json& in) { return makeZone(in, Fleet::zone_kind::DataCentre); } },
            { "rack", [](const json& in) { return makeZone(in, Fleet::zone_kind::Rack); } },
            { "instance", [](const json& in) { return makeZone(in, Fleet::zone_kind::Instance); } },
            { "move",
                [](const json& in) -> Fleet::command_body {
                    return Fleet::begin_move { .instance = in.at("instance").get<Common::instance_id>(),
                        .target = in.at("pool").get<Common::pool_id>(),
                        .knownDown = {} };
                } },
            { "drain",
                [](const json& in) -> Fleet::command_body {
                    return Fleet::drain_instance { .instance = in.at("instance").get<Common::instance_id>(),
                        .knownDown = {} };
                } },
            { "return",
                [](const json& in) -> Fleet::command_body {
                    return Fleet::return_instance { .instance = in.at("instance").get<Common::instance_id>() };
                } },
        };
        return makers;
    }

    /// Reads the body of a change. Empty when the verb or a field is wrong; `field` then names it.
    std::optional<Fleet::command_body> readChange(const json& in, std::string& field)
    {
        const auto verb = in.find("verb");
        field = "verb";
        if (verb == in.end() || !verb->is_string())
            return std::nullopt;
        const auto& makers = changeMakers();
        const auto found = std::ranges::find(makers, verb->get<std::string>(), &change_maker::verb);
        if (found == makers.end())
            return std::nullopt;
        field = "body";
        try {
            return found->make(in.at("body"));
        } catch (const json::exception&) {
            return std::nullopt;
        }
    }

    json describeTeams(const Fleet::fleet_state& state, const permit_manager& permits)
    {
        json teams = json::array();
        for (const auto& [name, account] : state.accounts) {
            for (const auto& team : account.productManager.teams) {
                const auto quota = Fleet::effectiveQuota(state, team.team).value_or(Fleet::team_quota {});
                teams.push_back({ { "team", team.team }, { "account", name }, { "share", quota.share },
                    { "upperLimit", quota.upperLimit }, { "runningHere", permits.running(team.team) },
                    { "permitsHere", permits.allowance(team.team) } });
            }
        }
        return teams;
    }

    json describeInstances(const Fleet::fleet_state& state)
    {
        json instances = json::array();
        for (const auto& [name, instance] : state.instances) {
            instances.push_back({ { "instance", name }, { "pool", instance.pool }, { "dataCentre", instance.dataCentre },
                { "rack", instance.rack }, { "phase", toText(instance.phase) }, { "target", instance.target },
                { "maintenance", instance.inMaintenance }, { "open", Fleet::isOpenForWork(state, instance) } });
        }
        return instances;
    }

    json describePools(const Fleet::fleet_state& state)
    {
        json pools = json::array();
        for (const auto& shard : Fleet::neededShards(state)) {
            const auto pool = Fleet::poolOfShard(shard);
            if (!pool)
                continue;
            const auto availability = Fleet::availabilityOf(state, *pool, {});
            const auto assignment = Fleet::holderOf(state, shard);
            pools.push_back({ { "pool", *pool }, { "instances", availability.total },
                { "available", availability.available }, { "inMaintenance", availability.inMaintenance },
                { "holder", assignment ? assignment->holder.value : std::string() } });
        }
        return pools;
    }

    json describeHistory(const Fleet::fleet_state& state)
    {
        json lines = json::array();
        for (const auto& entry : state.history) {
            lines.push_back({ { "offset", entry.offset }, { "at", entry.at }, { "author", entry.author },
                { "role", toText(entry.role) }, { "what", entry.what }, { "why", entry.why } });
        }
        return lines;
    }

    json describeTemplates(const Fleet::fleet_state& state)
    {
        json accounts = json::array();
        for (const auto& [name, account] : state.accounts) {
            const auto fields = [](const Fleet::template_fields& stated) {
                return Common::parseJson(Fleet::encodeFields(stated)).value_or(json::object());
            };
            accounts.push_back({ { "account", name }, { "revision", account.revision },
                { "productManager", fields(account.productManager) },
                { "operationsLead", fields(account.operationsLead) } });
        }
        return accounts;
    }

    json describeQueues(const Fleet::fleet_state& state)
    {
        json queues = json::array();
        for (const auto& [name, queue] : state.queues) {
            std::int64_t waiting = 0;
            for (const auto& [identity, work] : state.works)
                waiting += identity.queue == name && work.phase == Fleet::work_phase::Queued ? 1 : 0;
            queues.push_back(
                { { "queue", name }, { "pool", queue.pool }, { "open", queue.open }, { "queuedWork", waiting } });
        }
        return queues;
    }

    json describeMembers(const Fleet::fleet_state& state)
    {
        json members = json::array();
        for (const auto& [process, entry] : state.members) {
            std::int64_t shards = 0;
            for (const auto& [shard, assignment] : state.shards)
                shards += assignment.holder == process ? 1 : 0;
            members.push_back({ { "process", process }, { "dataCentre", entry.info.dataCentre },
                { "peers", Common::toText(entry.info.peers) }, { "shards", shards }, { "retiring", entry.retiring } });
        }
        return members;
    }

    json describeShards(const Fleet::fleet_state& state)
    {
        json shards = json::array();
        for (const auto& shard : Fleet::neededShards(state)) {
            const auto assignment = Fleet::holderOf(state, shard);
            shards.push_back({ { "shard", shard }, { "holder", assignment ? assignment->holder.value : std::string() },
                { "epoch", assignment ? assignment->epoch.value : -1 } });
        }
        return shards;
    }

    json describeKeys(const Fleet::fleet_state& state)
    {
        json keys = json::array();
        for (const auto& [hash, key] : state.keys)
            keys.push_back({ { "hash", hash }, { "team", key.team }, { "withdrawn", key.withdrawn } });
        return keys;
    }

    json describeWindow(const Reports::burn_window& window)
    {
        return { { "served", window.served }, { "failed", window.failed }, { "rate", window.rate } };
    }

}

void operator_api::addRoutes(http_server& server)
{
    server.onPost("/v1/changes", [this](const http_call& call) { return onChange(call); });
    server.onGet("/v1/changes/", [this](const http_call& call) { return onChangeState(call); });
    server.onGet("/v1/state/", [this](const http_call& call) { return onState(call); });
    server.onGet("/v1/metrics", [this](const http_call& call) { return onMetrics(call); });
    server.onGet("/v1/burn", [this](const http_call& call) { return onBurn(call); });
}

const Settings::operator_account* operator_api::operatorOf(const http_call& call) const
{
    const auto hash = Common::hashKey(call.key);
    const auto& accounts = m_parts.context.settings().operatorAccounts;
    const auto found = std::ranges::find_if(
        accounts, [&hash](const Settings::operator_account& account) { return Common::sameHash(account.key, hash); });
    return found == accounts.end() ? nullptr : &*found;
}

http_answer operator_api::onChange(const http_call& call)
{
    const auto* const author = operatorOf(call);
    if (!author)
        return fault(httpForbidden, "operator_unknown", "X-Loft-Key");
    const auto in = Common::parseJson(call.body);
    if (!in || !in->is_object())
        return fault(httpBadRequest, "not_json", "");
    std::string field;
    auto body = readChange(*in, field);
    if (!body)
        return fault(httpBadRequest, "bad_request", field);
    const auto id = Common::readJson<Common::command_id>(Common::writeJson(in->value("id", json(""))));
    if (!id || id->empty())
        return fault(httpBadRequest, "missing", "id");
    const auto why = Common::readJson<std::string>(Common::writeJson(in->value("why", json("")))).value_or("");
    if (why.empty())
        return fault(httpBadRequest, "missing", "why");
    {
        auto lock = m_parts.context.lock();
        const auto down = m_parts.pools.unusableInstances();
        if (auto* const drain = std::get_if<Fleet::drain_instance>(&*body))
            drain->knownDown = down;
        if (auto* const move = std::get_if<Fleet::begin_move>(&*body))
            move->knownDown = down;
        m_parts.context.submit({ .id = *id,
            .author = author->name,
            .role = author->role,
            .why = why,
            .body = std::move(*body) });
        m_parts.context.waitForResult(lock, *id, Common::boot_clock::now() + changeTimeout);
    }
    return describeChange(*id);
}

http_answer operator_api::onChangeState(const http_call& call)
{
    return describeChange({ call.rest });
}

http_answer operator_api::describeChange(const Common::command_id& id)
{
    std::optional<Fleet::command_result> result;
    {
        const auto lock = m_parts.context.lock();
        result = Fleet::resultOf(m_parts.context.state(), id);
    }
    if (!result)
        return { .status = httpNotFound, .body = Common::writeJson(json { { "id", id }, { "state", "unknown" } }) };
    if (!result->accepted()) {
        const json body { { "id", id }, { "state", "rejected" }, { "reason", Fleet::toText(result->reason) },
            { "standingRevision", result->standing }, { "offset", result->offset } };
        return { .status = httpConflict, .body = Common::writeJson(body) };
    }
    auto missing = unconfirmed(result->offset);
    const auto deadline = Common::boot_clock::now() + confirmTimeout;
    while (!missing.empty() && Common::boot_clock::now() < deadline) {
        std::this_thread::sleep_for(confirmInterval);
        missing = unconfirmed(result->offset);
    }
    const json body { { "id", id }, { "state", missing.empty() ? "accepted" : "pending" }, { "offset", result->offset },
        { "unconfirmed", missing } };
    return { .status = missing.empty() ? httpOk : httpAccepted, .body = Common::writeJson(body) };
}

std::vector<Common::process_id> operator_api::unconfirmed(Common::log_offset offset)
{
    std::vector<Fleet::member> members;
    {
        const auto lock = m_parts.context.lock();
        for (const auto& [process, entry] : m_parts.context.state().members) {
            if (process != m_parts.context.self())
                members.push_back(entry);
        }
    }
    std::vector<char> confirmed(members.size(), 0);
    m_parts.executor.runAll(members.size(), [&](std::size_t index) {
        const auto reply = m_parts.peers.view(members[index].info.peers);
        confirmed[index] = reply && reply->process == members[index].info.process && reply->applied >= offset ? 1 : 0;
    });
    std::vector<Common::process_id> missing;
    for (std::size_t index = 0; index < members.size(); ++index) {
        if (confirmed[index] == 0)
            missing.push_back(members[index].info.process);
    }
    return missing;
}

http_answer operator_api::onState(const http_call& call)
{
    if (!operatorOf(call))
        return fault(httpForbidden, "operator_unknown", "X-Loft-Key");
    struct view {
        std::string_view name;
        std::function<json(const Fleet::fleet_state&)> describe;
    };
    const std::vector<view> views {
        { "teams", [this](const Fleet::fleet_state& state) { return describeTeams(state, m_parts.permits); } },
        { "instances", describeInstances },
        { "pools", describePools },
        { "history", describeHistory },
        { "templates", describeTemplates },
        { "queues", describeQueues },
        { "members", describeMembers },
        { "shards", describeShards },
        { "keys", describeKeys },
    };
    const auto found = std::ranges::find(views, call.rest, &view::name);
    if (found == views.end())
        return fault(httpNotFound, "no_such_view", call.rest);
    const auto lock = m_parts.context.lock();
    return { .body = Common::writeJson(found->describe(m_parts.context.state())) };
}

http_answer operator_api::onMetrics(const http_call&)
{
    json teams = json::array();
    for (const auto& team : m_parts.outcomeMetrics.teams()) {
        teams.push_back({ { "team", team.team }, { "done", team.done }, { "notRun", team.notRun },
            { "unknown", team.unknown }, { "meanMs", team.meanMillis }, { "p50Ms", team.medianMillis },
            { "p99Ms", team.p99Millis } });
    }
    json pools = json::array();
    const auto lock = m_parts.context.lock();
    for (const auto& pool : m_parts.pools.pools()) {
        pools.push_back({ { "pool", pool.pool }, { "epoch", pool.epoch }, { "waiting", pool.waiting },
            { "tasks", pool.tasks }, { "usableWorkers", pool.usableWorkers } });
    }
    const json body { { "process", m_parts.context.self() }, { "applied", m_parts.context.state().applied },
        { "teams", teams }, { "pools", pools }, { "runningPermits", m_parts.permits.runningTotal() },
        { "droppedResults", m_parts.outcomeMetrics.droppedResults() },
        { "mayAct", m_parts.context.mayAct(Common::boot_clock::now()) } };
    return { .body = Common::writeJson(body) };
}

http_answer operator_api::onBurn(const http_call&)
{
    json teams = json::array();
    for (const auto& burn : m_parts.outcomeMetrics.burn(Common::boot_clock::now())) {
        json causes = json::array();
        for (const auto& cause : burn.causes)
            causes.push_back({ { "reason", Requests::toText(cause.reason) }, { "count", cause.count } });
        teams.push_back({ { "team", burn.team }, { "fast", describeWindow(burn.fast) },
            { "slow", describeWindow(burn.slow) }, { "causes", causes } });
    }
    return { .body = Common::writeJson(teams) };
}

}
