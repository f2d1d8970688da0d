#include "Client/Tables.h"

#include <catch2/catch.hpp>

TEST_CASE("JSON answers are printed as tables")
{
    SECTION("a column is as wide as its widest cell")
    {
        const std::string table = Client::toTable(R"([{"a":"x","b":1},{"a":"longer","b":22}])");
        CHECK(table == "a       b\nx       1\nlonger  22\n");
    }
    SECTION("an empty list is printed as (none)")
    {
        CHECK(Client::toTable("[]") == "(none)\n");
    }
    SECTION("text that isn't JSON is printed unchanged")
    {
        CHECK(Client::toTable("no json") == "no json\n");
    }
}
