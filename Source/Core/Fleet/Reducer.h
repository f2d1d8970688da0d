#pragma once

#include "Fleet/FleetState.h"

namespace Fleet {

/// Results that are kept for whoever lost the answer; operators' and daemons' apart.
constexpr std::size_t keptResults = 4096;
/// Lines of the operators' history that are kept.
constexpr std::size_t keptHistory = 2000;

/// Applies one record. Deterministic: the same records give the same state everywhere.
/// A command whose id was applied before is skipped.
void applyRecord(fleet_state&, const envelope&, Common::log_offset);

/// Result of a command. Empty when it wasn't applied yet, or long ago.
std::optional<command_result> resultOf(const fleet_state&, const Common::command_id&);

/// Name of the command as history and logs show it.
std::string_view nameOf(const command_body&);

}
