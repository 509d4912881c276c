#ifndef TESTS_FAKES_CLUSTER_CALL_H_
#define TESTS_FAKES_CLUSTER_CALL_H_

#include <cstdint>
#include <memory>
#include <string>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"
#include "tests/fakes/recording_sink.h"

namespace kingcupdrift::fakes {

struct CompletionSpec {
  std::int64_t prompt_tokens = 100;
  std::int64_t output_tokens = 20;
  Duration time_limit = std::chrono::seconds(60);
};

/// A request as its caller sees it.
struct ClusterCall {
  std::string name;
  std::string entry;
  /// Empty for completions.
  std::string key;
  /// The completion's body; null for orders.
  SharedBytes body;
  std::uint64_t output_tokens = 0;
  Duration time_limit{0};
  /// Tokens and text that an earlier, resumed call brought.
  std::uint64_t earlier_tokens = 0;
  std::string earlier_text;
  RequestId request;
  std::shared_ptr<CallRecord> record;
  /// The connection broke with the entry, or the caller closed it.
  bool is_broken = false;
  /// The entry was frozen while the request was there.
  bool was_frozen = false;
  /// The entry had begun to leave this long before the request came; negative
  /// if it had not.
  Duration time_since_drain_start{-1};

  bool is_order() const { return !key.empty(); }
  bool is_over() const { return is_broken || record->is_ended(); }
  /// "completed", "not_run", "failed", "unknown", "pending" or "broken".
  std::string outcome() const {
    const bool is_lost = is_broken && !record->is_ended();
    return is_lost ? "broken" : record->outcome();
  }
  /// What the caller has of the answer.
  std::string text() const { return earlier_text + record->text; }
};

/// "queue_full: detail", or empty without a problem.
std::string DescribeProblem(const ClusterCall& call);

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_CLUSTER_CALL_H_
