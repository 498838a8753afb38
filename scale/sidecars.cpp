#include "sidecars.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <numeric>
#include <random>
#include <string>
#include <vector>

#include "loop.hpp"
#include "paired_run.hpp"
#include "real_sidecar.hpp"
#include "service.hpp"

namespace merlinrun::scale {
namespace {

class Sidecars : public Step {
 public:
  explicit Sidecars(Parameters& parameters)
      : counts_(parameters.Integers("sidecars", {1, 4, 16, 64}, 1, 250)),
        servers_(static_cast<int>(parameters.Integer("servers", 20, 1, 200))),
        rate_(parameters.Number("calls_per_s", 10, 0.1, 1000)),
        load_s_(parameters.Number("load_s", 10, 0.5, 600)) {}

  Needs Requires() const override {
    const auto most = static_cast<std::size_t>(*std::max_element(counts_.begin(), counts_.end()));
    const auto servers = static_cast<std::size_t>(servers_);
    const auto open = static_cast<std::size_t>(rate_ * 0.05) + 2;  // of one caller
    Needs needs;
    // Of each sidecar this process holds the caller, the watch and the servers' ends.
    needs.descriptors = 64 + servers + most * (1 + 2 * open + 2 * servers);
    needs.ports = servers + 1 + most;
    needs.processes = most;
    needs.memory_mb = 64 + 16 * static_cast<double>(most);  // sidecars that know few servers
    return needs;
  }

  void Run(Context& context) override {
    std::mt19937_64 random(context.seed);
    for (int repeat = 0; repeat < context.repeats; ++repeat) {
      for (const std::int64_t count : counts_) {
        if (context.should_stop()) return;
        Measure(context, count, repeat, random());
      }
    }
  }

 private:
  void Measure(Context& context, std::int64_t count, int repeat, std::uint64_t seed) const {
    net::asio::io_context io(1);
    ServerSettings server;
    server.seed = seed;
    const Service service(io, Alike(server, servers_));
    std::vector<std::unique_ptr<RealSidecar>> sidecars;
    std::vector<std::unique_ptr<Caller>> callers;
    for (std::int64_t i = 0; i < count; ++i) {
      const std::uint64_t own_seed = seed + static_cast<std::uint64_t>(i);
      sidecars.push_back(std::make_unique<RealSidecar>(SidecarOptions{
          context.sidecar, context.scratch, "n" + std::to_string(i), service.discovery(), own_seed}));
      CallerSettings caller;
      caller.calls_per_s = rate_;
      caller.seed = own_seed;
      callers.push_back(
          std::make_unique<Caller>(io, std::vector<net::Tcp::endpoint>{sidecars.back()->address()}, caller));
    }
    for (const auto& sidecar : sidecars) sidecar->AwaitReady(io);
    const auto sum = [&](auto reading) {
      return std::accumulate(sidecars.begin(), sidecars.end(), std::int64_t{0},
                             [&](std::int64_t all, const auto& sidecar) { return all + reading(*sidecar); });
    };
    const auto cpu = [&] { return sum([](const RealSidecar& sidecar) { return sidecar.cpu_us(); }); };
    PlayAll(io, callers);  // connections come up first
    for (const auto& caller : callers) caller->Take();
    const Clock::time_point start = Clock::now();
    const std::int64_t before = cpu();
    PlayAll(io, callers);
    const auto used = static_cast<double>(cpu() - before);
    const std::chrono::duration<double> time = Clock::now() - start;
    const std::int64_t memory = sum([](const RealSidecar& sidecar) { return sidecar.rss_bytes(); });
    CallResults all;
    for (const auto& caller : callers) all += caller->results();
    if (context.should_stop()) return;
    CheckServed("through sidecars", all.counts);
    const auto each = static_cast<double>(count);
    Sample sample{"sidecars", {{"sidecars", each}}, {}, repeat};
    sample.figures = {{"cpu_us_per_s_per_sidecar", used / time.count() / each},
                      {"memory_bytes_per_sidecar", static_cast<double>(memory) / each},
                      {"calls", static_cast<double>(all.counts.sent)},
                      {"unserved_calls", static_cast<double>(all.counts.sent - all.counts.served)}};
    context.recorder.Add(std::move(sample));
  }

  void PlayAll(net::asio::io_context& io, const std::vector<std::unique_ptr<Caller>>& callers) const {
    const auto time =
        std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(load_s_));
    for (const auto& caller : callers) caller->Start(time);
    const auto done = [&] {
      return std::all_of(callers.begin(), callers.end(), [](const auto& caller) { return caller->done(); });
    };
    if (!RunUntil(io, done, time + std::chrono::seconds(30)))
      throw std::runtime_error("calls did not end in time");
  }

  const std::vector<std::int64_t> counts_;
  const int servers_;
  const double rate_;
  const double load_s_;
};

}  // namespace

std::unique_ptr<Step> MakeSidecars(Parameters& parameters) { return std::make_unique<Sidecars>(parameters); }

}  // namespace merlinrun::scale
