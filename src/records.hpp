// The plain records of the decision module, and its random numbers. No decision is taken here.
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

// The mean of all that was seen, then a fading one: one that begins at a guess or at its first value alone is
// far off for as many values as it remembers.
struct FadingMean {
  double value = 0;
  double samples = 0;

  void Add(double next, double memory) {
    samples = std::min(samples + 1, memory);
    value += (next - value) / samples;
  }
};

// How long answers took against what is usual for their class and cost: sums of both that fade, so that a
// dear request tells more than a cheap one and no single one much.
struct RelativeLatency {
  double measured = 0;
  double expected = 0;

  void Add(double answer_time, double usual_time, double memory) {
    measured += answer_time - measured / memory;
    expected += usual_time - expected / memory;
  }
};

// Sends that a young server may still be given. Reckoned in two ways, of which the one that has come to more
// holds: adding up the better of each moment would come to more than either allows.
struct SlowStartCredit {
  double available = 0;
  std::int64_t served_count_then = 0;  // what this sidecar had been served when it was last reckoned
  Micros updated_at = 0;
  double earned_by_count = 0;  // earned by what this sidecar has been served since
  double earned_by_rate = 0;   // earned by what it is usually served in that time
  double earned = 0;

  void Earn(double by_count, double by_rate) {
    earned_by_count += by_count;
    earned_by_rate += by_rate;
    const double total = std::max(earned_by_count, earned_by_rate);
    available = std::min(1.0, available + total - std::exchange(earned, total));
  }
};

struct Server {
  ServerInfo info;
  std::size_t pool = 0;
  bool listed = false;
  int in_flight = 0;                  // own attempts in flight
  RelativeLatency relative_latency;   // of its answers
  std::vector<double> refusal_rates;  // by class: share of its requests that were turned away lately
  std::vector<double>
      failure_rates;             // by class: share of its requests that were lost to errors or silence lately
  bool cores_busy = true;        // its cores are, by its last report; true until it reports
  int consecutive_failures = 0;  // bad outcomes in a row
  Micros last_answer_at = 0;     // its last answer, or when it got work after it had none
  Micros last_timely_answer_at = 0;   // when it last served a request within its aim
  Micros ejected_until = 0;           // left alone until then; after that one trial attempt at a time
  SlowStartCredit slow_start_credit;  // while it is young
};

// Servers that share a ring, and what this sidecar knows of them together. Own zone and elsewhere where
// crossing is priced, else all in one.
struct Pool {
  std::vector<Server*> ring;         // healthy ones by id
  std::size_t window_offset = 0;     // where the window begins
  std::size_t ring_size_before = 0;  // the ring's size when that was last reckoned
  int in_flight = 0;                 // own attempts in flight
  double in_flight_peak = 0;         // their fading peak
  double in_flight_per_server = 0;   // own attempts in flight at each server while nothing pressed, averaged
  bool concurrency_limited = false;  // that is known and enough for a concurrency limit
  double in_flight_samples = 0;      // answers that say so
  double admission = 1;              // share of the arriving work that is let in
  double latency_ratio = 0;          // elapsed time over aim, averaged
  FadingMean answer_time;            // usual time of an answer, in microseconds
  double unloaded_latency_ratio = 1e9;  // the least that was usual
  double latency_samples = 0;           // that say so
  double consecutive_late = 0;          // outcomes in a row that were late or refused
  Micros last_signal_at = 0;            // the last outcome that told of pressure or of none

  Server& InWindow(std::size_t i) const { return *ring[(window_offset + i) % ring.size()]; }
  // Both find its place by id, whatever the ring's size, and move the pointers behind it.
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

struct Attempt {
  Server* server = nullptr;  // to be followed only while the attempt is out: the list may drop the server
  int zone = -1;
  std::int64_t cell = -1;
  Micros sent = 0;
  bool in_flight = true;
  bool overload_counted = false;  // that it is late has been taken as pressure already
  bool may_have_run = true;       // until an outcome proves that it did not
};

struct PendingRequest {  // a request, from its arrival until its last attempt is resolved
  std::size_t request_class = 0;
  bool already_late = false;  // its client has waited past the aim already, over earlier tries
  std::size_t pool = 0;
  Micros arrived = 0;
  Micros deadline = 0;
  double relative_work = 1;   // expected work as a multiple of what is usual for its class
  bool body_pending = false;  // its body is still coming in
  bool ended = false;
  bool cancelled = false;  // what was out at its end is called off
  int retries = 0;
  std::uint64_t timer_token = 0;  // the one that is awaited; 0 = none
  std::string key;                // of the line in which it waits for its turn; empty = free
  Micros key_held_until = 0;      // it keeps the turn until then, as a doubtful attempt may still be running
  std::vector<Attempt> attempts;

  bool HasAttemptInFlight() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.in_flight; });
  }
  // The first attempt that may have run: it decides what may still be done.
  const Attempt* FirstThatMayHaveRun() const {
    for (const Attempt& a : attempts)
      if (a.may_have_run) return &a;
    return nullptr;
  }
};

// Which classes and tenants something was learnt under, on one line: figures of one deployment say nothing in
// another.
inline std::string LearnedStateHeader(const Settings& settings) {
  std::string header;
  const auto add = [&](const std::string& name) { header += std::to_string(name.size()) + ":" + name + " "; };
  for (const RequestClass& c : settings.classes)
    add(c.name), add(std::to_string(c.latency_target)), add(std::to_string(c.deadline));
  header += "covered for ";  // and of what meaning the figures are: since they allow for the window's share
  for (const Tenant& tenant : settings.tenants) add(tenant.name);
  return header;
}

struct ClassLoad {  // what this sidecar has seen of a class
  FadingMean mean_work{
      1, 0};  // usual work of one request: the hint where there is one, else the time of its answers
  FadingMean answer_time;    // usual time of an answer
  Micros max_budget = 0;     // of its tries: a shorter one is all that is left of the deadline
  double arriving_work = 0;  // work that arrived lately, fading
};

class Random {  // SplitMix64: small, and the same everywhere
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  std::uint64_t Next() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15ULL);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
  }
  double Unit() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }
  std::size_t Below(std::size_t n) { return static_cast<std::size_t>(Unit() * static_cast<double>(n)); }
  Micros UpTo(Micros max) { return static_cast<Micros>(Unit() * static_cast<double>(max)); }

 private:
  std::uint64_t state_;
};

}  // namespace merlinrun

#endif  // MERLINRUN_SRC_RECORDS_HPP_
