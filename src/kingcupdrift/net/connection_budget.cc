#include "kingcupdrift/net/connection_budget.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>
#include <vector>

namespace kingcupdrift {

ConnectionAccount::ConnectionAccount(ConnectionBudget& budget,
                                     BudgetedConnection& connection)
    : budget_(budget),
      connection_(connection),
      progress_at_(budget.clock_.Now()) {
  budget_.accounts_.insert(this);
}

ConnectionAccount::~ConnectionAccount() {
  SetBlocked(false);
  budget_.held_ -= held();
  budget_.accounts_.erase(this);
}

void ConnectionAccount::BeginRequest() {
  request_number_ = ++budget_.last_request_number_;
  progress_ = ByteCount(0);
  progress_at_ = budget_.clock_.Now();
}

void ConnectionAccount::AddProgress(ByteCount bytes) {
  progress_ += bytes;
  if (progress_ >= ConnectionBudget::kProgressStep) {
    progress_ = ByteCount(0);
    progress_at_ = budget_.clock_.Now();
  }
}

void ConnectionAccount::SetBlocked(bool is_blocked) {
  if (is_blocked_ == is_blocked) {
    return;
  }
  is_blocked_ = is_blocked;
  if (is_blocked) {
    ++budget_.blocked_;
    budget_.ScheduleSample();
  } else {
    --budget_.blocked_;
  }
}

void ConnectionAccount::SetHeld(ByteCount bytes) {
  if (bytes == held_) {
    return;
  }
  const bool is_growing = bytes > held_;
  budget_.held_ += bytes - held_;
  held_ = bytes;
  // The account may end here.
  ConnectionBudget& budget = budget_;
  if (is_growing && budget.has_byte_limit()) {
    budget.Shed();
    budget.ScheduleSample();
  }
}

void ConnectionAccount::SetInKernel(ByteCount bytes) {
  budget_.held_ += bytes - in_kernel_;
  in_kernel_ = bytes;
}

ByteCount ConnectionBudget::GetByteLimit() const {
  const ByteCount limit = settings_.max_bytes.value_or(ByteCount(0));
  return read_other_bytes_ ? limit - std::min(limit, read_other_bytes_())
                           : limit;
}

bool ConnectionBudget::IsOverLimit() const {
  return has_byte_limit() && held_ > GetByteLimit();
}

bool ConnectionBudget::HasAmpleRoom(ByteCount bytes) const {
  return !has_byte_limit() ||
         held_ + bytes < ByteCount(GetByteLimit().value() / 2);
}

bool ConnectionBudget::NeedsSamples() const {
  return blocked_ > 0 || !HasAmpleRoom(ByteCount(0));
}

void ConnectionBudget::ScheduleSample() {
  if (!sample_timer_ && NeedsSamples()) {
    sample_timer_ = clock_.RunAfter(kSampleInterval, [this] {
      sample_timer_.reset();
      Sample();
      ScheduleSample();
    });
  }
}

void ConnectionBudget::Sample() {
  const bool is_needed = NeedsSamples();
  // A sample may destroy its connection.
  const std::vector<ConnectionAccount*> accounts(accounts_.begin(),
                                                 accounts_.end());
  for (ConnectionAccount* const it : accounts) {
    if (!accounts_.contains(it)) {
      continue;
    }
    const ByteCount in_kernel =
        is_needed ? it->connection_.ReadKernelBytes() : ByteCount(0);
    if (accounts_.contains(it)) {
      it->SetInKernel(in_kernel);
    }
  }
  Shed();
}

bool ConnectionBudget::IsStalled(const ConnectionAccount& account) const {
  return clock_.Now() - account.progress_at_ >= kStallTime;
}

ConnectionAccount* ConnectionBudget::FindShedCandidate() const {
  // The greatest rank yields first.
  using Rank = std::tuple<int, std::int64_t>;
  constexpr int kStalledRank = 3;
  constexpr int kLargeRank = 2;
  constexpr int kOtherRank = 1;
  Rank best_rank{0, 0};
  ConnectionAccount* best = nullptr;
  for (ConnectionAccount* const it : accounts_) {
    const ByteCount held = it->held();
    if (it->is_busy_ && !it->is_blocked_) {
      continue;
    }
    Rank rank{0, 0};
    if (held > kSmallRequestBytes && IsStalled(*it)) {
      rank = {kStalledRank, held.value()};
    } else if (held > kLargeRequestBytes) {
      rank = {kLargeRank, static_cast<std::int64_t>(it->request_number_)};
    } else if (held > kSmallRequestBytes) {
      rank = {kOtherRank, held.value()};
    } else if (held > ByteCount(0) && IsStalled(*it)) {
      rank = {0, held.value()};
    }
    if (rank > best_rank) {
      best_rank = rank;
      best = it;
    }
  }
  return best;
}

void ConnectionBudget::Shed() {
  if (is_shedding_ || !IsOverLimit() || clock_.Now() < next_shed_at_) {
    return;
  }
  is_shedding_ = true;
  while (IsOverLimit()) {
    ConnectionAccount* const account = FindShedCandidate();
    if (account == nullptr) {
      next_shed_at_ = clock_.Now() + kSampleInterval;
      break;
    }
    ++shed_requests_;
    log_.Warning("request_shed",
                 "Refused a request that held {} bytes: clients hold {} bytes "
                 "of {}.",
                 account->held().value(), held_.value(),
                 GetByteLimit().value());
    // These bytes are dropped, or go with the connection.
    account->SetInKernel(ByteCount(0));
    account->connection_.Shed();
  }
  is_shedding_ = false;
}

bool ConnectionBudget::EvictOne(const ConnectionAccount* spared) {
  ConnectionAccount* oldest = nullptr;
  for (ConnectionAccount* const it : accounts_) {
    if (it != spared && !it->is_busy_ &&
        (oldest == nullptr || it->progress_at_ < oldest->progress_at_)) {
      oldest = it;
    }
  }
  if (oldest == nullptr) {
    return false;
  }
  ++evicted_connections_;
  log_.Warning("connection_evicted",
               "Closed the connection that was idle for the longest time: {} "
               "connections of clients are open.",
               accounts_.size());
  oldest->connection_.Evict();
  return true;
}

bool ConnectionBudget::MakeRoomFor(const ConnectionAccount& added) {
  if (!settings_.max_connections ||
      accounts_.size() <= *settings_.max_connections || EvictOne(&added)) {
    return true;
  }
  ++refused_connections_;
  log_.Warning("connection_refused",
               "Refused a connection: {} connections of clients are open, and "
               "none of them is idle.",
               accounts_.size());
  return false;
}

std::string FormatConnectionMetrics(const ConnectionBudget& budget) {
  std::string out;
  const auto add = [&out](std::string_view name, std::string_view type,
                          std::uint64_t value) {
    out += fmt::format("# TYPE kingcupdrift_{0} {1}\nkingcupdrift_{0} {2}\n",
                       name, type, value);
  };
  add("client_connections", "gauge", budget.CountConnections());
  add("client_bytes_held", "gauge",
      static_cast<std::uint64_t>(budget.held().value()));
  add("client_requests_shed_total", "counter", budget.shed_requests());
  add("client_connections_evicted_total", "counter",
      budget.evicted_connections());
  add("client_connections_refused_total", "counter",
      budget.refused_connections());
  return out;
}

}  // namespace kingcupdrift
