#include "call_rate.hpp"
#include "chain.hpp"
#include "discovery_steps.hpp"
#include "fan_out.hpp"
#include "reload.hpp"
#include "sidecars.hpp"
#include "simulated_and_real.hpp"
#include "step.hpp"

namespace merlinrun::scale {

const std::map<std::string, StepFactory>& StepKinds() {
  static const std::map<std::string, StepFactory> kinds = {
      {"call_rate", MakeCallRate},
      {"chain", MakeChain},
      {"change_rate", MakeChangeRate},
      {"change_size", MakeChangeSize},
      {"fan_out", MakeFanOut},
      {"hollow_and_real", MakeSimulatedAndReal},
      {"list_size", MakeListSize},
      {"play_discovery_restart", MakeDiscoveryRestartExperiment},
      {"play_rack", MakeRackLossExperiment},
      {"play_region_cut", MakeRegionPartitionExperiment},
      {"play_region_restart", MakeRegionRestartExperiment},
      {"play_reload", MakeReloadExperiment},
      {"play_rollout", MakeRolloutExperiment},
      {"play_steady", MakeSteadyExperiment},
      {"play_zone", MakeZoneLossExperiment},
      {"reload", MakeReload},
      {"sidecars", MakeSidecars},
      {"watches", MakeWatches},
  };
  return kinds;
}

}  // namespace merlinrun::scale
