// Steps that measure the fake discovery and simulated sidecars.
#ifndef MERLINRUN_SCALE_DISCOVERY_STEPS_HPP_
#define MERLINRUN_SCALE_DISCOVERY_STEPS_HPP_

#include <memory>

#include "step.hpp"

namespace merlinrun::scale {

std::unique_ptr<Step> MakeListSize(Parameters& parameters);
std::unique_ptr<Step> MakeChangeSize(Parameters& parameters);
std::unique_ptr<Step> MakeWatches(Parameters& parameters);
std::unique_ptr<Step> MakeChangeRate(Parameters& parameters);
std::unique_ptr<Step> MakeDiscoveryRestartExperiment(Parameters& parameters);
std::unique_ptr<Step> MakeRackLossExperiment(Parameters& parameters);
std::unique_ptr<Step> MakeRegionPartitionExperiment(Parameters& parameters);
std::unique_ptr<Step> MakeRegionRestartExperiment(Parameters& parameters);
std::unique_ptr<Step> MakeReloadExperiment(Parameters& parameters);
std::unique_ptr<Step> MakeRolloutExperiment(Parameters& parameters);
std::unique_ptr<Step> MakeSteadyExperiment(Parameters& parameters);
std::unique_ptr<Step> MakeZoneLossExperiment(Parameters& parameters);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_DISCOVERY_STEPS_HPP_
