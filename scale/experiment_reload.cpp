// The configuration of all sidecars is changed to another discovery address, while servers change.
#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "discovery_steps.hpp"
#include "experiment.hpp"

namespace merlinrun::scale {
namespace {

constexpr std::int64_t kMinRegions = 2;  // the sidecars of each move to the next

class Reload : public Experiment {
 public:
  void Run(DiscoveryTestBed& test_bed, std::map<std::string, double>&) override {
    const auto generation_before = test_bed.DiscoveryCounts().at("generation").get<std::int64_t>();
    std::vector<std::string> addresses = test_bed.addresses();
    std::rotate(addresses.begin(), addresses.begin() + 1, addresses.end());
    test_bed.SetAddresses(std::move(addresses));
    test_bed.ReloadSidecars();
    // Sidecars receive this change with the full list or on the watch that follows.
    const std::int64_t moving = test_bed.ChangeServers({{"first", 0}, {"lifecycle", "draining"}});
    test_bed.AwaitWatches();
    test_bed.ChangeServers({{"first", 1}, {"lifecycle", "draining"}});
    while_moving_ = test_bed.ChangesSince(generation_before);
    std::erase_if(while_moving_, [moving](const auto& change) { return change.first > moving; });
    at_new_address_ = test_bed.ChangesSince(moving);
  }

  void Evaluate(DiscoveryTestBed& test_bed, std::map<std::string, double>& figures) override {
    AddDelays("first_list", test_bed.FirstListDelays(), figures);
    const DelaySummary watching = test_bed.WatchDelays();
    AddDelays("watching", watching, figures);
    figures["watching_count"] = static_cast<double>(watching.count);
    AddDelays("in_force_while_moving", test_bed.EffectDelays(while_moving_, /*keep=*/true), figures);
    AddDelays("in_force_at_new_address", test_bed.EffectDelays(at_new_address_, /*keep=*/true), figures);
  }

 private:
  DiscoveryTestBed::Changes while_moving_;
  DiscoveryTestBed::Changes at_new_address_;
};

std::unique_ptr<Experiment> CreateReload(Parameters& parameters) {
  if (ReadRegions(parameters) < kMinRegions)
    parameters.Reject("regions", "must be at least 2, as sidecars move from one to another");
  for (const std::int64_t relays : ReadRelays(parameters)) {
    if (relays > 0 && relays < kMinRegions)
      parameters.Reject("relays", "must be 0 or at least 2, as sidecars move from one to another");
  }
  return std::make_unique<Reload>();
}

}  // namespace

std::unique_ptr<Step> MakeReloadExperiment(Parameters& parameters) {
  return MakeExperimentStep("play_reload", CreateReload, parameters);
}

}  // namespace merlinrun::scale
