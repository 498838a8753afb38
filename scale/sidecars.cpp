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

  Needs Requires() const override {
    const auto most = static_cast<std::size_t>(*std::max_element(counts_.begin(), counts_.end()));
    const auto servers = static_cast<std::size_t>(servers_);
    const auto processes = static_cast<std::size_t>(plan_.server_processes);
    Needs needs;
    // Of each sidecar this process holds what RealSidecar does, the watch and two callers; the servers the
    // ends of both ways.
    needs.descriptors = 128 + servers + most * (8 + 2 * servers + 4 * plan_.Open(rate_));
    needs.ports = servers + 1 + most + processes;
    needs.processes = most + processes;
    needs.memory_mb = 128 + 16 * static_cast<double>(needs.processes);  // sidecars that know few servers
    return needs;
  }

  void Run(Context& context) override {
    ForEachReading(context, counts_, [&](std::int64_t count, int repeat, std::uint64_t seed) {
      Measure(context, count, repeat, seed);
    });
  }

 private:
  void Measure(Context& context, std::int64_t count, int repeat, std::uint64_t seed) const {
    net::asio::io_context io(1);
    RemoteServers servers(plan_.server_processes, context.scratch);
    const Service service(io, servers.Open(Alike(plan_.Seeded(seed), servers_)));
    RealSidecars sidecars(io, context, seed);
    Ways ways;
    for (const net::Tcp::endpoint& address : sidecars.Add(count, service.discovery())) {
      ways.direct.push_back(service.addresses());
      ways.through.push_back({address});
    }
    if (context.should_stop()) return;
    const auto each = static_cast<double>(count);
    const DiscoveryStandIn::Counts start = service.counts();
    Sample sample{"sidecars", {{"sidecars", each}}, {}, repeat};
    sample.figures["discovery_watches"] = static_cast<double>(start.watches);
    sample.figures["discovery_calls_per_start"] = static_cast<double>(start.calls) / each;
    sample.figures["discovery_bytes_out_per_start"] = static_cast<double>(start.bytes_out) / each;
    CallerSettings caller;
    caller.calls_per_s = rate_;
    caller.seed = seed;
    const PairedResult result = RunPaired(
        io, ways, caller, plan_.paired, [&] { return sidecars.cpu_us(); }, context.should_stop);
    // Half of the time each has its calls.
    sample.figures["cpu_us_per_s_per_sidecar"] =
        static_cast<double>(result.cpu_us) / result.time.count() / each;
    sample.figures["idle_cpu_us_per_s_per_sidecar"] = result.idle_cpu_us_per_s / each;
    sample.figures["memory_bytes_per_sidecar"] = static_cast<double>(sidecars.rss_bytes()) / each;
    RecordPaired(context, std::move(sample), result, servers);
  }

  const std::vector<std::int64_t> counts_;
  const int servers_;
  const double rate_;  // of each
  const CallPlan plan_;
};

}  // namespace

std::unique_ptr<Step> MakeSidecars(Parameters& parameters) { return std::make_unique<Sidecars>(parameters); }

}  // namespace merlinrun::scale
