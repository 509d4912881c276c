#ifndef KINGCUPDRIFT_STORE_VALUE_PATCH_H_
#define KINGCUPDRIFT_STORE_VALUE_PATCH_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace kingcupdrift {

/// Encodes `value` as a difference from `base`: a Zstandard frame with `base`
/// as its prefix and a checksum of `value`. Absent if that fails.
std::optional<std::string> MakeValuePatch(std::string_view base,
                                          std::string_view value);

/// The value that `patch` makes of `base`. Absent if the patch is damaged, was
/// made for another base, or if the value is larger than `kMaxPatchedBytes`.
std::optional<std::string> ApplyValuePatch(std::string_view base,
                                           std::string_view patch);

/// Smaller values are passed on whole: a patch would save little.
inline constexpr std::size_t kMinPatchedBytes = 4096;
/// Above the largest value of any platform's store.
inline constexpr std::size_t kMaxPatchedBytes = 4'000'000;

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_STORE_VALUE_PATCH_H_
