#include "Core/Fleet/FleetFixture.h"

#include "Fleet/FleetCodec.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

TEST_CASE("Log records are decoded as they were encoded")
{
    Fleet::decode_failure failure = Fleet::decode_failure::None;

    SECTION("a finished request keeps its whole outcome")
    {
        const Fleet::envelope record { .at = { 5 },
            .by = { "p" },
            .commands = { { .id = { "c" },
                .body = Fleet::finish_work { { { "q" }, { "t" }, { "r" } }, Requests::done("the answer") } } } };
        const auto decoded = Fleet::decodeRecord(Fleet::encodeRecord(record), failure);
        REQUIRE(decoded);
        const auto& body = std::get<Fleet::finish_work>(std::get<Fleet::envelope>(*decoded).commands.at(0).body);
        CHECK(body.result == Requests::done("the answer"));
    }
    SECTION("every kind of command is encoded and decoded without loss")
    {
        const std::vector<Fleet::command_body> bodies { Fleet::join_member {}, Fleet::renew_member {},
            Fleet::leave_member {}, Fleet::expire_member {}, Fleet::claim_shard {}, Fleet::release_shard {},
            Fleet::publish_template { .fields = { .teams = { { .team = { "t" } } } } }, Fleet::define_queue {},
            Fleet::grant_key {}, Fleet::withdraw_key {}, Fleet::set_zone { .kind = Fleet::zone_kind::Rack },
            Fleet::place_instance {}, Fleet::begin_move {}, Fleet::release_instance {}, Fleet::join_pool {},
            Fleet::drain_instance {}, Fleet::return_instance {}, Fleet::accept_work {}, Fleet::intend_work {},
            Fleet::finish_work {}, Fleet::cancel_work {}, Fleet::retire_member {} };
        REQUIRE(bodies.size() == std::variant_size_v<Fleet::command_body>);
        for (const auto& body : bodies) {
            const std::string text = Fleet::encodeRecord(Fleet::envelope { .commands = { { .body = body } } });
            const auto decoded = Fleet::decodeRecord(text, failure);
            REQUIRE(decoded);
            CHECK(Fleet::encodeRecord(std::get<Fleet::envelope>(*decoded)) == text);
        }
    }
    SECTION("a record of a newer version is distinguished from a malformed one")
    {
        CHECK_FALSE(Fleet::decodeRecord(R"({"v":99,"at":1,"by":"p","c":[]})", failure));
        CHECK(failure == Fleet::decode_failure::SchemaTooNew);
        CHECK_FALSE(Fleet::decodeRecord("garbage", failure));
        CHECK(failure == Fleet::decode_failure::Malformed);
        CHECK_FALSE(Fleet::decodeRecord(R"({"v":1,"at":1,"by":"p","c":[{"k":999,"b":{}}]})", failure));
        CHECK(failure == Fleet::decode_failure::Malformed);
    }
    SECTION("no input crashes the decoder")
    {
        CHECK(rc::check("record fuzz", [](const std::string& text) {
            Fleet::decode_failure reason = Fleet::decode_failure::None;
            const auto decoded = Fleet::decodeRecord(text, reason);
            RC_ASSERT(decoded.has_value() == (reason == Fleet::decode_failure::None));
        }));
        CHECK(rc::check("damaged record fuzz", [](std::uint16_t position, char byte) {
            std::string text = Fleet::encodeRecord(
                Fleet::envelope { .by = { "p" }, .commands = { { .id = { "c" }, .body = Fleet::join_member {} } } });
            text[position % text.size()] = byte;
            Fleet::decode_failure reason = Fleet::decode_failure::None;
            Fleet::fleet_state state;
            if (const auto decoded = Fleet::decodeRecord(text, reason); decoded)
                Fleet::applyRecord(state, std::get<Fleet::envelope>(*decoded), { 0 });
        }));
    }
}
