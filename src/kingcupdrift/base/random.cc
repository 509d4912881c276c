#include "kingcupdrift/base/random.h"

#include <fmt/format.h>

namespace kingcupdrift {

std::string Random::GenerateToken() {
  const std::uint64_t high = Next();
  const std::uint64_t low = Next();
  return fmt::format("{:016x}{:016x}", high, low);
}

}  // namespace kingcupdrift
