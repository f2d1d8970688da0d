#include "Core/Fleet/FleetFixture.h"

#include "Fleet/Replica.h"

#include <catch2/catch.hpp>

namespace {

std::string recordOf(Fleet::command_body body, const std::string& id)
{
    const Fleet::command sent { .id = { id }, .author = "ann", .role = Fleet::operator_role::OperationsLead, .why = "w", .body = std::move(body) };
    return Fleet::encodeRecord(Fleet::envelope { .at = { 1 }, .by = { "p" }, .commands = { sent } });
}

std::vector<Fleet::stored_record> someRecords(int count)
{
    std::vector<Fleet::stored_record> records;
    for (int index = 0; index < count; ++index) {
        const std::string name = "w" + std::to_string(index);
        records.push_back({ .offset = { index },
            .text = recordOf(Fleet::place_instance { { name }, { "p" }, { "dc1" }, { "r1" } }, "c" + name) });
    }
    return records;
}

std::vector<Fleet::stored_record> snapshotRecords(const Fleet::fleet_state& state, std::int64_t from)
{
    std::vector<Fleet::stored_record> records;
    for (const auto& chunk : Fleet::splitSnapshot(state, "s", 64))
        records.push_back({ .offset = { from++ }, .text = Fleet::encodeRecord(chunk) });
    return records;
}

}

TEST_CASE("A replica applies the records of the log")
{
    Fleet::replica replica;
    const auto records = someRecords(6);

    SECTION("records are applied once and in order, also when they are read repeatedly")
    {
        REQUIRE(replica.applyRecords({ 0 }, records));
        REQUIRE(replica.applyRecords({ 0 }, records));
        CHECK(replica.state().applied.value == 5);
        CHECK(replica.state().instances.size() == 6);
    }
    SECTION("a missing record stops the replica permanently")
    {
        REQUIRE(replica.applyRecords({ 0 }, { records[0] }));
        CHECK_FALSE(replica.applyRecords({ 0 }, { records[2] }));
        CHECK(replica.lastReason() == Fleet::replica_failure::Gap);
        CHECK_FALSE(replica.applyRecords({ 0 }, records));
    }
    SECTION("records that expired before they were read are a gap")
    {
        REQUIRE(replica.applyRecords({ 0 }, { records[0] }));
        CHECK_FALSE(replica.applyRecords({ 3 }, { records[3] }));
        CHECK(replica.lastReason() == Fleet::replica_failure::Gap);
    }
    SECTION("malformed records are skipped")
    {
        REQUIRE(replica.applyRecords({ 0 }, { { .offset = { 0 }, .text = "garbage" } }));
        CHECK(replica.skipped() == 1);
        CHECK(replica.state().applied.value == 0);
    }
    SECTION("a record of a newer version stops the replica, so that it can't diverge")
    {
        CHECK_FALSE(replica.applyRecords({ 0 }, { { .offset = { 0 }, .text = R"({"v":2})" } }));
        CHECK(replica.lastReason() == Fleet::replica_failure::SchemaTooNew);
    }
}

TEST_CASE("A new daemon starts when the oldest records have expired")
{
    Fleet::replica writer;
    const auto records = someRecords(6);
    REQUIRE(writer.applyRecords({ 0 }, { records[0], records[1], records[2] }));
    auto kept = snapshotRecords(writer.state(), 3);
    const auto chunks = static_cast<std::int64_t>(kept.size());
    REQUIRE(chunks > 2);
    auto late = records[3];
    late.offset = { 3 + chunks };
    kept.push_back(late);

    SECTION("from a snapshot and the records after it, with the same state as a replica that read everything")
    {
        REQUIRE(writer.applyRecords({ 0 }, kept));
        Fleet::replica newcomer;
        REQUIRE(newcomer.applyRecords({ 3 }, kept));
        REQUIRE(newcomer.hasState());
        CHECK(Fleet::encodeState(newcomer.state()) == Fleet::encodeState(writer.state()));
    }
    SECTION("never from a snapshot with a damaged chunk")
    {
        auto damaged = snapshotRecords(writer.state(), 3);
        const auto parts = Fleet::splitSnapshot(writer.state(), "s", 64);
        auto part = parts[1];
        part.data[0] ^= 1;
        damaged[1].text = Fleet::encodeRecord(part);
        Fleet::replica newcomer;
        REQUIRE(newcomer.applyRecords({ 3 }, damaged));
        CHECK_FALSE(newcomer.hasState());
    }
    SECTION("never while records between the snapshot and the remaining ones are missing")
    {
        auto shifted = kept;
        shifted.insert(shifted.begin(), { .offset = { 5 }, .text = records[5].text });
        for (std::size_t index = 1; index < shifted.size(); ++index)
            shifted[index].offset = { 5 + static_cast<std::int64_t>(index) };
        Fleet::replica newcomer;
        REQUIRE(newcomer.applyRecords({ 5 }, shifted));
        CHECK_FALSE(newcomer.hasState());
    }
    SECTION("without any snapshot it waits and has no state")
    {
        Fleet::replica newcomer;
        REQUIRE(newcomer.applyRecords({ 3 }, { records[3], records[4] }));
        CHECK_FALSE(newcomer.hasState());
    }
}
