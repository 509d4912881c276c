#include "tests/forwarding/model_engines_harness.h"

#include <algorithm>

namespace kingcupdrift::fakes {
namespace {

/// Events of a whole answer.
constexpr int kEvents = 20;
constexpr std::int64_t kPromptTokens = 2000;
const std::string kModelService = "model";
const std::string kPlainService = "plain";

std::string KeyOf(const EngineId& engine) {
  return "targets/" + engine.value();
}

/// Writes an entry's answer to the entry that relayed the call.
class RelaySink : public ForwardSink {
 public:
  explicit RelaySink(std::shared_ptr<TargetSend> send)
      : send_(std::move(send)) {}

  void Reply(const ServiceResponse& response) override {
    WriteEngineHead(response.status);
    Write(*response.body);
    End();
  }
  void Begin(int status, const HeaderList&) override {
    WriteEngineHead(status);
  }
  void Write(std::string_view bytes) override {
    if (send_->observer != nullptr) {
      send_->observer->OnBytes(bytes);
    }
  }
  void End() override {
    if (send_->observer != nullptr) {
      send_->observer->OnEnd();
    }
  }
  void Abort() override {
    if (send_->observer != nullptr) {
      send_->observer->OnFailed({ErrorCode::kConnectionLost, "closed"});
    }
  }
  void Refuse(const ForwardRefusal& refusal) override {
    TargetResponseHead head;
    head.status = GuaranteesNotRun(refusal.type) ? 503 : 502;
    WriteHead(head);
    End();
  }
  void SetClosedCallback(std::function<void()>) override {}
  void SetDrainedCallback(std::function<void()>) override {}
  ByteCount GetUnsentBytes() const override { return ByteCount(0); }

 private:
  void WriteHead(const TargetResponseHead& head) {
    if (send_->observer != nullptr) {
      send_->observer->OnResponseHead(head);
    }
  }
  /// The head of an engine's answer, which entries pass on unchanged.
  void WriteEngineHead(int status) {
    TargetResponseHead head;
    head.status = status;
    head.request = send_->request;
    head.is_signed = true;
    WriteHead(head);
  }

  std::shared_ptr<TargetSend> send_;
};

}  // namespace

ModelEnginesHarness::ModelEnginesHarness(int entries,
                                         Duration peer_delay,
                                         int engines)
    : GatewayHarness(entries, peer_delay) {
  for (int i = 0; i < engines; ++i) {
    AddEngine(kModelService);
  }
  Steps(4);
}

void ModelEnginesHarness::AddEngine(const std::string& service) {
  const EngineId id("engine-" + std::to_string(next_engine_++));
  engines_[id] = service;
  Put(KeyOf(id), "ready 1 " + service);
}

void ModelEnginesHarness::AddPlainTargets(int count) {
  Delete("targets/t1");
  for (int i = 0; i < count; ++i) {
    AddEngine(kPlainService);
  }
  Steps(4);
}

std::vector<EngineId> ModelEnginesHarness::ListEngines() const {
  std::vector<EngineId> ids;
  for (const auto& [id, service] : engines_) {
    ids.push_back(id);
  }
  return ids;
}

std::shared_ptr<CallerRecord> ModelEnginesHarness::Ask(
    std::size_t node,
    const std::string& path,
    const std::string& body) {
  ForwardCall call = ForwardingHarness::Call(path);
  call.id = RequestId("request-" + std::to_string(next_request_++));
  call.key = "kept";
  call.body = std::make_shared<const std::string>(body);
  if (path.starts_with("/prompt/")) {
    call.prompt = ForwardingHarness::Prompt(kPromptTokens).prompt;
    call.prompt->shared_parts = {PromptPartId("common")};
  }
  auto record = std::make_shared<CallerRecord>();
  nodes.at(node)->gateway->Handle(std::move(call), MakeRecordingSink(record));
  return record;
}

std::shared_ptr<CallerRecord> ModelEnginesHarness::Ask(
    std::size_t node,
    const std::vector<std::string>& parts) {
  ForwardCall call = ForwardingHarness::Prompt(kPromptTokens);
  call.id = RequestId("request-" + std::to_string(next_request_++));
  call.key = "kept";
  // No two prompts are alike.
  call.body = std::make_shared<const std::string>(call.id.value());
  for (const std::string& it : parts) {
    call.prompt->shared_parts.emplace_back(it);
  }
  auto record = std::make_shared<CallerRecord>();
  nodes.at(node)->gateway->Handle(std::move(call), MakeRecordingSink(record));
  return record;
}

void ModelEnginesHarness::Crash(const EngineId& engine) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) {
    return;
  }
  ++crashes_;
  restarts_.push_back({step_ + restart_steps, engine, found->second});
  engines_.erase(found);
  for (const auto& node : nodes) {
    node->targets.unresponsive.insert(engine);
    // A broken attempt may be sent again, which adds to the list.
    const auto sends = node->targets.sends;
    for (const auto& it : sends) {
      if (it->observer != nullptr && it->target.id == engine) {
        it->observer->OnFailed({ErrorCode::kConnectionLost, "reset"});
      }
    }
  }
  if (!keeps_id) {
    Delete(KeyOf(engine));
  }
}

void ModelEnginesHarness::RestartEngine(const Restart& restart) {
  if (!keeps_id) {
    AddEngine(restart.service);
    return;
  }
  engines_[restart.engine] = restart.service;
  for (const auto& node : nodes) {
    node->targets.unresponsive.erase(restart.engine);
  }
  Put(KeyOf(restart.engine),
      "ready " + std::to_string(++next_incarnation_) + " " + restart.service);
}

void ModelEnginesHarness::SetCut(std::size_t node, Cut cut) {
  GatewayNode& it = *nodes.at(node);
  cuts_[&it] = cut;
  it.targets.is_cut_off = cut != Cut::kNone;
  sends_before_cut_[&it].clear();
  for (const auto& send : it.targets.sends) {
    sends_before_cut_[&it].insert(send.get());
  }
}

bool ModelEnginesHarness::IsCut(const GatewayNode& node, TargetSend& send) {
  const auto cut = cuts_.find(&node);
  if (cut == cuts_.end() || cut->second == Cut::kNone) {
    return false;
  }
  const bool is_old = sends_before_cut_[&node].contains(&send);
  if (cut->second == Cut::kRefuse && is_old) {
    return false;
  }
  if (!is_old) {
    // No connection is made; the client gives up within some steps.
    send.observer->OnFailed({ErrorCode::kUnavailable, "no connection"});
  } else if (cut->second == Cut::kReset) {
    send.observer->OnFailed({ErrorCode::kUnknownEffect, "reset"});
  }
  return true;
}

bool ModelEnginesHarness::IsCrashing(const TargetSend& send) const {
  return crashing_bodies.contains(send.body) ||
         std::any_of(send.shared_parts.begin(), send.shared_parts.end(),
                     [this](const PromptPartId& it) {
                       return crashing_parts.contains(it);
                     });
}

void ModelEnginesHarness::AnswerSend(GatewayNode& node, TargetSend& send) {
  if (silent.contains(send.target.id) || IsCut(node, send)) {
    return;
  }
  const auto engine = engines_.find(send.target.id);
  if (engine == engines_.end()) {
    send.observer->OnFailed({ErrorCode::kUnavailable, "refused"});
    return;
  }
  if (IsCrashing(send)) {
    Crash(send.target.id);
    return;
  }
  if (engine->second == kPlainService) {
    TargetResponseHead head;
    head.status = plain_status;
    head.request = send.request;
    head.is_signed = true;
    send.observer->OnResponseHead(head);
    send.observer->OnBytes("answer");
    send.observer->OnEnd();
    return;
  }
  const int event = ++events_[send.request];
  if (event == 1 || send.last_event_id) {
    EngineNotice notice;
    notice.tells_limit = true;
    if (const auto it = limits.find(send.target.id); it != limits.end()) {
      notice.requests_per_second = it->second;
    }
    node.targets.notices->OnEngineNotice(send.target, notice);
    TargetResponseHead head;
    head.status = 200;
    head.request = send.request;
    head.is_signed = true;
    send.observer->OnResponseHead(head);
    send.last_event_id.reset();
  }
  if (send.observer != nullptr) {
    send.observer->OnBytes(Event(event));
  }
  if (event == kEvents && send.observer != nullptr) {
    send.observer->OnEnd();
  }
}

void ModelEnginesHarness::DeliverRelay(
    const std::shared_ptr<TargetSend>& send) {
  const auto known = relays_.find(send);
  if (known != relays_.end()) {
    if (!known->second->is_running) {
      send->observer->OnFailed({ErrorCode::kUnknownEffect, "reset"});
    }
    return;
  }
  for (const auto& node : nodes) {
    if (node->is_running && node->endpoint.host == send->target.endpoint.host) {
      relays_[send] = node.get();
      node->gateway->Handle(*send->relayed_call,
                            std::make_unique<RelaySink>(send));
      return;
    }
  }
  send->observer->OnFailed({ErrorCode::kUnavailable, "refused"});
}

void ModelEnginesHarness::Step() {
  ++step_;
  for (const auto& node : nodes) {
    std::size_t& counted = counted_sends_[node.get()];
    for (; counted < node->targets.sends.size(); ++counted) {
      arrivals_[node->targets.sends[counted]->target.id].push_back(step_);
    }
  }
  for (const auto& node : nodes) {
    // A killed entry's connections are closed.
    if (!node->is_running) {
      continue;
    }
    const auto sends = node->targets.sends;
    for (const auto& it : sends) {
      if (it->observer != nullptr && it->relayed_call) {
        DeliverRelay(it);
      } else if (it->observer != nullptr) {
        AnswerSend(*node, *it);
      }
    }
    node->targets.AnswerPendingCalls();
  }
  clock.Advance(kStep);
  for (const auto& node : nodes) {
    node->targets.AnswerPendingCalls();
  }
  std::vector<Restart> due;
  std::erase_if(restarts_, [this, &due](const Restart& it) {
    if (it.step <= step_) {
      due.push_back(it);
    }
    return it.step <= step_;
  });
  for (const Restart& it : due) {
    RestartEngine(it);
  }
}

void ModelEnginesHarness::Steps(int count) {
  for (int i = 0; i < count; ++i) {
    Step();
  }
}

int ModelEnginesHarness::CountCrashingSends() const {
  int n = 0;
  for (const auto& node : nodes) {
    for (const auto& it : node->targets.sends) {
      n += IsCrashing(*it) && !it->relayed_call ? 1 : 0;
    }
  }
  return n;
}

}  // namespace kingcupdrift::fakes
