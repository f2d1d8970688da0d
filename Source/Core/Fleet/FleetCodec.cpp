#include "Fleet/FleetCodec.h"

#include "Common/Hashing.h"
#include "Requests/RequestJson.h"

#include <algorithm>
#include <utility>

namespace Common {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(endpoint, host, port)

}

namespace Fleet {

using Common::json;

void to_json(json& out, operator_role role) { out = static_cast<int>(role); }
void from_json(const json& in, operator_role& role) { role = Common::enumFromJson(in, operator_role::OperationsLead); }
void to_json(json& out, zone_kind kind) { out = static_cast<int>(kind); }
void from_json(const json& in, zone_kind& kind) { kind = Common::enumFromJson(in, zone_kind::Instance); }
void to_json(json& out, move_phase phase) { out = static_cast<int>(phase); }
void from_json(const json& in, move_phase& phase) { phase = Common::enumFromJson(in, move_phase::Released); }
void to_json(json& out, work_phase phase) { out = static_cast<int>(phase); }
void from_json(const json& in, work_phase& phase) { phase = Common::enumFromJson(in, work_phase::Finished); }
void to_json(json& out, rejection reason) { out = static_cast<int>(reason); }
void from_json(const json& in, rejection& reason) { reason = Common::enumFromJson(in, rejection::AlreadyFinished); }

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(member_info, process, peers, dataCentre)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(join_member, info, version, backers, gone)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(renew_member, process)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(leave_member, process)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(expire_member, process, renewed, backers, gone)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(claim_shard, shard, process)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(release_shard, shard, process, epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(team_fields, team, share, upperLimit)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(template_fields, teams, minAvailable, maxInMaintenance)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(publish_template, account, expected, fields)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(define_queue, queue, pool, open, openLimit)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(grant_key, hash, team)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(withdraw_key, hash)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(set_zone, kind, name, out)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(place_instance, instance, pool, dataCentre, rack)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(begin_move, instance, target, knownDown)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(release_instance, instance, epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(join_pool, instance, epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(drain_instance, instance, knownDown)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(return_instance, instance)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(accept_work, identity, key, needs, idempotent, deadline, payload)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(intend_work, identity, epoch, task, instance, payloadDigest)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(finish_work, identity, result)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(cancel_work, identity)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(retire_member, process)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(member, info, joined, renewed, retiring)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(shard_assignment, holder, epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(account_template, revision, productManager, operationsLead)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(key_record, team, withdrawn)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(queue_record, pool, open, openLimit)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(instance_record, pool, dataCentre, rack, phase, target, inMaintenance, out)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(work_record, phase, needs, idempotent, queued, deadline, payload, payloadDigest,
    task, instance, accepted, finishedAt, result)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(command_result, offset, reason, standing)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(history_entry, offset, at, author, role, what, why)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(fleet_state, applied, latestStamp, membershipVersion, members, shards, accounts,
    keys, queues, instances, dataCentresOut, racksOut, works, finishedOrder, results, operatorResults, systemResults,
    history)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(snapshot_chunk, snapshot, through, index, count, digest, data)

namespace {

    /// Reads the command body whose index in the variant is `number`.
    template <std::size_t Index = 0>
    command_body readBody(std::size_t number, const json& in)
    {
        if constexpr (Index == std::variant_size_v<command_body>) {
            throw json::other_error::create(Common::jsonOtherError, "unknown command", nullptr);
        } else {
            if (number == Index)
                return in.get<std::variant_alternative_t<Index, command_body>>();
            return readBody<Index + 1>(number, in);
        }
    }

    void writeBody(json& out, const command_body& body)
    {
        out["k"] = body.index();
        std::visit([&out](const auto& value) { out["b"] = value; }, body);
    }

}

void to_json(json& out, const command& source)
{
    out = json::object();
    writeBody(out, source.body);
    if (!source.id.empty())
        out["id"] = source.id;
    if (source.author.empty())
        return;
    out["author"] = source.author;
    out["role"] = source.role;
    out["why"] = source.why;
}

void from_json(const json& in, command& target)
{
    target.body = readBody(in.at("k").get<std::size_t>(), in.at("b"));
    if (in.contains("id"))
        target.id = in.at("id").get<Common::command_id>();
    if (!in.contains("author"))
        return;
    target.author = in.at("author").get<std::string>();
    target.role = in.at("role").get<operator_role>();
    target.why = in.at("why").get<std::string>();
}

namespace {

    constexpr const char* schemaField = "v";
    constexpr const char* snapshotField = "snapshot";

    template <typename Value>
    std::optional<Value> tryRead(const json& in)
    {
        try {
            return in.get<Value>();
        } catch (const json::exception&) {
            return std::nullopt;
        }
    }

    std::optional<envelope> readEnvelope(const json& in)
    {
        try {
            return envelope { .at = in.at("at").get<Common::wall_millis>(),
                .by = in.at("by").get<Common::process_id>(),
                .commands = in.at("c").get<std::vector<command>>() };
        } catch (const json::exception&) {
            return std::nullopt;
        }
    }

    std::optional<log_record> readRecordBody(const json& in)
    {
        if (in.contains(snapshotField)) {
            auto chunk = tryRead<snapshot_chunk>(in.at(snapshotField));
            return chunk ? std::optional<log_record>(std::move(*chunk)) : std::nullopt;
        }
        auto read = readEnvelope(in);
        return read ? std::optional<log_record>(std::move(*read)) : std::nullopt;
    }

}

std::string encodeRecord(const envelope& record)
{
    json out { { schemaField, schemaVersion }, { "at", record.at }, { "by", record.by } };
    out["c"] = record.commands;
    return Common::writeJson(out);
}

std::string encodeRecord(const snapshot_chunk& chunk)
{
    const json out { { schemaField, schemaVersion }, { snapshotField, chunk } };
    return Common::writeJson(out);
}

std::optional<log_record> decodeRecord(std::string_view text, decode_failure& lastReason)
{
    lastReason = decode_failure::Malformed;
    const auto parsed = Common::parseJson(text);
    if (!parsed || !parsed->is_object())
        return std::nullopt;
    const auto version = parsed->find(schemaField);
    if (version == parsed->end() || !version->is_number_integer())
        return std::nullopt;
    if (version->get<std::int64_t>() > schemaVersion) {
        lastReason = decode_failure::SchemaTooNew;
        return std::nullopt;
    }
    auto record = readRecordBody(*parsed);
    if (record)
        lastReason = decode_failure::None;
    return record;
}

std::string encodeState(const fleet_state& state) { return Common::writeJson(json(state)); }

std::optional<fleet_state> decodeState(std::string_view text) { return Common::readJson<fleet_state>(text); }

std::vector<snapshot_chunk> splitSnapshot(const fleet_state& state, std::string snapshotId, std::size_t chunkBytes)
{
    const std::string whole = encodeState(state);
    const std::string digest = Common::contentDigest(whole);
    const int count = static_cast<int>((whole.size() + chunkBytes - 1) / chunkBytes);
    std::vector<snapshot_chunk> chunks;
    for (int index = 0; index < count; ++index) {
        chunks.push_back({ .snapshot = snapshotId,
            .through = state.applied,
            .index = index,
            .count = count,
            .digest = digest,
            .data = whole.substr(static_cast<std::size_t>(index) * chunkBytes, chunkBytes) });
    }
    return chunks;
}

std::string encodeFields(const template_fields& fields) { return Common::writeJson(json(fields)); }

std::optional<template_fields> decodeFields(std::string_view text)
{
    return Common::readJson<template_fields>(text);
}

}
