#include "Limits/TeamLedger.h"

#include <algorithm>

namespace Limits {

namespace {

    /// Divides `limit` over the wants so that the smallest are met first and the rest get equal parts.
    std::int64_t fairPart(std::vector<std::int64_t> wants, std::int64_t own, std::int64_t limit)
    {
        std::ranges::sort(wants);
        std::int64_t left = limit;
        auto sharers = static_cast<std::int64_t>(wants.size());
        for (const std::int64_t want : wants) {
            const std::int64_t equal = (left + sharers - 1) / sharers;
            if (want >= own)
                return std::min(own, equal);
            const std::int64_t given = std::min(want, equal);
            left -= given;
            --sharers;
        }
        return std::min(own, left);
    }

}

team_ledger::team_ledger(options chosen, const Fleet::fleet_state& state)
    : m_options(std::move(chosen))
{
    for (const auto& [process, entry] : state.members)
        m_unheard.insert(process);
}

void team_ledger::onMemberRemoved(const Common::process_id& process, bool gracefully, Common::instant now)
{
    m_sequences.erase(process);
    if (gracefully) {
        m_unheard.erase(process);
        for (auto& [team, book] : m_books)
            book.lines.erase(process);
        return;
    }
    m_lost[process] = now + m_options.taskHold;
}

void team_ledger::forgetEnded(Common::instant now)
{
    std::erase_if(m_lost, [this, now](const auto& entry) {
        if (entry.second > now)
            return false;
        m_unheard.erase(entry.first);
        for (auto& [team, book] : m_books)
            book.lines.erase(entry.first);
        return true;
    });
}

bool team_ledger::isReady(Common::instant now) const
{
    return m_unheard.empty() && now >= m_options.holdUntil;
}

std::optional<permit_grant> team_ledger::onReport(
    const permit_report& report, const Fleet::fleet_state& state, Common::instant now)
{
    forgetEnded(now);
    if (report.epoch != m_options.epoch || !state.members.contains(report.process))
        return std::nullopt;
    const auto known = m_sequences.find(report.process);
    if (known != m_sequences.end() && report.sequence <= known->second)
        return std::nullopt;
    m_sequences[report.process] = report.sequence;
    m_unheard.erase(report.process);
    permit_grant answer { .shard = m_options.shard, .epoch = m_options.epoch, .sequence = report.sequence };
    for (const permit_need& need : report.needs)
        answer.grants.push_back(grantFor(m_books[need.team], need, report.process, state, now));
    return answer;
}

team_grant team_ledger::grantFor(team_book& book, const permit_need& need, const Common::process_id& process,
    const Fleet::fleet_state& state, Common::instant now) const
{
    holder_line& line = book.lines[process];
    line = { .kept = need.kept, .wanted = need.wanted };
    const auto terms = Fleet::effectiveTerms(state, need.team);
    const std::int64_t limit = terms ? terms->upperLimit.value : 0;
    std::int64_t out = 0;
    std::vector<std::int64_t> wants;
    for (const auto& [holder, entry] : book.lines) {
        out += entry.kept.value;
        wants.push_back(m_lost.contains(holder) ? entry.kept.value : entry.wanted.value);
    }
    const std::int64_t target = fairPart(wants, need.wanted.value, limit);
    const std::int64_t free = std::max<std::int64_t>(0, limit - out);
    const std::int64_t raise = std::clamp<std::int64_t>(target - need.kept.value, 0, free);
    if (isReady(now))
        line.kept += { raise };
    return { .team = need.team, .allowance = line.kept, .target = { target } };
}

Common::slot_count team_ledger::permitsOut(const Common::team_id& team) const
{
    Common::slot_count out;
    const auto found = m_books.find(team);
    if (found == m_books.end())
        return out;
    for (const auto& [process, line] : found->second.lines)
        out += line.kept;
    return out;
}

}
