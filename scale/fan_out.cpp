#include "fan_out.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "discovery_rig.hpp"
#include "relayed_rig.hpp"

namespace merlinrun::scale {
namespace {

using Figures = std::map<std::string, double>;
using Clock = std::chrono::steady_clock;

// A reading of what both tiers have done since their start.
struct Reading {
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

  Needs Requires() const override { return RelayedRig::Requires({listed_, 1, fleets_}, relays_, watches_); }

  void Run(Context& context) override {
    for (const std::int64_t watches : watches_)
      for (const std::int64_t relays : relays_)
        for (int repeat = 0; repeat < context.repeats; ++repeat)
          Trial(*this, context, watches, relays, repeat).Play();
  }

 private:
  // One size of the fleet, on discovery itself or on relays.
  class Trial {
   public:
    Trial(const FanOut& step, Context& context, std::int64_t watches, std::int64_t relays, int repeat)
        : step_(step),
          context_(context),
          watches_(watches),
          relays_(relays),
          repeat_(repeat),
          relayed_(context, {step.listed_, 1, step.fleets_}, relays, step.batch_ms_) {}

    void Play() {
      const double empty_bytes = tier_ ? tier_->MemoryBytes() : 0;
      Join();
      const Reading rest = Read();
      rig_.Pass(step_.idle_s_);
      const Reading before = Read();
      SetBeat(rest, before);
      PlaySingles(before, empty_bytes);
      PlayBurst();
      PlayRestart();
    }

   private:
    void Join() {
      rig_.Add(watches_);
      rig_.AwaitForce(rig_.Counts().at("generation").get<std::int64_t>());
      const auto open = [this] { return tier_ ? tier_->Sums().at("watches") : Upstream("watches"); };
      while (open() < static_cast<double>(watches_)) rig_.Pass(0.1);
    }

    double Upstream(const char* counter) { return rig_.Counts().at(counter).get<double>(); }

    Reading Read() { return {rig_.Counts(), tier_ ? tier_->Sums() : Figures()}; }

    // The blank lines go on all the time, and are no part of a change.
    void SetBeat(const Reading& rest, const Reading& before) {
      const double us = Gain(rest.upstream, before.upstream, "at_us");
      for (const char* figure : {"cpu_us", "bytes_out"}) {
        upstream_beat_[figure] = Gain(rest.upstream, before.upstream, figure) / us;
        relay_beat_[figure] = RelayGain(rest, before, figure) / us;
      }
    }

    double RelayGain(const Reading& before, const Reading& after, const char* figure) const {
      return tier_ ? after.relays.at(figure) - before.relays.at(figure) : 0;
    }
    double UpstreamTook(const Reading& before, const Reading& after, const char* figure) const {
      return Gain(before.upstream, after.upstream, figure) -
             upstream_beat_.at(figure) * Gain(before.upstream, after.upstream, "at_us");
    }
    double RelaysTook(const Reading& before, const Reading& after, const char* figure) const {
      return RelayGain(before, after, figure) -
             relay_beat_.at(figure) * Gain(before.upstream, after.upstream, "at_us");
    }

    // Servers drain and come up again, one after the other.
    void Change(std::int64_t number) {
      const char* const lifecycle = number / step_.listed_ % 2 == 0 ? "draining" : "up";
      generation_ = rig_.Change({{"first", number % step_.listed_}, {"lifecycle", lifecycle}});
    }

    void PlaySingles(const Reading& before, double empty_bytes) {
      const auto first = before.upstream.at("generation").get<std::int64_t>();
      for (std::int64_t i = 0; i < step_.changes_; ++i) {
        Change(i);
        rig_.Pass(step_.between_s_);
      }
      rig_.AwaitForce(generation_);
      const Reading after = Read();
      const auto changes = static_cast<double>(step_.changes_);
      Figures figures = {{"upstream_watches", Upstream("watches")},
                         {"upstream_bytes_per_change", UpstreamTook(before, after, "bytes_out") / changes},
                         {"upstream_cpu_us_per_change", UpstreamTook(before, after, "cpu_us") / changes},
                         {"upstream_beat_cpu_us_per_s", 1e6 * upstream_beat_.at("cpu_us")}};
      if (tier_) {
        const double bytes = tier_->MemoryBytes();
        figures["relay_cpu_us_per_change"] = RelaysTook(before, after, "cpu_us") / changes;
        figures["relay_beat_cpu_us_per_s"] = 1e6 * relay_beat_.at("cpu_us");
        figures["relay_memory_bytes"] = bytes / static_cast<double>(relays_);
        figures["relay_memory_bytes_per_watch"] = (bytes - empty_bytes) / static_cast<double>(watches_);
      }
      AddSpread("in_force", rig_.Force(rig_.ChangesSince(first)), figures);
      Record("fan_out", std::move(figures));
    }

    // As after a region has healed: many servers change one by one in a short time.
    void PlayBurst() {
      const Reading before = Read();
      const auto first = before.upstream.at("generation").get<std::int64_t>();
      const auto begin = Clock::now();
      for (std::int64_t i = 0; i < step_.burst_; ++i) {
        Change(step_.changes_ + i);
        rig_.Pass(step_.burst_s_ / static_cast<double>(step_.burst_));
      }
      const std::chrono::duration<double, std::milli> told = Clock::now() - begin;
      rig_.AwaitForce(generation_);
      const std::chrono::duration<double, std::milli> all = Clock::now() - begin;
      const Reading after = Read();
      const auto per_watch = static_cast<double>(watches_);
      Figures figures = {{"upstream_bytes", UpstreamTook(before, after, "bytes_out")},
                         {"upstream_cpu_us", UpstreamTook(before, after, "cpu_us")},
                         {"bytes_per_watch", (tier_ ? RelaysTook(before, after, "bytes_out")
                                                    : UpstreamTook(before, after, "bytes_out")) /
                                                 per_watch},
                         {"objects_per_watch", (tier_ ? RelayGain(before, after, "objects")
                                                      : Gain(before.upstream, after.upstream, "objects")) /
                                                   per_watch},
                         // Changes wait for a discovery that is busy, which their own times do not show.
                         {"told_within_ms", told.count()},
                         {"all_in_force_within_ms", all.count()}};
      if (tier_) figures["relay_cpu_us"] = RelaysTook(before, after, "cpu_us");
      AddSpread("in_force", rig_.Force(rig_.ChangesSince(first)), figures);
      Record("fan_out_burst", std::move(figures));
    }

    // All sidecars are started again at once and know nothing.
    void PlayRestart() {
      for (std::int64_t region = 0; region < std::max<std::int64_t>(relays_, 1); ++region) rig_.End(region);
      const Reading before = Read();
      Join();
      const Reading after = Read();
      Figures figures = {{"upstream_calls", Gain(before.upstream, after.upstream, "calls")},
                         {"upstream_whole_lists", Gain(before.upstream, after.upstream, "whole_lists")},
                         {"upstream_bytes", Gain(before.upstream, after.upstream, "bytes_out")},
                         {"upstream_cpu_us", Gain(before.upstream, after.upstream, "cpu_us")}};
      if (tier_) {
        figures["relay_cpu_us"] = RelayGain(before, after, "cpu_us");
        figures["relay_whole_lists"] = RelayGain(before, after, "whole_lists");
        figures["relay_refused"] = RelayGain(before, after, "refused");
      }
      AddSpread("joined", rig_.Joined(), figures);
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
    RelayedRig relayed_;
    DiscoveryRig& rig_ = relayed_.rig;
    const std::optional<RelayTier>& tier_ = relayed_.tier;
    Figures upstream_beat_;  // by figure, each microsecond
    Figures relay_beat_;
    std::int64_t generation_ = 0;
  };

  const std::vector<std::int64_t> watches_;
  const std::vector<std::int64_t> relays_;  // none: the sidecars watch discovery itself
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
