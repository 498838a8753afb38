#include "short_answer_deadline.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <utility>

namespace merlinrun::net {

using Clock = std::chrono::steady_clock;
using std::chrono::microseconds;

ShortAnswerDeadline::ShortAnswerDeadline(asio::io_context& io, BodySourcePtr source, std::size_t received,
                                         Micros time_left)
    : source_(std::move(source)), timer_(io), received_(received), rate_interval_(0) {
  const microseconds until_judged = microseconds(std::max<Micros>(time_left, 0)) + kGrace;
  if (until_judged <= kRateInterval) {
    MeasureRate(until_judged);
  } else {
    time_left_ = until_judged - kRateInterval;
  }
}

void ShortAnswerDeadline::ReadSome(asio::mutable_buffer into, ReadHandler handler) {
  handler_ = std::move(handler);
  if (MayBeShort()) StartTimer();
  source_->ReadSome(into, [self = shared_from_this()](ErrorCode error, std::size_t n, bool last) {
    self->OnChunk(error, n, last);
  });
}

void ShortAnswerDeadline::Stop() {
  handler_ = nullptr;
  timer_.cancel();
  if (source_ != nullptr) std::exchange(source_, nullptr)->Stop();
}

void ShortAnswerDeadline::StartTimer() {
  read_began_ = Clock::now();
  timer_.expires_after(time_left_);
  timer_.async_wait([self = shared_from_this()](ErrorCode stopped) {
    if (!stopped) self->OnTimeout();
  });
}

void ShortAnswerDeadline::OnChunk(ErrorCode error, std::size_t n, bool last) {
  if (!handler_) return;
  if (MayBeShort()) {
    time_left_ -= std::chrono::duration_cast<microseconds>(Clock::now() - read_began_);
    timer_.cancel();
  }
  received_ += n;
  std::exchange(handler_, nullptr)(error, n, last);
}

void ShortAnswerDeadline::MeasureRate(microseconds interval) {
  time_left_ = rate_interval_ = interval;
  received_before_interval_ = received_;
}

bool ShortAnswerDeadline::FastEnough() const {
  const double seconds = std::chrono::duration<double>(rate_interval_).count();
  return static_cast<double>(received_ - received_before_interval_) >= kMinRate * seconds;
}

void ShortAnswerDeadline::OnTimeout() {
  // The timer may have expired in the same event loop iteration in which a chunk arrived.
  if (!handler_ || !MayBeShort() || timer_.expiry() > Clock::now()) return;
  if (rate_interval_ == microseconds(0) || FastEnough()) {
    MeasureRate(kRateInterval);
    return StartTimer();
  }
  std::exchange(source_, nullptr)->Stop();
  std::exchange(handler_, nullptr)(asio::error::timed_out, 0, true);
}

}  // namespace merlinrun::net
