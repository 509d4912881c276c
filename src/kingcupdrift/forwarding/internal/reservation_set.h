#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_RESERVATION_SET_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_RESERVATION_SET_H_

#include <functional>
#include <memory>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Memory reserved at several engines for one prompt: all or none, renewed as
/// long as the set lives, and released at its end. If this process dies, the
/// reservations run out by themselves.
class ReservationSet {
 public:
  using ReadyCallback = std::function<void(bool is_complete)>;

  /// `on_ready` is called once, after `Start` has returned; false if a
  /// reservation failed. It may destroy the set.
  ReservationSet(Clock& clock,
                 TargetClient& targets,
                 std::vector<PrefillHelper> holders,
                 ReadyCallback on_ready);
  ~ReservationSet();
  ReservationSet(const ReservationSet&) = delete;
  ReservationSet& operator=(const ReservationSet&) = delete;

  void Start();

  /// How long a reservation outlives its entry. Memory must be free again
  /// within 4 s, as the engines' operators ask.
  static constexpr Duration kReservationTtl = std::chrono::milliseconds(3000);
  /// A third of `kReservationTtl`: one renewal may be lost.
  static constexpr Duration kRenewal = kReservationTtl / 3;

 private:
  void HandleReserveResult(const Result<void>& done);
  void Renew();

  Clock& clock_;
  TargetClient& targets_;
  std::vector<PrefillHelper> holders_;
  ReadyCallback on_ready_;
  std::size_t answers_ = 0;
  bool has_failed_ = false;
  std::unique_ptr<Timer> renewal_timer_;
  // Expires with the set, for calls that outlive it.
  std::shared_ptr<bool> lifetime_token_ = std::make_shared<bool>(true);
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_RESERVATION_SET_H_
