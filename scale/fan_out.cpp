#include "fan_out.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "discovery_test_bed.hpp"
#include "relayed_test_bed.hpp"

namespace merlinrun::scale {
namespace {

using Figures = std::map<std::string, double>;
using Clock = std::chrono::steady_clock;

// Counters of discovery and of the relays, since their start.
struct Snapshot {
  nlohmann::json upstream;
  Figures relays;
};

class FanOut : public Step {
 public:
  explicit FanOut(Parameters& parameters)
      : watches_(parameters.Integers("watches", {100, 300, 1000, 3000, 10'000}, 1, 19'000)),
        relays_(parameters.Integers("relays", {0, 4}, 0, 64)),
        listed_(parameters.Integer("listed", 300, 1, 50'000)),
        fleets_(parameters.Integer("processes", 4, 1, 64)),
        batch_ms_(parameters.Integer("batch_ms", 500, 0, 60'000)),
        changes_(parameters.Integer("changes", 10, 1, 10'000)),
        between_s_(parameters.Number("between_s", 1, 0.001, 60)),
        burst_(parameters.Integer("burst", 200, 1, 50'000)),
        burst_s_(parameters.Number("burst_s", 1.5, 0.001, 60)),
        idle_s_(parameters.Number("idle_s", 6, 0.1, 600)) {}

  ResourceRequirements Requirements() const override {
    return RelayedTestBed::Requirements({listed_, 1, fleets_}, relays_, watches_);
  }

  void Run(Context& context) override {
    for (const std::int64_t watches : watches_)
      for (const std::int64_t relays : relays_)
        for (int repeat = 0; repeat < context.repeats; ++repeat)
          Measurement(*this, context, watches, relays, repeat).Run();
  }

 private:
  // One measurement: a size of the fleet, connected to discovery itself or to relays.
  class Measurement {
   public:
    Measurement(const FanOut& step, Context& context, std::int64_t watches, std::int64_t relays, int repeat)
        : step_(step),
          context_(context),
          watches_(watches),
          relays_(relays),
          repeat_(repeat),
          relayed_(context, {step.listed_, 1, step.fleets_}, relays, step.batch_ms_) {}

    void Run() {
      const double bytes_without_watches = relay_tier_ ? relay_tier_->MemoryBytes() : 0;
      StartSidecars();
      const Snapshot idle_start = TakeSnapshot();
      test_bed_.Wait(step_.idle_s_);
      const Snapshot before = TakeSnapshot();
      MeasureHeartbeats(idle_start, before);
      MeasureSingleChanges(before, bytes_without_watches);
      MeasureBurst();
      MeasureRestart();
    }

   private:
    void StartSidecars() {
      test_bed_.AddSidecars(watches_);
      test_bed_.AwaitEffect(test_bed_.DiscoveryCounts().at("generation").get<std::int64_t>());
      const auto open_watches = [this] {
        return relay_tier_ ? relay_tier_->Sums().at("watches") : UpstreamCount("watches");
      };
      while (open_watches() < static_cast<double>(watches_)) test_bed_.Wait(0.1);
    }

    double UpstreamCount(const char* counter) {
      return test_bed_.DiscoveryCounts().at(counter).get<double>();
    }

    Snapshot TakeSnapshot() {
      return {test_bed_.DiscoveryCounts(), relay_tier_ ? relay_tier_->Sums() : Figures()};
    }

    // Measures the usage of heartbeats, which continue all the time, so that it can be subtracted from the
    // usage of changes.
    void MeasureHeartbeats(const Snapshot& idle_start, const Snapshot& before) {
      const double us = Increase(idle_start.upstream, before.upstream, "at_us");
      for (const char* figure : {"cpu_us", "bytes_out"}) {
        upstream_heartbeat_[figure] = Increase(idle_start.upstream, before.upstream, figure) / us;
        relay_heartbeat_[figure] = RelayIncrease(idle_start, before, figure) / us;
      }
    }

    double RelayIncrease(const Snapshot& before, const Snapshot& after, const char* figure) const {
      return relay_tier_ ? after.relays.at(figure) - before.relays.at(figure) : 0;
    }
    double UpstreamUsage(const Snapshot& before, const Snapshot& after, const char* figure) const {
      return Increase(before.upstream, after.upstream, figure) -
             upstream_heartbeat_.at(figure) * Increase(before.upstream, after.upstream, "at_us");
    }
    double RelayUsage(const Snapshot& before, const Snapshot& after, const char* figure) const {
      return RelayIncrease(before, after, figure) -
             relay_heartbeat_.at(figure) * Increase(before.upstream, after.upstream, "at_us");
    }

    // Drains the servers one after another; after the last, brings them up again in the same order.
    void ChangeNextServer(std::int64_t number) {
      const char* const lifecycle = number / step_.listed_ % 2 == 0 ? "draining" : "up";
      generation_ = test_bed_.ChangeServers({{"first", number % step_.listed_}, {"lifecycle", lifecycle}});
    }

    void MeasureSingleChanges(const Snapshot& before, double bytes_without_watches) {
      const auto generation_before = before.upstream.at("generation").get<std::int64_t>();
      for (std::int64_t i = 0; i < step_.changes_; ++i) {
        ChangeNextServer(i);
        test_bed_.Wait(step_.between_s_);
      }
      test_bed_.AwaitEffect(generation_);
      const Snapshot after = TakeSnapshot();
      const auto changes = static_cast<double>(step_.changes_);
      Figures figures = {{"upstream_watches", UpstreamCount("watches")},
                         {"upstream_bytes_per_change", UpstreamUsage(before, after, "bytes_out") / changes},
                         {"upstream_cpu_us_per_change", UpstreamUsage(before, after, "cpu_us") / changes},
                         {"upstream_beat_cpu_us_per_s", 1e6 * upstream_heartbeat_.at("cpu_us")}};
      if (relay_tier_) {
        const double bytes = relay_tier_->MemoryBytes();
        figures["relay_cpu_us_per_change"] = RelayUsage(before, after, "cpu_us") / changes;
        figures["relay_beat_cpu_us_per_s"] = 1e6 * relay_heartbeat_.at("cpu_us");
        figures["relay_memory_bytes"] = bytes / static_cast<double>(relays_);
        figures["relay_memory_bytes_per_watch"] =
            (bytes - bytes_without_watches) / static_cast<double>(watches_);
      }
      AddDelays("in_force", test_bed_.EffectDelays(test_bed_.ChangesSince(generation_before)), figures);
      Record("fan_out", std::move(figures));
    }

    // Many servers change one by one in a short time, as after the partition of a region has ended.
    void MeasureBurst() {
      const Snapshot before = TakeSnapshot();
      const auto generation_before = before.upstream.at("generation").get<std::int64_t>();
      const auto begin = Clock::now();
      for (std::int64_t i = 0; i < step_.burst_; ++i) {
        ChangeNextServer(step_.changes_ + i);
        test_bed_.Wait(step_.burst_s_ / static_cast<double>(step_.burst_));
      }
      const std::chrono::duration<double, std::milli> sent = Clock::now() - begin;
      test_bed_.AwaitEffect(generation_);
      const std::chrono::duration<double, std::milli> all = Clock::now() - begin;
      const Snapshot after = TakeSnapshot();
      const auto per_watch = static_cast<double>(watches_);
      Figures figures = {
          {"upstream_bytes", UpstreamUsage(before, after, "bytes_out")},
          {"upstream_cpu_us", UpstreamUsage(before, after, "cpu_us")},
          {"bytes_per_watch", (relay_tier_ ? RelayUsage(before, after, "bytes_out")
                                           : UpstreamUsage(before, after, "bytes_out")) /
                                  per_watch},
          {"objects_per_watch", (relay_tier_ ? RelayIncrease(before, after, "objects")
                                             : Increase(before.upstream, after.upstream, "objects")) /
                                    per_watch},
          // Delays are counted from when discovery applies a change. If it is busy, it applies changes late,
          // which only these two times include.
          {"told_within_ms", sent.count()},
          {"all_in_force_within_ms", all.count()}};
      if (relay_tier_) figures["relay_cpu_us"] = RelayUsage(before, after, "cpu_us");
      AddDelays("in_force", test_bed_.EffectDelays(test_bed_.ChangesSince(generation_before)), figures);
      Record("fan_out_burst", std::move(figures));
    }

    // All sidecars are restarted at once, without a list.
    void MeasureRestart() {
      for (std::int64_t region = 0; region < std::max<std::int64_t>(relays_, 1); ++region)
        test_bed_.RemoveSidecars(region);
      const Snapshot before = TakeSnapshot();
      StartSidecars();
      const Snapshot after = TakeSnapshot();
      Figures figures = {{"upstream_calls", Increase(before.upstream, after.upstream, "calls")},
                         {"upstream_whole_lists", Increase(before.upstream, after.upstream, "whole_lists")},
                         {"upstream_bytes", Increase(before.upstream, after.upstream, "bytes_out")},
                         {"upstream_cpu_us", Increase(before.upstream, after.upstream, "cpu_us")}};
      if (relay_tier_) {
        figures["relay_cpu_us"] = RelayIncrease(before, after, "cpu_us");
        figures["relay_whole_lists"] = RelayIncrease(before, after, "whole_lists");
        figures["relay_refused"] = RelayIncrease(before, after, "refused");
      }
      AddDelays("joined", test_bed_.FirstListDelays(), figures);
      Record("fan_out_restart", std::move(figures));
    }

    void Record(const char* measure, Figures figures) {
      context_.recorder.Add(
          {measure,
           {{"watches", static_cast<double>(watches_)}, {"relays", static_cast<double>(relays_)}},
           std::move(figures),
           repeat_});
    }

    const FanOut& step_;
    Context& context_;
    const std::int64_t watches_;
    const std::int64_t relays_;
    const int repeat_;
    RelayedTestBed relayed_;
    DiscoveryTestBed& test_bed_ = relayed_.test_bed;
    const std::optional<RelayTier>& relay_tier_ = relayed_.relay_tier;
    Figures upstream_heartbeat_;  // by figure, per microsecond
    Figures relay_heartbeat_;
    std::int64_t generation_ = 0;
  };

  const std::vector<std::int64_t> watches_;
  const std::vector<std::int64_t> relays_;  // 0: the sidecars watch discovery itself
  const std::int64_t listed_;
  const std::int64_t fleets_;
  const std::int64_t batch_ms_;
  const std::int64_t changes_;
  const double between_s_;
  const std::int64_t burst_;
  const double burst_s_;
  const double idle_s_;
};

}  // namespace

std::unique_ptr<Step> MakeFanOut(Parameters& parameters) { return std::make_unique<FanOut>(parameters); }

}  // namespace merlinrun::scale
