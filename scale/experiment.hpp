// Steps that run an experiment: an event, such as the loss of a zone, happens to a fleet and its discovery,
// and the time and cost until all changes have taken effect at all sidecars are measured.
#ifndef MERLINRUN_SCALE_EXPERIMENT_HPP_
#define MERLINRUN_SCALE_EXPERIMENT_HPP_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "discovery_test_bed.hpp"
#include "step.hpp"

namespace merlinrun::scale {

// The seed of random changes. It is the same for each size, with and without relays, so that all get the same
// changes.
inline constexpr std::uint64_t kChangeSeed = 1;

// An event that happens to a fleet or its discovery.
class Experiment {
 public:
  virtual ~Experiment() = default;
  // Runs the experiment, but does not wait until the last changes have taken effect. Adds its own figures.
  virtual void Run(DiscoveryTestBed& test_bed, std::map<std::string, double>& figures) = 0;
  // Adds figures that are known once all changes have taken effect.
  virtual void Evaluate(DiscoveryTestBed&, std::map<std::string, double>&) {}
};

using ExperimentFactory = std::unique_ptr<Experiment> (*)(Parameters& parameters);

// Creates a step that runs the experiment with each fleet size of "sidecars" and each number of relays of
// "relays" (0 = the sidecars watch discovery itself). With relays there is one region for each relay.
std::unique_ptr<Step> MakeExperimentStep(const char* name, ExperimentFactory experiment,
                                         Parameters& parameters);

// Read the parameters that all experiments share. An experiment may read them again.
std::int64_t ReadListed(Parameters& parameters);
std::int64_t ReadRegions(Parameters& parameters);
std::vector<std::int64_t> ReadRelays(Parameters& parameters);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_EXPERIMENT_HPP_
