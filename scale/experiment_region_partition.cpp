// A region is partitioned from discovery while servers change, and then healed.
#include "discovery_steps.hpp"
#include "experiment.hpp"

namespace merlinrun::scale {
namespace {

class RegionPartition : public Experiment {
 public:
  explicit RegionPartition(Parameters& parameters)
      : per_s_(parameters.Number("changes_per_s", 1, 0.01, 1000)),
        cut_s_(parameters.Number("cut_s", 8, 0.1, 600)) {}

  void Run(DiscoveryTestBed& test_bed, std::map<std::string, double>&) override {
    generation_before_ = test_bed.DiscoveryCounts().at("generation").get<std::int64_t>();
    test_bed.SendCommand({{"do", "cut"}, {"region", 0}, {"on", true}});
    test_bed.ChangeServers({{"first", 0}, {"lifecycle", "draining"}});  // at least one change
    test_bed.SendCommand({{"do", "drive"}, {"per_s", per_s_}, {"seed", kChangeSeed}});
    test_bed.Wait(cut_s_);
    test_bed.SendCommand({{"do", "drive"}, {"per_s", 0}});
    healed_at_ =
        test_bed.SendCommand({{"do", "cut"}, {"region", 0}, {"on", false}}).at("at_us").get<Micros>();
  }

  void Evaluate(DiscoveryTestBed& test_bed, std::map<std::string, double>& figures) override {
    auto changes = test_bed.ChangesSince(generation_before_);
    for (auto& [generation, at] : changes) at = healed_at_;
    // Sidecars in other regions received the changes before the healing, so only the maximum is meaningful.
    figures["in_force_after_heal_last_ms"] = test_bed.EffectDelays(changes, /*keep=*/true).last_ms;
  }

 private:
  const double per_s_;
  const double cut_s_;
  std::int64_t generation_before_ = 0;
  Micros healed_at_ = 0;
};

}  // namespace

std::unique_ptr<Step> MakeRegionPartitionExperiment(Parameters& parameters) {
  return MakeExperimentStep(
      "play_region_cut",
      [](Parameters& p) -> std::unique_ptr<Experiment> { return std::make_unique<RegionPartition>(p); },
      parameters);
}

}  // namespace merlinrun::scale
