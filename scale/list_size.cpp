// What a sidecar takes by the number of servers that it is told of: its memory, its start, and its rest.
#include <algorithm>
#include <cstdint>
#include <vector>

#include "discovery_rig.hpp"
#include "discovery_steps.hpp"

namespace merlinrun::scale {
namespace {

class ListSize : public Step {
 public:
  explicit ListSize(Parameters& parameters)
      : listed_(parameters.Integers("listed", {100, 500, 2000, 7000, 14'000}, 1, 50'000)),
        sidecars_(parameters.Integer("sidecars", 20, 1, 1000)),
        idle_s_(parameters.Number("idle_s", 6, 0.1, 600)) {}

  Needs Requires() const override {
    return DiscoveryRig::Requires({*std::max_element(listed_.begin(), listed_.end())}, sidecars_ + 1);
  }

  void Run(Context& context) override {
    ReadEach(context, listed_, [&](std::int64_t listed, int repeat) { Read(context, listed, repeat); });
  }

 private:
  void Read(Context& context, std::int64_t listed, int repeat) const {
    DiscoveryRig rig(context, {listed});
    // The first one pays for what the process takes once, such as the room to read a list in.
    rig.Add(1);
    rig.AwaitWatches();
    const std::int64_t memory = rig.FleetFigure("rss_bytes", /*trim=*/true);
    const std::int64_t cpu = rig.FleetFigure("cpu_us");
    const auto before = rig.Counts();
    rig.Add(sidecars_);
    rig.AwaitWatches();
    const std::int64_t started_cpu = rig.FleetFigure("cpu_us");
    const auto started = rig.Counts();
    const std::int64_t started_memory = rig.FleetFigure("rss_bytes", /*trim=*/true);
    const std::int64_t rest_cpu = rig.FleetFigure("cpu_us");
    const auto rest = rig.Counts();
    rig.Pass(idle_s_);
    const std::int64_t end_cpu = rig.FleetFigure("cpu_us");
    const auto end = rig.Counts();

    const auto each = static_cast<double>(sidecars_);
    const double all_s = static_cast<double>(rig.sidecars()) * 1e-6 * Gain(rest, end, "at_us");
    Sample sample;
    sample.measure = "list_size";
    sample.repeat = repeat;
    sample.conditions = {{"listed", static_cast<double>(listed)}};
    sample.figures = {
        {"memory_bytes_per_sidecar", static_cast<double>(started_memory - memory) / each},
        {"start_cpu_us", static_cast<double>(started_cpu - cpu) / each},
        {"start_bytes_in", Gain(before, started, "bytes_out") / each},
        {"start_bytes_out", Gain(before, started, "bytes_in") / each},
        {"idle_cpu_us_per_s", static_cast<double>(end_cpu - rest_cpu) / all_s},
        {"beat_bytes_in_per_s", Gain(rest, end, "bytes_out") / all_s},
    };
    context.recorder.Add(std::move(sample));
  }

  const std::vector<std::int64_t> listed_;
  const std::int64_t sidecars_;
  const double idle_s_;
};

}  // namespace

std::unique_ptr<Step> MakeListSize(Parameters& parameters) { return std::make_unique<ListSize>(parameters); }

}  // namespace merlinrun::scale
