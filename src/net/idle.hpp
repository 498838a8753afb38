// How long a connection may have stood idle and still be used again, learnt from what becomes of those that
// are.
#ifndef MERLINRUN_NET_IDLE_HPP_
#define MERLINRUN_NET_IDLE_HPP_

#include <algorithm>
#include <array>
#include <cstddef>

#include "merlinrun/balancer.hpp"

namespace merlinrun::net {

// What lies between a sidecar and a server may forget an idle connection long before the server's own limit,
// and tells nobody: the next request on it is reset. Such requests are lost for nothing, and those that may
// not run twice are lost for good. Guards against reusing what has idled too long, by the share of reused
// connections that broke before any of their answer, over that of fresh ones.
class IdleLimit {
 public:
  // A request on a connection that had stood idle so long (0 = a fresh one) was answered, or `lost` without
  // a byte.
  void Count(Micros idle, bool lost, Micros now) {
    if (now >= until_) Forget();
    const double seen = lost ? 1 : 0;
    if (idle <= 0) return Average(fresh_, seen);
    const std::size_t step = StepOf(idle);
    Average(reused_[step], seen);
    if (reused_[step] - fresh_ < kTooMany || Least(step) >= limit_) return;
    limit_ = Least(step);
    until_ = now + kFor;
  }

  bool Allows(Micros idle, Micros now) const { return now >= until_ || idle < limit_; }

 private:
  static constexpr std::size_t kSteps = 12;  // up to 25 ms, 50 ms, ... 51 s, and beyond
  static constexpr Micros kLeast = 25'000;
  static constexpr Micros kUnlimited = Micros{1} << 60;
  // Uses over which a share is averaged, and how far over that of fresh connections is too many. At this
  // memory chance takes healthy connections there now and then, which costs a few handshakes.
  static constexpr double kMemory = 32;
  static constexpr double kTooMany = 0.2;
  // Then it is tried again whether the limit still holds.
  static constexpr Micros kFor = 60'000'000;

  static void Average(double& share, double seen) { share += (seen - share) / kMemory; }
  static Micros Least(std::size_t step) { return step == 0 ? 0 : kLeast << (step - 1); }

  static std::size_t StepOf(Micros idle) {
    std::size_t step = 0;
    while (step < kSteps && idle >= Least(step + 1)) ++step;
    return step;
  }

  void Forget() {
    if (limit_ == kUnlimited) return;
    limit_ = kUnlimited;
    reused_ = {};
  }

  std::array<double, kSteps + 1> reused_{};  // share lost of what had idled Least(i) or more, under the next
  double fresh_ = 0;
  Micros limit_ = kUnlimited;
  Micros until_ = 0;
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_IDLE_HPP_
