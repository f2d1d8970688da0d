#include "Core/Fleet/FleetFixture.h"

#include "Fleet/Budgets.h"

#include <catch2/catch.hpp>

using Fleet::rejection;

TEST_CASE("Maintenance and moves keep availability budgets")
{
    Testing::fleet_fixture fleet;
    fleet.addTeam("day", 100, 10);
    fleet.addQueue("q", "p");
    fleet.addQueue("s", "spare");
    fleet.join("holder", 1);
    for (const char* name : { "w1", "w2", "w3", "w4" })
        fleet.addInstance(name, "p", name[1] < '3' ? "dc1" : "dc2");
    fleet.apply(Fleet::publish_template {
        .account = { "account-day" }, .expected = { 1 }, .fields = { .minAvailable = Common::percent { 50 } } });

    SECTION("drains are accepted until the budget is reached, in the order of the log")
    {
        CHECK(fleet.reason(Fleet::drain_instance { .instance = { "w1" } }) == rejection::None);
        CHECK(fleet.reason(Fleet::drain_instance { .instance = { "w2" } }) == rejection::None);
        CHECK(fleet.reason(Fleet::drain_instance { .instance = { "w3" } }) == rejection::BudgetBroken);

        SECTION("and again once an instance has returned")
        {
            CHECK(fleet.reason(Fleet::return_instance { { "w1" } }) == rejection::None);
            CHECK(fleet.reason(Fleet::drain_instance { .instance = { "w3" } }) == rejection::None);
        }
    }
    SECTION("instances known to be down count against the budget")
    {
        CHECK(fleet.reason(Fleet::drain_instance { .instance = { "w1" }, .knownDown = { { "w3" }, { "w4" } } })
            == rejection::BudgetBroken);
    }
    SECTION("a data centre that is out counts against the budget")
    {
        fleet.apply(Fleet::set_zone { .kind = Fleet::zone_kind::DataCentre, .name = "dc2", .out = true });
        CHECK(fleet.reason(Fleet::drain_instance { .instance = { "w1" } }) == rejection::BudgetBroken);
        SECTION("but its own instances may be drained")
        {
            CHECK(fleet.reason(Fleet::drain_instance { .instance = { "w3" } }) == rejection::None);
        }
    }
    SECTION("the operations lead's limit on instances in maintenance applies")
    {
        fleet.apply(Fleet::publish_template {
            .account = { "account-day" }, .expected = { 2 }, .fields = { .maxInMaintenance = Common::slot_count { 1 } } });
        CHECK(fleet.reason(Fleet::drain_instance { .instance = { "w1" } }) == rejection::None);
        CHECK(fleet.reason(Fleet::drain_instance { .instance = { "w2" } }) == rejection::MaintenanceFull);
    }
    SECTION("a zone without instances is rejected")
    {
        CHECK(fleet.reason(Fleet::set_zone { .kind = Fleet::zone_kind::DataCentre, .name = "dc9", .out = true })
            == rejection::NameUnknown);
    }
    SECTION("a move takes three steps, the last two by the holders of the old and the new pool")
    {
        const auto old = fleet.claim("pool:p", "holder");
        const auto next = fleet.claim("pool:spare", "holder");
        REQUIRE(fleet.reason(Fleet::begin_move { .instance = { "w1" }, .target = { "spare" } }) == rejection::None);
        CHECK_FALSE(Fleet::isOpenForWork(fleet.state, fleet.state.instances.at({ "w1" })));
        CHECK(fleet.reason(Fleet::join_pool { .instance = { "w1" }, .epoch = next }) == rejection::WrongPhase);
        CHECK(fleet.reason(Fleet::release_instance { .instance = { "w1" }, .epoch = next }) == rejection::StaleEpoch);
        CHECK(fleet.reason(Fleet::release_instance { .instance = { "w1" }, .epoch = old }) == rejection::None);
        CHECK(fleet.state.instances.at({ "w1" }).pool.value == "p");
        CHECK(fleet.reason(Fleet::join_pool { .instance = { "w1" }, .epoch = next }) == rejection::None);
        CHECK(fleet.state.instances.at({ "w1" }).pool.value == "spare");
        CHECK(Fleet::isOpenForWork(fleet.state, fleet.state.instances.at({ "w1" })));
    }
    SECTION("two operators can't move the same instance at once")
    {
        fleet.addQueue("t", "third");
        CHECK(fleet.reason(Fleet::begin_move { .instance = { "w1" }, .target = { "spare" } }) == rejection::None);
        CHECK(fleet.reason(Fleet::begin_move { .instance = { "w1" }, .target = { "third" } }) == rejection::WrongPhase);
    }
}
