#pragma once

#include "Common/Ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Common {

/// Hex digest of a key (BLAKE2b, 256 bits); the only form in which keys are stored.
key_hash hashKey(std::string_view key);

/// Compares two digests in constant time.
bool sameHash(const key_hash&, const key_hash&);

/// 64-bit content digest as hex, to detect truncated or mixed-up answers.
std::string contentDigest(std::string_view);

/// Rank of a candidate for a shard in rendezvous hashing; the highest rank gets the shard.
std::uint64_t rendezvousRank(std::string_view shard, std::string_view candidate);

/// Random identifier of 16 hex digits.
std::string randomId();

}
