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

void Entry::HandleCallerDisconnect(const RequestId& request) {
  impl_->HandleCallerDisconnect(request);
}

void Entry::HandleCallerWritable(const RequestId& request) {
  impl_->HandleCallerWritable(request);
}

EntriesAnswer Entry::ListEntries(const WorkspaceId& workspace) const {
  return impl_->ListEntries(workspace);
}

EntryStatus Entry::GetStatus() const {
  return impl_->GetStatus();
}

void Entry::StartDrain() {
  impl_->StartDrain();
}

bool Entry::IsDrained() const {
  return impl_->IsDrained();
}

std::string Entry::GetMetricsText() const {
  return impl_->GetMetricsText();
}

std::string Entry::GetTimelineJson(const std::string& request_filter,
                                   const std::string& workspace_filter) const {
  return impl_->GetTimelineJson(request_filter, workspace_filter);
}

}  // namespace kingcupdrift
