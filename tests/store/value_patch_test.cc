#include "kingcupdrift/store/value_patch.h"

#include <doctest/doctest.h>

#include <string>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/store/patch_history.h"

namespace kingcupdrift {
namespace {

std::string MakeRandomText(std::uint64_t seed, std::size_t size) {
  SeededRandom random(seed);
  std::string text;
  while (text.size() < size) {
    text += random.GenerateToken();
  }
  return text;
}

TEST_CASE("a patch between similar values is small and restores the value") {
  const std::string base = MakeRandomText(1, 400'000);
  std::string value = base;
  value.replace(0, 2, "17");
  value.insert(200'000, "another route");
  value.erase(300'000, 500);
  const auto patch = MakeValuePatch(base, value);
  REQUIRE(patch);
  CHECK(patch->size() < 500);
  CHECK(ApplyValuePatch(base, *patch) == value);
  CHECK(ApplyValuePatch("", *MakeValuePatch("", value)) == value);
  CHECK(ApplyValuePatch(base, *MakeValuePatch(base, "")) == "");
}

// Guards against a configuration that is put together from parts of two.
TEST_CASE("a patch for another base or with damaged bytes does not apply") {
  const std::string base = MakeRandomText(1, 10'000);
  const std::string value = base + "more";
  const std::string patch = *MakeValuePatch(base, value);
  std::string other = base;
  other[5'000] = other[5'000] == 'a' ? 'b' : 'a';
  CHECK_FALSE(ApplyValuePatch(other, patch));
  CHECK_FALSE(ApplyValuePatch(base.substr(1), patch));
  CHECK_FALSE(ApplyValuePatch(base, ""));
  CHECK_FALSE(ApplyValuePatch(base, patch.substr(0, patch.size() - 1)));
  for (std::size_t i = 0; i < patch.size(); ++i) {
    std::string damaged = patch;
    damaged[i] = static_cast<char>(damaged[i] ^ 0x55);
    const auto result = ApplyValuePatch(base, damaged);
    CHECK((!result || *result == value));
  }
}

// Guards against a few bytes of a patch that take the memory of the process.
TEST_CASE("a patch to a value that is too large does not apply") {
  const std::string large(kMaxPatchedBytes + 1, 'x');
  CHECK_FALSE(MakeValuePatch("", large));
  const std::string largest(kMaxPatchedBytes, 'x');
  const auto patch = MakeValuePatch("", largest);
  REQUIRE(patch);
  CHECK(ApplyValuePatch("", *patch) == largest);
}

TEST_CASE("the history has the patches from each version that it knows") {
  PatchHistory history;
  const auto add = [&history](int base, int version, std::size_t size) {
    history.Add({"k", StoreVersion(base), StoreVersion(version),
                 std::string(size, 'p')});
  };
  const auto count = [&history](int from) {
    const auto patches = history.FindAfter("k", StoreVersion(from));
    return patches ? static_cast<int>(patches->size()) : -1;
  };
  add(3, 8, 10);
  add(8, 9, 10);
  CHECK(count(2) == -1);
  CHECK(count(3) == 2);
  // Changes of other keys have the versions in between.
  CHECK(count(5) == 2);
  CHECK(count(8) == 1);
  CHECK(count(9) == -1);
  // A version without a patch came in between.
  add(11, 12, 10);
  CHECK(count(8) == -1);
  CHECK(count(11) == 1);
  add(12, 13, PatchHistory::kMaxBytes);
  CHECK(count(11) == -1);
  CHECK(count(12) == 1);
  add(13, 14, PatchHistory::kMaxBytes + 1);
  CHECK(count(13) == -1);
  history.Forget("k");
  CHECK(count(12) == -1);
}

}  // namespace
}  // namespace kingcupdrift
