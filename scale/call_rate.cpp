#include "call_rate.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <vector>

#include "call_plan.hpp"
#include "real_sidecars.hpp"
#include "service.hpp"

namespace merlinrun::scale {
namespace {

class CallRate : public Step {
 public:
  explicit CallRate(Parameters& parameters)
      : rates_(parameters.Integers("calls_per_s", {10, 35, 100, 350, 1000}, 1, 5000)),
        servers_(static_cast<int>(parameters.Integer("servers", 20, 1, 200))),
        sidecars_(parameters.Integer("sidecars", 1, 1, 20)),
        plan_(CallPlan::Read(parameters)) {}

  ResourceRequirements Requirements() const override {
    const auto rate = static_cast<double>(*std::max_element(rates_.begin(), rates_.end()));
    const auto servers = static_cast<std::size_t>(servers_);
    const auto sidecars = static_cast<std::size_t>(sidecars_);
    const auto processes = static_cast<std::size_t>(plan_.server_processes);
    ResourceRequirements requirements;
    // An open call, direct or through a sidecar, takes one descriptor in this process and one in a server
    // process. A call through a sidecar takes two more there. A sidecar also keeps some for each server.
    requirements.descriptors = 128 + sidecars * (8 * servers + 6 * plan_.MaxOpenCalls(rate));
    requirements.ports = servers + 1 + sidecars + processes;
    requirements.processes = sidecars + processes;
    // This process, the memory limit of each sidecar, and the server processes.
    requirements.memory_mb = 64 + 192 * static_cast<double>(sidecars) + 16 * static_cast<double>(processes);
    return requirements;
  }

  void Run(Context& context) override {
    ForEachMeasurement(context, rates_, [&](std::int64_t rate, int repeat, std::uint64_t seed) {
      Measure(context, static_cast<double>(rate), repeat, seed);
    });
  }

 private:
  void Measure(Context& context, double rate, int repeat, std::uint64_t seed) const {
    net::asio::io_context io(1);
    RemoteServers servers(plan_.server_processes, context.scratch);
    const Service service(io, servers.Open(ReplicateSettings(plan_.ServerWithSeed(seed), servers_)));
    RealSidecars sidecars(io, context, seed);
    CallPaths paths;
    for (const net::Tcp::endpoint& address : sidecars.Add(sidecars_, service.discovery_address())) {
      paths.direct.push_back(service.addresses());
      paths.through.push_back({address});
    }
    CallerSettings caller;
    caller.calls_per_s = rate;
    caller.seed = seed;
    const PairedResult result = RunPaired(
        io, paths, caller, plan_.paired, [&] { return sidecars.cpu_us(); }, context.should_stop);
    const auto sidecar_count = static_cast<double>(sidecars_);
    Sample sample{"call_rate", {{"calls_per_s", rate}}, {}, repeat};
    sample.figures["idle_cpu_us_per_s"] = result.idle_cpu_us_per_s / sidecar_count;
    sample.figures["memory_mb"] = static_cast<double>(sidecars.rss_bytes()) / sidecar_count / (1 << 20);
    RecordPairedSample(context, std::move(sample), result, servers);
  }

  const std::vector<std::int64_t> rates_;  // calls per second of each caller
  const int servers_;
  // Sidecars run in parallel, each with its own caller, so that enough calls are made in a short time.
  const std::int64_t sidecars_;
  const CallPlan plan_;
};

}  // namespace

std::unique_ptr<Step> MakeCallRate(Parameters& parameters) { return std::make_unique<CallRate>(parameters); }

}  // namespace merlinrun::scale
