// All sidecars of a region are restarted at once without a list, while a server changes.
#include "discovery_steps.hpp"
#include "experiment.hpp"

namespace merlinrun::scale {
namespace {

class RegionRestart : public Experiment {
 public:
  explicit RegionRestart(Parameters& parameters) : down_s_(parameters.Number("down_s", 1, 0, 600)) {}

  void Run(DiscoveryTestBed& test_bed, std::map<std::string, double>& figures) override {
    const std::int64_t all = test_bed.sidecars();
    test_bed.RemoveSidecars(0);
    const std::int64_t ended = all - test_bed.sidecars();
    test_bed.Wait(down_s_);
    test_bed.AddSidecars(ended, 0);
    test_bed.ChangeServers({{"first", 0}, {"lifecycle", "draining"}});
    figures["restarted"] = static_cast<double>(ended);
  }

  void Evaluate(DiscoveryTestBed& test_bed, std::map<std::string, double>& figures) override {
    AddDelays("first_list", test_bed.FirstListDelays(0), figures);
  }

 private:
  const double down_s_;
};

}  // namespace

std::unique_ptr<Step> MakeRegionRestartExperiment(Parameters& parameters) {
  return MakeExperimentStep(
      "play_region_restart",
      [](Parameters& p) -> std::unique_ptr<Experiment> { return std::make_unique<RegionRestart>(p); },
      parameters);
}

}  // namespace merlinrun::scale
