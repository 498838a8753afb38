// The test bed of a step: the fake discovery and fleets of simulated sidecars, each in a worker process.
#ifndef MERLINRUN_SCALE_DISCOVERY_TEST_BED_HPP_
#define MERLINRUN_SCALE_DISCOVERY_TEST_BED_HPP_

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

// Distribution of a delay over sidecars or changes, in milliseconds with a resolution of 0.1.
struct DelaySummary {
  std::int64_t count = 0;
  double p50_ms = 0;
  double p99_ms = 0;
  double last_ms = 0;  // the maximum
};

class DiscoveryTestBed {
 public:
  struct Options {
    std::int64_t listed = 0;
    std::int64_t regions = 1;
    std::int64_t fleets = 1;
    std::int64_t service_time_us = 0;  // of discovery, per call
    std::int64_t queue = 100'000;
    bool must_subscribe = false;
  };
  // Pairs of a generation and the time of the change.
  using Changes = std::vector<std::pair<std::int64_t, Micros>>;

  // Throws std::runtime_error if a process cannot be started.
  DiscoveryTestBed(Context& context, const Options& options);

  static ResourceRequirements Requirements(const Options& options, std::int64_t sidecars);

  // The discovery addresses by region. Setting them affects sidecars that are added or reloaded afterwards.
  const std::vector<std::string>& addresses() const { return addresses_; }
  void SetAddresses(std::vector<std::string> addresses) { addresses_ = std::move(addresses); }

  // Starts that many simulated sidecars, spread evenly over all fleets and over all regions or in one region.
  void AddSidecars(std::int64_t sidecars, std::int64_t region = kAllRegions);
  void RemoveSidecars(std::int64_t region);
  // Switches all sidecars at once to the current address of their region.
  void ReloadSidecars();
  // Waits until all sidecars use that generation or a later one. Throws std::runtime_error after two minutes,
  // and Interrupted.
  void AwaitEffect(std::int64_t generation);
  // Waits until each sidecar has received the first object of a watch that it opened since its start or last
  // reload. Throws likewise.
  void AwaitWatches();
  // Sleeps while the processes run. Throws Interrupted.
  void Wait(double seconds);

  nlohmann::json SendCommand(const nlohmann::json& command) { return discovery_.Execute(command); }
  // Applies a change to the list of servers, see "change" in discovery_process.hpp. Returns its generation.
  std::int64_t ChangeServers(const nlohmann::json& change);
  nlohmann::json DiscoveryCounts(bool trim = false) {
    return SendCommand({{"do", "counts"}, {"trim", trim}});
  }
  // The sum over all fleets of a number in the response to "status".
  std::int64_t SumOverFleets(const std::string& name, bool trim = false);

  Changes ChangesSince(std::int64_t generation);
  // How long those changes took to take effect at sidecars, from the given times on. The fleets then discard
  // all recorded times unless `keep` is true.
  DelaySummary EffectDelays(const Changes& changes, bool keep = false);
  // How long sidecars took from their start or last reload to their first list, and to the first object of
  // the watch that follows it.
  DelaySummary FirstListDelays(std::int64_t region = kAllRegions);
  DelaySummary WatchDelays();

  std::int64_t sidecars() const { return sidecars_; }
  static constexpr std::int64_t kAllRegions = -1;

 private:
  void AwaitAll(const char* status_key, std::int64_t generation);
  DelaySummary QueryDelays(const nlohmann::json& command);

  Context& context_;
  const Options options_;
  WorkerProcess discovery_;
  std::vector<std::unique_ptr<WorkerProcess>> fleets_;
  std::vector<std::string> addresses_;  // by region
  std::map<std::int64_t, std::int64_t> sidecars_in_region_;
  std::int64_t sidecars_ = 0;
  std::uint64_t seed_;
};

// Thrown when the run is interrupted. Samples recorded before are kept.
class Interrupted : public std::runtime_error {
 public:
  Interrupted() : std::runtime_error("interrupted") {}
};

// Runs all measurements of a step: every size once before any is repeated, so that drift affects all sizes
// alike. Returns early if `measure` throws Interrupted, as a test bed does when the run is interrupted.
// Unlike ForEachMeasurement (call_plan.hpp), passes no seed to `measure`.
void MeasureEach(Context& context, const std::vector<std::int64_t>& sizes,
                 const std::function<void(std::int64_t size, int repeat)>& measure);

// Adds the figures "NAME_p50_ms", "NAME_p99_ms" and "NAME_last_ms".
void AddDelays(const std::string& name, const DelaySummary& delays, std::map<std::string, double>& figures);

// The increase of a counter between two results of DiscoveryCounts.
double Increase(const nlohmann::json& before, const nlohmann::json& after, const char* counter);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_DISCOVERY_TEST_BED_HPP_
