// Scenarios with servers in slow start, drawn at random from a seed, with the records of a simulated fleet
// and the measured results. slow_start_fleet.hpp holds the simulation itself.
#ifndef MERLINRUN_TESTS_SLOW_START_SCENARIO_HPP_
#define MERLINRUN_TESTS_SLOW_START_SCENARIO_HPP_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <random>
#include <utility>
#include <vector>

#include "harness.hpp"

namespace merlinrun::testing {

// What else happens in the fleet when servers start.
enum class Disturbance {
  kNone,
  kBurst,
  kOthersSlowDown,
  kOthersDrain,
  kAllOthersDrain,
  kSidecarsRestart,
  kLullThenBurst,   // little traffic at the start itself, a burst after it
  kZoneRestarts,    // all servers of a zone restart
  kRollingRestart,  // all servers and sidecars restart, one after another
};
inline constexpr int kDisturbanceCount = 9;

// One scenario: settings, sizes, traffic, and the time at which servers start.
struct Scenario {
  Settings settings;
  int sidecars = 20;
  int servers = 6;
  int cores = 1;
  double capacity = 1;        // of a server of size 1, in requests of mean work per second
  double load = 1;            // arriving work over the capacity of all servers in the initial list
  Micros start_time = 0;      // when the servers start
  Micros lull_duration = 0;   // little traffic for this long after start_time ...
  Micros burst_duration = 0;  // ... then `burst` times the normal traffic for this long
  double burst = 1;
  Micros end = 0;
  Micros notify_within = 0;  // each sidecar learns of a change within this time
  int starting_servers = 1;
  bool sizes_differ = false;  // servers differ in size
  bool cost_hints = false;    // requests carry their expected cost
  Disturbance disturbance = Disturbance::kNone;
};

// The load on one server after one of its starts, at the time at which it came closest to the limit.
struct StartLoad {
  double allowed = 0;   // requests of mean work that the settings allow within the overload window
  double sent = 0;      // requests of mean work received within the overload window ...
  double informed = 0;  // ... and those from sidecars that knew of the start
  // The limit of the rule for slow start.
  double max_allowed() const { return allowed + 2 * std::sqrt(allowed) + 2; }
  double used_share() const { return allowed > 0 ? sent / max_allowed() : 0; }
  bool overloaded = false;
  // An overload counts only if sidecars that knew of the start sent more than two thirds of the load.
  bool broke_rule() const { return overloaded && informed > sent * 2 / 3; }
};

// What happened in one run of a fleet.
struct FleetResult {
  std::vector<StartLoad> starts;
  std::int64_t requests = 0, sends = 0, served = 0, slow_start_sends = 0;
  int violations() const {
    return static_cast<int>(
        std::count_if(starts.begin(), starts.end(), [](const StartLoad& load) { return load.broke_rule(); }));
  }
};

// A reproducible source of random numbers.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}
  double Uniform() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
  double Between(double low, double high) { return low + (high - low) * Uniform(); }
  int Below(int n) { return static_cast<int>(Uniform() * n); }
  Micros UpTo(Micros limit) { return static_cast<Micros>(Uniform() * static_cast<double>(limit)); }
  double Exponential() { return -std::log(1 - Uniform()); }
  bool Chance(double share) { return Uniform() < share; }

 private:
  std::mt19937_64 engine_;
};

// An event in simulated time.
struct FleetEvent {
  Micros at = 0;
  std::int64_t order = 0;
  enum Kind {
    kArrival,
    kRetry,
    kOutcome,
    kTimer,
    kNotify,
    kDrain,
    kStop,
    kStart,
    kSlowDown,
    kSidecarRestart
  } kind = kArrival;
  int sidecar = 0;
  int incarnation = 0;  // of the sidecar's process; events for an earlier one are ignored
  int call = 0;         // index in the fleet's list of calls
  int attempt = 0;
  Result result = Result::kSuccess;
  std::uint64_t token = 0;
  int server = 0;
  int server_start = 0;  // number of starts of the server when the request was sent
  Micros sent = 0;
  bool operator<(const FleetEvent& o) const { return std::pair(at, order) > std::pair(o.at, o.order); }
};

// A request sent to a server in slow start.
struct SlowStartSend {
  Micros at;
  double work;
  bool informed;  // the sidecar knew of the start
};

// A simulated server.
struct FleetServer {
  ServerInfo info;
  double size = 1;
  double speed = 1;
  bool up = true;
  int starts = 0;
  std::vector<Micros> core_free_at;  // one entry per core
  std::deque<Micros> finish_times;   // of its unfinished requests
  std::deque<SlowStartSend> window;  // received since its start and within the overload window
  double sent = 0, sent_informed = 0;
  std::size_t start_index = 0;  // index in FleetResult::starts
};

// A simulated request.
struct FleetCall {
  int sidecar;
  int incarnation;
  Micros deadline;
  double work;  // 1 = the mean
  int request_class;
  int client_retries;  // so far
  bool ended = false;
  int attempts = 0;
};

// Draws a scenario. The load that a server of size 1 is allowed at its start ranges from 0.7 to about 120
// requests, distributed evenly over the orders of magnitude.
inline Scenario DrawScenario(std::uint64_t seed) {
  RandomSource random(seed * 7919);
  Scenario scenario;
  Settings& s = scenario.settings;
  s = MakeSettings();
  s.overload_window = static_cast<Micros>(random.Between(1, 3) * kSec);
  s.overload_factor = random.Between(2, 4);
  s.slow_start_share = random.Between(0.1, 0.4);
  s.slow_start_duration = s.overload_window + static_cast<Micros>(random.Between(1, 7) * kSec);
  scenario.sidecars = 20 + random.Below(11);
  scenario.servers = 6 + random.Below(15);
  s.sidecar_count = static_cast<std::uint32_t>(scenario.sidecars);
  scenario.load = random.Between(0.5, 1.5);
  const double allowed = std::exp(random.Between(std::log(0.7), std::log(120)));
  const double window_seconds = static_cast<double>(s.overload_window) / kSec;
  scenario.capacity = std::min(allowed / (s.overload_factor * s.slow_start_share * window_seconds),
                               500 / scenario.load / scenario.servers);
  scenario.cores = 1 + random.Below(std::clamp(static_cast<int>(scenario.capacity), 1, 8));
  scenario.disturbance = static_cast<Disturbance>(random.Below(kDisturbanceCount));
  scenario.burst = random.Between(1.3, 2.5);
  scenario.burst_duration = static_cast<Micros>(random.Between(0.5, 3) * kSec);
  const double rate = scenario.load * scenario.capacity * scenario.servers;
  scenario.start_time = static_cast<Micros>(std::clamp(random.Between(200, 1000) / rate, 2.0, 25.0) * kSec);
  scenario.end =
      scenario.start_time + static_cast<Micros>(std::clamp(1500 / rate, 2 * window_seconds + 1, 10.0) * kSec);
  if (scenario.disturbance == Disturbance::kNone) scenario.burst_duration = 0;
  if (scenario.disturbance == Disturbance::kLullThenBurst) {
    scenario.lull_duration = static_cast<Micros>(random.Between(1, 6) * kSec);
    s.slow_start_duration += scenario.lull_duration;
    scenario.end += scenario.lull_duration;
  }
  scenario.notify_within = static_cast<Micros>(random.Between(0.02, 0.8) * kSec);
  scenario.starting_servers = random.Chance(0.4) ? 1 : 1 + random.Below(scenario.servers / 2);
  scenario.sizes_differ = random.Chance(0.5);
  scenario.cost_hints = random.Chance(0.5);
  if (random.Chance(0.4)) s.cost_cross_zone = 0.1;
  if (random.Chance(0.5)) s.cost_connection = 0.2;
  if (random.Chance(0.5)) s.cost_waste = 0.3;
  if (random.Chance(0.5)) s.reports = Settings::Reports::kInAnswers;
  const Settings::Weights weights =
      random.Chance(0.5) ? Settings::Weights::kNominal : Settings::Weights::kRough;
  s.weights = scenario.sizes_differ ? weights : Settings::Weights::kNone;
  const Micros service_time = static_cast<Micros>(scenario.cores / scenario.capacity * kSec);
  for (RequestClass& c : s.classes) {
    c.latency_target = std::max<Micros>(5 * service_time, 300 * kMs);
    c.deadline = 3 * c.latency_target;
    c.dedup_window = 2 * c.latency_target;
    c.value = random.Between(0.5, 4);
  }
  return scenario;
}

}  // namespace merlinrun::testing

#endif  // MERLINRUN_TESTS_SLOW_START_SCENARIO_HPP_
