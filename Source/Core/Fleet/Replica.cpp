#include "Fleet/Replica.h"

#include "Common/Hashing.h"
#include "Fleet/Reducer.h"

#include <numeric>

namespace Fleet {

bool replica::feed(Common::log_offset firstKept, const std::vector<stored_record>& records)
{
    if (m_lastReason != replica_failure::None)
        return false;
    if (!m_started) {
        m_started = true;
        m_next = firstKept;
        m_hasState = firstKept.value == 0;
    }
    if (firstKept > m_next)
        fail(replica_failure::Gap);
    for (const stored_record& record : records) {
        if (m_lastReason != replica_failure::None)
            break;
        if (record.offset < m_next)
            continue;
        if (record.offset > m_next)
            fail(replica_failure::Gap);
        else if (take(record))
            m_next += { 1 };
    }
    return m_lastReason == replica_failure::None;
}

bool replica::take(const stored_record& record)
{
    decode_failure failure = decode_failure::None;
    const auto decoded = decodeRecord(record.text, failure);
    if (failure == decode_failure::SchemaTooNew) {
        fail(replica_failure::SchemaTooNew);
        return false;
    }
    if (!decoded) {
        ++m_skipped;
        m_state.applied = m_hasState ? record.offset : m_state.applied;
        return true;
    }
    if (const auto* const chunk = std::get_if<snapshot_chunk>(&*decoded)) {
        takeChunk(*chunk);
        m_state.applied = m_hasState ? record.offset : m_state.applied;
        return true;
    }
    if (m_hasState)
        apply(std::get<envelope>(*decoded), record.offset);
    else
        m_beforeSnapshot.push_back(record);
    return true;
}

void replica::apply(const envelope& record, Common::log_offset offset)
{
    applyRecord(m_state, record, offset);
    for (const command& source : record.commands) {
        std::visit(
            [this](const auto& body) {
                if constexpr (requires { body.identity; })
                    m_touchedWorks.push_back(body.identity);
                if constexpr (std::is_same_v<std::decay_t<decltype(body)>, leave_member>)
                    m_leftMembers.push_back(body.process);
            },
            source.body);
    }
}

void replica::takeChunk(const snapshot_chunk& chunk)
{
    if (chunk.index == 0) {
        m_snapshotId = chunk.snapshot;
        m_snapshotParts.clear();
    }
    const bool inOrder = static_cast<std::size_t>(chunk.index) == m_snapshotParts.size();
    if (chunk.snapshot != m_snapshotId || !inOrder)
        return;
    m_snapshotParts.push_back(chunk.data);
    if (static_cast<int>(m_snapshotParts.size()) != chunk.count)
        return;
    const std::string whole = std::accumulate(m_snapshotParts.begin(), m_snapshotParts.end(), std::string());
    m_snapshotParts.clear();
    if (Common::contentDigest(whole) != chunk.digest)
        return;
    m_snapshotThrough = chunk.through;
    if (!m_hasState)
        restoreFrom(whole);
}

void replica::restoreFrom(const std::string& snapshotText)
{
    auto restored = decodeState(snapshotText);
    if (!restored)
        return;
    // Records after the snapshot's offset must all be at hand, or a part of the history is missing.
    const Common::log_offset firstNeeded = restored->applied + Common::log_offset { 1 };
    const Common::log_offset firstBuffered = m_beforeSnapshot.empty() ? m_next : m_beforeSnapshot.front().offset;
    if (firstBuffered > firstNeeded && !m_beforeSnapshot.empty())
        return;
    m_state = std::move(*restored);
    m_hasState = true;
    for (const stored_record& record : m_beforeSnapshot) {
        decode_failure failure = decode_failure::None;
        const auto decoded = decodeRecord(record.text, failure);
        if (decoded && record.offset > m_state.applied)
            apply(std::get<envelope>(*decoded), record.offset);
    }
    m_beforeSnapshot.clear();
}

void replica::fail(replica_failure reason)
{
    m_lastReason = reason;
}

}
