#include "Common/Endpoint.h"
#include "Common/Hashing.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

TEST_CASE("Endpoints are IPv4 addresses with a port")
{
    CHECK(Common::parseEndpoint("10.0.0.1:80") == Common::endpoint { "10.0.0.1", 80 });
    for (const char* wrong : { "", "10.0.0.1", "host:80", "10.0.0.1:", "10.0.0.1:99999", "10.0.0.1:8x" })
        CHECK_FALSE(Common::parseEndpoint(wrong));
    CHECK(rc::check("address fuzz", [](const std::string& text) {
        const auto parsed = Common::parseEndpoint(text);
        const bool sameAgain = !parsed || Common::parseEndpoint(Common::toText(*parsed)) == parsed;
        RC_ASSERT(sameAgain);
    }));
}

TEST_CASE("Keys are only compared as digests")
{
    CHECK(Common::hashKey("a").value.size() == 64);
    CHECK(Common::sameHash(Common::hashKey("a"), Common::hashKey("a")));
    CHECK_FALSE(Common::sameHash(Common::hashKey("a"), Common::hashKey("b")));
    CHECK_FALSE(Common::sameHash(Common::hashKey("a"), { "short" }));
}
