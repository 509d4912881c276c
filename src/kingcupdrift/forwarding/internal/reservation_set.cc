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
    targets_.Release(
        it.engine, it.reservation,
        [id = it.reservation](const Result<void>& result) {
          if (!result) {
            kLog.Warning(
                "Reservation {} was not released and expires by itself: {}.",
                id.value(), result.error().detail);
          }
        });
  }
}

void ReservationSet::Start() {
  const std::weak_ptr<bool> alive = lifetime_token_;
  for (const PrefillHelper& it : holders_) {
    targets_.Reserve(it.engine, it.reservation, it.held, kReservationTtl,
                     [this, alive](const Result<void>& result) {
                       if (!alive.expired()) {
                         HandleReserveResult(result);
                       }
                     });
  }
  renewal_timer_ = clock_.RunAfter(kRenewal, [this] { Renew(); });
}

void ReservationSet::HandleReserveResult(const Result<void>& result) {
  ++answers_;
  has_failed_ = has_failed_ || !result;
  if (answers_ == holders_.size()) {
    // The callback may destroy the set.
    const ReadyCallback on_ready = std::move(on_ready_);
    on_ready(!has_failed_);
  }
}

void ReservationSet::Renew() {
  for (const PrefillHelper& it : holders_) {
    targets_.Reserve(it.engine, it.reservation, it.held, kReservationTtl,
                     [id = it.reservation](const Result<void>& result) {
                       if (!result) {
                         kLog.Warning("Reservation {} was not renewed: {}.",
                                      id.value(), result.error().detail);
                       }
                     });
  }
  renewal_timer_ = clock_.RunAfter(kRenewal, [this] { Renew(); });
}

}  // namespace kingcupdrift
