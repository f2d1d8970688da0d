#include "PlatformLog/GroupCommit.h"

#include <algorithm>
#include <iterator>

namespace PlatformLog {

bool group_commit::add(Fleet::command added)
{
    if (waiting() >= maxWaiting)
        return false;
    m_waiting.push_back(std::move(added));
    return true;
}

std::vector<Fleet::command> group_commit::take()
{
    if (m_appending || m_unresolvedSince)
        return {};
    if (m_underWay.empty()) {
        const auto count = static_cast<std::ptrdiff_t>(std::min(m_waiting.size(), maxCommands));
        const auto end = m_waiting.begin() + count;
        m_underWay.assign(std::make_move_iterator(m_waiting.begin()), std::make_move_iterator(end));
        m_waiting.erase(m_waiting.begin(), end);
    }
    m_appending = !m_underWay.empty();
    return m_underWay;
}

void group_commit::onTaken()
{
    m_appending = false;
    m_maybeTaken = false;
    m_underWay.clear();
}

void group_commit::onNotTaken()
{
    m_appending = false;
    if (m_maybeTaken)
        return;
    m_waiting.insert(m_waiting.begin(), std::make_move_iterator(m_underWay.begin()),
        std::make_move_iterator(m_underWay.end()));
    m_underWay.clear();
}

void group_commit::onMaybeTaken(Common::instant now)
{
    m_appending = false;
    m_maybeTaken = true;
    m_unresolvedSince = now;
}

bool group_commit::withdraw(const Common::command_id& id)
{
    return std::erase_if(m_waiting, [&id](const Fleet::command& waiting) { return waiting.id == id; }) > 0;
}

}
