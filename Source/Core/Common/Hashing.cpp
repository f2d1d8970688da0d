#include "Common/Hashing.h"

#include <array>
#include <sodium.h>
#include <xxhash.h>

namespace Common {

namespace {

    constexpr std::size_t randomIdBytes = 8;

    std::string toHex(const unsigned char* bytes, std::size_t count)
    {
        std::string text(count * 2 + 1, '\0');
        sodium_bin2hex(text.data(), text.size(), bytes, count);
        text.pop_back();
        return text;
    }

}

key_hash hashKey(std::string_view key)
{
    std::array<unsigned char, crypto_generichash_BYTES> digest {};
    const auto* const bytes = reinterpret_cast<const unsigned char*>(key.data());
    crypto_generichash(digest.data(), digest.size(), bytes, key.size(), nullptr, 0);
    return { toHex(digest.data(), digest.size()) };
}

bool sameHash(const key_hash& left, const key_hash& right)
{
    if (left.value.size() != right.value.size())
        return false;
    return sodium_memcmp(left.value.data(), right.value.data(), left.value.size()) == 0;
}

std::string contentDigest(std::string_view content)
{
    const XXH64_hash_t hash = XXH3_64bits(content.data(), content.size());
    XXH64_canonical_t canonical;
    XXH64_canonicalFromHash(&canonical, hash);
    return toHex(canonical.digest, sizeof canonical.digest);
}

std::uint64_t rendezvousRank(std::string_view shard, std::string_view candidate)
{
    const XXH64_hash_t seed = XXH3_64bits(shard.data(), shard.size());
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), seed);
}

std::string randomId()
{
    std::array<unsigned char, randomIdBytes> bytes {};
    randombytes_buf(bytes.data(), bytes.size());
    return toHex(bytes.data(), bytes.size());
}

}
