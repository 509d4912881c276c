#include "kingcupdrift/entry/internal/dispatch_note_sender.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace kingcupdrift {
namespace {

/// Encoded size of a message without notes, frame and packet headers included.
constexpr double kMessageBytes = 180;
/// Encoded size of one note.
constexpr double kNoteBytes = 100;

}  // namespace

DispatchNoteSender::DispatchNoteSender(Clock& clock,
                                       Membership& membership,
                                       Router& router)
    : clock_(clock), membership_(membership), router_(router) {}

void DispatchNoteSender::Start() {
  timer_ = clock_.RunAfter(kInterval, [this] { Tick(); });
}

void DispatchNoteSender::Tick() {
  const double seconds = std::chrono::duration<double>(kInterval).count();
  send_budget_bytes_ =
      std::min(send_budget_bytes_ + kBytesPerSecond * seconds, kBytesPerSecond);
  if (send_budget_bytes_ > 0) {
    Send();
  }
  Start();
}

void DispatchNoteSender::Send() {
  std::vector<DispatchNote> notes = router_.TakeDispatchNotes();
  const std::vector<InstanceId> peers =
      membership_.table().ListByState(MemberState::kAlive);
  if (notes.empty() || peers.empty() || peers.size() > kMaxPeers) {
    return;
  }
  const double bytes =
      kMessageBytes + kNoteBytes * static_cast<double>(notes.size());
  send_budget_bytes_ -= bytes * static_cast<double>(peers.size());
  const DispatchNotesMessage message{std::move(notes)};
  for (const InstanceId& it : peers) {
    membership_.SendTo(membership_.table().Find(it)->peer_endpoint, message);
  }
}

}  // namespace kingcupdrift
