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
// deadline, and one that never ends must not keep its client waiting. So the body fails if it is neither
// complete nor longer than kMaxBufferedBody when the time is over; the time that the client takes to read it
// does not count. A longer answer is timed by its first bytes alone, and goes on for as long as its server
// sends it.
class ShortAnswerDeadline : public BodySource, public std::enable_shared_from_this<ShortAnswerDeadline> {
 public:
  // `received` is the size of the part that has been read already.
  ShortAnswerDeadline(asio::io_context& io, BodySourcePtr source, std::size_t received, Micros time_left);

  void ReadSome(asio::mutable_buffer into, ReadHandler handler) override;
  void Stop() override;

 private:
  bool MayBeShort() const { return received_ <= kMaxBufferedBody; }
  void StartTimer();
  void OnChunk(ErrorCode error, std::size_t n, bool last);
  void OnTimeout();

  BodySourcePtr source_;  // null once the time is over
  asio::steady_timer timer_;
  ReadHandler handler_;  // of the pending read; null if there is none
  std::size_t received_;
  std::chrono::microseconds time_left_;
  std::chrono::steady_clock::time_point read_began_;
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_SHORT_ANSWER_DEADLINE_HPP_
