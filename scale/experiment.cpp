#include "experiment.hpp"

#include <algorithm>
#include <utility>

#include "machine.hpp"
#include "relayed_test_bed.hpp"
#include "server_list.hpp"

namespace merlinrun::scale {
namespace {

class ExperimentStep : public Step {
 public:
  ExperimentStep(const char* name, ExperimentFactory experiment, Parameters& parameters)
      : name_(name),
        sidecars_(parameters.Integers("sidecars", {100, 400, 2000, 8000}, 1, 19'000)),
        relays_(ReadRelays(parameters)),
        batch_ms_(parameters.Integer("batch_ms", 500, 0, 60'000)),
        experiment_(experiment(parameters)) {
    options_.listed = ReadListed(parameters);
    options_.regions = ReadRegions(parameters);
    options_.fleets = parameters.Integer("processes", 4, 1, 64);
    options_.service_time_us = parameters.Integer("service_time_us", 100, 0, 1'000'000);
    options_.queue = parameters.Integer("queue", 100'000, 1, 1'000'000);
    options_.must_subscribe = parameters.Flag("must_subscribe", false);
  }

  ResourceRequirements Requirements() const override {
    return RelayedTestBed::Requirements(options_, relays_, sidecars_);
  }

  void Run(Context& context) override {
    MeasureEach(context, sidecars_, [&](std::int64_t sidecars, int repeat) {
      for (const std::int64_t relays : relays_) Measure(context, sidecars, relays, repeat);
    });
  }

 private:
  void Measure(Context& context, std::int64_t sidecars, std::int64_t relays, int repeat) {
    RelayedTestBed relayed(context, options_, relays, batch_ms_);
    DiscoveryTestBed& test_bed = relayed.test_bed;
    const auto generation_before = test_bed.DiscoveryCounts().at("generation").get<std::int64_t>();
    test_bed.AddSidecars(sidecars);
    test_bed.AwaitWatches();
    const std::int64_t cpu = test_bed.SumOverFleets("cpu_us");
    const auto relays_before = RelaySums(relayed);
    const auto before = test_bed.DiscoveryCounts();
    const CpuTimes machine = ReadCpuTimes();

    Sample sample;
    sample.measure = name_;
    sample.repeat = repeat;
    sample.conditions = {{"sidecars", static_cast<double>(sidecars)},
                         {"relays", static_cast<double>(relays)}};
    experiment_->Run(test_bed, sample.figures);
    const auto at_end = test_bed.DiscoveryCounts();
    test_bed.AwaitEffect(at_end.at("generation").get<std::int64_t>());
    test_bed.AwaitWatches();  // sidecars that reconnected make a second call, for the watch
    const std::int64_t end_cpu = test_bed.SumOverFleets("cpu_us");
    const auto after = test_bed.DiscoveryCounts();
    const auto relays_after = RelaySums(relayed);
    const CpuTimes end_machine = ReadCpuTimes();
    experiment_->Evaluate(test_bed, sample.figures);

    const auto changes = test_bed.ChangesSince(generation_before);
    const double us = Increase(before, after, "at_us");
    const DelaySummary delays = test_bed.EffectDelays(changes);
    AddDelays("in_force", delays, sample.figures);
    sample.figures["changes"] = static_cast<double>(changes.size());
    sample.figures["in_force_count"] = static_cast<double>(delays.count);
    sample.figures["calls"] = Increase(before, after, "calls");
    sample.figures["refused"] = Increase(before, after, "refused");
    sample.figures["bytes_out"] = Increase(before, after, "bytes_out");
    sample.figures["most_calls_in_a_second"] = std::max(at_end.at("most_calls_in_a_second").get<double>(),
                                                        after.at("most_calls_in_a_second").get<double>());
    // CPU times are recorded besides the shares, as the shares fall when an experiment takes longer.
    sample.figures["discovery_cpu_us"] = Increase(before, after, "cpu_us");
    sample.figures["sidecar_cpu_us"] = static_cast<double>(end_cpu - cpu) / static_cast<double>(sidecars);
    sample.figures["discovery_cpu_share"] = Increase(before, after, "cpu_us") / us;
    sample.figures["sidecar_cpu_share"] =
        static_cast<double>(end_cpu - cpu) / us / static_cast<double>(sidecars);
    sample.figures["seconds"] = 1e-6 * us;
    // Near 1, the test bed limits the result: the fleet processes, or the machine.
    sample.figures["fleet_process_cpu_share"] =
        static_cast<double>(end_cpu - cpu) / us / static_cast<double>(options_.fleets);
    sample.figures["machine_cpu_share"] = BusyShare(machine, end_machine);
    double test_bed_cpu_us = static_cast<double>(end_cpu - cpu) + Increase(before, after, "cpu_us");
    if (relays > 0) {
      AddRelayFigures(relays_before, relays_after, us, relays, sample.figures);
      test_bed_cpu_us += relays_after.at("cpu_us") - relays_before.at("cpu_us");
    }
    // The test bed's own part of the machine's share; the rest is used by other programs.
    sample.figures["rig_cpu_share"] =
        test_bed_cpu_us / us / static_cast<double>(std::max(ReadMachine().cores, 1U));
    context.recorder.Add(std::move(sample));
  }

  static std::map<std::string, double> RelaySums(const RelayedTestBed& relayed) {
    return relayed.relay_tier ? relayed.relay_tier->Sums() : std::map<std::string, double>();
  }

  static void AddRelayFigures(const std::map<std::string, double>& before,
                              const std::map<std::string, double>& after, double us, std::int64_t relays,
                              std::map<std::string, double>& figures) {
    const auto increase = [&](const char* counter) { return after.at(counter) - before.at(counter); };
    // Without the status request that this measurement makes to each relay.
    figures["relay_calls"] = increase("calls") - static_cast<double>(relays);
    for (const char* const counter : {"refused", "turned_away", "whole_lists", "objects", "bytes_out"})
      figures[std::string("relay_") + counter] = increase(counter);
    figures["relay_cpu_share"] = increase("cpu_us") / us / static_cast<double>(relays);  // per relay
  }

  const std::string name_;
  const std::vector<std::int64_t> sidecars_;
  const std::vector<std::int64_t> relays_;  // 0: the sidecars watch discovery itself
  const std::int64_t batch_ms_;
  const std::unique_ptr<Experiment> experiment_;
  DiscoveryTestBed::Options options_;
};

}  // namespace

std::unique_ptr<Step> MakeExperimentStep(const char* name, ExperimentFactory experiment,
                                         Parameters& parameters) {
  return std::make_unique<ExperimentStep>(name, experiment, parameters);
}

std::int64_t ReadListed(Parameters& parameters) { return parameters.Integer("listed", 300, kZones, 50'000); }
std::vector<std::int64_t> ReadRelays(Parameters& parameters) {
  return parameters.Integers("relays", {0, 4}, 0, 64);
}
std::int64_t ReadRegions(Parameters& parameters) { return parameters.Integer("regions", 10, 1, 250); }

}  // namespace merlinrun::scale
