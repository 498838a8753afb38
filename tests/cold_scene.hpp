// What a seed draws for a play of cold servers, what is counted in it, and its plain records. The play
// itself: cold_fleet.hpp.
#ifndef MERLINRUN_TESTS_COLD_SCENE_HPP_
#define MERLINRUN_TESTS_COLD_SCENE_HPP_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <random>
#include <utility>
#include <vector>

#include "harness.hpp"

namespace merlinrun::testing {

// What else happens when servers come cold.
enum class Trouble {
  kNone,
  kBurst,
  kOthersSlow,
  kOthersDrain,
  kOnlyColdLeft,  // all others drain
  kSidecarsRestart,
  kLull,      // hardly anything arrives at the moment itself, a burst after it
  kZoneCold,  // all servers of a zone come back cold
  kRolling,   // all servers restart, one after another, and all sidecars
};
inline constexpr int kTroubles = 9;

// What the seed draws: settings, sizes, traffic, and the moment at which servers come cold.
struct Scene {
  Settings rules;
  int sidecars = 20;
  int servers = 6;
  int cores = 1;
  double capacity = 1;    // of a server of size 1, in requests of mean work a second
  double load = 1;        // arriving work over the capacity of all servers at the start
  Micros moment = 0;      // the servers come cold
  Micros lull_time = 0;   // hardly anything arrives for so long from there ...
  Micros burst_time = 0;  // ... and `burst` times as much as usual for so long after that
  double burst = 1;
  Micros end = 0;
  Micros told_within = 0;  // each sidecar hears of a change at its own time, by then
  int cold = 1;
  bool sizes = false;   // servers differ in size
  bool hinted = false;  // requests carry their expected work
  Trouble trouble = Trouble::kNone;
};

struct ColdCount {  // of one start of one server
  double n = 0;     // N where it came closest to the most that it bears
  double sent = 0;  // requests of mean work in that window ...
  double told = 0;  // ... and those from sidecars that had been told of the start
  double most() const { return n + 2 * std::sqrt(n) + 2; }
  double fill() const { return n > 0 ? sent / most() : 0; }
  bool fell = false;
  bool broken() const { return fell && told > sent * 2 / 3; }
};

struct Count {
  std::vector<ColdCount> starts;
  std::int64_t requests = 0, sends = 0, served = 0, cold_sends = 0;
  int broken() const {
    return static_cast<int>(
        std::count_if(starts.begin(), starts.end(), [](const ColdCount& c) { return c.broken(); }));
  }
};

class Dice {
 public:
  explicit Dice(std::uint64_t seed) : engine_(seed) {}
  double Unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
  double Between(double low, double high) { return low + (high - low) * Unit(); }
  int Below(int n) { return static_cast<int>(Unit() * n); }
  Micros Upto(Micros most) { return static_cast<Micros>(Unit() * static_cast<double>(most)); }
  double Exponential() { return -std::log(1 - Unit()); }
  bool Chance(double share) { return Unit() < share; }

 private:
  std::mt19937_64 engine_;
};

struct FleetEvent {
  Micros at = 0;
  std::int64_t order = 0;
  enum Kind {
    kArrival,
    kRetry,
    kOutcome,
    kTimer,
    kTell,
    kDrain,
    kDown,
    kUp,
    kSlow,
    kRestart
  } kind = kArrival;
  int sidecar = 0;
  int life = 0;     // of the sidecar's process: what was meant for an earlier one is void
  int subject = 0;  // a request or a server
  int attempt = 0;
  Result result = Result::kSuccess;
  std::uint64_t token = 0;
  int server = 0;
  int start = 0;  // of the server
  Micros sent = 0;
  bool operator<(const FleetEvent& o) const { return std::pair(at, order) > std::pair(o.at, o.order); }
};

struct ColdSend {
  Micros at;
  double work;
  bool told;
};

struct FleetServer {
  ServerInfo info;
  double size = 1;
  double speed = 1;
  bool up = true;
  int starts = 0;
  std::vector<Micros> free_at;  // by core
  std::deque<Micros> finish;    // of what it holds
  std::deque<ColdSend> window;  // what came in since its start and the last fall_window
  double sent = 0, sent_told = 0;
  std::size_t counted = 0;  // in count_.starts
};

struct FleetCall {
  int sidecar;
  int life;
  Micros deadline;
  double work;  // 1 = the mean
  int request_class;
  int tries;  // of the client, so far
  bool ended = false;
  int attempts = 0;
};

// N of a server of size 1 at its start runs from 0.7 to some 120, evenly over the orders of magnitude.
inline Scene DrawScene(std::uint64_t seed) {
  Dice dice(seed * 7919);
  Scene scene;
  Settings& s = scene.rules;
  s = MakeSettings();
  s.overload_window = static_cast<Micros>(dice.Between(1, 3) * kSec);
  s.overload_factor = dice.Between(2, 4);
  s.slow_start_share = dice.Between(0.1, 0.4);
  s.slow_start_duration = s.overload_window + static_cast<Micros>(dice.Between(1, 7) * kSec);
  scene.sidecars = 20 + dice.Below(11);
  scene.servers = 6 + dice.Below(15);
  s.sidecar_count = static_cast<std::uint32_t>(scene.sidecars);
  scene.load = dice.Between(0.5, 1.5);
  const double n = std::exp(dice.Between(std::log(0.7), std::log(120)));
  const double seconds = static_cast<double>(s.overload_window) / kSec;
  scene.capacity =
      std::min(n / (s.overload_factor * s.slow_start_share * seconds), 500 / scene.load / scene.servers);
  scene.cores = 1 + dice.Below(std::clamp(static_cast<int>(scene.capacity), 1, 8));
  scene.trouble = static_cast<Trouble>(dice.Below(kTroubles));
  scene.burst = dice.Between(1.3, 2.5);
  scene.burst_time = static_cast<Micros>(dice.Between(0.5, 3) * kSec);
  const double rate = scene.load * scene.capacity * scene.servers;
  scene.moment = static_cast<Micros>(std::clamp(dice.Between(200, 1000) / rate, 2.0, 25.0) * kSec);
  scene.end = scene.moment + static_cast<Micros>(std::clamp(1500 / rate, 2 * seconds + 1, 10.0) * kSec);
  if (scene.trouble == Trouble::kNone) scene.burst_time = 0;
  if (scene.trouble == Trouble::kLull) {
    scene.lull_time = static_cast<Micros>(dice.Between(1, 6) * kSec);
    s.slow_start_duration += scene.lull_time;
    scene.end += scene.lull_time;
  }
  scene.told_within = static_cast<Micros>(dice.Between(0.02, 0.8) * kSec);
  scene.cold = dice.Chance(0.4) ? 1 : 1 + dice.Below(scene.servers / 2);
  scene.sizes = dice.Chance(0.5);
  scene.hinted = dice.Chance(0.5);
  if (dice.Chance(0.4)) s.cost_cross_zone = 0.1;
  if (dice.Chance(0.5)) s.cost_connection = 0.2;
  if (dice.Chance(0.5)) s.cost_waste = 0.3;
  if (dice.Chance(0.5)) s.reports = Settings::Reports::kInAnswers;
  const Settings::Weights told = dice.Chance(0.5) ? Settings::Weights::kNominal : Settings::Weights::kRough;
  s.weights = scene.sizes ? told : Settings::Weights::kNone;
  const Micros service = static_cast<Micros>(scene.cores / scene.capacity * kSec);
  for (RequestClass& c : s.classes) {
    c.latency_target = std::max<Micros>(5 * service, 300 * kMs);
    c.deadline = 3 * c.latency_target;
    c.dedup_window = 2 * c.latency_target;
    c.value = dice.Between(0.5, 4);
  }
  return scene;
}

}  // namespace merlinrun::testing

#endif  // MERLINRUN_TESTS_COLD_SCENE_HPP_
