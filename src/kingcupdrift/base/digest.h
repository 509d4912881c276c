#ifndef KINGCUPDRIFT_BASE_DIGEST_H_
#define KINGCUPDRIFT_BASE_DIGEST_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace kingcupdrift {

/// SHA-256 of `data` as 64 lower-case hexadecimal digits.
std::string ComputeSha256Hex(std::string_view data);

/// HMAC-SHA-256 of `data` as 64 lower-case hexadecimal digits. The key may have
/// any length.
std::string ComputeHmacSha256Hex(std::string_view key, std::string_view data);

/// Compares in time that depends only on the lengths, so that timing does not
/// reveal where two secrets differ.
bool ConstantTimeEquals(std::string_view a, std::string_view b);

/// Fast 64-bit digest (XXH3) without cryptographic strength.
std::uint64_t FastHash(std::string_view data, std::uint64_t seed = 0);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_BASE_DIGEST_H_
