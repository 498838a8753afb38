// The stand-in for discovery and fleets of hollow sidecars on it, in processes of their own, as one step's
// rig.
#ifndef MERLINRUN_SCALE_DISCOVERY_RIG_HPP_
#define MERLINRUN_SCALE_DISCOVERY_RIG_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "control.hpp"
#include "step.hpp"

namespace merlinrun::scale {

// Times in milliseconds, to 0.1.
struct Spread {
  std::int64_t count = 0;
  double p50_ms = 0;
  double p99_ms = 0;
  double last_ms = 0;
};

class DiscoveryRig {
 public:
  struct Options {
    std::int64_t listed = 0;
    std::int64_t regions = 1;
    std::int64_t fleets = 1;
    std::int64_t service_time_us = 0;  // of discovery, for each call
    std::int64_t queue = 100'000;
    bool must_subscribe = false;
  };
  using Changes = std::vector<std::pair<std::int64_t, Micros>>;  // generation and time

  // Throws std::runtime_error if a process does not come up.
  DiscoveryRig(Context& context, const Options& options);

  static Needs Requires(const Options& options, std::int64_t sidecars);

  // Where discovery listens, by region, and where sidecars that are added from now on ask instead.
  const std::vector<std::string>& addresses() const { return addresses_; }
  void Serve(std::vector<std::string> addresses) { addresses_ = std::move(addresses); }

  // Starts so many hollow sidecars, spread over all fleets and regions, or in one region.
  void Add(std::int64_t sidecars, std::int64_t region = kAllRegions);
  void End(std::int64_t region);
  // All sidecars are told at once to ask where those of their region that are added from now on do.
  void Reload();
  // Until all sidecars act on that generation. Throws std::runtime_error after two minutes, and Interrupted.
  void AwaitForce(std::int64_t generation);
  // Until all sidecars, since they were started or reloaded, have begun their watches and been given the
  // first objects of these. Throws likewise.
  void AwaitWatches();
  // The time passes here alone. Throws Interrupted.
  void Pass(double seconds);

  nlohmann::json Tell(const nlohmann::json& command) { return discovery_.Ask(command); }
  // Applies a change, see discovery_process.hpp. Returns its generation.
  std::int64_t Change(const nlohmann::json& change);
  nlohmann::json Counts(bool trim = false) { return Tell({{"do", "counts"}, {"trim", trim}}); }
  // Sums over the fleets.
  std::int64_t FleetFigure(const std::string& name, bool trim = false);

  Changes ChangesSince(std::int64_t generation);
  // How long those changes took to come into force, from the times told.
  Spread Force(const Changes& changes, bool keep = false);
  // How long sidecars took from their start, or their reload, to their first list, and to the first object of
  // the watch upon it.
  Spread Joined(std::int64_t region = kAllRegions);
  Spread Watching();

  std::int64_t sidecars() const { return sidecars_; }
  static constexpr std::int64_t kAllRegions = -1;

 private:
  void Await(const char* figure, std::int64_t generation);
  Spread AskSpread(const nlohmann::json& command);

  Context& context_;
  const Options options_;
  Part discovery_;
  std::vector<std::unique_ptr<Part>> fleets_;
  std::vector<std::string> addresses_;  // by region
  std::map<std::int64_t, std::int64_t> in_region_;
  std::int64_t sidecars_ = 0;
  std::uint64_t seed_;
};

// The run has been interrupted: what has been recorded stays.
class Interrupted : public std::runtime_error {
 public:
  Interrupted() : std::runtime_error("interrupted") {}
};

// All readings of a step, each size once before any is repeated: what drifts falls on all alike. Ends early
// if the run is interrupted.
void ReadEach(Context& context, const std::vector<std::int64_t>& sizes,
              const std::function<void(std::int64_t size, int repeat)>& read);

// The figures of a spread, as "NAME_p50_ms", "NAME_p99_ms" and "NAME_last_ms".
void AddSpread(const std::string& name, const Spread& spread, std::map<std::string, double>& figures);

// What a counter gained between two readings of Counts.
double Gain(const nlohmann::json& before, const nlohmann::json& after, const char* counter);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_DISCOVERY_RIG_HPP_
