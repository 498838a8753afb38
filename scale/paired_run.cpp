#include "paired_run.hpp"

#include <algorithm>
#include <cmath>
#include <memory>
#include <stdexcept>

#include "loop.hpp"

namespace merlinrun::scale {
namespace {

constexpr auto kStartupTime = std::chrono::milliseconds(500);
// Limit from the scheduled time of the last call of a turn to its end. A machine that stalls for longer
// cannot give a valid measurement.
constexpr auto kMaxCallDuration = std::chrono::seconds(30);

struct Quantile {
  const char* name;
  double share;
};
constexpr Quantile kQuantiles[] = {{"p50", 0.5}, {"p99", 0.99}, {"p999", 0.999}};

class Callers {
 public:
  Callers(net::asio::io_context& io, const std::vector<CallPaths::Targets>& targets, CallerSettings settings)
      : io_(io) {
    for (const CallPaths::Targets& caller_targets : targets) {
      callers_.push_back(std::make_unique<Caller>(io, caller_targets, settings));
      ++settings.seed;
    }
  }

  // Runs one turn, up to the end of its last call.
  void RunTurn(std::chrono::duration<double> length) {
    const auto time = std::chrono::duration_cast<std::chrono::nanoseconds>(length);
    for (const auto& caller : callers_) caller->Start(time);
    const auto done = [&] {
      return std::all_of(callers_.begin(), callers_.end(), [](const auto& caller) { return caller->done(); });
    };
    if (!RunUntil(io_, done, time + kMaxCallDuration)) throw std::runtime_error("calls did not end in time");
  }
  CallResults TakeResults() {
    CallResults all;
    for (const auto& caller : callers_) all += caller->TakeResults();
    return all;
  }

 private:
  net::asio::io_context& io_;
  std::vector<std::unique_ptr<Caller>> callers_;
};

// Returns the CPU time in microseconds per second while idle, measured after the start is over.
double MeasureIdleCpu(net::asio::io_context& io, std::chrono::duration<double> length,
                      const std::function<std::int64_t()>& cpu_us) {
  RunFor(io, kStartupTime);
  const Clock::time_point start = Clock::now();
  const std::int64_t before = cpu_us();
  RunFor(io, std::chrono::duration_cast<std::chrono::nanoseconds>(length));
  return static_cast<double>(cpu_us() - before) / std::chrono::duration<double>(Clock::now() - start).count();
}

}  // namespace

void CheckServed(const std::string& path, const CallCounts& counts, double max_unserved_share) {
  const auto unserved = static_cast<double>(counts.sent - counts.served);
  if (counts.sent > 0 && unserved <= max_unserved_share * static_cast<double>(counts.sent)) return;
  throw std::runtime_error(path + ": of " + std::to_string(counts.sent) + " calls " +
                           std::to_string(counts.refused) + " were refused, " +
                           std::to_string(counts.failed) + " failed and " +
                           std::to_string(counts.unanswered) + " were not answered");
}

PairedPlan PairedPlan::Read(Parameters& parameters) {
  PairedPlan plan;
  plan.slice = std::chrono::duration<double>(parameters.Number("slice_s", 2, 0.1, 60));
  plan.idle = std::chrono::duration<double>(parameters.Number("idle_s", 6, 0.1, 600));
  plan.calls = parameters.Integer("calls_per_reading", 2000, 20, 1'000'000);
  return plan;
}

int PairedPlan::Turns(double calls_per_s) const {
  return std::max(2, static_cast<int>(std::ceil(static_cast<double>(calls) / (calls_per_s * slice.count()))));
}

std::map<std::string, double> PairedResult::Figures() const {
  std::map<std::string, double> figures;
  figures["cpu_us_per_call"] = (static_cast<double>(cpu_us) - idle_cpu_us_per_s * time.count()) /
                               static_cast<double>(through.counts.sent);
  figures["added_mean_ms"] = through.latency.MeanMs() - direct.latency.MeanMs();
  const double calls = static_cast<double>(std::min(direct.latency.count(), through.latency.count()));
  for (const auto& [name, share] : kQuantiles) {
    if (calls * (1 - share) < 10) continue;
    const double direct_ms = direct.latency.QuantileMs(share);
    const double through_ms = through.latency.QuantileMs(share);
    const std::string unit = std::string(name) + "_ms";
    figures["added_" + unit] = through_ms - direct_ms;
    figures["direct_" + unit] = direct_ms;
    figures["through_" + unit] = through_ms;
    figures[std::string("ratio_") + name] = through_ms / direct_ms;
    figures["caller_late_" + unit] =
        std::max(direct.lateness.QuantileMs(share), through.lateness.QuantileMs(share));
  }
  figures["calls"] = static_cast<double>(through.counts.sent);
  figures["unserved_calls"] = static_cast<double>(through.counts.sent - through.counts.served);
  return figures;
}

PairedResult RunPaired(net::asio::io_context& io, const CallPaths& paths, const CallerSettings& settings,
                       const PairedPlan& plan, const std::function<std::int64_t()>& cpu_us,
                       const std::function<bool()>& should_stop) {
  PairedResult result;
  result.idle_cpu_us_per_s = MeasureIdleCpu(io, plan.idle, cpu_us);
  Callers direct_callers(io, paths.direct, settings);
  Callers through_callers(io, paths.through, settings);
  const double calls_per_s = settings.calls_per_s * static_cast<double>(paths.through.size());
  // A first turn of each path is discarded: it opens connections, and sidecars learn about the servers.
  for (Callers* const callers : {&direct_callers, &through_callers}) {
    callers->RunTurn(std::max(plan.slice, std::chrono::duration<double>(10 / settings.calls_per_s)));
    callers->TakeResults();
  }
  const Clock::time_point start = Clock::now();
  const std::int64_t before = cpu_us();
  for (int turn = 0; turn < plan.Turns(calls_per_s) && !should_stop(); ++turn) {
    direct_callers.RunTurn(plan.slice);
    through_callers.RunTurn(plan.slice);
  }
  result.cpu_us = cpu_us() - before;
  result.time = Clock::now() - start;
  result.direct = direct_callers.TakeResults();
  result.through = through_callers.TakeResults();
  if (should_stop()) return result;
  CheckServed("directly", result.direct.counts);
  CheckServed("through sidecars", result.through.counts);
  return result;
}

}  // namespace merlinrun::scale
