#include "Settings/Settings.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using Settings::fault_kind;

namespace {

const std::string whole = R"(
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

TEST_CASE("Settings are checked as a whole before anything starts")
{
    std::vector<Settings::settings_fault> faults;

    SECTION("a short file is enough, and the rest has defaults")
    {
        const auto parsed = Settings::parseSettings(whole, faults);
        REQUIRE(parsed);
        CHECK(parsed->instance == "e1");
        CHECK(parsed->timing.lease == Common::millis(3500));
    }
    SECTION("an empty file names all that is missing")
    {
        CHECK_FALSE(Settings::parseSettings("", faults));
        CHECK(faults.size() >= 7);
        CHECK(has(faults, fault_kind::Missing, "listen.callers"));
        CHECK(has(faults, fault_kind::Missing, "platform.log"));
    }
    SECTION("unknown keys, types and ranges are reported together, with lines")
    {
        CHECK_FALSE(Settings::parseSettings(
            whole + "[timing]\nlease_ms = 1\nrenew_every_ms = \"x\"\nleese_ms = 5\n", faults));
        CHECK(has(faults, fault_kind::OutOfRange, "timing.lease_ms"));
        CHECK(has(faults, fault_kind::WrongType, "timing.renew_every_ms"));
        CHECK(has(faults, fault_kind::UnknownKey, "timing.leese_ms"));
        // A contradiction may name a key that isn't in the file and has its default.
        CHECK(std::ranges::all_of(
            faults, [](const auto& fault) { return fault.line > 10 || fault.kind == fault_kind::Contradiction; }));
    }
    SECTION("times that contradict each other are refused")
    {
        CHECK_FALSE(Settings::parseSettings(whole + "[timing]\nrenew_every_ms = 3000\n", faults));
        CHECK(has(faults, fault_kind::Contradiction, "timing.renew_every_ms"));
    }
    SECTION("listeners need different addresses")
    {
        auto same = whole;
        same.replace(same.find("127.0.0.1:2"), 11, "127.0.0.1:1");
        CHECK_FALSE(Settings::parseSettings(same, faults));
        CHECK(has(faults, fault_kind::Contradiction, "listen.callers"));
    }
    SECTION("operators have a name, a role and the digest of a key")
    {
        CHECK_FALSE(Settings::parseSettings(
            whole + "[[operator]]\nname = \"o\"\nrole = \"boss\"\nkey_hash = \"12\"\n", faults));
        CHECK(has(faults, fault_kind::OutOfRange, "operator.role"));
        CHECK(has(faults, fault_kind::Malformed, "operator.key_hash"));
    }
    SECTION("letters beyond ASCII are welcome in comments, and a fault with its line elsewhere")
    {
        CHECK(Settings::parseSettings("# pre\xC3\xA7o\n" + whole, faults));
        CHECK_FALSE(Settings::parseSettings(whole + "\xC2\xA1 = 1\n", faults));
        REQUIRE(faults.size() == 1);
        CHECK(faults[0].kind == fault_kind::Syntax);
        CHECK(faults[0].line == 12);
        CHECK_FALSE(Settings::parseSettings(std::string(1, '\0') + whole, faults));
        CHECK(faults.at(0).line == 1);
        CHECK_FALSE(Settings::parseSettings(whole + "[!x]\n", faults));
        CHECK(faults.at(0).line == 12);
    }
    SECTION("no text makes the reader crash")
    {
        CHECK(rc::check("settings fuzz", [](const std::string& text) {
            std::vector<Settings::settings_fault> found;
            const bool accepted = Settings::parseSettings(text, found).has_value();
            RC_ASSERT(accepted == found.empty());
        }));
        CHECK(rc::check("damaged settings fuzz", [](std::uint16_t place, char byte) {
            std::string text = whole;
            text[place % text.size()] = byte;
            std::vector<Settings::settings_fault> found;
            const bool accepted = Settings::parseSettings(text, found).has_value();
            RC_ASSERT(accepted == found.empty());
        }));
    }
}
