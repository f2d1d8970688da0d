#pragma once

#include "Fleet/FleetCodec.h"
#include "Fleet/FleetState.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Fleet {

/// Record as the platform's log returns it.
struct stored_record {
    Common::log_offset offset;
    std::string text;
};

enum class replica_failure {
    None,
    /// Records between the applied offset and the next available one are missing.
    Gap,
    /// A newer version wrote a record that this build can't read.
    SchemaTooNew
};

/// One daemon's replica of the fleet state, built from the log. The applied offset never decreases.
class replica {
public:
    const fleet_state& state() const { return m_state; }
    replica_failure lastReason() const { return m_lastReason; }
    /// Offset to read from next.
    Common::log_offset next() const { return m_next; }
    /// Whether there is a state. False while the replica waits for a snapshot.
    bool hasState() const { return m_hasState; }
    /// Requests that the commands applied since the last call refer to.
    std::vector<Requests::work_identity> takeTouchedWorks() { return std::exchange(m_touchedWorks, {}); }
    /// Members that left since the last call, with nothing running.
    std::vector<Common::process_id> takeLeftMembers() { return std::exchange(m_leftMembers, {}); }
    /// Number of records that were skipped because this system didn't write them.
    std::int64_t skipped() const { return m_skipped; }
    /// Last offset that the newest complete snapshot read so far includes; -1 before the first one.
    Common::log_offset snapshotThrough() const { return m_snapshotThrough; }

    /// Applies the records that a read returned. `firstKept` is the oldest offset that the log still has.
    /// False on a failure; the replica then applies no more records.
    bool applyRecords(Common::log_offset firstKept, const std::vector<stored_record>&);

private:
    bool processRecord(const stored_record&);
    void apply(const envelope&, Common::log_offset);
    void addChunk(const snapshot_chunk&);
    void restoreFrom(const std::string& snapshotText);
    void fail(replica_failure);

    fleet_state m_state;
    bool m_hasState { false };
    bool m_started { false };
    Common::log_offset m_next;
    std::vector<stored_record> m_bufferedRecords;
    std::string m_snapshotId;
    std::vector<std::string> m_snapshotChunks;
    Common::log_offset m_snapshotThrough { -1 };
    std::vector<Requests::work_identity> m_touchedWorks;
    std::vector<Common::process_id> m_leftMembers;
    std::int64_t m_skipped { 0 };
    replica_failure m_lastReason { replica_failure::None };
};

}
