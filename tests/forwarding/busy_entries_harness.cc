#include "tests/forwarding/busy_entries_harness.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <utility>

namespace kingcupdrift::fakes {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Processor time of one core for a byte of the store's answer (JSON and
/// base64), and for a byte of a configuration, with a parser that builds a
/// tree of values.
constexpr double kAnswerMicrosecondsPerByte = 0.03;
constexpr double kConfigMicrosecondsPerByte = 0.043;
constexpr Duration kMessageWork = microseconds(20);
constexpr Duration kLoadStep = milliseconds(20);
constexpr std::size_t kConfigBytes = 380'000;
constexpr std::size_t kConfigHeadBytes = 16;
constexpr Duration kStartTime = seconds(4);

Duration ToWork(double microseconds_of_core, const EntryMachine& machine) {
  return Duration(
      static_cast<Duration::rep>(microseconds_of_core / machine.cores));
}

/// Charges the decoding of configurations.
class ChargingDecoder : public TextDecoder {
 public:
  ChargingDecoder(BusyClock& clock,
                  const EntryMachine& machine,
                  Generation& version)
      : clock_(clock), machine_(machine), version_(version) {}

  Result<ServingConfig> DecodeConfig(const std::string& value) const override {
    clock_.Charge(
        ToWork(static_cast<double>(value.size()) * kConfigMicrosecondsPerByte,
               machine_));
    // The rest is filler, whose decoding is only charged.
    Result<ServingConfig> config =
        TextDecoder::DecodeConfig(value.substr(0, kConfigHeadBytes));
    version_ = config->version;
    return config;
  }

 private:
  BusyClock& clock_;
  const EntryMachine& machine_;
  Generation& version_;
};

/// Delivers answers over the entry's link, and charges reading them.
class ChargingStore : public FakeStore {
 public:
  ChargingStore(const FakeStoreOptions& options,
                StoreModel& model,
                ManualClock& base,
                BusyClock& clock,
                const EntryMachine& machine)
      : FakeStore(options, model, clock),
        base_(base),
        clock_(clock),
        machine_(machine),
        transfers_(base),
        arrivals_(clock) {}

  void List(const std::string& prefix, ListCallback callback) override {
    FakeStore::List(prefix, [this, callback](const Result<StoreListing>& it) {
      std::size_t bytes = 0;
      if (it) {
        for (const StoreEntry& entry : it->entries) {
          bytes += entry.value.value.size();
        }
      }
      Transfer(bytes, [callback, it] { callback(it); });
    });
  }

  std::unique_ptr<StoreWatch> Watch(const std::string& prefix,
                                    StoreVersion after,
                                    WatchCallback callback) override {
    // The watch may be gone when its answer arrives.
    const auto is_open = std::make_shared<bool>(true);
    auto watch = std::make_unique<GuardedWatch>(is_open);
    watch->Hold(FakeStore::Watch(
        prefix, after, [this, callback, is_open](const Result<StoreEvent>& it) {
          Transfer(it && it->value ? it->value->value.size() : 0,
                   [callback, it, is_open] {
                     if (*is_open) {
                       callback(it);
                     }
                   });
        }));
    return watch;
  }

 private:
  class GuardedWatch : public StoreWatch {
   public:
    explicit GuardedWatch(std::shared_ptr<bool> is_open)
        : is_open_(std::move(is_open)) {}
    ~GuardedWatch() override { *is_open_ = false; }
    void Hold(std::unique_ptr<StoreWatch> watch) { watch_ = std::move(watch); }

   private:
    std::shared_ptr<bool> is_open_;
    std::unique_ptr<StoreWatch> watch_;
  };

  void Transfer(std::size_t bytes, std::function<void()> deliver) {
    const double size = static_cast<double>(bytes);
    link_free_at_ =
        std::max(link_free_at_, base_.Now()) +
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
            size / machine_.link_bytes_per_second));
    const Duration work = ToWork(size * kAnswerMicrosecondsPerByte, machine_);
    transfers_.Post(link_free_at_ - base_.Now(),
                    [this, work, deliver = std::move(deliver)] {
                      arrivals_.Post(Duration::zero(), [this, work, deliver] {
                        clock_.Charge(work);
                        deliver();
                      });
                    });
  }

  ManualClock& base_;
  BusyClock& clock_;
  const EntryMachine& machine_;
  MonotonicTime link_free_at_{};
  DelayedTaskRunner transfers_;
  DelayedTaskRunner arrivals_;
};

EntryMachine MakeMachine(int number) {
  constexpr int kLargeOneIn = 8;
  return number % kLargeOneIn == 1 ? EntryMachine{0.5, 25e6}
                                   : EntryMachine{0.12, 2.5e6};
}

}  // namespace

BusyNode::BusyNode(int number,
                   const EntryMachine& entry_machine,
                   ManualClock& base,
                   Random& random,
                   StoreModel& model,
                   FakePeerNetwork& network)
    : machine(entry_machine),
      clock(base),
      decoder(std::make_unique<ChargingDecoder>(clock, machine, version)),
      node(std::make_unique<GatewayNode>(
          number,
          "entry-",
          clock,
          random,
          std::make_unique<ChargingStore>(MakeStoreOptions(),
                                          model,
                                          base,
                                          clock,
                                          machine),
          network,
          *decoder,
          machine.cores)) {
  node->link.SetReceiveHook(
      [this] { clock.Charge(ToWork(kMessageWork.count(), machine)); });
}

BusyNode::~BusyNode() = default;

BusyHarness::BusyHarness(int count) {
  model.SetEra(StoreEra(1));
  Put("config", "1 kept");
  for (const char* const id : {"t1", "t2", "t3"}) {
    Put(std::string("targets/") + id, "ready 7");
  }
  for (int i = 1; i <= count; ++i) {
    nodes.push_back(std::make_unique<BusyNode>(i, MakeMachine(i), clock, random,
                                               model, network));
    nodes.back()->node->gateway->Start();
  }
  clock.Advance(kStartTime);
}

BusyHarness::~BusyHarness() = default;

void BusyHarness::PutConfig(int version) {
  const std::string number = std::to_string(version);
  Put("config",
      number + " kept v" + number + " " + std::string(kConfigBytes, 'x'));
}

void BusyHarness::Put(const std::string& key, const std::string& value) {
  const auto old = model.Get(key);
  REQUIRE(model.CompareAndSwap(key, old ? old->version : StoreVersion(), value,
                               LeaseId()));
}

void BusyHarness::Delete(const std::string& key) {
  REQUIRE(model.CompareAndDelete(key, model.Get(key)->version));
}

void BusyHarness::Run(Duration duration, double load) {
  const MonotonicTime end = clock.Now() + duration;
  while (clock.Now() < end) {
    for (const auto& it : nodes) {
      it->clock.Charge(std::chrono::duration_cast<Duration>(load * kLoadStep));
    }
    clock.Advance(kLoadStep);
  }
}

int BusyHarness::CountBehind(int version) const {
  return static_cast<int>(std::count_if(
      nodes.begin(), nodes.end(),
      [version](const auto& it) { return it->version < Generation(version); }));
}

bool BusyHarness::IsUsedAnywhere(const std::string& id) {
  return std::any_of(nodes.begin(), nodes.end(), [&id](const auto& it) {
    // Several requests, since each goes to one of the targets.
    constexpr int kRequests = 4;
    for (int i = 0; i < kRequests; ++i) {
      if (it->node->IsUsed(id)) {
        return true;
      }
    }
    return false;
  });
}

}  // namespace kingcupdrift::fakes
