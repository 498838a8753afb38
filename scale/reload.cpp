#include "reload.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "call_plan.hpp"
#include "known_servers.hpp"
#include "loop.hpp"
#include "real_sidecars.hpp"
#include "service.hpp"

namespace merlinrun::scale {
namespace {

// For all sidecars to follow the new address, and for the change to take effect.
constexpr auto kTimeout = std::chrono::seconds(30);
constexpr std::size_t kMinCountForP99 = 100;

std::chrono::nanoseconds Nanoseconds(std::chrono::duration<double> time) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(time);
}

// Delays from a common start, one for each sidecar.
class DelayRecorder {
 public:
  void Begin() { start_ = Clock::now(); }
  void Add() { delays_.push_back(Clock::now() - start_); }
  std::size_t count() const { return delays_.size(); }
  Clock::duration since_start() const { return Clock::now() - start_; }
  void Record(const std::string& name, std::map<std::string, double>& figures) const {
    figures[name + "_p50_ms"] = QuantileMs(0.5);
    if (count() >= kMinCountForP99) figures[name + "_p99_ms"] = QuantileMs(0.99);
    figures[name + "_last_ms"] = QuantileMs(1);
  }

 private:
  double QuantileMs(double share) const {  // the delays are sorted, as they are added when they occur
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(delays_.size())));
    return std::chrono::duration<double, std::milli>(delays_.at(rank - 1)).count();
  }

  Clock::time_point start_;
  std::vector<Clock::duration> delays_;
};

class Reload : public Step {
 public:
  explicit Reload(Parameters& parameters)
      : counts_(parameters.Integers("sidecars", {2, 8, 32, 128, 200}, 1, 250)),
        servers_(static_cast<int>(parameters.Integer("servers", 20, 1, 200))),
        rate_(parameters.Number("calls_per_s", 5, 0.1, 1000)),
        load_time_(parameters.Number("load_s", 1, 0.2, 600)),
        server_processes_(static_cast<int>(parameters.Integer("server_processes", 4, 1, 16))) {}

  ResourceRequirements Requirements() const override {
    const auto max_sidecars = static_cast<std::size_t>(*std::max_element(counts_.begin(), counts_.end()));
    const auto servers = static_cast<std::size_t>(servers_);
    const auto processes = static_cast<std::size_t>(server_processes_);
    const std::size_t open = CallPlan{}.MaxOpenCalls(rate_);
    ResourceRequirements requirements;
    // Descriptors of this process for each sidecar: those of RealSidecar, both watches, the connection to the
    // management endpoint, and the caller's connections. The server processes have the other ends of the
    // sidecars' connections to servers.
    requirements.descriptors = 128 + max_sidecars * (12 + servers + 2 * open);
    requirements.ports = servers + 3 + 2 * max_sidecars + processes;
    requirements.processes = max_sidecars + processes;
    // The sidecars know only few servers.
    requirements.memory_mb = 128 + 16 * static_cast<double>(requirements.processes);
    return requirements;
  }

  void Run(Context& context) override {
    ForEachMeasurement(context, counts_, [&](std::int64_t count, int repeat, std::uint64_t seed) {
      Measure(context, count, repeat, seed);
    });
  }

 private:
  // Runs the loop for `load_time_` and returns the CPU time that the sidecars used in it.
  double MeasureCpu(net::asio::io_context& io, const RealSidecars& sidecars) const {
    const std::int64_t before = sidecars.cpu_us();
    RunFor(io, Nanoseconds(load_time_));
    return static_cast<double>(sidecars.cpu_us() - before);
  }

  void Measure(Context& context, std::int64_t count, int repeat, std::uint64_t seed) const {
    net::asio::io_context io(1);
    RemoteServers servers(server_processes_, context.scratch);
    ServerSettings server;
    server.seed = seed;
    // Both fake discoveries list the same servers, so that the reload itself moves no calls. The last server
    // is added by the change.
    std::vector<net::Tcp::endpoint> addresses = servers.Open(ReplicateSettings(server, servers_ + 1));
    const Entry change = MakeEntries(addresses).back();
    addresses.pop_back();
    const Service before(io, addresses);
    Service after(io, addresses);
    RealSidecars sidecars(io, context, seed, /*management=*/true);
    sidecars.Add(count, before.discovery_address());
    if (context.should_stop()) return;
    const auto all = static_cast<std::size_t>(count);

    std::vector<std::unique_ptr<Caller>> callers = StartCallers(io, sidecars, seed);
    RunFor(io, Nanoseconds(load_time_));  // connections are established first
    const double baseline_cpu = MeasureCpu(io, sidecars);
    DelayRecorder watching;
    const std::int64_t cpu_before = sidecars.cpu_us();
    watching.Begin();
    sidecars.Reload(after.discovery_address());
    Await(io, context, "follow the new address", [&] {
      while (watching.count() < after.discovery_counts().watches) watching.Add();
      return watching.count() >= all;
    });
    RunFor(io, Nanoseconds(load_time_));  // work of the reload may follow the opening of the watch
    const std::chrono::duration<double> span = watching.since_start();
    const double reload_cpu = static_cast<double>(sidecars.cpu_us() - cpu_before);

    DelayRecorder took_effect;
    took_effect.Begin();
    after.Change({change});
    {
      const KnownServersPoller poller(io, ManagementEndpoints(sidecars), addresses.size() + 1,
                                      [&] { took_effect.Add(); });
      Await(io, context, "apply the change", [&] { return took_effect.count() >= all; });
    }
    for (const auto& caller : callers) caller->Stop();
    Await(io, context, "finish their calls", [&] {
      return std::all_of(callers.begin(), callers.end(), [](const auto& caller) { return caller->done(); });
    });
    if (context.should_stop()) return;
    CallResults calls;
    for (const auto& caller : callers) calls += caller->results();

    const auto sidecar_count = static_cast<double>(count);
    Sample sample{"reload", {{"sidecars", sidecar_count}}, {}, repeat};
    watching.Record("watching", sample.figures);
    took_effect.Record("in_force", sample.figures);
    const std::uint64_t lost = calls.counts.sent - calls.counts.served;
    sample.figures["cpu_us_per_reload"] = (reload_cpu - baseline_cpu * (span / load_time_)) / sidecar_count;
    sample.figures["calls"] = static_cast<double>(calls.counts.sent);
    sample.figures["unserved_calls"] = static_cast<double>(lost);
    sample.figures["watches"] = static_cast<double>(after.discovery_counts().watches);
    sample.figures["watches_left_behind"] = static_cast<double>(before.discovery_counts().watches);
    sample.figures["discovery_calls_per_reload"] =
        static_cast<double>(after.discovery_counts().calls) / sidecar_count;
    sample.figures["discovery_bytes_out_per_reload"] =
        static_cast<double>(after.discovery_counts().bytes_out) / sidecar_count;
    context.recorder.Add(std::move(sample));
    if (lost > 0) CheckServed("during a reload", calls.counts, /*max_unserved_share=*/0);
  }

  std::vector<std::unique_ptr<Caller>> StartCallers(net::asio::io_context& io, const RealSidecars& sidecars,
                                                    std::uint64_t seed) const {
    std::vector<std::unique_ptr<Caller>> callers;
    CallerSettings settings;
    settings.calls_per_s = rate_;
    settings.deadline = std::chrono::seconds(3);
    settings.seed = seed;
    for (const auto& sidecar : sidecars.all()) {
      callers.push_back(
          std::make_unique<Caller>(io, std::vector<net::Tcp::endpoint>{sidecar->address()}, settings));
      callers.back()->Start(std::chrono::hours(1));  // until stopped
      ++settings.seed;
    }
    return callers;
  }

  static std::vector<net::Tcp::endpoint> ManagementEndpoints(const RealSidecars& sidecars) {
    std::vector<net::Tcp::endpoint> endpoints;
    for (const auto& sidecar : sidecars.all()) endpoints.push_back(sidecar->management_address());
    return endpoints;
  }

  static void Await(net::asio::io_context& io, const Context& context, const std::string& what,
                    const std::function<bool()>& done) {
    if (!RunUntil(
            io, [&] { return context.should_stop() || done(); }, kTimeout))
      throw std::runtime_error("not all sidecars could " + what + " in time");
  }

  const std::vector<std::int64_t> counts_;
  const int servers_;
  const double rate_;  // per sidecar
  const std::chrono::duration<double> load_time_;
  const int server_processes_;
};

}  // namespace

std::unique_ptr<Step> MakeReload(Parameters& parameters) { return std::make_unique<Reload>(parameters); }

}  // namespace merlinrun::scale
