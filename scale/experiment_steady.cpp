// A normal day: single servers drain and come up again at random times.
#include "discovery_steps.hpp"
#include "experiment.hpp"

namespace merlinrun::scale {
namespace {

constexpr double kSecondsPerDay = 86'400;

class Steady : public Experiment {
 public:
  explicit Steady(Parameters& parameters)
      : per_day_(parameters.Number("changes_per_day", 13'000, 1, 1e8)),
        speed_(parameters.Number("speed", 10, 0.01, 10'000)),
        seconds_(parameters.Number("seconds", 20, 0.5, 3600)) {}

  void Run(DiscoveryTestBed& test_bed, std::map<std::string, double>&) override {
    test_bed.SendCommand(
        {{"do", "drive"}, {"per_s", per_day_ / kSecondsPerDay * speed_}, {"seed", kChangeSeed}});
    test_bed.Wait(seconds_);
    test_bed.SendCommand({{"do", "drive"}, {"per_s", 0}});
  }

 private:
  const double per_day_;
  const double speed_;  // how many times faster than real time
  const double seconds_;
};

}  // namespace

std::unique_ptr<Step> MakeSteadyExperiment(Parameters& parameters) {
  return MakeExperimentStep(
      "play_steady", [](Parameters& p) -> std::unique_ptr<Experiment> { return std::make_unique<Steady>(p); },
      parameters);
}

}  // namespace merlinrun::scale
