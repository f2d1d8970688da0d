#pragma once

#include <cstdint>
#include <cstdlib>

/// Seeds that a test explores: LOFT_EXPLORER_SEEDS sets their number, LOFT_EXPLORER_FIRST the first one.
struct explorer_seeds {
    explicit explorer_seeds(std::uint64_t defaultCount)
        : first(numberFrom("LOFT_EXPLORER_FIRST", 1))
        , count(numberFrom("LOFT_EXPLORER_SEEDS", defaultCount))
    {
    }

    std::uint64_t end() const { return first + count; }

    std::uint64_t first;
    std::uint64_t count;

private:
    static std::uint64_t numberFrom(const char* variable, std::uint64_t fallback)
    {
        const char* text = std::getenv(variable);
        return text ? std::strtoull(text, nullptr, 10) : fallback;
    }
};
