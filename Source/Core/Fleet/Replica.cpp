#include "Fleet/Replica.h"

#include "Common/Hashing.h"
#include "Fleet/Reducer.h"

#include <numeric>

namespace Fleet {

bool replica::applyRecords(Common::log_offset firstKept, const std::vector<stored_record>& records)
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
        else if (processRecord(record))
            m_next += { 1 };
    }
    return m_lastReason == replica_failure::None;
}

bool replica::processRecord(const stored_record& record)
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
        addChunk(*chunk);
        m_state.applied = m_hasState ? record.offset : m_state.applied;
        return true;
    }
    if (m_hasState)
        apply(std::get<envelope>(*decoded), record.offset);
    else
        m_bufferedRecords.push_back(record);
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

void replica::addChunk(const snapshot_chunk& chunk)
{
    if (chunk.index == 0) {
        m_snapshotId = chunk.snapshot;
        m_snapshotChunks.clear();
    }
    const bool inOrder = static_cast<std::size_t>(chunk.index) == m_snapshotChunks.size();
    if (chunk.snapshot != m_snapshotId || !inOrder)
        return;
    m_snapshotChunks.push_back(chunk.data);
    if (static_cast<int>(m_snapshotChunks.size()) != chunk.count)
        return;
    const std::string whole = std::accumulate(m_snapshotChunks.begin(), m_snapshotChunks.end(), std::string());
    m_snapshotChunks.clear();
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
    // All records after the snapshot's offset must be buffered, or the state would lack some of them.
    const Common::log_offset firstNeeded = restored->applied + Common::log_offset { 1 };
    const Common::log_offset firstBuffered = m_bufferedRecords.empty() ? m_next : m_bufferedRecords.front().offset;
    if (firstBuffered > firstNeeded && !m_bufferedRecords.empty())
        return;
    m_state = std::move(*restored);
    m_hasState = true;
    for (const stored_record& record : m_bufferedRecords) {
        decode_failure failure = decode_failure::None;
        const auto decoded = decodeRecord(record.text, failure);
        if (decoded && record.offset > m_state.applied)
            apply(std::get<envelope>(*decoded), record.offset);
    }
    m_bufferedRecords.clear();
}

void replica::fail(replica_failure reason)
{
    m_lastReason = reason;
}

}
