// A region is cut off from discovery while servers change, and healed.
#include "discovery_steps.hpp"
#include "play.hpp"

namespace merlinrun::scale {
namespace {

class RegionCut : public Plot {
 public:
  explicit RegionCut(Parameters& parameters)
      : per_s_(parameters.Number("changes_per_s", 1, 0.01, 1000)),
        cut_s_(parameters.Number("cut_s", 8, 0.1, 600)) {}

  void Play(DiscoveryRig& rig, std::map<std::string, double>&) override {
    before_ = rig.Counts().at("generation").get<std::int64_t>();
    rig.Tell({{"do", "cut"}, {"region", 0}, {"on", true}});
    rig.Change({{"first", 0}, {"lifecycle", "draining"}});  // one at least
    rig.Tell({{"do", "drive"}, {"per_s", per_s_}, {"seed", kDriveSeed}});
    rig.Pass(cut_s_);
    rig.Tell({{"do", "drive"}, {"per_s", 0}});
    healed_ = rig.Tell({{"do", "cut"}, {"region", 0}, {"on", false}}).at("at_us").get<Micros>();
  }

  void Conclude(DiscoveryRig& rig, std::map<std::string, double>& figures) override {
    auto changes = rig.ChangesSince(before_);
    for (auto& [generation, at] : changes) at = healed_;
    // Sidecars elsewhere had them before: the quantiles over all say nothing here, the last one does.
    figures["in_force_after_heal_last_ms"] = rig.Force(changes, /*keep=*/true).last_ms;
  }

 private:
  const double per_s_;
  const double cut_s_;
  std::int64_t before_ = 0;
  Micros healed_ = 0;
};

}  // namespace

std::unique_ptr<Step> MakePlayRegionCut(Parameters& parameters) {
  return MakePlay(
      "play_region_cut",
      [](Parameters& p) -> std::unique_ptr<Plot> { return std::make_unique<RegionCut>(p); }, parameters);
}

}  // namespace merlinrun::scale
