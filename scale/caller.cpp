#include "caller.hpp"

#include <stdexcept>
#include <utility>

namespace merlinrun::scale {
namespace {

template <typename T>
const T& PickRandom(const std::vector<T>& list, std::mt19937_64& random) {
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
    throw std::invalid_argument("a caller needs a positive rate and at least one class");
}

void Caller::Start(std::chrono::nanoseconds duration) {
  const Clock::time_point now = Clock::now();
  scheduling_ = true;
  end_ = now + duration;
  next_due_ = now + DrawInterval();
  ScheduleNext();
}

void Caller::Stop() {
  scheduling_ = false;
  timer_.cancel();
}

CallResults Caller::TakeResults() { return std::exchange(results_, {}); }

Clock::duration Caller::DrawInterval() {
  const double seconds = settings_.poisson
                             ? std::exponential_distribution<double>(settings_.calls_per_s)(random_)
                             : 1 / settings_.calls_per_s;
  return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
}

void Caller::ScheduleNext() {
  if (next_due_ >= end_) {
    scheduling_ = false;
    return;
  }
  timer_.expires_at(next_due_);
  timer_.async_wait([this](net::ErrorCode error) {
    // After Stop(), a timer that has already expired still calls this handler without an error.
    if (!error && scheduling_) SendDueCalls();
  });
}

void Caller::SendDueCalls() {
  for (const Clock::time_point now = Clock::now(); next_due_ <= now && next_due_ < end_;
       next_due_ += DrawInterval())
    Send(next_due_);
  ScheduleNext();
}

void Caller::Send(Clock::time_point due) {
  const Clock::time_point now = Clock::now();
  const std::string tenant = settings_.tenants.empty() ? "" : PickRandom(settings_.tenants, random_);
  // The deadline counts from the time at which the call was due, even if it is sent later.
  const Clock::time_point give_up_at = due + settings_.deadline;
  ++results_.counts.sent;
  results_.lateness.Add(now - due);
  if (give_up_at <= now) return Finish(due, 0);
  pool_.Send(NewRequest(PickRandom(settings_.classes, random_), tenant, give_up_at - now, settings_.body_size,
                        random_),
             give_up_at, [this, due](unsigned status) { Finish(due, status); });
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
