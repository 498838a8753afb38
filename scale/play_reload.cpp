// All sidecars' configuration is changed to another address of discovery, while servers change.
#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "discovery_steps.hpp"
#include "play.hpp"

namespace merlinrun::scale {
namespace {

constexpr std::int64_t kFewestRegions = 2;  // those of one move to the next

class Reload : public Plot {
 public:
  void Play(DiscoveryRig& rig, std::map<std::string, double>&) override {
    const auto before = rig.Counts().at("generation").get<std::int64_t>();
    std::vector<std::string> addresses = rig.addresses();
    std::rotate(addresses.begin(), addresses.begin() + 1, addresses.end());
    rig.Serve(std::move(addresses));
    rig.Reload();
    // It is heard of with the whole list, or on the watch that follows.
    const std::int64_t moving = rig.Change({{"first", 0}, {"lifecycle", "draining"}});
    rig.AwaitWatches();
    rig.Change({{"first", 1}, {"lifecycle", "draining"}});
    while_moving_ = rig.ChangesSince(before);
    std::erase_if(while_moving_, [moving](const auto& change) { return change.first > moving; });
    at_new_address_ = rig.ChangesSince(moving);
  }

  void Conclude(DiscoveryRig& rig, std::map<std::string, double>& figures) override {
    AddSpread("first_list", rig.Joined(), figures);
    const Spread watching = rig.Watching();
    AddSpread("watching", watching, figures);
    figures["watching_count"] = static_cast<double>(watching.count);
    AddSpread("in_force_while_moving", rig.Force(while_moving_, /*keep=*/true), figures);
    AddSpread("in_force_at_new_address", rig.Force(at_new_address_, /*keep=*/true), figures);
  }

 private:
  DiscoveryRig::Changes while_moving_;
  DiscoveryRig::Changes at_new_address_;
};

std::unique_ptr<Plot> MakeReload(Parameters& parameters) {
  if (RegionsOf(parameters) < kFewestRegions)
    parameters.Reject("regions", "must be 2 at least: sidecars move from one to another");
  for (const std::int64_t relays : RelaysOf(parameters)) {
    if (relays > 0 && relays < kFewestRegions)
      parameters.Reject("relays", "must be 0, or 2 at least: sidecars move from one to another");
  }
  return std::make_unique<Reload>();
}

}  // namespace

std::unique_ptr<Step> MakePlayReload(Parameters& parameters) {
  return MakePlay("play_reload", MakeReload, parameters);
}

}  // namespace merlinrun::scale
