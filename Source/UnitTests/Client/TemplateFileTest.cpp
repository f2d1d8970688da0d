#include "Client/TemplateFile.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

TEST_CASE("Account templates are parsed from TOML")
{
    std::vector<Client::template_fault> faults;

    SECTION("a valid template is parsed: account, fields and team limits are read, and a missing field stays empty")
    {
        const auto parsed = Client::parseTemplate(R"(
account = "chicote"
expected = 2
min_available = 60
[[team]]
name = "kits"
share = 2500
upper_limit = 12
)",
            faults);
        REQUIRE(parsed);
        CHECK(parsed->account.value == "chicote");
        CHECK(parsed->expected.value == 2);
        CHECK(parsed->fields.minAvailable->value == 60);
        REQUIRE(parsed->fields.teams.size() == 1);
        CHECK(parsed->fields.teams[0].upperLimit->value == 12);
        CHECK_FALSE(parsed->fields.maxInMaintenance);
    }
    SECTION("all faults are reported at once, with their lines")
    {
        CHECK_FALSE(Client::parseTemplate("account = 1\nexpectd = 2\n[[team]]\nshare = \"x\"\n", faults));
        CHECK(faults.size() == 5);
        const auto unknown = std::find_if(faults.begin(), faults.end(),
            [](const auto& fault) { return fault.kind == Client::template_fault_kind::UnknownKey; });
        REQUIRE(unknown != faults.end());
        CHECK(unknown->key == "expectd");
        CHECK(unknown->line == 2);
    }
    SECTION("a non-ASCII character is reported with its line")
    {
        CHECK_FALSE(Client::parseTemplate("account = \"a\"\n\xC2\xA1 = 1\n", faults));
        REQUIRE(faults.size() == 1);
        CHECK(faults[0].line == 2);
    }
    SECTION("any text yields either a template or faults, without a crash")
    {
        CHECK(rc::check("template fuzz", [](const std::string& text) {
            std::vector<Client::template_fault> found;
            const auto parsed = Client::parseTemplate(text, found);
            RC_ASSERT(parsed.has_value() == found.empty());
        }));
    }
}
