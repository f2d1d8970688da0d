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

std::vector<Fleet::command> group_commit::takeBatch()
{
    if (m_appending || m_outcomeUnknownSince)
        return {};
    if (m_batch.empty()) {
        const auto count = static_cast<std::ptrdiff_t>(std::min(m_waiting.size(), maxCommands));
        const auto end = m_waiting.begin() + count;
        m_batch.assign(std::make_move_iterator(m_waiting.begin()), std::make_move_iterator(end));
        m_waiting.erase(m_waiting.begin(), end);
    }
    m_appending = !m_batch.empty();
    return m_batch;
}

void group_commit::onAppended()
{
    m_appending = false;
    m_maybeAppended = false;
    m_batch.clear();
}

void group_commit::onNotAppended()
{
    m_appending = false;
    if (m_maybeAppended)
        return;
    m_waiting.insert(m_waiting.begin(), std::make_move_iterator(m_batch.begin()),
        std::make_move_iterator(m_batch.end()));
    m_batch.clear();
}

void group_commit::onMaybeAppended(Common::instant now)
{
    m_appending = false;
    m_maybeAppended = true;
    m_outcomeUnknownSince = now;
}

bool group_commit::withdraw(const Common::command_id& id)
{
    return std::erase_if(m_waiting, [&id](const Fleet::command& waiting) { return waiting.id == id; }) > 0;
}

}
