#ifndef KINGCUPDRIFT_BASE_RANDOM_H_
#define KINGCUPDRIFT_BASE_RANDOM_H_

#include <cstdint>
#include <random>
#include <string>

namespace kingcupdrift {

/// Source of random numbers. Tests use a fixed seed.
class Random {
 public:
  virtual ~Random() = default;

  /// Uniform over all 64-bit values.
  virtual std::uint64_t Next() = 0;

  /// In [0, bound); `bound` must be positive. Nearly uniform for small bounds:
  /// the remainder of 64 bits.
  std::uint64_t NextBelow(std::uint64_t bound) { return Next() % bound; }
  /// Uniform in [0, 1).
  double NextDouble() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }
  /// Returns 128 random bits as 32 lower-case hexadecimal digits, for IDs
  /// and nonces. Not for secrets: `SeededRandom` is predictable.
  std::string GenerateToken();
};

/// Mersenne Twister with an explicit seed.
class SeededRandom : public Random {
 public:
  explicit SeededRandom(std::uint64_t seed) : generator_(seed) {}
  std::uint64_t Next() override { return generator_(); }

 private:
  std::mt19937_64 generator_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_BASE_RANDOM_H_
