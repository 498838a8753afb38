#include "simulated_and_real.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "control.hpp"
#include "net/discovery.hpp"
#include "real_sidecar.hpp"

namespace merlinrun::scale {
namespace {

using nlohmann::json;

constexpr auto kSettleTime = std::chrono::seconds(1);  // after a start and after the last change
constexpr auto kStartTimeout = std::chrono::seconds(60);

// Sidecars of one kind in one process.
class SidecarsUnderTest {
 public:
  virtual ~SidecarsUnderTest() = default;
  // Starts all sidecars and returns once each has the list.
  virtual void Start(const std::string& discovery, std::int64_t generation, std::uint64_t seed) = 0;
  virtual std::int64_t sidecars() const = 0;  // how many sidecars the measurements below cover
  virtual std::int64_t running() const = 0;
  // CPU time used and memory gained since the measured start. Simulated sidecars first return unused heap
  // memory to the system.
  virtual std::int64_t cpu_us() = 0;
  virtual std::int64_t memory_bytes() = 0;
};

class SimulatedSidecars : public SidecarsUnderTest {
 public:
  SimulatedSidecars(const Context& context, std::int64_t sidecars)
      : fleet_(kFleetProcess, context.scratch / "fleet.log"), sidecars_(sidecars) {}

  // A first sidecar is started before the baseline, so that one-time costs of the process, such as the
  // buffers for reading a list, are not counted.
  void Start(const std::string& discovery, std::int64_t generation, std::uint64_t seed) override {
    StartSidecars(1, discovery, generation, seed);
    cpu_before_ = fleet_.child().cpu_us();
    memory_before_ = ResidentBytes();
    StartSidecars(sidecars_, discovery, generation, seed + 1);
  }
  std::int64_t sidecars() const override { return sidecars_; }
  std::int64_t running() const override { return started_; }
  std::int64_t cpu_us() override { return fleet_.child().cpu_us() - cpu_before_; }
  std::int64_t memory_bytes() override { return ResidentBytes() - memory_before_; }

 private:
  void StartSidecars(std::int64_t count, const std::string& discovery, std::int64_t generation,
                     std::uint64_t seed) {
    fleet_.Execute({{"do", "add"}, {"sidecars", count}, {"address", discovery}, {"seed", seed}});
    started_ += count;
    const auto end = std::chrono::steady_clock::now() + kStartTimeout;
    const json request = {{"do", "status"}, {"generation", generation}};
    while (fleet_.Execute(request).at("at").get<std::int64_t>() < started_) {
      if (std::chrono::steady_clock::now() > end)
        throw std::runtime_error("simulated sidecars did not receive the list in time");
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }
  std::int64_t ResidentBytes() {
    return fleet_.Execute({{"do", "status"}, {"trim", true}}).at("rss_bytes").get<std::int64_t>();
  }

  WorkerProcess fleet_;
  const std::int64_t sidecars_;
  std::int64_t started_ = 0;
  std::int64_t cpu_before_ = 0;
  std::int64_t memory_before_ = 0;
};

// A single sidecar, as each has a process of its own.
class SingleRealSidecar : public SidecarsUnderTest {
 public:
  explicit SingleRealSidecar(const Context& context) : context_(context) {}

  void Start(const std::string& discovery, std::int64_t, std::uint64_t seed) override {
    const auto address = net::ParseAddress(discovery);
    if (!address) throw std::runtime_error("invalid address of discovery");
    sidecar_ = std::make_unique<RealSidecar>(
        SidecarOptions{context_.sidecar, context_.scratch, "n0", *address, seed});
    net::asio::io_context io(1);
    sidecar_->AwaitReady(io);
  }
  std::int64_t sidecars() const override { return 1; }
  std::int64_t running() const override { return 1; }
  std::int64_t cpu_us() override { return sidecar_->cpu_us(); }
  std::int64_t memory_bytes() override { return sidecar_->rss_bytes(); }

 private:
  const Context& context_;
  std::unique_ptr<RealSidecar> sidecar_;
};

class SimulatedAndReal : public Step {
 public:
  explicit SimulatedAndReal(Parameters& parameters)
      : listed_(parameters.Integers("listed", {100, 1000, 4000, 14'000}, 1, 50'000)),
        simulated_(parameters.Integer("hollow", 20, 1, 1000)),
        changes_(parameters.Integer("changes", 100, 1, 10'000)),
        changes_per_s_(parameters.Number("changes_per_s", 25, 0.1, 1000)),
        idle_s_(parameters.Number("idle_s", 6, 0.1, 600)) {}

  ResourceRequirements Requirements() const override {
    const auto max_listed = static_cast<double>(*std::max_element(listed_.begin(), listed_.end()));
    const auto simulated = static_cast<std::size_t>(simulated_);
    ResourceRequirements requirements;
    requirements.descriptors = simulated + 64;  // of discovery, and as many of a fleet
    requirements.ports = 3;                     // a control connection, discovery and the sidecar
    requirements.processes = 2;
    // Discovery and either a fleet or a sidecar; a list takes less than a kilobyte per server.
    requirements.memory_mb = 256 + static_cast<double>(simulated_ + 4) * 0.001 * max_listed;
    return requirements;
  }

  void Run(Context& context) override {
    for (int repeat = 0; repeat < context.repeats; ++repeat) {
      for (const std::int64_t listed : listed_) {
        if (context.should_stop()) return;
        SimulatedSidecars simulated(context, simulated_);
        Measure(context, simulated, listed, false, repeat);
        if (context.should_stop()) return;
        SingleRealSidecar real(context);
        Measure(context, real, listed, true, repeat);
      }
    }
  }

 private:
  void Measure(Context& context, SidecarsUnderTest& sidecars_under_test, std::int64_t listed, bool real,
               int repeat) const {
    WorkerProcess discovery(kDiscoveryProcess, context.scratch / "discovery.log");
    const json opened = discovery.Execute({{"do", "open"}, {"listed", listed}});
    sidecars_under_test.Start(opened.at("addresses").at(0).get<std::string>(),
                              opened.at("generation").get<std::int64_t>(),
                              context.seed + static_cast<std::uint64_t>(repeat));
    const Micros started_at = SteadyNow();
    WaitFor(context, kSettleTime);
    const std::int64_t start_cpu = sidecars_under_test.cpu_us();
    const json counts = discovery.Execute({{"do", "counts"}});
    const std::int64_t memory = sidecars_under_test.memory_bytes();

    const Micros idle_from = SteadyNow();
    const std::int64_t cpu_before_idle = sidecars_under_test.cpu_us();
    WaitFor(context, std::chrono::duration<double>(idle_s_));
    const Micros changes_from = SteadyNow();
    const std::int64_t cpu_before_changes = sidecars_under_test.cpu_us();
    const double idle_cpu_per_us = PerUs(cpu_before_changes - cpu_before_idle, changes_from - idle_from);
    ApplyChanges(context, discovery, listed);
    WaitFor(context, kSettleTime);
    const double cpu_of_changes = static_cast<double>(sidecars_under_test.cpu_us() - cpu_before_changes) -
                                  idle_cpu_per_us * static_cast<double>(SteadyNow() - changes_from);
    if (context.should_stop()) return;

    const auto measured = static_cast<double>(sidecars_under_test.sidecars());
    const auto running = static_cast<double>(sidecars_under_test.running());
    Sample sample;
    sample.measure = "hollow_and_real";
    sample.conditions = {{"listed", static_cast<double>(listed)}, {"real", real ? 1.0 : 0.0}};
    sample.repeat = repeat;
    sample.figures = {
        {"memory_bytes_per_sidecar", static_cast<double>(memory) / measured},
        {"start_cpu_us",
         (static_cast<double>(start_cpu) - idle_cpu_per_us * static_cast<double>(idle_from - started_at)) /
             measured},
        {"start_bytes_in", counts.at("bytes_out").get<double>() / running},
        {"idle_cpu_us_per_s", 1e6 * idle_cpu_per_us / running},
        {"cpu_us_per_change", cpu_of_changes / running / static_cast<double>(changes_)},
    };
    context.recorder.Add(std::move(sample));
  }

  static double PerUs(std::int64_t cpu_us, Micros time) {
    return static_cast<double>(cpu_us) / static_cast<double>(time);
  }
  static void WaitFor(const Context& context, std::chrono::duration<double> time) {
    const auto end = std::chrono::steady_clock::now() + time;
    while (!context.should_stop() && std::chrono::steady_clock::now() < end)
      std::this_thread::sleep_for(std::min<std::chrono::duration<double>>(
          end - std::chrono::steady_clock::now(), std::chrono::milliseconds(100)));
  }
  // Drains one server after another and brings it up again, each change in an object of its own.
  void ApplyChanges(const Context& context, WorkerProcess& discovery, std::int64_t listed) const {
    const auto from = std::chrono::steady_clock::now();
    for (std::int64_t i = 0; i < changes_ && !context.should_stop(); ++i) {
      discovery.Execute(
          {{"do", "change"}, {"first", i / 2 % listed}, {"lifecycle", i % 2 == 0 ? "draining" : "up"}});
      const std::chrono::duration<double> due(static_cast<double>(i + 1) / changes_per_s_);
      WaitFor(context, from + due - std::chrono::steady_clock::now());
    }
  }

  const std::vector<std::int64_t> listed_;
  const std::int64_t simulated_;
  const std::int64_t changes_;
  const double changes_per_s_;
  const double idle_s_;
};

}  // namespace

std::unique_ptr<Step> MakeSimulatedAndReal(Parameters& parameters) {
  return std::make_unique<SimulatedAndReal>(parameters);
}

}  // namespace merlinrun::scale
