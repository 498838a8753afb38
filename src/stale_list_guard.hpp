// Pauses dispatch while the list of servers is stale: once the grace period of a drain that this sidecar may
// have missed is over, any server may be one that has drained.
#ifndef MERLINRUN_STALE_LIST_GUARD_HPP_
#define MERLINRUN_STALE_LIST_GUARD_HPP_

#include <algorithm>
#include <optional>

#include "merlinrun/balancer.hpp"

namespace merlinrun {

// Tracks from when on missed changes take effect, and whether dispatch is paused because of them.
class StaleListGuard {
 public:
  explicit StaleListGuard(const Settings& settings)
      : grace_(std::max<Micros>(settings.drain_grace - settings.dial_timeout - settings.tick - kMaxWriteDelay,
                                0)) {}

  // Missed changes take effect from `effective_from` on.
  void SetStale(Micros effective_from, MissedChanges missed) {
    effective_from_ = effective_from;
    missed_ = missed;
  }
  void SetCurrent() {
    effective_from_.reset();
    paused_since_.reset();
  }

  // Whether dispatch is paused now. Where changes are only possible, it is paused for at most
  // kMaxPauseForPossibleChanges, and the last list is used after that: a discovery that stays overloaded must
  // not stop all service.
  bool DispatchPaused(Micros now) {
    if (!effective_from_ || now < *effective_from_ + grace_) return false;
    if (!paused_since_) paused_since_ = now;
    return missed_ == MissedChanges::kAnnounced || now < *paused_since_ + kMaxPauseForPossibleChanges;
  }
  // The start of the pause. Stays set when the pause has reached its maximum and the list is still stale;
  // empty if there was no pause since the list was last current.
  std::optional<Micros> paused_since() const { return paused_since_; }

 private:
  // A sidecar may be delayed by this long between reading its clock and writing a request.
  static constexpr Micros kMaxWriteDelay = 200'000;
  static constexpr Micros kMaxPauseForPossibleChanges = 5'000'000;

  const Micros grace_;  // from when a missed drain takes effect until the last moment to start a request
  std::optional<Micros> effective_from_;
  MissedChanges missed_ = MissedChanges::kPossible;
  std::optional<Micros> paused_since_;
};

}  // namespace merlinrun

#endif  // MERLINRUN_STALE_LIST_GUARD_HPP_
