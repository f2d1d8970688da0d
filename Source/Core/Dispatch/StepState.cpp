#include "Dispatch/StepState.h"

#include <algorithm>

namespace Dispatch {

step_state::step_state(int count)
    : m_count(count)
{
    if (count > 0)
        m_untouched.emplace(0, count);
}

bool step_state::isUntouched(int index) const
{
    const auto after = m_untouched.upper_bound(index);
    return after != m_untouched.begin() && index < std::prev(after)->second;
}

bool step_state::isTaskDone(int index) const { return !isUntouched(index) && !m_tracked.contains(index); }

void step_state::touch(int index)
{
    const auto after = m_untouched.upper_bound(index);
    if (after == m_untouched.begin())
        return;
    const auto [first, last] = *std::prev(after);
    if (index >= last)
        return;
    m_untouched.erase(first);
    if (first < index)
        m_untouched.emplace(first, index);
    if (index + 1 < last)
        m_untouched.emplace(index + 1, last);
}

task_state& step_state::track(int index, run_number firstRun)
{
    touch(index);
    const auto [tracked, isNew] = m_tracked.try_emplace(index);
    if (isNew)
        tracked->second.lastRun = firstRun;
    return tracked->second;
}

const task_state* step_state::find(int index) const
{
    const auto found = m_tracked.find(index);
    return found == m_tracked.end() ? nullptr : &found->second;
}

std::optional<int> step_state::nextWaiting(int index) const
{
    std::optional<int> next;
    if (isUntouched(index))
        return index;
    if (const auto range = m_untouched.lower_bound(index); range != m_untouched.end())
        next = range->first;
    for (auto task = m_tracked.lower_bound(index); task != m_tracked.end() && (!next || task->first < *next); ++task) {
        if (task->second.phase == task_phase::Waiting)
            return task->first;
    }
    return next;
}

void step_state::place(int index)
{
    m_tracked.at(index).phase = task_phase::Placed;
    ++m_placed;
}

void step_state::release(int index)
{
    m_tracked.at(index).phase = task_phase::Waiting;
    --m_placed;
}

void step_state::finish(int index)
{
    if (const auto tracked = m_tracked.find(index); tracked != m_tracked.end()) {
        m_placed -= tracked->second.phase == task_phase::Placed ? 1 : 0;
        m_tracked.erase(tracked);
    } else {
        touch(index);
    }
    ++m_done;
}

}
