// Decides whether anything may be sent while the list of servers is out of date: past the grace of a drain
// that this sidecar may have missed, any server may be one that drains.
#ifndef MERLINRUN_OUTDATED_LIST_HPP_
#define MERLINRUN_OUTDATED_LIST_HPP_

#include <algorithm>
#include <optional>

#include "merlinrun/balancer.hpp"

namespace merlinrun {

class StaleListGuard {
 public:
  explicit StaleListGuard(const Settings& settings)
      : grace_(std::max<Micros>(settings.drain_grace - settings.dial_timeout - settings.tick - kMaxWriteDelay,
                                0)) {}

  // Changes that were not heard bind from then on.
  void SetStale(Micros effective_from, MissedChanges missed) {
    effective_from_ = effective_from;
    missed_ = missed;
  }
  void SetCurrent() {
    effective_from_.reset();
    paused_since_.reset();
  }

  // Whether requests are held back now. Not for longer than kMaxPauseForPossibleChanges where changes are
  // only possible: a discovery that stays overloaded must not stop all service, so from then on the last list
  // is used as it is.
  bool DispatchPaused(Micros now) {
    if (!effective_from_ || now < *effective_from_ + grace_) return false;
    if (!paused_since_) paused_since_ = now;
    return missed_ == MissedChanges::kAnnounced || now < *paused_since_ + kMaxPauseForPossibleChanges;
  }
  // Since when they are; empty if they are not, or were and discovery is still not heard.
  std::optional<Micros> paused_since() const { return paused_since_; }

 private:
  // A sidecar may be held up by so much between reading its clock and writing.
  static constexpr Micros kMaxWriteDelay = 200'000;
  static constexpr Micros kMaxPauseForPossibleChanges = 5'000'000;

  const Micros grace_;
  std::optional<Micros> effective_from_;
  MissedChanges missed_ = MissedChanges::kPossible;
  std::optional<Micros> paused_since_;
};

}  // namespace merlinrun

#endif  // MERLINRUN_OUTDATED_LIST_HPP_
