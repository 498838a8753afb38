// The data structures of the balancer, and its random numbers. The decisions are in policy.cpp.
#ifndef MERLINRUN_SRC_RECORDS_HPP_
#define MERLINRUN_SRC_RECORDS_HPP_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "merlinrun/balancer.hpp"

namespace merlinrun {

// The mean of all samples until there are `memory` of them, then an exponentially fading one. A fading mean
// that starts at a guess or at its first sample stays far off for as many samples as it remembers.
struct FadingMean {
  double value = 0;
  double samples = 0;

  void Add(double next, double memory) {
    samples = std::min(samples + 1, memory);
    value += (next - value) / samples;
  }
};

// Answer times relative to what is usual for their class and cost. Both sums fade, so that an expensive
// request weighs more than a cheap one and no single one weighs much.
struct RelativeLatency {
  double measured = 0;
  double expected = 0;

  void Add(double answer_time, double usual_time, double memory) {
    measured += answer_time - measured / memory;
    expected += usual_time - expected / memory;
  }
};

// The requests that a server in slow start may still be sent. The credit is computed in two ways, and the
// larger total counts: adding up the larger increment of each moment would exceed both totals.
struct SlowStartCredit {
  double available = 0;                // requests; at most 1
  std::int64_t served_count_then = 0;  // requests served to this sidecar at the last update
  Micros updated_at = 0;
  double earned_by_count = 0;  // from the requests served to this sidecar since the start
  double earned_by_rate = 0;   // from the usual rate of served requests over that time
  double earned = 0;           // the larger of the two at the last update

  void Earn(double by_count, double by_rate) {
    earned_by_count += by_count;
    earned_by_rate += by_rate;
    const double total = std::max(earned_by_count, earned_by_rate);
    available = std::min(1.0, available + total - std::exchange(earned, total));
  }
};

// A server as the list shows it, and what this sidecar has learned of it.
struct Server {
  ServerInfo info;
  std::size_t pool = 0;  // index in the balancer's pools
  bool listed = false;
  int in_flight = 0;                  // attempts of this sidecar
  RelativeLatency relative_latency;   // of its answers
  std::vector<double> refusal_rates;  // by class: recent share of requests that it refused
  std::vector<double> failure_rates;  // by class: recent share of requests with an error or without an answer
  bool cores_busy = true;             // by its last load report; true until it reports
  int consecutive_failures = 0;       // backoff exponent of the ejection
  Micros last_answer_at = 0;          // or when it got its first attempt after it had none in flight
  Micros last_timely_answer_at = 0;   // when it last answered successfully within the latency target
  Micros ejected_until = 0;           // after that it gets one trial attempt at a time
  SlowStartCredit slow_start_credit;  // used while it is in slow start
};

// Servers that share a ring, and what this sidecar has learned of them together. Where cross-zone requests
// have a cost there is one pool for the own zone and one for all other zones, otherwise a single one.
struct Pool {
  std::vector<Server*> ring;         // servers that may be sent to, by id
  std::size_t window_offset = 0;     // index in the ring where the window begins
  std::size_t ring_size_before = 0;  // size of the ring at the last update of the windows
  int in_flight = 0;                 // attempts of this sidecar
  double in_flight_peak = 0;         // fading peak of in_flight
  double in_flight_per_server = 0;   // mean while all work is admitted
  bool concurrency_limited = false;  // in_flight_per_server is known and large enough for a concurrency limit
  double in_flight_samples = 0;      // answers in in_flight_per_server
  double admission = 1;              // share of the arriving work that is admitted
  double latency_ratio = 0;          // mean of answer time over latency target: the overload signal
  FadingMean answer_time;            // in microseconds
  double unloaded_latency_ratio = 1e9;  // the lowest mean latency ratio seen
  double latency_samples = 0;           // answers in latency_ratio
  double consecutive_late = 0;          // outcomes in a row that were late or refused
  Micros last_signal_at = 0;  // when an outcome, or a latency target that passed, last updated the admission

  Server& InWindow(std::size_t i) const { return *ring[(window_offset + i) % ring.size()]; }
  // Add and Remove find the position by binary search and shift the pointers behind it.
  void Add(Server& server) {
    const bool last = ring.empty() || ring.back()->info.id < server.info.id;
    ring.insert(last ? ring.end() : PositionOf(server), &server);
  }
  void Remove(const Server& server) {
    const auto position = PositionOf(server);
    if (position != ring.end() && *position == &server) ring.erase(position);
  }
  std::vector<Server*>::iterator PositionOf(const Server& server) {
    return std::lower_bound(ring.begin(), ring.end(), &server,
                            [](const Server* a, const Server* b) { return a->info.id < b->info.id; });
  }
};

// One send of a request to a server.
struct Attempt {
  Server* server = nullptr;  // dereferenced only while in flight: later the list may have dropped it
  int zone = -1;
  std::int64_t cell = -1;
  Micros sent = 0;
  bool in_flight = true;
  bool overload_counted = false;  // it has already counted as late before its outcome
  bool may_have_run = true;       // until an outcome proves that it did not
};

// A request, from its arrival until its last attempt is resolved.
struct PendingRequest {
  std::size_t request_class = 0;
  bool already_late = false;  // its client has waited beyond the latency target over earlier tries
  std::size_t pool = 0;       // the pool that admitted it
  Micros arrived = 0;
  Micros deadline = 0;
  double relative_work = 1;   // expected work, as a multiple of what is usual for its class
  bool body_pending = false;  // its body is still arriving
  bool ended = false;         // it has its final answer, or its client has disconnected
  bool cancelled = false;     // attempts in flight at its end have been cancelled
  int retries = 0;
  std::uint64_t timer_token = 0;  // of the timer it waits for; 0 = none
  std::string key;                // of the queue that it is in; empty = none
  Micros key_blocked_until = 0;   // it blocks its key until then, as an attempt may still be running
  std::vector<Attempt> attempts;

  bool HasAttemptInFlight() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.in_flight; });
  }
  // The first attempt that may have run: it decides whether and where the request may be repeated.
  const Attempt* FirstThatMayHaveRun() const {
    for (const Attempt& a : attempts)
      if (a.may_have_run) return &a;
    return nullptr;
  }
};

// The classes and tenants that a learned state belongs to, on one line: the figures of one deployment mean
// nothing in another.
inline std::string LearnedStateHeader(const Settings& settings) {
  std::string header;
  const auto add = [&](const std::string& name) { header += std::to_string(name.size()) + ":" + name + " "; };
  for (const RequestClass& c : settings.classes)
    add(c.name), add(std::to_string(c.latency_target)), add(std::to_string(c.deadline));
  // This text is the part of the header that identifies the format of the learned state: one in which served
  // rates account for the share of servers in the window.
  header += "covered for ";
  for (const Tenant& tenant : settings.tenants) add(tenant.name);
  return header;
}

// The load of one class, as this sidecar sees it.
struct ClassLoad {
  FadingMean mean_work{1, 0};  // of one request: its cost where requests carry one, else its answer time
  FadingMean answer_time;      // of successful answers, in microseconds
  Micros max_budget = 0;       // a request with a smaller budget has used a part of its deadline before
  double arriving_work = 0;    // fading sum
};

// SplitMix64: small, and the same on all platforms.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  std::uint64_t Next() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15ULL);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
  }
  // Uniform in [0, 1).
  double Unit() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }
  std::size_t Below(std::size_t n) { return static_cast<std::size_t>(Unit() * static_cast<double>(n)); }
  Micros UpTo(Micros max) { return static_cast<Micros>(Unit() * static_cast<double>(max)); }

 private:
  std::uint64_t state_;
};

}  // namespace merlinrun

#endif  // MERLINRUN_SRC_RECORDS_HPP_
