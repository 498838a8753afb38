// A part of the servers - a rack, a zone - is lost and comes back: removed, and up again, cold.
#include <algorithm>

#include "control.hpp"
#include "discovery_steps.hpp"
#include "play.hpp"
#include "server_list.hpp"

namespace merlinrun::scale {
namespace {

class PartLost : public Plot {
 public:
  PartLost(Parameters& parameters, std::int64_t servers)
      : servers_(servers),
        in_object_(parameters.Integer("in_object", 10, 1, 50'000)),
        lost_s_(parameters.Number("lost_s", 3, 0, 600)) {}

  void Play(DiscoveryRig& rig, std::map<std::string, double>& figures) override {
    lost_ = Tell(rig, "removed");
    rig.Pass(lost_s_);
    back_ = Tell(rig, "up");
    figures["servers"] = static_cast<double>(servers_);
  }

  void Conclude(DiscoveryRig& rig, std::map<std::string, double>& figures) override {
    AddPhase("lost", rig, lost_, figures);
    AddPhase("back", rig, back_, figures);
  }

 private:
  struct Phase {
    Micros began = 0;
    DiscoveryRig::Changes changes;
  };

  // As health checks find it: some servers at a time.
  Phase Tell(DiscoveryRig& rig, const char* lifecycle) const {
    Phase phase;
    std::int64_t last = 0;
    phase.began = SteadyNow();
    for (std::int64_t done = 0; done < servers_; done += in_object_) {
      if (done > 0) rig.Pass(kBetween_s);
      last = rig.Change({{"first", done * kZones},
                         {"stride", kZones},
                         {"count", std::min(in_object_, servers_ - done)},
                         {"lifecycle", lifecycle},
                         {"restarted", true}});
    }
    phase.changes = rig.ChangesSince(last - (servers_ + in_object_ - 1) / in_object_);
    return phase;
  }

  // A busy discovery takes changes late, which their own times do not show: hence the time from the phase's
  // beginning until its last change is in force everywhere.
  static void AddPhase(const std::string& name, DiscoveryRig& rig, const Phase& phase,
                       std::map<std::string, double>& figures) {
    const Spread spread = rig.Force(phase.changes, /*keep=*/true);
    AddSpread(name + "_in_force", spread, figures);
    figures[name + "_in_force_count"] = static_cast<double>(spread.count);
    figures[name + "_changes"] = static_cast<double>(phase.changes.size());
    figures[name + "_within_ms"] =
        rig.Force({{phase.changes.back().first, phase.began}}, /*keep=*/true).last_ms;
  }

  static constexpr double kBetween_s = 0.02;
  const std::int64_t servers_;
  const std::int64_t in_object_;
  const double lost_s_;
  Phase lost_;
  Phase back_;
};

std::int64_t ServersInZone(Parameters& parameters) {
  return (ListedOf(parameters) + kZones - 1) / kZones;  // in zone 0
}

std::unique_ptr<Plot> MakeRackLost(Parameters& parameters) {
  const std::int64_t racks = parameters.Integer("racks_in_zone", 19, 1, 10'000);
  return std::make_unique<PartLost>(parameters, std::max<std::int64_t>(ServersInZone(parameters) / racks, 1));
}

std::unique_ptr<Plot> MakeZoneLost(Parameters& parameters) {
  return std::make_unique<PartLost>(parameters, ServersInZone(parameters));
}

}  // namespace

std::unique_ptr<Step> MakePlayRack(Parameters& parameters) {
  return MakePlay("play_rack", MakeRackLost, parameters);
}

std::unique_ptr<Step> MakePlayZone(Parameters& parameters) {
  return MakePlay("play_zone", MakeZoneLost, parameters);
}

}  // namespace merlinrun::scale
