#include "Sessions/Audit.h"

#include "Common/JsonFields.h"

#include <algorithm>

namespace Sessions {

namespace {

    std::string fieldOf(const std::string& payload, const char* field)
    {
        const auto parsed = Common::parseJson(payload);
        return parsed && parsed->is_object() ? parsed->value(field, std::string()) : std::string();
    }

}

void task_audit::onStarted(const std::string& worker, const std::string& payload)
{
    const std::lock_guard lock(m_lock);
    m_starts.push_back({ .worker = worker, .name = fieldOf(payload, "name"), .at = Common::boot_clock::now() });
    const std::string team = fieldOf(payload, "team");
    const int running = ++m_running[team];
    m_maxRunning[team] = std::max(m_maxRunning[team], running);
}

void task_audit::onEnded(const std::string&, const std::string& payload)
{
    const std::lock_guard lock(m_lock);
    --m_running[fieldOf(payload, "team")];
}

int task_audit::starts(const std::string& name) const
{
    const std::lock_guard lock(m_lock);
    return static_cast<int>(std::ranges::count(m_starts, name, &start_record::name));
}

std::vector<std::string> task_audit::startedTwice() const
{
    const std::lock_guard lock(m_lock);
    std::map<std::string, int> counts;
    std::vector<std::string> twice;
    for (const start_record& start : m_starts) {
        if (++counts[start.name] == 2)
            twice.push_back(start.name);
    }
    return twice;
}

int task_audit::maxRunning(const std::string& team) const
{
    const std::lock_guard lock(m_lock);
    const auto found = m_maxRunning.find(team);
    return found == m_maxRunning.end() ? 0 : found->second;
}

int task_audit::runningNow(const std::string& team) const
{
    const std::lock_guard lock(m_lock);
    const auto found = m_running.find(team);
    return found == m_running.end() ? 0 : found->second;
}

int task_audit::startsTotal() const
{
    const std::lock_guard lock(m_lock);
    return static_cast<int>(m_starts.size());
}

int task_audit::startsOn(const std::string& prefix, Common::instant since) const
{
    const std::lock_guard lock(m_lock);
    return static_cast<int>(std::ranges::count_if(m_starts,
        [&](const start_record& start) { return start.at > since && start.worker.starts_with(prefix); }));
}

}
