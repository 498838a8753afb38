// Step "watches": the cost of watches for discovery by their number, and how soon changes take effect at all
// sidecars.
#include <algorithm>
#include <cstdint>
#include <vector>

#include "discovery_steps.hpp"
#include "discovery_test_bed.hpp"

namespace merlinrun::scale {
namespace {

class Watches : public Step {
 public:
  explicit Watches(Parameters& parameters)
      : watches_(parameters.Integers("watches", {100, 500, 2000, 5000, 10'000}, 1, 19'000)),
        listed_(parameters.Integer("listed", 30, 1, 50'000)),
        regions_(parameters.Integer("regions", 10, 1, 250)),
        fleets_(parameters.Integer("processes", 4, 1, 64)),
        changes_(parameters.Integer("changes", 20, 1, 10'000)),
        between_s_(parameters.Number("between_s", 0.25, 0.001, 60)),
        idle_s_(parameters.Number("idle_s", 6, 0.1, 600)) {}

  ResourceRequirements Requirements() const override {
    return DiscoveryTestBed::Requirements({listed_, regions_, fleets_},
                                          *std::max_element(watches_.begin(), watches_.end()));
  }

  void Run(Context& context) override {
    MeasureEach(context, watches_,
                [&](std::int64_t watches, int repeat) { Measure(context, watches, repeat); });
  }

 private:
  void Measure(Context& context, std::int64_t watches, int repeat) const {
    DiscoveryTestBed test_bed(context, {listed_, regions_, fleets_});
    const auto without_watches = test_bed.DiscoveryCounts(/*trim=*/true);
    test_bed.AddSidecars(watches);
    const auto generation_before = without_watches.at("generation").get<std::int64_t>();
    test_bed.AwaitWatches();
    const auto with_watches = test_bed.DiscoveryCounts(/*trim=*/true);
    const auto idle_start = test_bed.DiscoveryCounts();
    test_bed.Wait(idle_s_);
    const auto before = test_bed.DiscoveryCounts();
    const double heartbeat_cpu_us_per_s =
        Increase(idle_start, before, "cpu_us") / (1e-6 * Increase(idle_start, before, "at_us"));
    std::int64_t generation = 0;
    for (std::int64_t i = 0; i < changes_; ++i) {
      const char* const lifecycle = i / listed_ % 2 == 0 ? "draining" : "up";
      generation = test_bed.ChangeServers({{"first", i % listed_}, {"lifecycle", lifecycle}});
      test_bed.Wait(between_s_);
    }
    test_bed.AwaitEffect(generation);
    const auto after = test_bed.DiscoveryCounts();

    // Heartbeats continue during the changes; their CPU time is subtracted.
    const double heartbeat_us = heartbeat_cpu_us_per_s * 1e-6 * Increase(before, after, "at_us");
    Sample sample;
    sample.measure = "watches";
    sample.repeat = repeat;
    sample.conditions = {{"watches", static_cast<double>(watches)}};
    sample.figures = {
        {"memory_bytes_per_watch",
         Increase(without_watches, with_watches, "rss_bytes") / static_cast<double>(watches)},
        {"beat_cpu_us_per_s", heartbeat_cpu_us_per_s},
        {"discovery_cpu_us_per_change",
         (Increase(before, after, "cpu_us") - heartbeat_us) / static_cast<double>(changes_)},
        {"bytes_out_per_change", Increase(before, after, "bytes_out") / static_cast<double>(changes_)},
    };
    AddDelays("in_force", test_bed.EffectDelays(test_bed.ChangesSince(generation_before)), sample.figures);
    context.recorder.Add(std::move(sample));
  }

  const std::vector<std::int64_t> watches_;
  const std::int64_t listed_;
  const std::int64_t regions_;
  const std::int64_t fleets_;
  const std::int64_t changes_;
  const double between_s_;
  const double idle_s_;
};

}  // namespace

std::unique_ptr<Step> MakeWatches(Parameters& parameters) { return std::make_unique<Watches>(parameters); }

}  // namespace merlinrun::scale
