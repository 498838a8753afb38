// A rollout: all servers are drained, removed and restarted in batches.
#include <algorithm>

#include "discovery_steps.hpp"
#include "experiment.hpp"

namespace merlinrun::scale {
namespace {

class Rollout : public Experiment {
 public:
  explicit Rollout(Parameters& parameters)
      : listed_(ReadListed(parameters)),
        batches_(parameters.Integer("batches", 20, 1, 10'000)),
        drain_s_(parameters.Number("drain_s", 0.5, 0, 600)) {}

  void Run(DiscoveryTestBed& test_bed, std::map<std::string, double>&) override {
    for (std::int64_t i = 0; i < batches_; ++i) {
      const std::int64_t first = listed_ * i / batches_;
      const std::int64_t count = listed_ * (i + 1) / batches_ - first;
      if (count == 0) continue;
      for (const char* const lifecycle : {"draining", "removed", "up"}) {
        test_bed.ChangeServers(
            {{"first", first}, {"count", count}, {"lifecycle", lifecycle}, {"restarted", true}});
        test_bed.Wait(drain_s_ / 2);
      }
    }
  }

 private:
  const std::int64_t listed_;
  const std::int64_t batches_;
  const double drain_s_;
};

}  // namespace

std::unique_ptr<Step> MakeRolloutExperiment(Parameters& parameters) {
  return MakeExperimentStep(
      "play_rollout",
      [](Parameters& p) -> std::unique_ptr<Experiment> { return std::make_unique<Rollout>(p); }, parameters);
}

}  // namespace merlinrun::scale
