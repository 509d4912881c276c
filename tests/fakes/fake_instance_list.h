#ifndef TESTS_FAKES_FAKE_INSTANCE_LIST_H_
#define TESTS_FAKES_FAKE_INSTANCE_LIST_H_

#include <map>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"
#include "tests/fakes/delayed_task_runner.h"

namespace kingcupdrift::fakes {

/// Simulates the platform's list of instances; changes appear after a lag.
class InstanceListModel {
 public:
  InstanceListModel(Duration lag, Clock& clock) : lag_(lag), changes_(clock) {}

  void Set(const ListedInstance& instance);
  void Remove(const InstanceId& id);
  /// The rows visible now.
  std::vector<ListedInstance> Rows() const;

  void SetDown(bool is_down) { is_down_ = is_down; }
  bool is_down() const { return is_down_; }

 private:
  Duration lag_;
  std::map<InstanceId, ListedInstance> rows_;
  bool is_down_ = false;
  DelayedTaskRunner changes_;
};

/// One entry's (serving process's) client of the list.
class FakeInstanceList : public InstanceList {
 public:
  FakeInstanceList(InstanceListModel& model, Clock& clock)
      : model_(model), replies_(clock) {}

  void Fetch(Callback callback) override;

 private:
  InstanceListModel& model_;
  DelayedTaskRunner replies_;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_FAKE_INSTANCE_LIST_H_
