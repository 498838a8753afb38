// Discovery crashes, which ends all watches, and restarts; servers change in between.
#include <algorithm>

#include "discovery_steps.hpp"
#include "experiment.hpp"

namespace merlinrun::scale {
namespace {

class DiscoveryRestart : public Experiment {
 public:
  explicit DiscoveryRestart(Parameters& parameters)
      : down_s_(parameters.Number("down_s", 4, 0, 600)),
        changes_(parameters.Integer("changes", 5, 1, 1000)) {}

  void Run(DiscoveryTestBed& test_bed, std::map<std::string, double>&) override {
    generation_before_ = test_bed.DiscoveryCounts().at("generation").get<std::int64_t>();
    test_bed.SendCommand({{"do", "die"}});
    for (std::int64_t i = 0; i < changes_; ++i) {
      test_bed.ChangeServers(
          {{"first", i % kChangedServers}, {"lifecycle", i / kChangedServers % 2 == 0 ? "draining" : "up"}});
      test_bed.Wait(down_s_ / static_cast<double>(changes_));
    }
    restarted_at_ = test_bed.SendCommand({{"do", "return"}}).at("at_us").get<Micros>();
  }

  void Evaluate(DiscoveryTestBed& test_bed, std::map<std::string, double>& figures) override {
    auto changes = test_bed.ChangesSince(generation_before_);
    for (auto& [generation, at] : changes) at = std::max(at, restarted_at_);
    AddDelays("in_force_after_return", test_bed.EffectDelays(changes, /*keep=*/true), figures);
  }

 private:
  static constexpr std::int64_t kChangedServers = 10;
  const double down_s_;
  const std::int64_t changes_;
  std::int64_t generation_before_ = 0;
  Micros restarted_at_ = 0;
};

}  // namespace

std::unique_ptr<Step> MakeDiscoveryRestartExperiment(Parameters& parameters) {
  return MakeExperimentStep(
      "play_discovery_restart",
      [](Parameters& p) -> std::unique_ptr<Experiment> { return std::make_unique<DiscoveryRestart>(p); },
      parameters);
}

}  // namespace merlinrun::scale
