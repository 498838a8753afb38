#include "call_rate.hpp"
#include "chain.hpp"
#include "discovery_steps.hpp"
#include "fan_out.hpp"
#include "hollow_and_real.hpp"
#include "reload.hpp"
#include "sidecars.hpp"
#include "step.hpp"

namespace merlinrun::scale {

const std::map<std::string, StepFactory>& StepKinds() {
  static const std::map<std::string, StepFactory> kinds = {
      {"call_rate", MakeCallRate},
      {"chain", MakeChain},
      {"change_rate", MakeChangeRate},
      {"change_size", MakeChangeSize},
      {"fan_out", MakeFanOut},
      {"hollow_and_real", MakeHollowAndReal},
      {"list_size", MakeListSize},
      {"play_discovery_restart", MakePlayDiscoveryRestart},
      {"play_rack", MakePlayRack},
      {"play_region_cut", MakePlayRegionCut},
      {"play_region_restart", MakePlayRegionRestart},
      {"play_reload", MakePlayReload},
      {"play_rollout", MakePlayRollout},
      {"play_steady", MakePlaySteady},
      {"play_zone", MakePlayZone},
      {"reload", MakeReload},
      {"sidecars", MakeSidecars},
      {"watches", MakeWatches},
  };
  return kinds;
}

}  // namespace merlinrun::scale
