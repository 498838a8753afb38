// What changes take at sidecars and at discovery by how often they come.
#include <cstdint>
#include <vector>

#include "discovery_rig.hpp"
#include "discovery_steps.hpp"

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

  Needs Requires() const override { return DiscoveryRig::Requires({listed_, regions_, fleets_}, sidecars_); }

  void Run(Context& context) override {
    ReadEach(context, rates_, [&](std::int64_t rate, int repeat) { Read(context, rate, repeat); });
  }

 private:
  void Read(Context& context, std::int64_t rate, int repeat) const {
    DiscoveryRig rig(context, {listed_, regions_, fleets_});
    const auto first = rig.Counts().at("generation").get<std::int64_t>();
    rig.Add(sidecars_);
    rig.AwaitWatches();
    const std::int64_t cpu = rig.FleetFigure("cpu_us");
    const auto before = rig.Counts();
    rig.Tell({{"do", "drive"}, {"per_s", rate}, {"seed", context.seed + static_cast<std::uint64_t>(repeat)}});
    rig.Pass(seconds_);
    rig.Tell({{"do", "drive"}, {"per_s", 0}});
    const auto driven = rig.Counts();
    rig.AwaitForce(driven.at("generation").get<std::int64_t>());
    const std::int64_t end_cpu = rig.FleetFigure("cpu_us");
    const auto after = rig.Counts();

    const double us = Gain(before, after, "at_us");
    const auto changes = rig.ChangesSince(first);
    Sample sample;
    sample.measure = "change_rate";
    sample.repeat = repeat;
    sample.conditions = {{"changes_per_s", static_cast<double>(rate)}};
    sample.figures = {
        {"sidecar_cpu_share", static_cast<double>(end_cpu - cpu) / us / static_cast<double>(sidecars_)},
        {"discovery_cpu_share", Gain(before, after, "cpu_us") / us},
        {"changes", static_cast<double>(changes.size())},
    };
    AddSpread("in_force", rig.Force(changes), sample.figures);
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
