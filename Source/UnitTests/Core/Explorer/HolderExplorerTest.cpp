#include "HolderWorld.h"

#include <catch2/catch.hpp>
#include <cstdlib>

namespace {

/// Stories in CI; LOFT_EXPLORER_SEEDS plays another number, LOFT_EXPLORER_FIRST begins elsewhere.
constexpr std::uint64_t usualStories = 80;

std::uint64_t numberFrom(const char* variable, std::uint64_t usual)
{
    const char* text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : usual;
}

}

TEST_CASE("Whatever fails, no task runs twice and each job ends", "[explorer]")
{
    const auto first = numberFrom("LOFT_EXPLORER_FIRST", 1);
    const auto stories = numberFrom("LOFT_EXPLORER_SEEDS", usualStories);
    std::size_t steps = 0;
    int takeovers = 0;
    for (auto seed = first; seed < first + stories; ++seed) {
        holder_world world({ .seed = seed });
        const auto broken = world.play();
        INFO("LOFT_EXPLORER_FIRST=" << seed << " LOFT_EXPLORER_SEEDS=1");
        CHECK(broken.empty());
        if (!broken.empty())
            UNSCOPED_INFO(broken);
        CHECK(broken == std::string());
        steps += world.steps();
        takeovers += world.takeovers();
    }
    CHECK(steps > stories * 1000);
    CHECK(takeovers > static_cast<int>(stories));
    WARN(steps << " steps, " << takeovers << " claims");
}
