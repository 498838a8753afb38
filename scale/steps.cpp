#include "discovery_steps.hpp"
#include "fan_out.hpp"
#include "step.hpp"

namespace merlinrun::scale {

const std::map<std::string, StepFactory>& StepKinds() {
  static const std::map<std::string, StepFactory> kinds = {
      {"change_rate", MakeChangeRate},
      {"change_size", MakeChangeSize},
      {"fan_out", MakeFanOut},
      {"list_size", MakeListSize},
      {"play_discovery_restart", MakePlayDiscoveryRestart},
      {"play_region_cut", MakePlayRegionCut},
      {"play_region_restart", MakePlayRegionRestart},
      {"play_rollout", MakePlayRollout},
      {"play_steady", MakePlaySteady},
      {"play_zone", MakePlayZone},
      {"watches", MakeWatches},
  };
  return kinds;
}

}  // namespace merlinrun::scale
