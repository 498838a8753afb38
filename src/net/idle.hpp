// Learns from the outcome of reused connections how long one may have been idle and still be reused.
#ifndef MERLINRUN_NET_IDLE_HPP_
#define MERLINRUN_NET_IDLE_HPP_

#include <algorithm>
#include <array>
#include <cstddef>

#include "merlinrun/balancer.hpp"

namespace merlinrun::net {

// A middlebox such as a NAT or a firewall may silently drop the state of an idle connection long before the
// server's own idle timeout: the next request on that connection is reset. The request is lost, and cannot be
// retried at all if it must not run twice. For each range of idle times this class compares how often
// connections that had been idle so long broke before the first byte of the answer with how often new ones
// did. Once the difference reaches kMaxExcessLoss it stops the reuse of connections with that idle time or
// more, for kLimitDuration.
class IdleLimit {
 public:
  // Records the outcome of a request on a connection that had been idle for `idle` before it (0 = a new
  // connection). `lost` means that the connection broke before the first byte of the answer.
  void Record(Micros idle, bool lost, Micros now) {
    if (now >= limit_until_) LiftLimit();
    const double sample = lost ? 1 : 0;
    if (idle <= 0) return AddSample(fresh_loss_, sample);
    const std::size_t step = StepOf(idle);
    AddSample(reused_loss_[step], sample);
    if (reused_loss_[step] - fresh_loss_ < kMaxExcessLoss || MinIdle(step) >= limit_) return;
    limit_ = MinIdle(step);
    limit_until_ = now + kLimitDuration;
  }

  // Whether a connection that has been idle for `idle` may be reused.
  bool Allows(Micros idle, Micros now) const { return now >= limit_until_ || idle < limit_; }

 private:
  static constexpr std::size_t kSteps = 12;  // idle up to 25 ms, 50 ms, ... 51 s, and one range beyond
  static constexpr Micros kFirstStep = 25'000;
  static constexpr Micros kUnlimited = Micros{1} << 60;
  // Number of uses that the moving average of a loss rate spans. With so few, healthy connections reach
  // kMaxExcessLoss by chance now and then, which costs a few handshakes.
  static constexpr double kAveragedUses = 32;
  // Loss rate above that of new connections from which on reuse stops.
  static constexpr double kMaxExcessLoss = 0.2;
  // How long a limit lasts before reuse is tried again.
  static constexpr Micros kLimitDuration = 60'000'000;

  static void AddSample(double& rate, double sample) { rate += (sample - rate) / kAveragedUses; }
  // The shortest idle time of a step.
  static Micros MinIdle(std::size_t step) { return step == 0 ? 0 : kFirstStep << (step - 1); }

  static std::size_t StepOf(Micros idle) {
    std::size_t step = 0;
    while (step < kSteps && idle >= MinIdle(step + 1)) ++step;
    return step;
  }

  void LiftLimit() {
    if (limit_ == kUnlimited) return;
    limit_ = kUnlimited;
    reused_loss_ = {};
  }

  std::array<double, kSteps + 1> reused_loss_{};  // loss rate by idle time: MinIdle(i) up to MinIdle(i + 1)
  double fresh_loss_ = 0;                         // loss rate of new connections
  Micros limit_ = kUnlimited;  // connections that have been idle so long are not reused ...
  Micros limit_until_ = 0;     // ... until then
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_IDLE_HPP_
