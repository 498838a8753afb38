// Bounds the time of an answer whose length is unknown, as long as it may still turn out to be a short one.
#ifndef MERLINRUN_NET_SHORT_ANSWER_DEADLINE_HPP_
#define MERLINRUN_NET_SHORT_ANSWER_DEADLINE_HPP_

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <memory>

#include "body.hpp"
#include "merlinrun/balancer.hpp"

namespace merlinrun::net {

// The rest of an answer's body, read from another source. A short answer has to be complete by the client's
// deadline, and one that never ends must not keep its client waiting. A long answer, one of more than
// kMaxBufferedBody, is timed by its first bytes alone and goes on for as long as its server sends it. Which
// of the two it is shows only with time: an answer that is neither complete nor known to be long soon after
// the deadline goes on while the server sends at least kMinRate, and fails otherwise. The time that the
// client takes to read it does not count.
class ShortAnswerDeadline : public BodySource, public std::enable_shared_from_this<ShortAnswerDeadline> {
 public:
  // The slowest rate of a long answer, in bytes per second.
  static constexpr std::size_t kMinRate = std::size_t{4} * 1024;
  // The rate is measured over this time, or over what is left if that is less.
  static constexpr std::chrono::microseconds kRateInterval = std::chrono::milliseconds(800);
  // When the rate is first judged, after the deadline: a final answer is due 0.5 s after it at the latest.
  static constexpr std::chrono::microseconds kGrace = std::chrono::milliseconds(300);

  // `received` is the size of the part that has been read already.
  ShortAnswerDeadline(asio::io_context& io, BodySourcePtr source, std::size_t received, Micros time_left);

  void ReadSome(asio::mutable_buffer into, ReadHandler handler) override;
  void Stop() override;

 private:
  bool MayBeShort() const { return received_ <= kMaxBufferedBody; }
  void StartTimer();
  void OnChunk(ErrorCode error, std::size_t n, bool last);
  void OnTimeout();
  // Begins an interval in which the rate is measured.
  void MeasureRate(std::chrono::microseconds interval);
  bool FastEnough() const;

  BodySourcePtr source_;  // null once the time is over
  asio::steady_timer timer_;
  ReadHandler handler_;  // of the pending read; null if there is none
  std::size_t received_;
  std::chrono::microseconds time_left_;      // until the current interval ends
  std::chrono::microseconds rate_interval_;  // over which the rate is measured; 0 as long as it is not
  std::size_t received_before_interval_ = 0;
  std::chrono::steady_clock::time_point read_began_;
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_SHORT_ANSWER_DEADLINE_HPP_
