#include "call_plan.hpp"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

namespace merlinrun::scale {

CallPlan CallPlan::Read(Parameters& parameters) {
  CallPlan plan;
  plan.server.service_time = std::chrono::microseconds(parameters.Integer("service_us", 1000, 0, 1'000'000));
  plan.server.exponential = parameters.Flag("exponential", false);
  plan.server_processes = static_cast<int>(parameters.Integer("server_processes", 4, 1, 16));
  plan.paired = PairedPlan::Read(parameters);
  return plan;
}

std::size_t CallPlan::MaxOpenCalls(double calls_per_s, std::size_t depth) const {
  const double service_s = std::max<double>(static_cast<double>(server.service_time.count()), 1000) / 1e6;
  return 1 + static_cast<std::size_t>(calls_per_s * 5 * service_s * static_cast<double>(depth));
}

ServerSettings CallPlan::ServerWithSeed(std::uint64_t seed) const {
  ServerSettings settings = server;
  settings.seed = seed;
  return settings;
}

void RecordPairedSample(Context& context, Sample sample, const PairedResult& result, RemoteServers& servers) {
  if (context.should_stop()) return;
  sample.figures.merge(result.Figures());
  sample.figures.merge(servers.LatenessFigures());
  context.recorder.Add(std::move(sample));
}

void ForEachMeasurement(
    Context& context, const std::vector<std::int64_t>& sizes,
    const std::function<void(std::int64_t size, int repeat, std::uint64_t seed)>& measure) {
  std::mt19937_64 random(context.seed);
  for (int repeat = 0; repeat < context.repeats; ++repeat) {
    for (const std::int64_t size : sizes) {
      if (context.should_stop()) return;
      measure(size, repeat, random());
    }
  }
}

}  // namespace merlinrun::scale
