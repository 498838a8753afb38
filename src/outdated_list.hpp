// Decides whether anything may be sent while the list of servers is out of date: past the grace of a drain
// that this sidecar may have missed, any server may be one that drains.
#ifndef MERLINRUN_OUTDATED_LIST_HPP_
#define MERLINRUN_OUTDATED_LIST_HPP_

#include <algorithm>
#include <optional>

#include "merlinrun/balancer.hpp"

namespace merlinrun {

class OutdatedList {
 public:
  explicit OutdatedList(const Settings& settings)
      : grace_(std::max<Micros>(settings.drain_grace - settings.dial_timeout - settings.tick - kHeldUp, 0)) {}

  // Changes that were not heard bind from then on.
  void BindsFrom(Micros time, MissedChanges unheard) {
    binds_ = time;
    unheard_ = unheard;
  }
  void Current() {
    binds_.reset();
    held_since_.reset();
  }

  // Whether requests are held back now. Not for longer than kMostHold where changes are only possible: a
  // discovery that stays overloaded must not stop all service, so from then on the last list is used as it
  // is.
  bool Holds(Micros now) {
    if (!binds_ || now < *binds_ + grace_) return false;
    if (!held_since_) held_since_ = now;
    return unheard_ == MissedChanges::kAnnounced || now < *held_since_ + kMostHold;
  }
  // Since when they are; empty if they are not, or were and discovery is still not heard.
  std::optional<Micros> held_since() const { return held_since_; }

 private:
  // A sidecar may be held up by so much between reading its clock and writing.
  static constexpr Micros kHeldUp = 200'000;
  static constexpr Micros kMostHold = 5'000'000;

  const Micros grace_;
  std::optional<Micros> binds_;
  MissedChanges unheard_ = MissedChanges::kPossible;
  std::optional<Micros> held_since_;
};

}  // namespace merlinrun

#endif  // MERLINRUN_OUTDATED_LIST_HPP_
