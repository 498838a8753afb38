// Step "list_size": the cost of a sidecar by the number of listed servers: its memory, its start, and when
// idle.
#include <algorithm>
#include <cstdint>
#include <vector>

#include "discovery_steps.hpp"
#include "discovery_test_bed.hpp"

namespace merlinrun::scale {
namespace {

class ListSize : public Step {
 public:
  explicit ListSize(Parameters& parameters)
      : listed_(parameters.Integers("listed", {100, 500, 2000, 7000, 14'000}, 1, 50'000)),
        sidecars_(parameters.Integer("sidecars", 20, 1, 1000)),
        idle_s_(parameters.Number("idle_s", 6, 0.1, 600)) {}

  ResourceRequirements Requirements() const override {
    return DiscoveryTestBed::Requirements({*std::max_element(listed_.begin(), listed_.end())}, sidecars_ + 1);
  }

  void Run(Context& context) override {
    MeasureEach(context, listed_, [&](std::int64_t listed, int repeat) { Measure(context, listed, repeat); });
  }

 private:
  void Measure(Context& context, std::int64_t listed, int repeat) const {
    DiscoveryTestBed test_bed(context, {listed});
    // A first sidecar is started before the baseline, so that one-time costs of the process, such as the
    // buffers for reading a list, are not counted.
    test_bed.AddSidecars(1);
    test_bed.AwaitWatches();
    const std::int64_t memory = test_bed.SumOverFleets("rss_bytes", /*trim=*/true);
    const std::int64_t cpu = test_bed.SumOverFleets("cpu_us");
    const auto before = test_bed.DiscoveryCounts();
    test_bed.AddSidecars(sidecars_);
    test_bed.AwaitWatches();
    const std::int64_t started_cpu = test_bed.SumOverFleets("cpu_us");
    const auto started = test_bed.DiscoveryCounts();
    const std::int64_t started_memory = test_bed.SumOverFleets("rss_bytes", /*trim=*/true);
    const std::int64_t idle_start_cpu = test_bed.SumOverFleets("cpu_us");
    const auto idle_start = test_bed.DiscoveryCounts();
    test_bed.Wait(idle_s_);
    const std::int64_t end_cpu = test_bed.SumOverFleets("cpu_us");
    const auto end = test_bed.DiscoveryCounts();

    const auto sidecar_count = static_cast<double>(sidecars_);
    const double sidecar_seconds =
        static_cast<double>(test_bed.sidecars()) * 1e-6 * Increase(idle_start, end, "at_us");
    Sample sample;
    sample.measure = "list_size";
    sample.repeat = repeat;
    sample.conditions = {{"listed", static_cast<double>(listed)}};
    sample.figures = {
        {"memory_bytes_per_sidecar", static_cast<double>(started_memory - memory) / sidecar_count},
        {"start_cpu_us", static_cast<double>(started_cpu - cpu) / sidecar_count},
        {"start_bytes_in", Increase(before, started, "bytes_out") / sidecar_count},
        {"start_bytes_out", Increase(before, started, "bytes_in") / sidecar_count},
        {"idle_cpu_us_per_s", static_cast<double>(end_cpu - idle_start_cpu) / sidecar_seconds},
        {"beat_bytes_in_per_s", Increase(idle_start, end, "bytes_out") / sidecar_seconds},
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
