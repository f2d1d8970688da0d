#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Common {

/// Identifier as text. Identifiers with different tags are distinct types.
template <typename Tag>
struct text_id {
    std::string value;

    bool empty() const { return value.empty(); }
    friend auto operator<=>(const text_id&, const text_id&) = default;
};

/// Integer amount of one unit. Amounts with different tags are distinct types.
template <typename Tag>
struct quantity {
    std::int64_t value { 0 };

    quantity& operator+=(quantity other)
    {
        value += other.value;
        return *this;
    }
    quantity& operator-=(quantity other)
    {
        value -= other.value;
        return *this;
    }
    friend quantity operator+(quantity left, quantity right) { return { left.value + right.value }; }
    friend quantity operator-(quantity left, quantity right) { return { left.value - right.value }; }
    friend auto operator<=>(const quantity&, const quantity&) = default;
};

}
