#include "Core/Fleet/FleetFixture.h"

#include <catch2/catch.hpp>

using Fleet::operator_role;
using Fleet::rejection;

namespace {

Fleet::publish_template templateOf(const std::string& account, std::int64_t expected, Fleet::template_fields fields)
{
    return { .account = { account }, .expected = { expected }, .fields = std::move(fields) };
}

Fleet::team_fields limitOf(const std::string& team, std::int64_t limit)
{
    return { .team = { team }, .upperLimit = Common::slot_count { limit } };
}

}

TEST_CASE("A product manager and an operations lead share a template")
{
    Testing::fleet_fixture fleet;
    fleet.addTeam("day", 4000, 20);

    SECTION("of two concurrent updates the second is rejected with the current revision")
    {
        REQUIRE(fleet.reason(templateOf("account-day", 1, { .teams = { limitOf("day", 15) } })) == rejection::None);
        const auto second = fleet.apply(templateOf("account-day", 1, { .teams = { limitOf("day", 10) } }));
        CHECK(second.reason == rejection::RevisionConflict);
        CHECK(second.standing.value == 2);
    }
    SECTION("a repeated command is applied once")
    {
        const auto body = templateOf("account-day", 1, { .teams = { limitOf("day", 15) } });
        REQUIRE(fleet.apply(body, operator_role::OperationsLead, "same").accepted());
        CHECK(fleet.apply(body, operator_role::OperationsLead, "same").accepted());
        CHECK(fleet.state.accounts.at({ "account-day" }).revision.value == 2);
    }
    SECTION("the lower of the two upper limits applies")
    {
        fleet.apply(templateOf("account-day", 1, { .teams = { limitOf("day", 15) } }));
        CHECK(Fleet::effectiveQuota(fleet.state, { "day" })->upperLimit.value == 15);
        fleet.apply(templateOf("account-day", 2, { .teams = { limitOf("day", 50) } }));
        CHECK(Fleet::effectiveQuota(fleet.state, { "day" })->upperLimit.value == 20);
    }
    SECTION("neither role can set the other's fields")
    {
        CHECK(fleet.reason(templateOf("account-day", 1,
                  { .teams = { { .team = { "day" }, .share = Common::share_weight { 1 } } } }))
            == rejection::FieldNotOwned);
        CHECK(fleet.reason(templateOf("account-day", 1, { .maxInMaintenance = Common::slot_count { 2 } }),
                  operator_role::ProductManager)
            == rejection::FieldNotOwned);
    }
    SECTION("shares that exceed the whole are rejected")
    {
        Fleet::template_fields fields { .teams = { { .team = { "evening" }, .share = Common::share_weight { 6001 } } } };
        CHECK(fleet.reason(templateOf("other", 0, fields), operator_role::ProductManager)
            == rejection::SharesOverWhole);
        fields.teams[0].share = Common::share_weight { 6000 };
        CHECK(fleet.reason(templateOf("other", 0, fields), operator_role::ProductManager) == rejection::None);
    }
    SECTION("a team belongs to one account")
    {
        CHECK(fleet.reason(templateOf("other", 0, { .teams = { limitOf("day", 5) } }), operator_role::ProductManager)
            == rejection::TeamOfOtherAccount);
    }
    SECTION("a budget that no maintenance could meet is rejected")
    {
        CHECK(fleet.reason(templateOf("account-day", 1, { .minAvailable = Common::percent { 100 } }))
            == rejection::BudgetNeverMet);
    }
    SECTION("a withdrawn key stays withdrawn and can't be granted again")
    {
        CHECK(fleet.reason(Fleet::withdraw_key { { "hash-day" } }) == rejection::None);
        CHECK(fleet.reason(Fleet::grant_key { .hash = { "hash-day" }, .team = { "day" } }) == rejection::KeyInUse);
        CHECK(fleet.state.keys.at({ "hash-day" }).withdrawn);
    }
    SECTION("the history has the author, the change and the reason")
    {
        REQUIRE(fleet.state.history.size() == 2);
        CHECK(fleet.state.history[0].author == "ann");
        CHECK(fleet.state.history[0].what == "publish_template");
        CHECK(fleet.state.history[0].why == "test");
    }
}
