#include "sidecars.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <vector>

#include "call_plan.hpp"
#include "real_sidecars.hpp"
#include "service.hpp"

namespace merlinrun::scale {
namespace {

class Sidecars : public Step {
 public:
  explicit Sidecars(Parameters& parameters)
      : counts_(parameters.Integers("sidecars", {2, 8, 32, 128, 200}, 1, 250)),
        servers_(static_cast<int>(parameters.Integer("servers", 20, 1, 200))),
        rate_(parameters.Number("calls_per_s", 10, 0.1, 1000)),
        plan_(CallPlan::Read(parameters)) {}

  ResourceRequirements Requirements() const override {
    const auto max_count = static_cast<std::size_t>(*std::max_element(counts_.begin(), counts_.end()));
    const auto servers = static_cast<std::size_t>(servers_);
    const auto processes = static_cast<std::size_t>(plan_.server_processes);
    ResourceRequirements requirements;
    // For each sidecar, this process has the descriptors of RealSidecar, the watch and the connections of two
    // callers. The server processes have the other ends of the direct calls and of the sidecars' calls.
    requirements.descriptors = 128 + servers + max_count * (8 + 2 * servers + 4 * plan_.MaxOpenCalls(rate_));
    requirements.ports = servers + 1 + max_count + processes;
    requirements.processes = max_count + processes;
    // The lists are short, so a sidecar needs little memory.
    requirements.memory_mb = 128 + 16 * static_cast<double>(requirements.processes);
    return requirements;
  }

  void Run(Context& context) override {
    ForEachMeasurement(context, counts_, [&](std::int64_t count, int repeat, std::uint64_t seed) {
      Measure(context, count, repeat, seed);
    });
  }

 private:
  void Measure(Context& context, std::int64_t count, int repeat, std::uint64_t seed) const {
    net::asio::io_context io(1);
    RemoteServers servers(plan_.server_processes, context.scratch);
    const Service service(io, servers.Open(ReplicateSettings(plan_.ServerWithSeed(seed), servers_)));
    RealSidecars sidecars(io, context, seed);
    CallPaths paths;
    for (const net::Tcp::endpoint& address : sidecars.Add(count, service.discovery_address())) {
      paths.direct.push_back(service.addresses());
      paths.through.push_back({address});
    }
    if (context.should_stop()) return;
    const auto sidecar_count = static_cast<double>(count);
    const FakeDiscovery::Counts start = service.discovery_counts();
    Sample sample{"sidecars", {{"sidecars", sidecar_count}}, {}, repeat};
    sample.figures["discovery_watches"] = static_cast<double>(start.watches);
    sample.figures["discovery_calls_per_start"] = static_cast<double>(start.calls) / sidecar_count;
    sample.figures["discovery_bytes_out_per_start"] = static_cast<double>(start.bytes_out) / sidecar_count;
    CallerSettings caller;
    caller.calls_per_s = rate_;
    caller.seed = seed;
    const PairedResult result = RunPaired(
        io, paths, caller, plan_.paired, [&] { return sidecars.cpu_us(); }, context.should_stop);
    // Each sidecar gets calls during half of this time: direct calls take the other half.
    sample.figures["cpu_us_per_s_per_sidecar"] =
        static_cast<double>(result.cpu_us) / result.time.count() / sidecar_count;
    sample.figures["idle_cpu_us_per_s_per_sidecar"] = result.idle_cpu_us_per_s / sidecar_count;
    sample.figures["memory_bytes_per_sidecar"] = static_cast<double>(sidecars.rss_bytes()) / sidecar_count;
    RecordPairedSample(context, std::move(sample), result, servers);
  }

  const std::vector<std::int64_t> counts_;
  const int servers_;
  const double rate_;  // calls per second of each caller
  const CallPlan plan_;
};

}  // namespace

std::unique_ptr<Step> MakeSidecars(Parameters& parameters) { return std::make_unique<Sidecars>(parameters); }

}  // namespace merlinrun::scale
