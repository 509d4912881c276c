#ifndef KINGCUPDRIFT_STORE_READER_ELECTION_H_
#define KINGCUPDRIFT_STORE_READER_ELECTION_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// What an entry (a serving process) knows of another one that it heard of
/// lately.
struct ReaderCandidate {
  InstanceId id;
  FailureDomain failure_domain;
  /// It reads the platform's store and reaches it.
  bool is_healthy_reader = false;
  /// Processor cores that the entry may use; 0 if not known.
  double cores = 0;
};

/// Decides if this entry reads the platform's store itself or receives the
/// changes from an entry that does. The number of readers does not grow with
/// the number of entries.
///
/// Every entry ranks all entries by cores, since a reader handles each change
/// for all others, and equal ones by rendezvous hashing; the first of each
/// failure domain comes before the second of any. The first `kReaderCount`
/// read. Another entry takes over when it has heard of no healthy reader for
/// `kTakeoverDelay`, later ranks after earlier ones. Entries may rank different
/// sets for a moment: too many readers only cost calls.
class ReaderElection {
 public:
  /// Of `local` only the health is ignored.
  ReaderElection(const Clock& clock, ReaderCandidate local);

  /// Decides anew. `peers` are the other entries heard of lately that may read;
  /// `is_local_healthy`: this entry reads and reaches the store. An entry that
  /// is not eligible ranks after all others.
  void Update(const std::vector<ReaderCandidate>& peers,
              bool is_local_healthy,
              bool is_eligible = true);

  bool should_read() const { return should_read_; }
  /// No healthy reader ranks before this entry, which passes changes on to all.
  bool is_first_reader() const { return is_first_reader_; }
  /// A peer is known as a healthy reader.
  bool has_healthy_reader() const { return has_healthy_reader_; }

  /// One reader may die and another be cut off from the store.
  static constexpr std::size_t kReaderCount = 3;
  /// With the timeout of a watch, shorter than the time within which an
  /// approved configuration must be in force; longer than a reader needs for
  /// its first call.
  static constexpr Duration kTakeoverDelay = std::chrono::milliseconds(300);
  /// Additional delay for each rank, so that a few entries take over and not
  /// all.
  static constexpr Duration kTakeoverDelayPerRank =
      std::chrono::milliseconds(20);
  static constexpr Duration kMaxTakeoverDelay = std::chrono::seconds(2);

 private:
  /// Number of `peers` that rank before this entry, and of healthy readers
  /// among them.
  struct Rank {
    std::size_t before = 0;
    std::size_t healthy_before = 0;
  };
  Rank ComputeRank(const std::vector<ReaderCandidate>& peers,
                   bool is_eligible) const;

  const Clock& clock_;
  ReaderCandidate local_;
  bool should_read_ = false;
  bool is_first_reader_ = false;
  bool has_healthy_reader_ = false;
  // Time since which no healthy reader is known; absent while one is.
  std::optional<MonotonicTime> without_reader_since_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_STORE_READER_ELECTION_H_
