// Step "change_rate": the cost of changes for sidecars and for discovery by the rate of changes.
#include <cstdint>
#include <vector>

#include "discovery_steps.hpp"
#include "discovery_test_bed.hpp"

namespace merlinrun::scale {
namespace {

class ChangeRate : public Step {
 public:
  explicit ChangeRate(Parameters& parameters)
      : rates_(parameters.Integers("changes_per_s", {1, 3, 10, 30, 100}, 1, 10'000)),
        listed_(parameters.Integer("listed", 300, 1, 50'000)),
        sidecars_(parameters.Integer("sidecars", 400, 1, 19'000)),
        regions_(parameters.Integer("regions", 4, 1, 250)),
        fleets_(parameters.Integer("processes", 4, 1, 64)),
        seconds_(parameters.Number("seconds", 8, 0.5, 600)) {}

  ResourceRequirements Requirements() const override {
    return DiscoveryTestBed::Requirements({listed_, regions_, fleets_}, sidecars_);
  }

  void Run(Context& context) override {
    MeasureEach(context, rates_, [&](std::int64_t rate, int repeat) { Measure(context, rate, repeat); });
  }

 private:
  void Measure(Context& context, std::int64_t rate, int repeat) const {
    DiscoveryTestBed test_bed(context, {listed_, regions_, fleets_});
    const auto generation_before = test_bed.DiscoveryCounts().at("generation").get<std::int64_t>();
    test_bed.AddSidecars(sidecars_);
    test_bed.AwaitWatches();
    const std::int64_t cpu = test_bed.SumOverFleets("cpu_us");
    const auto before = test_bed.DiscoveryCounts();
    test_bed.SendCommand(
        {{"do", "drive"}, {"per_s", rate}, {"seed", context.seed + static_cast<std::uint64_t>(repeat)}});
    test_bed.Wait(seconds_);
    test_bed.SendCommand({{"do", "drive"}, {"per_s", 0}});
    const auto driven = test_bed.DiscoveryCounts();
    test_bed.AwaitEffect(driven.at("generation").get<std::int64_t>());
    const std::int64_t end_cpu = test_bed.SumOverFleets("cpu_us");
    const auto after = test_bed.DiscoveryCounts();

    const double us = Increase(before, after, "at_us");
    const auto changes = test_bed.ChangesSince(generation_before);
    Sample sample;
    sample.measure = "change_rate";
    sample.repeat = repeat;
    sample.conditions = {{"changes_per_s", static_cast<double>(rate)}};
    sample.figures = {
        {"sidecar_cpu_share", static_cast<double>(end_cpu - cpu) / us / static_cast<double>(sidecars_)},
        {"discovery_cpu_share", Increase(before, after, "cpu_us") / us},
        {"changes", static_cast<double>(changes.size())},
    };
    AddDelays("in_force", test_bed.EffectDelays(changes), sample.figures);
    context.recorder.Add(std::move(sample));
  }

  const std::vector<std::int64_t> rates_;
  const std::int64_t listed_;
  const std::int64_t sidecars_;
  const std::int64_t regions_;
  const std::int64_t fleets_;
  const double seconds_;
};

}  // namespace

std::unique_ptr<Step> MakeChangeRate(Parameters& parameters) {
  return std::make_unique<ChangeRate>(parameters);
}

}  // namespace merlinrun::scale
