#include "Client/Tables.h"

#include <catch2/catch.hpp>

TEST_CASE("An operator reads answers as tables")
{
    SECTION("rows share columns as wide as their widest cell")
    {
        const std::string table = Client::toTable(R"([{"a":"x","b":1},{"a":"longer","b":22}])");
        CHECK(table == "a       b\nx       1\nlonger  22\n");
    }
    SECTION("an empty list says so")
    {
        CHECK(Client::toTable("[]") == "(none)\n");
    }
    SECTION("text that isn't JSON is shown as it is")
    {
        CHECK(Client::toTable("no json") == "no json\n");
    }
}
