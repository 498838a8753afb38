// Pauses dispatch while the list of servers is stale: once the grace period of a drain that this sidecar may
// have missed is over, any server may be one that has drained.
#ifndef MERLINRUN_STALE_LIST_GUARD_HPP_
#define MERLINRUN_STALE_LIST_GUARD_HPP_

#include <algorithm>
#include <optional>
#include <utility>

#include "merlinrun/balancer.hpp"

namespace merlinrun {

// Tracks from when on missed changes take effect, and whether dispatch is paused because of them. A pause
// lasts until the list is current again, however long that takes: until then any server may have drained.
class StaleListGuard {
 public:
  explicit StaleListGuard(const Settings& settings)
      : grace_(std::max<Micros>(settings.drain_grace - settings.dial_timeout - settings.tick - kMaxWriteDelay,
                                0)) {}

  // Missed changes take effect from `effective_from` on; empty = never. Returns the start of the pause that
  // this ends, if there was one.
  std::optional<Micros> SetEffectiveFrom(Micros now, std::optional<Micros> effective_from) {
    effective_from_ = effective_from;
    if (GraceIsOver(now)) return std::nullopt;
    return std::exchange(paused_since_, std::nullopt);
  }

  // Whether dispatch is paused now.
  bool DispatchPaused(Micros now) {
    if (!GraceIsOver(now)) return false;
    if (!paused_since_) paused_since_ = now;
    return true;
  }
  // The start of the pause; empty if there is none.
  std::optional<Micros> paused_since() const { return paused_since_; }

 private:
  // A sidecar may be delayed by this long between reading its clock and writing a request.
  static constexpr Micros kMaxWriteDelay = 200'000;

  bool GraceIsOver(Micros now) const { return effective_from_ && now >= *effective_from_ + grace_; }

  const Micros grace_;  // from when a missed drain takes effect until the last moment to start a request
  std::optional<Micros> effective_from_;
  std::optional<Micros> paused_since_;
};

}  // namespace merlinrun

#endif  // MERLINRUN_STALE_LIST_GUARD_HPP_
