// The servers of a rack or a zone are lost and come back: they are removed from the list, and later listed as
// up with a fresh start time.
#include <algorithm>

#include "control.hpp"
#include "discovery_steps.hpp"
#include "experiment.hpp"
#include "server_list.hpp"

namespace merlinrun::scale {
namespace {

class ServerLoss : public Experiment {
 public:
  ServerLoss(Parameters& parameters, std::int64_t servers)
      : servers_(servers),
        in_object_(parameters.Integer("in_object", 10, 1, 50'000)),
        lost_s_(parameters.Number("lost_s", 3, 0, 600)) {}

  void Run(DiscoveryTestBed& test_bed, std::map<std::string, double>& figures) override {
    lost_ = ChangeAll(test_bed, "removed");
    test_bed.Wait(lost_s_);
    back_ = ChangeAll(test_bed, "up");
    figures["servers"] = static_cast<double>(servers_);
  }

  void Evaluate(DiscoveryTestBed& test_bed, std::map<std::string, double>& figures) override {
    AddPhase("lost", test_bed, lost_, figures);
    AddPhase("back", test_bed, back_, figures);
  }

 private:
  struct Phase {
    Micros began = 0;
    DiscoveryTestBed::Changes changes;
  };

  // Changes a few servers at a time, as health checks would.
  Phase ChangeAll(DiscoveryTestBed& test_bed, const char* lifecycle) const {
    Phase phase;
    std::int64_t last = 0;
    phase.began = SteadyNow();
    for (std::int64_t done = 0; done < servers_; done += in_object_) {
      if (done > 0) test_bed.Wait(kPause_s);
      last = test_bed.ChangeServers({{"first", done * kZones},
                                     {"stride", kZones},
                                     {"count", std::min(in_object_, servers_ - done)},
                                     {"lifecycle", lifecycle},
                                     {"restarted", true}});
    }
    phase.changes = test_bed.ChangesSince(last - (servers_ + in_object_ - 1) / in_object_);
    return phase;
  }

  // Delays are counted from when discovery applies a change. If it is busy, it applies changes late, which
  // the delays do not include. Therefore the time from the beginning of the phase until its last change has
  // taken effect everywhere is recorded as well.
  static void AddPhase(const std::string& name, DiscoveryTestBed& test_bed, const Phase& phase,
                       std::map<std::string, double>& figures) {
    const DelaySummary delays = test_bed.EffectDelays(phase.changes, /*keep=*/true);
    AddDelays(name + "_in_force", delays, figures);
    figures[name + "_in_force_count"] = static_cast<double>(delays.count);
    figures[name + "_changes"] = static_cast<double>(phase.changes.size());
    figures[name + "_within_ms"] =
        test_bed.EffectDelays({{phase.changes.back().first, phase.began}}, /*keep=*/true).last_ms;
  }

  static constexpr double kPause_s = 0.02;
  const std::int64_t servers_;
  const std::int64_t in_object_;  // servers that one object changes
  const double lost_s_;
  Phase lost_;
  Phase back_;
};

std::int64_t ServersInZone(Parameters& parameters) {
  return (ReadListed(parameters) + kZones - 1) / kZones;  // of zone 0
}

std::unique_ptr<Experiment> CreateRackLoss(Parameters& parameters) {
  const std::int64_t racks = parameters.Integer("racks_in_zone", 19, 1, 10'000);
  return std::make_unique<ServerLoss>(parameters,
                                      std::max<std::int64_t>(ServersInZone(parameters) / racks, 1));
}

std::unique_ptr<Experiment> CreateZoneLoss(Parameters& parameters) {
  return std::make_unique<ServerLoss>(parameters, ServersInZone(parameters));
}

}  // namespace

std::unique_ptr<Step> MakeRackLossExperiment(Parameters& parameters) {
  return MakeExperimentStep("play_rack", CreateRackLoss, parameters);
}

std::unique_ptr<Step> MakeZoneLossExperiment(Parameters& parameters) {
  return MakeExperimentStep("play_zone", CreateZoneLoss, parameters);
}

}  // namespace merlinrun::scale
