#include "play.hpp"

#include <algorithm>
#include <utility>

#include "machine.hpp"
#include "relayed_rig.hpp"
#include "server_list.hpp"

namespace merlinrun::scale {
namespace {

class PlayStep : public Step {
 public:
  PlayStep(const char* name, PlotFactory plot, Parameters& parameters)
      : name_(name),
        sidecars_(parameters.Integers("sidecars", {100, 400, 2000, 8000}, 1, 19'000)),
        relays_(RelaysOf(parameters)),
        batch_ms_(parameters.Integer("batch_ms", 500, 0, 60'000)),
        plot_(plot(parameters)) {
    options_.listed = ListedOf(parameters);
    options_.regions = RegionsOf(parameters);
    options_.fleets = parameters.Integer("processes", 4, 1, 64);
    options_.service_time_us = parameters.Integer("service_time_us", 100, 0, 1'000'000);
    options_.queue = parameters.Integer("queue", 100'000, 1, 1'000'000);
    options_.must_subscribe = parameters.Flag("must_subscribe", false);
  }

  Needs Requires() const override { return RelayedRig::Requires(options_, relays_, sidecars_); }

  void Run(Context& context) override {
    ReadEach(context, sidecars_, [&](std::int64_t sidecars, int repeat) {
      for (const std::int64_t relays : relays_) Read(context, sidecars, relays, repeat);
    });
  }

 private:
  void Read(Context& context, std::int64_t sidecars, std::int64_t relays, int repeat) {
    RelayedRig relayed(context, options_, relays, batch_ms_);
    DiscoveryRig& rig = relayed.rig;
    const auto first = rig.Counts().at("generation").get<std::int64_t>();
    rig.Add(sidecars);
    rig.AwaitWatches();
    const std::int64_t cpu = rig.FleetFigure("cpu_us");
    const auto relays_before = RelaySums(relayed);
    const auto before = rig.Counts();
    const CpuTimes machine = ReadCpuTimes();

    Sample sample;
    sample.measure = name_;
    sample.repeat = repeat;
    sample.conditions = {{"sidecars", static_cast<double>(sidecars)},
                         {"relays", static_cast<double>(relays)}};
    plot_->Play(rig, sample.figures);
    const auto played = rig.Counts();
    rig.AwaitForce(played.at("generation").get<std::int64_t>());
    rig.AwaitWatches();  // whoever came back in the play calls a second time, for its watch
    const std::int64_t end_cpu = rig.FleetFigure("cpu_us");
    const auto after = rig.Counts();
    const auto relays_after = RelaySums(relayed);
    const CpuTimes end_machine = ReadCpuTimes();
    plot_->Conclude(rig, sample.figures);

    const auto changes = rig.ChangesSince(first);
    const double us = Gain(before, after, "at_us");
    const Spread spread = rig.Force(changes);
    AddSpread("in_force", spread, sample.figures);
    sample.figures["changes"] = static_cast<double>(changes.size());
    sample.figures["in_force_count"] = static_cast<double>(spread.count);
    sample.figures["calls"] = Gain(before, after, "calls");
    sample.figures["refused"] = Gain(before, after, "refused");
    sample.figures["bytes_out"] = Gain(before, after, "bytes_out");
    sample.figures["most_calls_in_a_second"] = std::max(played.at("most_calls_in_a_second").get<double>(),
                                                        after.at("most_calls_in_a_second").get<double>());
    // The shares fall where a play takes longer, what it took does not.
    sample.figures["discovery_cpu_us"] = Gain(before, after, "cpu_us");
    sample.figures["sidecar_cpu_us"] = static_cast<double>(end_cpu - cpu) / static_cast<double>(sidecars);
    sample.figures["discovery_cpu_share"] = Gain(before, after, "cpu_us") / us;
    sample.figures["sidecar_cpu_share"] =
        static_cast<double>(end_cpu - cpu) / us / static_cast<double>(sidecars);
    sample.figures["seconds"] = 1e-6 * us;
    // Near 1, the rig is what limits the play: the processes that hold the sidecars, or the machine.
    sample.figures["fleet_process_cpu_share"] =
        static_cast<double>(end_cpu - cpu) / us / static_cast<double>(options_.fleets);
    sample.figures["machine_cpu_share"] = BusyShare(machine, end_machine);
    double rig_cpu_us = static_cast<double>(end_cpu - cpu) + Gain(before, after, "cpu_us");
    if (relays > 0) {
      AddRelays(relays_before, relays_after, us, relays, sample.figures);
      rig_cpu_us += relays_after.at("cpu_us") - relays_before.at("cpu_us");
    }
    // The part of the machine's share that is the rig's own; the rest is what else runs on it.
    sample.figures["rig_cpu_share"] =
        rig_cpu_us / us / static_cast<double>(std::max(ReadMachine().cores, 1U));
    context.recorder.Add(std::move(sample));
  }

  static std::map<std::string, double> RelaySums(const RelayedRig& relayed) {
    return relayed.tier ? relayed.tier->Sums() : std::map<std::string, double>();
  }

  static void AddRelays(const std::map<std::string, double>& before,
                        const std::map<std::string, double>& after, double us, std::int64_t relays,
                        std::map<std::string, double>& figures) {
    const auto gain = [&](const char* counter) { return after.at(counter) - before.at(counter); };
    figures["relay_calls"] = gain("calls") - static_cast<double>(relays);  // the reading itself is one
    for (const char* const counter : {"refused", "turned_away", "whole_lists", "objects", "bytes_out"})
      figures[std::string("relay_") + counter] = gain(counter);
    figures["relay_cpu_share"] = gain("cpu_us") / us / static_cast<double>(relays);  // of each
  }

  const std::string name_;
  const std::vector<std::int64_t> sidecars_;
  const std::vector<std::int64_t> relays_;  // 0: the sidecars watch discovery itself
  const std::int64_t batch_ms_;
  const std::unique_ptr<Plot> plot_;
  DiscoveryRig::Options options_;
};

}  // namespace

std::unique_ptr<Step> MakePlay(const char* name, PlotFactory plot, Parameters& parameters) {
  return std::make_unique<PlayStep>(name, plot, parameters);
}

std::int64_t ListedOf(Parameters& parameters) { return parameters.Integer("listed", 300, kZones, 50'000); }
std::vector<std::int64_t> RelaysOf(Parameters& parameters) {
  return parameters.Integers("relays", {0, 4}, 0, 64);
}
std::int64_t RegionsOf(Parameters& parameters) { return parameters.Integer("regions", 10, 1, 250); }

}  // namespace merlinrun::scale
