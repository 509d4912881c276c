#ifndef KINGCUPDRIFT_INTERFACES_PEER_LINK_H_
#define KINGCUPDRIFT_INTERFACES_PEER_LINK_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/crash_evidence.h"
#include "kingcupdrift/interfaces/engine_limit.h"

namespace kingcupdrift {

/// kLeaving: the instance is draining.
enum class MemberState { kAlive, kSuspect, kLeaving, kDead };

/// State of an instance as this or another instance last learned it.
struct MemberRecord {
  InstanceId id;
  Incarnation incarnation;
  MemberState state = MemberState::kAlive;
  /// Listener for peers.
  Endpoint peer_endpoint;
  /// Listener for callers.
  Endpoint caller_endpoint;
  FailureDomain failure_domain;
  /// Generation of the configuration in force there, as last reported.
  Generation generation;
};

/// Tokens and requests that one workspace used at one instance, as running
/// totals since that instance's start.
struct WorkspaceUsage {
  WorkspaceId workspace;
  std::int64_t requests = 0;
  std::int64_t tokens = 0;
};

/// State exchange between random peers: members, configuration in force, usage.
struct GossipMessage {
  bool is_reply = false;
  std::vector<MemberRecord> members;
  /// Generation of the configuration in force at the sender.
  Generation generation;
  /// Digest of that configuration's head record.
  std::string head_digest;
  std::vector<WorkspaceUsage> usage;
};

/// Asks the receiver to answer or, if `target` is another instance, to probe
/// it. An empty `target` means the receiver.
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

/// Asks a peer for approved configurations newer than the sender's.
struct ConfigRequestMessage {
  /// In force at the sender; 0 without one.
  Generation generation;
};

/// One document of an approved configuration.
struct ConfigDocument {
  /// "base" or the site's name.
  std::string name;
  std::string text;
};

/// Answers with serialized head records and the documents they name. A head
/// record describes one approved configuration: its generation and the digests
/// of its documents.
struct ConfigReplyMessage {
  /// Head records, oldest first, as stored in the platform's store.
  std::vector<std::string> head_records;
  std::vector<ConfigDocument> documents;
};

/// Describes an attempt that was just sent to an engine, for the other
/// entries (serving processes):
/// the engine's load reports include it only after a lag.
struct DispatchNote {
  EngineId engine;
  AttemptId attempt;
  /// Prompt tokens expected to need prefill.
  TokenCount prefill;
  /// Memory that the attempt takes at the engine.
  TokenCount memory;
  /// Higher runs first, as `EngineStreamRequest::priority`.
  int engine_priority = 0;
};

/// Recent dispatches of the sender.
struct DispatchNotesMessage {
  std::vector<DispatchNote> notes;
};

enum class WorkPhase {
  /// The attempt was sent, and its engines still prefill the prompt.
  kPrefilling,
  /// The first event arrived: the decode engine writes the answer.
  kDecoding,
  /// The attempt occupies no engine any longer.
  kEnded,
};

/// Describes what one attempt of a forwarded prompt occupies on engines. Notes
/// of later phases may carry only `attempt` and `phase`.
struct WorkNote {
  /// Unique for each attempt.
  AttemptId attempt;
  WorkPhase phase = WorkPhase::kPrefilling;
  /// The decode engine: prefills a part of the prompt, holds the prompt in
  /// memory and decodes the answer.
  EngineId engine;
  /// The prefill helpers, each of which prefills a part of the prompt.
  std::vector<EngineId> helpers;
  /// Tokens that each of `helpers` holds in memory, in the same order; empty if
  /// none holds any.
  std::vector<TokenCount> held;
  /// Size of the whole prompt.
  TokenCount prompt;
  /// Largest size of the answer.
  TokenCount output;
  /// Longest event gap that the caller accepts.
  Duration max_event_gap{0};
  /// Prefill time of one part, at `engine` and at each of `helpers`, if nothing
  /// else runs there.
  Duration part_prefill_time{0};
};

/// An engine's process that is leaving, as an entry learned from the engine.
struct LeavingEngine {
  EngineId engine;
  /// As in `EngineAddress`.
  Incarnation incarnation;

  friend auto operator<=>(const LeavingEngine&, const LeavingEngine&) = default;
};

/// One key of the store in a peer's copy.
struct StoreStateItem {
  std::string key;
  StoreVersion version;
  /// Absent if the receiver already has it or, in a list of changes, if the key
  /// was deleted.
  std::optional<std::string> value;
};

/// Leads from one version of a large value to a later one, see
/// `MakeValuePatch`.
struct StoreStatePatch {
  std::string key;
  StoreVersion base;
  StoreVersion version;
  std::string data;
};

/// A peer's whole copy of the store up to `position`, or the changes that lead
/// to it.
struct StoreStateReplyMessage {
  StorePosition position;
  std::vector<StoreStateItem> items;
  /// If present, `items` and `patches` are the changes after this position.
  std::optional<StorePosition> changes_after = std::nullopt;
  /// In the order in which they apply. Earlier builds, which do not know
  /// patches and omissions, take a message with them for a notice of changes.
  std::vector<StoreStatePatch> patches = {};
  /// Large changes are left out; the receiver reads them from the store.
  bool has_omissions = false;
  /// Keys under a lease may be missing although their owners are running.
  bool is_settling = false;
};

/// Changes of the sender's work, and a summary of its state.
struct WorkNotesMessage {
  std::vector<WorkNote> notes;
  /// Engines that the sender suspects to be down.
  std::vector<EngineId> suspects;
  /// Engines that told the sender that they are leaving; with `is_complete`,
  /// all that it knows of.
  std::vector<LeavingEngine> leaving_engines;
  /// What engines told the sender about their limits; with `is_complete`, all
  /// limits that it knows of.
  std::vector<EngineLimit> limits;
  /// With `is_complete` all that the sender knows, else what is new or may have
  /// been lost on its way.
  CrashEvidence crash_evidence;
  /// `notes` lists all of the sender's work in progress.
  bool is_complete = false;
  /// Asks the receiver for a message with `is_complete`.
  bool wants_complete = false;
  /// The sender is draining and accepts no new connections.
  bool is_leaving = false;
  /// Latest state of the platform's store that the sender has seen.
  StorePosition store_position;
  /// The sender reads the store and reaches it.
  bool has_store = false;
  /// The sender can connect to no engine.
  bool is_cut_off = false;
  /// Requests that callers sent to the sender lately.
  double requests_per_second = 0;
  /// Latest changes of the store, from the entry that reads it for the others.
  std::optional<StoreStateReplyMessage> store_changes = std::nullopt;
};

/// Asks a peer for its copy of the platform's store. `position` is the latest
/// state that the sender has seen.
struct StoreStateRequestMessage {
  StorePosition position;
  /// The answer may list changes only.
  bool accepts_changes = false;
  /// The answer may have patches.
  bool accepts_patches = false;
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
  /// Time of sending by the sender's hybrid logical clock.
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
