#include "Settings/Settings.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using Settings::fault_kind;

namespace {

const std::string validSettings = R"(
[instance]
id = "e1"
data_centre = "dc1"
[listen]
callers = "127.0.0.1:1"
peers = "127.0.0.1:2"
operators = "127.0.0.1:3"
[platform]
log = "127.0.0.1:4"
instance_list = "127.0.0.1:5"
)";

bool has(const std::vector<Settings::settings_fault>& faults, fault_kind kind, const std::string& key)
{
    return std::any_of(faults.begin(), faults.end(),
        [&](const auto& fault) { return fault.kind == kind && fault.key == key; });
}

}

TEST_CASE("Settings are validated together")
{
    std::vector<Settings::settings_fault> faults;

    SECTION("keys that are not required have defaults")
    {
        const auto parsed = Settings::parseSettings(validSettings, faults);
        REQUIRE(parsed);
        CHECK(parsed->instance == "e1");
        CHECK(parsed->timing.lease == Common::millis(3500));
    }
    SECTION("all missing keys of an empty file are reported")
    {
        CHECK_FALSE(Settings::parseSettings("", faults));
        CHECK(faults.size() >= 7);
        CHECK(has(faults, fault_kind::Missing, "listen.callers"));
        CHECK(has(faults, fault_kind::Missing, "platform.log"));
    }
    SECTION("unknown keys, wrong types and values out of range are reported together, with lines")
    {
        CHECK_FALSE(Settings::parseSettings(
            validSettings + "[timing]\nlease_ms = 1\nrenew_every_ms = \"x\"\nleese_ms = 5\n", faults));
        CHECK(has(faults, fault_kind::OutOfRange, "timing.lease_ms"));
        CHECK(has(faults, fault_kind::WrongType, "timing.renew_every_ms"));
        CHECK(has(faults, fault_kind::UnknownKey, "timing.leese_ms"));
        // A contradiction may be about a key that isn't in the file and has its default.
        CHECK(std::ranges::all_of(
            faults, [](const auto& fault) { return fault.line > 10 || fault.kind == fault_kind::Contradiction; }));
    }
    SECTION("contradictory timing values are rejected")
    {
        CHECK_FALSE(Settings::parseSettings(validSettings + "[timing]\nrenew_every_ms = 3000\n", faults));
        CHECK(has(faults, fault_kind::Contradiction, "timing.renew_every_ms"));
    }
    SECTION("listeners need different addresses")
    {
        auto same = validSettings;
        same.replace(same.find("127.0.0.1:2"), 11, "127.0.0.1:1");
        CHECK_FALSE(Settings::parseSettings(same, faults));
        CHECK(has(faults, fault_kind::Contradiction, "listen.callers"));
    }
    SECTION("operators with an unknown role or a malformed key hash are rejected")
    {
        CHECK_FALSE(Settings::parseSettings(
            validSettings + "[[operator]]\nname = \"o\"\nrole = \"boss\"\nkey_hash = \"12\"\n", faults));
        CHECK(has(faults, fault_kind::OutOfRange, "operator.role"));
        CHECK(has(faults, fault_kind::Malformed, "operator.key_hash"));
    }
    SECTION("non-ASCII characters are accepted in comments; elsewhere they, NUL bytes and bad table headers are reported with their line")
    {
        CHECK(Settings::parseSettings("# pre\xC3\xA7o\n" + validSettings, faults));
        CHECK_FALSE(Settings::parseSettings(validSettings + "\xC2\xA1 = 1\n", faults));
        REQUIRE(faults.size() == 1);
        CHECK(faults[0].kind == fault_kind::Syntax);
        CHECK(faults[0].line == 12);
        CHECK_FALSE(Settings::parseSettings(std::string(1, '\0') + validSettings, faults));
        CHECK(faults.at(0).line == 1);
        CHECK_FALSE(Settings::parseSettings(validSettings + "[!x]\n", faults));
        CHECK(faults.at(0).line == 12);
    }
    SECTION("no input makes the parser crash")
    {
        CHECK(rc::check("settings fuzz", [](const std::string& text) {
            std::vector<Settings::settings_fault> found;
            const bool accepted = Settings::parseSettings(text, found).has_value();
            RC_ASSERT(accepted == found.empty());
        }));
        CHECK(rc::check("damaged settings fuzz", [](std::uint16_t place, char byte) {
            std::string text = validSettings;
            text[place % text.size()] = byte;
            std::vector<Settings::settings_fault> found;
            const bool accepted = Settings::parseSettings(text, found).has_value();
            RC_ASSERT(accepted == found.empty());
        }));
    }
}
