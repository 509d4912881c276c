#include "kingcupdrift/base/digest.h"

#include <sodium.h>
#include <xxhash.h>

#include <array>
#include <cstddef>

namespace kingcupdrift {
namespace {

const unsigned char* AsBytes(std::string_view data) {
  return reinterpret_cast<const unsigned char*>(data.data());
}

template <std::size_t N>
std::string ToHex(const std::array<unsigned char, N>& bytes) {
  std::string hex(2 * N + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), bytes.data(), bytes.size());
  hex.pop_back();
  return hex;
}

}  // namespace

std::string ComputeSha256Hex(std::string_view data) {
  std::array<unsigned char, crypto_hash_sha256_BYTES> out{};
  crypto_hash_sha256(out.data(), AsBytes(data), data.size());
  return ToHex(out);
}

std::string ComputeHmacSha256Hex(std::string_view key, std::string_view data) {
  std::array<unsigned char, crypto_auth_hmacsha256_BYTES> out{};
  crypto_auth_hmacsha256_state state;
  crypto_auth_hmacsha256_init(&state, AsBytes(key), key.size());
  crypto_auth_hmacsha256_update(&state, AsBytes(data), data.size());
  crypto_auth_hmacsha256_final(&state, out.data());
  return ToHex(out);
}

bool ConstantTimeEquals(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) {
    return false;
  }
  return sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::uint64_t FastHash(std::string_view data, std::uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

}  // namespace kingcupdrift
