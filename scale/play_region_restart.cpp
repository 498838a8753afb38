// All sidecars of a region are restarted at once and come back from nothing, while a server changes.
#include "discovery_steps.hpp"
#include "play.hpp"

namespace merlinrun::scale {
namespace {

class RegionRestart : public Plot {
 public:
  explicit RegionRestart(Parameters& parameters) : down_s_(parameters.Number("down_s", 1, 0, 600)) {}

  void Play(DiscoveryRig& rig, std::map<std::string, double>& figures) override {
    const std::int64_t all = rig.sidecars();
    rig.End(0);
    const std::int64_t ended = all - rig.sidecars();
    rig.Pass(down_s_);
    rig.Add(ended, 0);
    rig.Change({{"first", 0}, {"lifecycle", "draining"}});
    figures["restarted"] = static_cast<double>(ended);
  }

  void Conclude(DiscoveryRig& rig, std::map<std::string, double>& figures) override {
    AddSpread("first_list", rig.Joined(0), figures);
  }

 private:
  const double down_s_;
};

}  // namespace

std::unique_ptr<Step> MakePlayRegionRestart(Parameters& parameters) {
  return MakePlay(
      "play_region_restart",
      [](Parameters& p) -> std::unique_ptr<Plot> { return std::make_unique<RegionRestart>(p); }, parameters);
}

}  // namespace merlinrun::scale
