#pragma once

#include "Fleet/FleetState.h"

namespace Fleet {

/// Results that are kept for clients that lost the answer. Applies to operators' and daemons' commands each.
constexpr std::size_t maxKeptResults = 4096;
/// Entries of the operators' history that are kept.
constexpr std::size_t maxKeptHistory = 2000;

/// Applies one record. Deterministic: the same records give the same state on every daemon.
/// A command whose id was applied before is skipped.
void applyRecord(fleet_state&, const envelope&, Common::log_offset);

/// Result of a command. Empty when it isn't applied yet or its result is no longer kept.
std::optional<command_result> resultOf(const fleet_state&, const Common::command_id&);

/// Name of the command in the history and in logs.
std::string_view nameOf(const command_body&);

}
