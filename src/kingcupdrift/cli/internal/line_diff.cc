#include "kingcupdrift/cli/internal/line_diff.h"

#include <algorithm>
#include <cstdint>
#include <set>
#include <vector>

namespace kingcupdrift::internal {
namespace {

using Lines = std::vector<std::string_view>;

/// Limits the table of the exact comparison, 4 bytes a cell; beyond it, lines
/// are compared as sets.
constexpr std::size_t kMaxCells = 16'000'000;

Lines Split(std::string_view text) {
  Lines out;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    out.push_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return out;
}

/// Writes removed and added lines, and a line "@@ N" before each group of
/// consecutive ones. N counts from 1; `first_line` lines of both texts were
/// skipped.
class DiffWriter {
 public:
  explicit DiffWriter(std::size_t first_line) : first_line_(first_line) {}

  void Remove(std::size_t i, std::string_view line) { Write(i, '-', line); }
  void Add(std::size_t i, std::string_view line) { Write(i, '+', line); }
  void Keep() { is_in_hunk_ = false; }
  std::string Take() { return std::move(out_); }

 private:
  void Write(std::size_t i, char mark, std::string_view line) {
    if (!is_in_hunk_) {
      out_ += fmt::format("@@ {}\n", first_line_ + i + 1);
      is_in_hunk_ = true;
    }
    out_ += mark;
    out_ += line;
    out_ += '\n';
  }

  std::size_t first_line_;
  bool is_in_hunk_ = false;
  std::string out_;
};

/// Finds the longest common subsequence by dynamic programming and writes all
/// other lines.
void DiffExactly(const Lines& a, const Lines& b, DiffWriter& writer) {
  const std::size_t width = b.size() + 1;
  std::vector<std::uint32_t> common((a.size() + 1) * width);
  for (std::size_t i = a.size(); i-- > 0;) {
    for (std::size_t j = b.size(); j-- > 0;) {
      common[i * width + j] = a[i] == b[j]
                                  ? common[(i + 1) * width + j + 1] + 1
                                  : std::max(common[(i + 1) * width + j],
                                             common[i * width + j + 1]);
    }
  }
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < a.size() || j < b.size()) {
    if (i < a.size() && j < b.size() && a[i] == b[j]) {
      writer.Keep();
      ++i;
      ++j;
    } else if (j == b.size() ||
               (i < a.size() &&
                common[(i + 1) * width + j] >= common[i * width + j + 1])) {
      writer.Remove(i, a[i]);
      ++i;
    } else {
      writer.Add(i, b[j]);
      ++j;
    }
  }
}

/// Writes the lines that only one text has. For texts that are too large for
/// `DiffExactly`.
void DiffBySets(const Lines& a, const Lines& b, DiffWriter& writer) {
  const std::multiset<std::string_view> in_a(a.begin(), a.end());
  const std::multiset<std::string_view> in_b(b.begin(), b.end());
  for (std::size_t i = 0; i < a.size(); ++i) {
    if (!in_b.contains(a[i])) {
      writer.Remove(i, a[i]);
    } else {
      writer.Keep();
    }
  }
  for (std::size_t j = 0; j < b.size(); ++j) {
    if (!in_a.contains(b[j])) {
      writer.Add(j, b[j]);
    } else {
      writer.Keep();
    }
  }
}

}  // namespace

std::string DiffLines(std::string_view before, std::string_view after) {
  Lines a = Split(before);
  Lines b = Split(after);
  std::size_t first = 0;
  while (first < a.size() && first < b.size() && a[first] == b[first]) {
    ++first;
  }
  a.erase(a.begin(), a.begin() + static_cast<std::ptrdiff_t>(first));
  b.erase(b.begin(), b.begin() + static_cast<std::ptrdiff_t>(first));
  while (!a.empty() && !b.empty() && a.back() == b.back()) {
    a.pop_back();
    b.pop_back();
  }
  DiffWriter writer(first);
  if ((a.size() + 1) * (b.size() + 1) <= kMaxCells) {
    DiffExactly(a, b, writer);
  } else {
    DiffBySets(a, b, writer);
  }
  return writer.Take();
}

std::string DiffDocuments(const ConfigDocuments& before,
                          const ConfigDocuments& after) {
  std::string out;
  const auto add = [&out](const std::string& name, std::string_view a,
                          std::string_view b) {
    const std::string diff = DiffLines(a, b);
    if (!diff.empty()) {
      out += fmt::format("--- {}\n{}", name, diff);
    }
  };
  add("base", before.base, after.base);
  std::set<SiteId> sites;
  for (const auto* documents : {&before, &after}) {
    for (const auto& [site, text] : documents->overlays) {
      sites.insert(site);
    }
  }
  for (const SiteId& site : sites) {
    const auto a = before.overlays.find(site);
    const auto b = after.overlays.find(site);
    add(site.value(), a == before.overlays.end() ? "" : a->second,
        b == after.overlays.end() ? "" : b->second);
  }
  return out;
}

}  // namespace kingcupdrift::internal
