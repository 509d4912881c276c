#ifndef KINGCUPDRIFT_BASE_RANDOM_H_
#define KINGCUPDRIFT_BASE_RANDOM_H_

#include <cstdint>
#include <random>
#include <string>

namespace kingcupdrift {

/// Source of randomness for the core; tests seed it.
class Random {
 public:
  virtual ~Random() = default;

  /// Uniform over all 64-bit values.
  virtual std::uint64_t Next() = 0;

  /// Uniform in [0, bound); `bound` must be positive.
  std::uint64_t NextBelow(std::uint64_t bound) { return Next() % bound; }
  /// Uniform in [0, 1).
  double NextDouble() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }
  /// A 32-digit lower-case hexadecimal token.
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
