// Open-loop callers: calls leave at times drawn beforehand, whatever becomes of those before.
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
  bool poisson = true;                                                  // else evenly spaced
  std::vector<CallClass> classes = {{"read", true}, {"write", false}};  // each as often as any other
  std::vector<std::string> owners;                                      // tenants, the same; none = no header
  std::chrono::microseconds deadline{1'000'000};
  std::size_t body = 200;  // bytes of a keyed request
  std::uint64_t seed = 1;
};

struct CallCounts {
  std::uint64_t sent = 0;
  std::uint64_t served = 0;      // 200
  std::uint64_t refused = 0;     // 429 or 503
  std::uint64_t failed = 0;      // any other answer
  std::uint64_t unanswered = 0;  // none within the deadline, or a broken connection

  std::uint64_t ended() const { return served + refused + failed + unanswered; }
};

struct CallResults {
  CallCounts counts;
  // From the time that a call was due, not from when it left: else a stall would hide the calls that it
  // delays (coordinated omission). Of served calls.
  LatencyHistogram latency;
  LatencyHistogram lateness;  // from when a call was due until it left: the caller's own part of it

  CallResults& operator+=(const CallResults& other);
};

class Caller {
 public:
  // Calls go to the targets in turn. The loop outlives the caller.
  Caller(net::asio::io_context& io, std::vector<net::Tcp::endpoint> targets, CallerSettings settings);

  // Draws a schedule from now on for so long, and keeps it. One at a time.
  void Start(std::chrono::nanoseconds length);
  void Stop();  // the rest of the schedule is not played; calls that are open go on
  // The schedule has been played, and each of its calls has ended.
  bool done() const { return !scheduling_ && results_.counts.sent == results_.counts.ended(); }
  const CallResults& results() const { return results_; }
  CallResults Take();  // and starts counting anew
  std::size_t connections() const { return pool_.connections(); }

 private:
  Clock::duration DrawGap();
  void Wait();
  void SendDue();
  void Send(Clock::time_point due);
  void Finish(Clock::time_point due, unsigned status);

  CallerSettings settings_;
  std::mt19937_64 random_;
  net::asio::steady_timer timer_;
  ClientPool pool_;
  CallResults results_;
  Clock::time_point next_;
  Clock::time_point end_;
  bool scheduling_ = false;
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_CALLER_HPP_
