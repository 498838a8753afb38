#include "caller.hpp"

#include <stdexcept>
#include <utility>

namespace merlinrun::scale {
namespace {

template <typename T>
const T& DrawFrom(const std::vector<T>& list, std::mt19937_64& random) {
  return list[std::uniform_int_distribution<std::size_t>(0, list.size() - 1)(random)];
}

}  // namespace

CallResults& CallResults::operator+=(const CallResults& other) {
  counts.sent += other.counts.sent;
  counts.served += other.counts.served;
  counts.refused += other.counts.refused;
  counts.failed += other.counts.failed;
  counts.unanswered += other.counts.unanswered;
  latency += other.latency;
  lateness += other.lateness;
  return *this;
}

Caller::Caller(net::asio::io_context& io, std::vector<net::Tcp::endpoint> targets, CallerSettings settings)
    : settings_(std::move(settings)), random_(settings_.seed), timer_(io), pool_(io, std::move(targets)) {
  if (!(settings_.calls_per_s > 0) || settings_.classes.empty())
    throw std::invalid_argument("a caller needs a rate and a class");
}

void Caller::Start(std::chrono::nanoseconds length) {
  const Clock::time_point now = Clock::now();
  scheduling_ = true;
  end_ = now + length;
  next_ = now + DrawGap();
  Wait();
}

void Caller::Stop() {
  scheduling_ = false;
  timer_.cancel();
}

CallResults Caller::Take() { return std::exchange(results_, {}); }

Clock::duration Caller::DrawGap() {
  const double seconds = settings_.poisson
                             ? std::exponential_distribution<double>(settings_.calls_per_s)(random_)
                             : 1 / settings_.calls_per_s;
  return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
}

void Caller::Wait() {
  if (next_ >= end_) {
    scheduling_ = false;
    return;
  }
  timer_.expires_at(next_);
  timer_.async_wait([this](net::ErrorCode stopped) {
    if (!stopped && scheduling_) SendDue();  // it may have been due as it was stopped
  });
}

void Caller::SendDue() {
  for (const Clock::time_point now = Clock::now(); next_ <= now && next_ < end_; next_ += DrawGap())
    Send(next_);
  Wait();
}

void Caller::Send(Clock::time_point due) {
  const Clock::time_point now = Clock::now();
  const std::string owner = settings_.owners.empty() ? "" : DrawFrom(settings_.owners, random_);
  // The client's clock has run since the call was due.
  const Clock::time_point give_up = due + settings_.deadline;
  ++results_.counts.sent;
  results_.lateness.Add(now - due);
  if (give_up <= now) return Finish(due, 0);
  pool_.Send(NewRequest(DrawFrom(settings_.classes, random_), owner, give_up - now, settings_.body, random_),
             give_up, [this, due](unsigned status) { Finish(due, status); });
}

void Caller::Finish(Clock::time_point due, unsigned status) {
  CallCounts& counts = results_.counts;
  if (status == 200) {
    ++counts.served;
    results_.latency.Add(Clock::now() - due);
  } else if (status == 429 || status == 503) {
    ++counts.refused;
  } else if (status == 0) {
    ++counts.unanswered;
  } else {
    ++counts.failed;
  }
}

}  // namespace merlinrun::scale
