#include "chain.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <numeric>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "paired_run.hpp"
#include "real_sidecar.hpp"
#include "service.hpp"

namespace merlinrun::scale {
namespace {

using Addresses = std::vector<net::Tcp::endpoint>;

// Services behind one another. Each server has a sidecar of its own for its calls to the next one, as the
// application has for its calls to the first.
class Services {
 public:
  Services(net::asio::io_context& io, Context& context, ServerSettings server, int width, std::int64_t depth)
      : io_(io), context_(context), server_(std::move(server)), width_(width) {
    for (std::int64_t hop = depth; hop > 0; --hop) {
      AddDirect();
      AddBehindSidecars(hop > 1 ? width_ : 1);
    }
  }

  const Addresses& direct() const { return direct_entry_; }
  const Addresses& through() const { return sidecar_entry_; }
  std::int64_t cpu_us() const {
    return std::accumulate(sidecars_.begin(), sidecars_.end(), std::int64_t{0},
                           [](std::int64_t sum, const auto& sidecar) { return sum + sidecar->cpu_us(); });
  }

 private:
  // A service in front of what there is, called without sidecars.
  void AddDirect() {
    std::vector<ServerSettings> servers = Alike(server_, width_);
    for (ServerSettings& settings : servers) settings.onward = direct_entry_;
    services_.push_back(std::make_unique<Service>(io_, servers));
    direct_entry_ = services_.back()->addresses();
  }
  // The same, and so many sidecars for those who call it.
  void AddBehindSidecars(int callers) {
    std::vector<ServerSettings> servers = Alike(server_, width_);
    for (std::size_t i = 0; i < sidecar_entry_.size(); ++i) servers[i].onward = {sidecar_entry_[i]};
    services_.push_back(std::make_unique<Service>(io_, servers));
    const std::size_t first = sidecars_.size();
    sidecar_entry_.clear();
    for (int i = 0; i < callers; ++i) {
      const std::uint64_t number = sidecars_.size();
      sidecars_.push_back(std::make_unique<RealSidecar>(
          SidecarOptions{context_.sidecar, context_.scratch, "n" + std::to_string(number),
                         services_.back()->discovery(), server_.seed + number}));
      sidecar_entry_.push_back(sidecars_.back()->address());
    }
    for (std::size_t i = first; i < sidecars_.size(); ++i) sidecars_[i]->AwaitReady(io_);
  }

  net::asio::io_context& io_;
  Context& context_;
  const ServerSettings server_;
  const int width_;
  std::vector<std::unique_ptr<Service>> services_;
  std::vector<std::unique_ptr<RealSidecar>> sidecars_;
  Addresses direct_entry_;
  Addresses sidecar_entry_;
};

class Chain : public Step {
 public:
  explicit Chain(Parameters& parameters)
      : depths_(parameters.Integers("depth", {1, 2, 4, 8}, 1, 29)),
        width_(static_cast<int>(parameters.Integer("servers_per_hop", 2, 1, 10))),
        service_(parameters.Integer("service_us", 1000, 0, 1'000'000)),
        rate_(parameters.Number("calls_per_s", 50, 1, 1000)),
        plan_(PairedPlan::Read(parameters)) {}

  Needs Requires() const override {
    const auto depth = static_cast<std::size_t>(*std::max_element(depths_.begin(), depths_.end()));
    const auto width = static_cast<std::size_t>(width_);
    const double time_s =
        static_cast<double>(depth) * std::max<double>(static_cast<double>(service_.count()), 1000) / 1e6;
    const auto open = static_cast<std::size_t>(rate_ * 5 * time_s);
    Needs needs;
    needs.processes = 1 + width * (depth - 1);
    needs.ports = 2 * depth * (width + 1) + needs.processes;
    // Of each open call, every hop has both ends here, on both ways; and each sidecar its watch.
    needs.descriptors = 128 + needs.ports + needs.processes + 8 * depth * (width * width + open);
    needs.memory_mb = 64 + 16 * static_cast<double>(needs.processes);  // sidecars that know few servers
    return needs;
  }

  void Run(Context& context) override {
    std::mt19937_64 random(context.seed);
    for (int repeat = 0; repeat < context.repeats; ++repeat) {
      for (const std::int64_t depth : depths_) {
        if (context.should_stop()) return;
        Measure(context, depth, repeat, random());
      }
    }
  }

 private:
  void Measure(Context& context, std::int64_t depth, int repeat, std::uint64_t seed) const {
    net::asio::io_context io(1);
    ServerSettings server;
    server.service = service_;
    server.seed = seed;
    const Services services(io, context, server, width_, depth);
    CallerSettings caller;
    caller.calls_per_s = rate_;
    caller.deadline = std::chrono::seconds(3);
    caller.seed = seed;
    const PairedResult result = RunPaired(
        io, services.direct(), services.through(), caller, plan_, [&] { return services.cpu_us(); },
        context.should_stop);
    if (context.should_stop()) return;
    Sample sample{"chain", {{"depth", static_cast<double>(depth)}}, result.LatencyFigures(), repeat};
    sample.figures["cpu_us_per_call"] = result.cpu_us_per_call();  // of all sidecars on the way
    context.recorder.Add(std::move(sample));
  }

  std::vector<std::int64_t> depths_;
  int width_;
  std::chrono::microseconds service_;
  double rate_;
  PairedPlan plan_;
};

}  // namespace

std::unique_ptr<Step> MakeChain(Parameters& parameters) { return std::make_unique<Chain>(parameters); }

}  // namespace merlinrun::scale
