// What watches take at discovery by their number, and how soon changes are in force at all of them.
#include <algorithm>
#include <cstdint>
#include <vector>

#include "discovery_rig.hpp"
#include "discovery_steps.hpp"

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

  Needs Requires() const override {
    return DiscoveryRig::Requires({listed_, regions_, fleets_},
                                  *std::max_element(watches_.begin(), watches_.end()));
  }

  void Run(Context& context) override {
    ReadEach(context, watches_, [&](std::int64_t watches, int repeat) { Read(context, watches, repeat); });
  }

 private:
  void Read(Context& context, std::int64_t watches, int repeat) const {
    DiscoveryRig rig(context, {listed_, regions_, fleets_});
    const auto empty = rig.Counts(/*trim=*/true);
    rig.Add(watches);
    const auto first = empty.at("generation").get<std::int64_t>();
    rig.AwaitWatches();
    const auto open = rig.Counts(/*trim=*/true);
    const auto rest = rig.Counts();
    rig.Pass(idle_s_);
    const auto before = rig.Counts();
    const double beat_cpu_us_per_s = Gain(rest, before, "cpu_us") / (1e-6 * Gain(rest, before, "at_us"));
    std::int64_t generation = 0;
    for (std::int64_t i = 0; i < changes_; ++i) {
      const char* const lifecycle = i / listed_ % 2 == 0 ? "draining" : "up";
      generation = rig.Change({{"first", i % listed_}, {"lifecycle", lifecycle}});
      rig.Pass(between_s_);
    }
    rig.AwaitForce(generation);
    const auto after = rig.Counts();

    // The blank lines go on meanwhile, and are no part of a change.
    const double beat_us = beat_cpu_us_per_s * 1e-6 * Gain(before, after, "at_us");
    Sample sample;
    sample.measure = "watches";
    sample.repeat = repeat;
    sample.conditions = {{"watches", static_cast<double>(watches)}};
    sample.figures = {
        {"memory_bytes_per_watch", Gain(empty, open, "rss_bytes") / static_cast<double>(watches)},
        {"beat_cpu_us_per_s", beat_cpu_us_per_s},
        {"discovery_cpu_us_per_change",
         (Gain(before, after, "cpu_us") - beat_us) / static_cast<double>(changes_)},
        {"bytes_out_per_change", Gain(before, after, "bytes_out") / static_cast<double>(changes_)},
    };
    AddSpread("in_force", rig.Force(rig.ChangesSince(first)), sample.figures);
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
