// A steady day: single servers drain and come up again, at random times.
#include "discovery_steps.hpp"
#include "play.hpp"

namespace merlinrun::scale {
namespace {

constexpr double kDay_s = 86'400;

class Steady : public Plot {
 public:
  explicit Steady(Parameters& parameters)
      : per_day_(parameters.Number("changes_per_day", 13'000, 1, 1e8)),
        speed_(parameters.Number("speed", 10, 0.01, 10'000)),
        seconds_(parameters.Number("seconds", 20, 0.5, 3600)) {}

  void Play(DiscoveryRig& rig, std::map<std::string, double>&) override {
    rig.Tell({{"do", "drive"}, {"per_s", per_day_ / kDay_s * speed_}, {"seed", kDriveSeed}});
    rig.Pass(seconds_);
    rig.Tell({{"do", "drive"}, {"per_s", 0}});
  }

 private:
  const double per_day_;
  const double speed_;  // so many times as fast as the day
  const double seconds_;
};

}  // namespace

std::unique_ptr<Step> MakePlaySteady(Parameters& parameters) {
  return MakePlay(
      "play_steady", [](Parameters& p) -> std::unique_ptr<Plot> { return std::make_unique<Steady>(p); },
      parameters);
}

}  // namespace merlinrun::scale
