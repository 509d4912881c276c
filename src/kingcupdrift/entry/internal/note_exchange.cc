#include "kingcupdrift/entry/internal/note_exchange.h"

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

NoteExchange::NoteExchange(Clock& clock, Membership& membership, Router& router)
    : clock_(clock), membership_(membership), router_(router) {}

void NoteExchange::Start() {
  timer_ = clock_.RunAfter(kInterval, [this] { Tick(); });
}

void NoteExchange::Tick() {
  const double seconds = std::chrono::duration<double>(kInterval).count();
  allowance_ =
      std::min(allowance_ + kBytesPerSecond * seconds, kBytesPerSecond);
  if (allowance_ > 0) {
    Send();
  }
  Start();
}

void NoteExchange::Send() {
  std::vector<DispatchNote> notes = router_.TakeDispatchNotes();
  const std::vector<InstanceId> peers =
      membership_.table().WithState(MemberState::kAlive);
  if (notes.empty() || peers.empty() || peers.size() > kMaxPeers) {
    return;
  }
  const double bytes =
      kMessageBytes + kNoteBytes * static_cast<double>(notes.size());
  allowance_ -= bytes * static_cast<double>(peers.size());
  const DispatchNotesMessage message{std::move(notes)};
  for (const InstanceId& it : peers) {
    membership_.SendTo(membership_.table().Find(it)->peer_endpoint, message);
  }
}

}  // namespace kingcupdrift
