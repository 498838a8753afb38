// Step "change_size": the cost of a change for a sidecar by the number of servers that it knows.
#include <algorithm>
#include <cstdint>
#include <vector>

#include "discovery_steps.hpp"
#include "discovery_test_bed.hpp"

namespace merlinrun::scale {
namespace {

constexpr double kHeartbeatBytes = 6;  // an empty line with the framing of its chunk
constexpr double kPause_s = 0.01;      // between changes, so that each is read separately

class ChangeSize : public Step {
 public:
  explicit ChangeSize(Parameters& parameters)
      : listed_(parameters.Integers("listed", {100, 500, 2000, 7000, 14'000}, 1, 50'000)),
        sidecars_(parameters.Integer("sidecars", 20, 1, 1000)),
        changes_(parameters.Integer("changes", 50, 1, 10'000)),
        bulk_(parameters.Integer("bulk", 1000, 1, 50'000)) {}

  ResourceRequirements Requirements() const override {
    return DiscoveryTestBed::Requirements({*std::max_element(listed_.begin(), listed_.end())}, sidecars_);
  }

  void Run(Context& context) override {
    MeasureEach(context, listed_, [&](std::int64_t listed, int repeat) { Measure(context, listed, repeat); });
  }

 private:
  void Measure(Context& context, std::int64_t listed, int repeat) const {
    DiscoveryTestBed test_bed(context, {listed});
    test_bed.AddSidecars(sidecars_);
    test_bed.AwaitWatches();
    const auto before = test_bed.DiscoveryCounts();
    const std::int64_t cpu = test_bed.SumOverFleets("cpu_us");
    std::int64_t generation = 0;
    for (std::int64_t i = 0; i < changes_; ++i) {
      const char* const lifecycle = i / listed % 2 == 0 ? "draining" : "up";
      generation = test_bed.ChangeServers({{"first", i % listed}, {"lifecycle", lifecycle}});
      test_bed.Wait(kPause_s);
    }
    test_bed.AwaitEffect(generation);
    const std::int64_t changed_cpu = test_bed.SumOverFleets("cpu_us");
    const auto after = test_bed.DiscoveryCounts();
    const std::int64_t entries = std::min(bulk_, listed);
    const std::int64_t bulk_cpu = test_bed.SumOverFleets("cpu_us");
    test_bed.AwaitEffect(
        test_bed.ChangeServers({{"first", 0}, {"count", entries}, {"lifecycle", "draining"}}));
    const std::int64_t end_cpu = test_bed.SumOverFleets("cpu_us");

    const auto changes_received = static_cast<double>(sidecars_ * changes_);
    const double bytes =
        Increase(before, after, "bytes_out") - kHeartbeatBytes * Increase(before, after, "blank_lines");
    Sample sample;
    sample.measure = "change_size";
    sample.repeat = repeat;
    sample.conditions = {{"listed", static_cast<double>(listed)}};
    sample.figures = {
        {"cpu_us_per_change", static_cast<double>(changed_cpu - cpu) / changes_received},
        {"bytes_in_per_change", bytes / changes_received},
        {"cpu_us_per_entry_in_bulk",
         static_cast<double>(end_cpu - bulk_cpu) / static_cast<double>(sidecars_ * entries)},
    };
    context.recorder.Add(std::move(sample));
  }

  const std::vector<std::int64_t> listed_;
  const std::int64_t sidecars_;
  const std::int64_t changes_;
  const std::int64_t bulk_;
};

}  // namespace

std::unique_ptr<Step> MakeChangeSize(Parameters& parameters) {
  return std::make_unique<ChangeSize>(parameters);
}

}  // namespace merlinrun::scale
