#include "kingcupdrift/forwarding/internal/reservation_set.h"

#include <utility>

namespace kingcupdrift {
namespace {

const Logger kLog("reservation");

}  // namespace

ReservationSet::ReservationSet(Clock& clock,
                               TargetClient& targets,
                               std::vector<PrefillHelper> holders,
                               ReadyCallback on_ready)
    : clock_(clock),
      targets_(targets),
      holders_(std::move(holders)),
      on_ready_(std::move(on_ready)) {}

ReservationSet::~ReservationSet() {
  for (const PrefillHelper& it : holders_) {
    targets_.Release(it.engine, it.reservation,
                     [id = it.reservation](const Result<void>& done) {
                       if (!done) {
                         kLog.Warning("{} was not released: {}; it runs out.",
                                      id.value(), done.error().detail);
                       }
                     });
  }
}

void ReservationSet::Start() {
  const std::weak_ptr<bool> alive = lifetime_token_;
  for (const PrefillHelper& it : holders_) {
    targets_.Reserve(it.engine, it.reservation, it.held, kReservationTtl,
                     [this, alive](const Result<void>& done) {
                       if (!alive.expired()) {
                         HandleReserveResult(done);
                       }
                     });
  }
  renewal_timer_ = clock_.RunAfter(kRenewal, [this] { Renew(); });
}

void ReservationSet::HandleReserveResult(const Result<void>& done) {
  ++answers_;
  has_failed_ = has_failed_ || !done;
  if (answers_ == holders_.size()) {
    // The callback may destroy the set.
    const ReadyCallback on_ready = std::move(on_ready_);
    on_ready(!has_failed_);
  }
}

void ReservationSet::Renew() {
  for (const PrefillHelper& it : holders_) {
    targets_.Reserve(it.engine, it.reservation, it.held, kReservationTtl,
                     [id = it.reservation](const Result<void>& done) {
                       if (!done) {
                         kLog.Warning("{} was not renewed: {}.", id.value(),
                                      done.error().detail);
                       }
                     });
  }
  renewal_timer_ = clock_.RunAfter(kRenewal, [this] { Renew(); });
}

}  // namespace kingcupdrift
