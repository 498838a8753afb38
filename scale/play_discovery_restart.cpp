// Discovery dies under all watches and comes back; servers change meanwhile.
#include <algorithm>

#include "discovery_steps.hpp"
#include "play.hpp"

namespace merlinrun::scale {
namespace {

class DiscoveryRestart : public Plot {
 public:
  explicit DiscoveryRestart(Parameters& parameters)
      : down_s_(parameters.Number("down_s", 4, 0, 600)),
        changes_(parameters.Integer("changes", 5, 1, 1000)) {}

  void Play(DiscoveryRig& rig, std::map<std::string, double>&) override {
    before_ = rig.Counts().at("generation").get<std::int64_t>();
    rig.Tell({{"do", "die"}});
    for (std::int64_t i = 0; i < changes_; ++i) {
      rig.Change({{"first", i % kDraining}, {"lifecycle", i / kDraining % 2 == 0 ? "draining" : "up"}});
      rig.Pass(down_s_ / static_cast<double>(changes_));
    }
    returned_ = rig.Tell({{"do", "return"}}).at("at_us").get<Micros>();
  }

  void Conclude(DiscoveryRig& rig, std::map<std::string, double>& figures) override {
    auto changes = rig.ChangesSince(before_);
    for (auto& [generation, at] : changes) at = std::max(at, returned_);
    AddSpread("in_force_after_return", rig.Force(changes, /*keep=*/true), figures);
  }

 private:
  static constexpr std::int64_t kDraining = 10;  // servers that change
  const double down_s_;
  const std::int64_t changes_;
  std::int64_t before_ = 0;
  Micros returned_ = 0;
};

}  // namespace

std::unique_ptr<Step> MakePlayDiscoveryRestart(Parameters& parameters) {
  return MakePlay(
      "play_discovery_restart",
      [](Parameters& p) -> std::unique_ptr<Plot> { return std::make_unique<DiscoveryRestart>(p); },
      parameters);
}

}  // namespace merlinrun::scale
