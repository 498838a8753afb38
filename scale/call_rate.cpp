#include "call_rate.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "paired_run.hpp"
#include "real_sidecar.hpp"
#include "service.hpp"

namespace merlinrun::scale {
namespace {

class CallRate : public Step {
 public:
  explicit CallRate(Parameters& parameters)
      : rates_(parameters.Integers("calls_per_s", {10, 35, 100, 350, 1000}, 1, 5000)),
        servers_(static_cast<int>(parameters.Integer("servers", 20, 1, 200))),
        service_(parameters.Integer("service_us", 1000, 0, 1'000'000)),
        exponential_(parameters.Flag("exponential", false)),
        plan_(PairedPlan::Read(parameters)) {}

  Needs Requires() const override {
    const std::int64_t highest = *std::max_element(rates_.begin(), rates_.end());
    // Calls that are open at a time when all takes five times as long as the service, on both ways; each has
    // both its ends here, and the sidecar keeps some for each server.
    const std::int64_t open = highest * 5 * std::max<std::int64_t>(service_.count(), 1000) / 1'000'000;
    const auto servers = static_cast<std::size_t>(servers_);
    Needs needs;
    needs.descriptors = 128 + 8 * servers + 6 * static_cast<std::size_t>(open);
    needs.ports = servers + 2;
    needs.processes = 1;
    needs.memory_mb = 192 + 64;  // the sidecar's limit, and this process
    return needs;
  }

  void Run(Context& context) override {
    std::mt19937_64 random(context.seed);
    for (int repeat = 0; repeat < context.repeats; ++repeat) {
      for (const std::int64_t rate : rates_) {
        if (context.should_stop()) return;
        Measure(context, static_cast<double>(rate), repeat, random());
      }
    }
  }

 private:
  void Measure(Context& context, double rate, int repeat, std::uint64_t seed) const {
    net::asio::io_context io(1);
    ServerSettings server;
    server.service = service_;
    server.exponential = exponential_;
    server.seed = seed;
    const Service service(io, Alike(server, servers_));
    RealSidecar sidecar({context.sidecar, context.scratch, "n0", service.discovery(), seed});
    sidecar.AwaitReady(io);
    CallerSettings caller;
    caller.calls_per_s = rate;
    caller.seed = seed;
    const PairedResult result = RunPaired(
        io, service.addresses(), {sidecar.address()}, caller, plan_, [&] { return sidecar.cpu_us(); },
        context.should_stop);
    if (context.should_stop()) return;
    Sample sample{"call_rate", {{"calls_per_s", rate}}, result.LatencyFigures(), repeat};
    sample.figures["cpu_us_per_call"] = result.cpu_us_per_call();
    sample.figures["idle_cpu_us_per_s"] = result.idle_cpu_us_per_s;
    sample.figures["memory_mb"] = static_cast<double>(sidecar.rss_bytes()) / (1 << 20);
    context.recorder.Add(std::move(sample));
  }

  std::vector<std::int64_t> rates_;
  int servers_;
  std::chrono::microseconds service_;
  bool exponential_;
  PairedPlan plan_;
};

}  // namespace

std::unique_ptr<Step> MakeCallRate(Parameters& parameters) { return std::make_unique<CallRate>(parameters); }

}  // namespace merlinrun::scale
