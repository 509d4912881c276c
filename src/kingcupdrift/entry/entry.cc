#include "kingcupdrift/entry/entry.h"

#include <utility>

#include "kingcupdrift/entry/internal/entry_impl.h"

namespace kingcupdrift {

Entry::Entry(EntrySettings settings, EntryDependencies dependencies)
    : impl_(std::make_unique<Impl>(std::move(settings), dependencies)) {}

Entry::~Entry() = default;

void Entry::Start() {
  impl_->Start();
}

RequestId Entry::Complete(CompletionCall call,
                          std::unique_ptr<CallerSink> sink) {
  return impl_->Complete(std::move(call), std::move(sink));
}

RequestId Entry::CallService(PlainCall call, std::unique_ptr<CallerSink> sink) {
  return impl_->CallService(std::move(call), std::move(sink));
}

RequestId Entry::Resume(const ResumeCall& call,
                        std::unique_ptr<CallerSink> sink) {
  return impl_->Resume(call, std::move(sink));
}

void Entry::CallerGone(const RequestId& request) {
  impl_->CallerGone(request);
}

void Entry::CallerDrained(const RequestId& request) {
  impl_->CallerDrained(request);
}

EntriesAnswer Entry::ListEntries(const WorkspaceId& workspace) const {
  return impl_->ListEntries(workspace);
}

EntryStatus Entry::Status() const {
  return impl_->Status();
}

void Entry::StartDrain() {
  impl_->StartDrain();
}

bool Entry::IsDrained() const {
  return impl_->IsDrained();
}

std::string Entry::MetricsText() const {
  return impl_->MetricsText();
}

std::string Entry::TimelineJson(const std::string& request_filter,
                                const std::string& workspace_filter) const {
  return impl_->TimelineJson(request_filter, workspace_filter);
}

}  // namespace kingcupdrift
