#include "chain.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "call_plan.hpp"
#include "real_sidecars.hpp"
#include "service.hpp"

namespace merlinrun::scale {
namespace {

using Addresses = std::vector<net::Tcp::endpoint>;

// Two chains of services, one without sidecars and one with them. In the second, each server calls the next
// service through its own sidecar, and the caller calls the first service through one as well.
class ServiceChains {
 public:
  ServiceChains(net::asio::io_context& io, Context& context, RemoteServers& servers, ServerSettings server,
                int width, std::int64_t depth)
      : io_(io),
        servers_(servers),
        server_(std::move(server)),
        width_(width),
        sidecars_(io, context, server_.seed) {
    for (std::int64_t hop = depth; hop > 0 && !context.should_stop(); --hop) {
      AddDirectHop(hop);
      AddSidecarHop(hop);
    }
  }

  const Addresses& direct() const { return direct_entry_; }
  const Addresses& through() const { return sidecar_entry_; }
  const RealSidecars& sidecars() const { return sidecars_; }

 private:
  // Places the servers of a hop in the same processes for both chains.
  Addresses Open(const std::vector<ServerSettings>& servers, std::int64_t hop) {
    return servers_.Open(servers, static_cast<std::size_t>(hop * width_));
  }
  // Adds a service at the front of the chain without sidecars.
  void AddDirectHop(std::int64_t hop) {
    std::vector<ServerSettings> servers = ReplicateSettings(server_, width_);
    for (ServerSettings& settings : servers) settings.onward = direct_entry_;
    direct_entry_ = Open(servers, hop);
  }
  // Adds a service at the front of the chain with sidecars, and a sidecar for each of its callers.
  void AddSidecarHop(std::int64_t hop) {
    std::vector<ServerSettings> servers = ReplicateSettings(server_, width_);
    for (std::size_t i = 0; i < sidecar_entry_.size(); ++i) servers[i].onward = {sidecar_entry_[i]};
    services_.push_back(std::make_unique<Service>(io_, Open(servers, hop)));
    sidecar_entry_ = sidecars_.Add(hop > 1 ? width_ : 1, services_.back()->discovery_address());
  }

  net::asio::io_context& io_;
  RemoteServers& servers_;
  const ServerSettings server_;
  const int width_;
  std::vector<std::unique_ptr<Service>> services_;
  RealSidecars sidecars_;
  Addresses direct_entry_;
  Addresses sidecar_entry_;
};

class Chain : public Step {
 public:
  explicit Chain(Parameters& parameters)
      : depths_(parameters.Integers("depth", {1, 2, 4, 8, 16, 29}, 1, 29)),
        width_(static_cast<int>(parameters.Integer("servers_per_hop", 2, 1, 10))),
        rate_(parameters.Number("calls_per_s", 50, 1, 1000)),
        plan_(CallPlan::Read(parameters)) {}

  ResourceRequirements Requirements() const override {
    const auto depth = static_cast<std::size_t>(*std::max_element(depths_.begin(), depths_.end()));
    const auto width = static_cast<std::size_t>(width_);
    const auto processes = static_cast<std::size_t>(plan_.server_processes);
    const std::size_t sidecars = 1 + width * (depth - 1);
    ResourceRequirements requirements;
    requirements.processes = sidecars + processes;
    requirements.ports = depth * (2 * width + 1) + requirements.processes;
    // Enough for one process that contains all servers: it has both ends of each open call at every hop, in
    // both chains. This process has discovery's end of each watch.
    requirements.descriptors =
        128 + requirements.ports + sidecars + 8 * depth * (width * width + plan_.MaxOpenCalls(rate_, depth));
    // The lists are short, so a sidecar needs little memory.
    requirements.memory_mb = 64 + 16 * static_cast<double>(requirements.processes);
    return requirements;
  }

  void Run(Context& context) override {
    ForEachMeasurement(context, depths_, [&](std::int64_t depth, int repeat, std::uint64_t seed) {
      Measure(context, depth, repeat, seed);
    });
  }

 private:
  void Measure(Context& context, std::int64_t depth, int repeat, std::uint64_t seed) const {
    net::asio::io_context io(1);
    RemoteServers servers(plan_.server_processes, context.scratch);
    const ServiceChains chains(io, context, servers, plan_.ServerWithSeed(seed), width_, depth);
    if (context.should_stop()) return;
    CallerSettings caller;
    caller.calls_per_s = rate_;
    caller.deadline = std::chrono::seconds(3);
    caller.seed = seed;
    const PairedResult result = RunPaired(
        io, {{chains.direct()}, {chains.through()}}, caller, plan_.paired,
        [&] { return chains.sidecars().cpu_us(); }, context.should_stop);
    const auto hop_count = static_cast<double>(depth);
    Sample sample{"chain", {{"depth", hop_count}}, result.Figures(), repeat};
    // "cpu_us_per_call" is the sum over all sidecars of the chain.
    for (const char* figure : {"cpu_us_per_call", "added_mean_ms", "added_p50_ms", "added_p99_ms"}) {
      const auto total = sample.figures.find(figure);
      if (total != sample.figures.end())
        sample.figures[std::string(figure) + "_per_hop"] = total->second / hop_count;
    }
    RecordPairedSample(context, std::move(sample), result, servers);
  }

  const std::vector<std::int64_t> depths_;
  const int width_;
  const double rate_;  // calls per second
  const CallPlan plan_;
};

}  // namespace

std::unique_ptr<Step> MakeChain(Parameters& parameters) { return std::make_unique<Chain>(parameters); }

}  // namespace merlinrun::scale
