#pragma once

#include "Common/Ids.h"

#include <algorithm>

namespace Jobs {

/// Amounts of processor, memory and accelerators.
struct resources {
    Common::millicores processor;
    Common::megabytes memory;
    Common::accelerator_count accelerators;

    resources& operator+=(const resources& other)
    {
        processor += other.processor;
        memory += other.memory;
        accelerators += other.accelerators;
        return *this;
    }
    resources& operator-=(const resources& other)
    {
        processor -= other.processor;
        memory -= other.memory;
        accelerators -= other.accelerators;
        return *this;
    }
    friend resources operator+(resources left, const resources& right) { return left += right; }
    friend resources operator-(resources left, const resources& right) { return left -= right; }
    friend auto operator<=>(const resources&, const resources&) = default;
};

/// Whether each component of `amount` is at most that of `room`.
inline bool fits(const resources& amount, const resources& room)
{
    return amount.processor <= room.processor && amount.memory <= room.memory
        && amount.accelerators <= room.accelerators;
}

/// The larger amount of each resource.
inline resources largest(const resources& left, const resources& right)
{
    return { .processor = std::max(left.processor, right.processor),
        .memory = std::max(left.memory, right.memory),
        .accelerators = std::max(left.accelerators, right.accelerators) };
}

/// `amount` multiplied by `count`.
inline resources times(const resources& amount, std::int64_t count)
{
    return { .processor = { amount.processor.value * count },
        .memory = { amount.memory.value * count },
        .accelerators = { amount.accelerators.value * count } };
}

}
