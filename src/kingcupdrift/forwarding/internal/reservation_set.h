#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_RESERVATION_SET_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_RESERVATION_SET_H_

#include <functional>
#include <memory>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Memory reserved at several engines for one prompt. The reservations are
/// renewed until the set is destroyed, which releases all of them. If this
/// process, an entry, dies, they expire by themselves.
class ReservationSet {
 public:
  using ReadyCallback = std::function<void(bool is_complete)>;

  /// `on_ready` is called once, after `Start` has returned, when all holders
  /// have answered; false if a reservation failed. It may destroy the set, and
  /// should do so on false: the set goes on trying to reserve at all holders,
  /// and further failures are only logged. Never called if `holders` is empty.
  ReservationSet(Clock& clock,
                 TargetClient& targets,
                 std::vector<PrefillHelper> holders,
                 ReadyCallback on_ready);
  ~ReservationSet();
  ReservationSet(const ReservationSet&) = delete;
  ReservationSet& operator=(const ReservationSet&) = delete;

  void Start();

  /// A reservation expires this long after its last renewal. The operators of
  /// engines require that memory is free again within 4 s of an entry's death.
  static constexpr Duration kReservationTtl = std::chrono::milliseconds(3000);
  /// Interval between renewals. A third of `kReservationTtl`: one renewal may
  /// be lost.
  static constexpr Duration kRenewal = kReservationTtl / 3;

 private:
  void HandleReserveResult(const Result<void>& result);
  void Renew();

  Clock& clock_;
  TargetClient& targets_;
  std::vector<PrefillHelper> holders_;
  ReadyCallback on_ready_;
  std::size_t answers_ = 0;
  bool has_failed_ = false;
  std::unique_ptr<Timer> renewal_timer_;
  // Expires with the set, so that callbacks of calls that outlive it do
  // nothing.
  std::shared_ptr<bool> lifetime_token_ = std::make_shared<bool>(true);
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_RESERVATION_SET_H_
