#include "tests/fakes/fake_instance_list.h"

#include <utility>

namespace kingcupdrift::fakes {
namespace {

constexpr Duration kRoundTrip = std::chrono::milliseconds(2);

}  // namespace

void InstanceListModel::Set(const ListedInstance& instance) {
  changes_.Post(lag_, [this, instance] { rows_[instance.id] = instance; });
}

void InstanceListModel::Remove(const InstanceId& id) {
  changes_.Post(lag_, [this, id] { rows_.erase(id); });
}

std::vector<ListedInstance> InstanceListModel::Rows() const {
  std::vector<ListedInstance> rows;
  for (const auto& [id, row] : rows_) {
    rows.push_back(row);
  }
  return rows;
}

void FakeInstanceList::Fetch(Callback callback) {
  replies_.Post(kRoundTrip, [this, callback = std::move(callback)] {
    if (model_.is_down()) {
      callback(MakeError(ErrorCode::kUnavailable, "connection refused"));
    } else {
      callback(model_.Rows());
    }
  });
}

}  // namespace kingcupdrift::fakes
