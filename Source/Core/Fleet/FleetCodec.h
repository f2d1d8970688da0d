#pragma once

#include "Fleet/FleetState.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// JSON encoding of log records and snapshots.
namespace Fleet {

/// Schema version that this build writes, and the newest that it reads.
constexpr int schemaVersion = 1;

/// Chunk of a snapshot. All chunks of one snapshot have the same id in `snapshot`.
struct snapshot_chunk {
    std::string snapshot;
    /// Last offset that the snapshot includes.
    Common::log_offset through;
    int index { 0 };
    int count { 0 };
    /// Content digest of the whole snapshot.
    std::string digest;
    std::string data;
};

using log_record = std::variant<envelope, snapshot_chunk>;

enum class decode_failure {
    None,
    /// Not a record of this system; every replica skips it.
    Malformed,
    /// Written by a newer version; must not be skipped.
    SchemaTooNew
};

std::string encodeRecord(const envelope&);
std::string encodeRecord(const snapshot_chunk&);
std::optional<log_record> decodeRecord(std::string_view text, decode_failure& lastReason);

std::string encodeState(const fleet_state&);
std::optional<fleet_state> decodeState(std::string_view text);

/// Splits a snapshot of the state into chunks of at most `chunkBytes` of data.
std::vector<snapshot_chunk> splitSnapshot(const fleet_state&, std::string snapshotId, std::size_t chunkBytes);

/// Writes and reads the fields of one role in the form of the operators' API.
std::string encodeFields(const template_fields&);
std::optional<template_fields> decodeFields(std::string_view text);

}
