// Open-loop load generator: calls are sent at scheduled times, regardless of the outcome of earlier calls.
#ifndef MERLINRUN_SCALE_CALLER_HPP_
#define MERLINRUN_SCALE_CALLER_HPP_

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "client_pool.hpp"
#include "latency.hpp"
#include "requests.hpp"

namespace merlinrun::scale {

struct CallerSettings {
  double calls_per_s = 100;
  bool poisson = true;  // false = evenly spaced
  // The class and the tenant of each call are drawn from these lists with equal probability. Without tenants,
  // the tenant header is left out.
  std::vector<CallClass> classes = {{"read", true}, {"write", false}};
  std::vector<std::string> tenants;
  std::chrono::microseconds deadline{1'000'000};
  std::size_t body_size = 200;  // bytes, of requests that are not safe
  std::uint64_t seed = 1;
};

struct CallCounts {
  std::uint64_t sent = 0;
  std::uint64_t served = 0;      // 200
  std::uint64_t refused = 0;     // 429 or 503
  std::uint64_t failed = 0;      // any other status
  std::uint64_t unanswered = 0;  // no answer within the deadline, or a broken connection

  std::uint64_t ended() const { return served + refused + failed + unanswered; }
};

struct CallResults {
  CallCounts counts;
  // Of served calls, from the time at which each was due. Counted from the time at which it was sent, the
  // delay that a stall causes would not show (coordinated omission).
  LatencyHistogram latency;
  // From the time at which a call was due until it was sent: the part of the latency that the caller causes.
  LatencyHistogram lateness;

  CallResults& operator+=(const CallResults& other);
};

class Caller {
 public:
  // Calls go to the targets in turn. `io` must outlive the caller.
  Caller(net::asio::io_context& io, std::vector<net::Tcp::endpoint> targets, CallerSettings settings);

  // Starts sending calls on a schedule of this duration. Must not be called while a schedule is in progress.
  void Start(std::chrono::nanoseconds duration);
  // Drops the rest of the schedule. Open calls continue.
  void Stop();
  // Returns true once the schedule is over and all of its calls have ended.
  bool done() const { return !scheduling_ && results_.counts.sent == results_.counts.ended(); }
  const CallResults& results() const { return results_; }
  // Returns the results and resets them.
  CallResults TakeResults();
  std::size_t connections() const { return pool_.connections(); }

 private:
  Clock::duration DrawInterval();
  void ScheduleNext();
  void SendDueCalls();
  void Send(Clock::time_point due);
  void Finish(Clock::time_point due, unsigned status);

  CallerSettings settings_;
  std::mt19937_64 random_;
  net::asio::steady_timer timer_;
  ClientPool pool_;
  CallResults results_;
  Clock::time_point next_due_;
  Clock::time_point end_;
  bool scheduling_ = false;
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_CALLER_HPP_
