#include "Node/InputMeter.h"

#include <catch2/catch.hpp>
#include <string>

TEST_CASE("A request that never ends is read up to a limit", "[untrusted]")
{
    Node::input_meter meter({ .headerBytes = 40, .messageBytes = 100, .totalBytes = 500, .alwaysBytes = 60 });

    SECTION("a header without end")
    {
        CHECK(meter.take(std::string(40, 'a'), 40));
        CHECK_FALSE(meter.take("a", 41));
        CHECK(meter.isExceeded());
    }
    SECTION("a header's end that arrives in pieces ends the limit of the header")
    {
        for (const char* piece : { "GET / HTTP/1.1\r\n\r", "\r\n", "\r", "\n" })
            CHECK(meter.take(piece, 0));
        CHECK(meter.take(std::string(40, 'a'), 0));
    }
    SECTION("chunks or trailers without end")
    {
        CHECK(meter.take("\r\n\r\n" + std::string(96, 'a'), 100));
        CHECK_FALSE(meter.take("a", 101));
    }
    SECTION("while the total is used up, a small request is still read and a large one isn't")
    {
        CHECK(meter.take("\r\n\r\n" + std::string(56, 'a'), 501));
        CHECK_FALSE(meter.take("a", 502));
    }
    SECTION("the next request on the connection starts anew")
    {
        CHECK_FALSE(meter.take(std::string(41, 'a'), 41));
        meter.reset();
        CHECK_FALSE(meter.isExceeded());
        CHECK(meter.take(std::string(40, 'a'), 40));
    }
}
