#ifndef KINGCUPDRIFT_INTERFACES_PEER_LINK_H_
#define KINGCUPDRIFT_INTERFACES_PEER_LINK_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

enum class MemberState { kAlive, kSuspect, kLeaving, kDead };

/// What one instance knows of another.
struct MemberRecord {
  InstanceId id;
  Incarnation incarnation;
  MemberState state = MemberState::kAlive;
  /// Listener for peers.
  Endpoint peer_endpoint;
  /// Listener for callers.
  Endpoint caller_endpoint;
  FailureDomain failure_domain;
  /// Configuration in force there, as last heard.
  Generation generation;
};

/// Tokens and requests that one workspace used at one instance, as running
/// totals since that instance's start.
struct WorkspaceUsage {
  WorkspaceId workspace;
  std::int64_t requests = 0;
  std::int64_t tokens = 0;
};

/// Digest exchange between random peers: members, configuration, usage.
struct GossipMessage {
  bool is_reply = false;
  std::vector<MemberRecord> members;
  Generation generation;
  std::string head_digest;
  std::vector<WorkspaceUsage> usage;
};

/// Asks whether `target` lives; empty `target` means the receiver itself.
struct ProbeMessage {
  std::uint64_t sequence = 0;
  InstanceId target;
};

/// Answers a probe for `target`.
struct ProbeReplyMessage {
  std::uint64_t sequence = 0;
  InstanceId target;
  Incarnation incarnation;
};

/// Asks a peer for the approved configuration that follows the asker's.
struct ConfigRequestMessage {
  /// In force at the asker; 0 for none.
  Generation generation;
};

/// One document of an approved configuration.
struct ConfigDocument {
  /// "base" or the site's name.
  std::string name;
  std::string text;
};

/// Answers with the serialized head records and the documents they name.
struct ConfigReplyMessage {
  /// Head records, oldest first, as stored in the platform's store.
  std::vector<std::string> head_records;
  std::vector<ConfigDocument> documents;
};

/// Tells other entries what was just sent to an engine, which its next report
/// will show only after a lag.
struct DispatchNote {
  EngineId engine;
  AttemptId attempt;
  /// Prompt tokens expected to need prefill.
  TokenCount prefill;
  /// Memory taken at the engine.
  TokenCount memory;
  int engine_priority = 0;
};

/// Recent dispatches of the sender.
struct DispatchNotesMessage {
  std::vector<DispatchNote> notes;
};

enum class WorkPhase {
  /// Sent to an engine, which still reads the prompt.
  kPrefilling,
  /// The first event came.
  kDecoding,
  /// Nothing of it is left at any engine.
  kEnded,
};

/// What one forwarded prompt occupies at engines. Later phases may name the
/// work only, without its engines.
struct WorkNote {
  /// Unique for one send.
  AttemptId attempt;
  WorkPhase phase = WorkPhase::kPrefilling;
  /// Reads a part, holds the prompt and writes the answer.
  EngineId engine;
  /// Read a part each.
  std::vector<EngineId> helpers;
  /// Tokens of the prompt that each of `helpers` holds; empty if none holds
  /// any.
  std::vector<TokenCount> held;
  TokenCount prompt;
  TokenCount output;
  /// Longest pause between events that its caller accepts.
  Duration max_event_gap{0};
  /// Reading time at each of these engines, if nothing else runs there.
  Duration part_prefill_time{0};
};

/// Work that the sender started, moved on or ended, and what it knows.
struct WorkNotesMessage {
  std::vector<WorkNote> notes;
  /// Engines that the sender suspects not to answer.
  std::vector<EngineId> suspects;
  /// `notes` names all that the sender has under way.
  bool is_complete = false;
  /// The sender asks for such a message.
  bool wants_complete = false;
  /// The sender takes no new connections.
  bool is_leaving = false;
  /// Version of the platform's store that the sender has seen.
  StoreVersion store_version;
  /// The sender's store watch works.
  bool has_store = false;
};

/// Asks a peer for what it knows of the platform's store after `version`.
struct StoreStateRequestMessage {
  StoreVersion version;
};

/// One value of the store as a peer knows it.
struct StoreStateItem {
  std::string key;
  StoreVersion version;
  /// Absent if the asker has it already.
  std::optional<std::string> value;
};

/// All that a peer knows of the store.
struct StoreStateReplyMessage {
  StoreVersion version;
  std::vector<StoreStateItem> items;
};

using PeerPayload = std::variant<GossipMessage,
                                 ProbeMessage,
                                 ProbeReplyMessage,
                                 ConfigRequestMessage,
                                 ConfigReplyMessage,
                                 DispatchNotesMessage,
                                 WorkNotesMessage,
                                 StoreStateRequestMessage,
                                 StoreStateReplyMessage>;

/// A message between entries.
struct PeerMessage {
  InstanceId sender;
  Incarnation incarnation;
  HybridTime time;
  PeerPayload payload;
};

/// Unreliable, unordered delivery of messages between entries.
class PeerLink {
 public:
  using Receiver = std::function<void(const PeerMessage& message)>;

  virtual ~PeerLink() = default;
  virtual void Send(const Endpoint& peer, const PeerMessage& message) = 0;
  virtual void SetReceiver(Receiver receiver) = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_INTERFACES_PEER_LINK_H_
