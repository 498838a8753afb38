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
std::unique_ptr<Step> MakePlayDiscoveryRestart(Parameters& parameters);
std::unique_ptr<Step> MakePlayRack(Parameters& parameters);
std::unique_ptr<Step> MakePlayRegionCut(Parameters& parameters);
std::unique_ptr<Step> MakePlayRegionRestart(Parameters& parameters);
std::unique_ptr<Step> MakePlayReload(Parameters& parameters);
std::unique_ptr<Step> MakePlayRollout(Parameters& parameters);
std::unique_ptr<Step> MakePlaySteady(Parameters& parameters);
std::unique_ptr<Step> MakePlayZone(Parameters& parameters);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_DISCOVERY_STEPS_HPP_
