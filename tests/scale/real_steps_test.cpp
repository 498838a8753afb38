// Runs the steps that use real sidecars at small sizes: checks the figures that they record, and that they
// stop when interrupted.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cmath>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "scale/loop.hpp"
#include "scale/paired_run.hpp"
#include "scale/real_sidecar.hpp"
#include "scale/scenario.hpp"
#include "scale/service.hpp"
#include "scale/step.hpp"

namespace merlinrun::scale {
namespace {

namespace asio = net::asio;

class SampleRecorder : public Recorder {
 public:
  void Add(Sample sample) override { samples.push_back(std::move(sample)); }
  std::vector<Sample> samples;
};

// Returns default values for parameters that are not given.
class FakeParameters : public Parameters {
 public:
  explicit FakeParameters(std::map<std::string, double> numbers, std::vector<std::int64_t> sizes)
      : numbers_(std::move(numbers)), sizes_(std::move(sizes)) {}
  std::int64_t Integer(const std::string& key, std::int64_t default_value, std::int64_t,
                       std::int64_t) override {
    return static_cast<std::int64_t>(Number(key, static_cast<double>(default_value), 0, 0));
  }
  double Number(const std::string& key, double default_value, double, double) override {
    const auto it = numbers_.find(key);
    return it == numbers_.end() ? default_value : it->second;
  }
  bool Flag(const std::string&, bool default_value) override { return default_value; }
  std::string String(const std::string&, const std::string& default_value) override { return default_value; }
  std::vector<std::int64_t> Integers(const std::string&, const std::vector<std::int64_t>&, std::int64_t,
                                     std::int64_t) override {
    return sizes_;
  }
  void Reject(const std::string& key, const std::string& reason) const override {
    throw ScenarioError(key + ": " + reason);
  }

 private:
  std::map<std::string, double> numbers_;
  std::vector<std::int64_t> sizes_;
};

class RealStepsTest : public ::testing::Test {
 protected:
  RealStepsTest() {
    std::string name = (std::filesystem::temp_directory_path() / "rookhub-real-XXXXXX").string();
    scratch = ::mkdtemp(name.data());
  }
  ~RealStepsTest() override { std::filesystem::remove_all(scratch); }

  std::vector<Sample> RunStep(const std::string& kind, std::map<std::string, double> numbers,
                              std::vector<std::int64_t> sizes) {
    FakeParameters parameters(std::move(numbers), std::move(sizes));
    const std::unique_ptr<Step> step = StepKinds().at(kind)(parameters);
    EXPECT_GT(step->Requirements().descriptors, 0u);
    EXPECT_GT(step->Requirements().processes, 0u);
    SampleRecorder recorder;
    Context context{recorder, 7, 1, FENNELHOLLOW_PROGRAM, {}, scratch, [this] { return stop; }};
    step->Run(context);
    return recorder.samples;
  }
  // Quantiles need enough calls, so tests with few calls cannot expect all of them.
  static void ExpectFigures(const Sample& sample, const std::vector<std::string>& names) {
    for (const std::string& name : names) EXPECT_EQ(sample.figures.count(name), 1u) << name;
    for (const auto& [name, value] : sample.figures) EXPECT_TRUE(std::isfinite(value)) << name;
  }

  std::filesystem::path scratch;
  bool stop = false;
};

TEST_F(RealStepsTest, CallRateSendsAllCallsThroughTheSidecar) {
  const auto samples = RunStep(
      "call_rate", {{"slice_s", 0.2}, {"idle_s", 0.1}, {"calls_per_reading", 40}, {"servers", 3}}, {50, 100});
  ASSERT_EQ(samples.size(), 2u);
  EXPECT_EQ(samples[0].conditions, (std::map<std::string, double>{{"calls_per_s", 50}}));
  for (const Sample& sample : samples) {
    ExpectFigures(sample, {"cpu_us_per_call", "idle_cpu_us_per_s", "memory_mb", "added_p50_ms", "ratio_p50"});
    EXPECT_EQ(sample.figures.count("added_p999_ms"), 0u);
    EXPECT_EQ(sample.figures.at("unserved_calls"), 0);
    EXPECT_GT(sample.figures.at("cpu_us_per_call"), 0);
  }
}

TEST_F(RealStepsTest, ChainsOfSidecarsServeAllCalls) {
  const auto samples = RunStep(
      "chain", {{"slice_s", 0.2}, {"idle_s", 0.1}, {"calls_per_reading", 40}, {"calls_per_s", 100}}, {1, 3});
  ASSERT_EQ(samples.size(), 2u);
  EXPECT_EQ(samples[1].conditions, (std::map<std::string, double>{{"depth", 3}}));
  for (const Sample& sample : samples) {
    ExpectFigures(sample, {"added_p50_ms", "direct_p50_ms", "cpu_us_per_call", "added_mean_ms",
                           "server_late_p99_ms", "caller_late_p50_ms"});
    for (const char* figure : {"added_p50_ms", "added_mean_ms", "cpu_us_per_call"})
      EXPECT_DOUBLE_EQ(sample.figures.at(std::string(figure) + "_per_hop"),
                       sample.figures.at(figure) / sample.conditions.at("depth"));
    EXPECT_EQ(sample.figures.at("unserved_calls"), 0);
  }
}

TEST_F(RealStepsTest, SimulatedAndRealSidecarsRecordTheSameFigures) {
  const auto samples = RunStep("hollow_and_real", {{"idle_s", 0.2}, {"changes", 4}, {"hollow", 2}}, {50});
  ASSERT_EQ(samples.size(), 2u);
  EXPECT_EQ(samples[0].conditions, (std::map<std::string, double>{{"listed", 50}, {"real", 0}}));
  EXPECT_EQ(samples[1].conditions, (std::map<std::string, double>{{"listed", 50}, {"real", 1}}));
  for (const Sample& sample : samples)
    ExpectFigures(sample, {"memory_bytes_per_sidecar", "start_cpu_us", "start_bytes_in", "cpu_us_per_change",
                           "idle_cpu_us_per_s"});
  // The list has more than 100 bytes for each server.
  EXPECT_GT(samples[0].figures.at("start_bytes_in"), 50 * 100);
  EXPECT_GT(samples[1].figures.at("start_bytes_in"), 50 * 100);
}

TEST_F(RealStepsTest, AllSidecarsAreLoadedAtTheSameTime) {
  const auto samples = RunStep(
      "sidecars",
      {{"slice_s", 0.3}, {"idle_s", 0.1}, {"calls_per_reading", 60}, {"servers", 3}, {"calls_per_s", 40}},
      {1, 4});
  ASSERT_EQ(samples.size(), 2u);
  for (const Sample& sample : samples) {
    ExpectFigures(sample, {"memory_bytes_per_sidecar", "cpu_us_per_s_per_sidecar", "cpu_us_per_call",
                           "idle_cpu_us_per_s_per_sidecar", "added_p50_ms", "direct_p50_ms",
                           "discovery_bytes_out_per_start"});
    EXPECT_EQ(sample.figures.at("unserved_calls"), 0);
    EXPECT_EQ(sample.figures.at("discovery_watches"), sample.conditions.at("sidecars"));
  }
  EXPECT_GT(samples[1].figures.at("calls"), samples[0].figures.at("calls"));
}

TEST_F(RealStepsTest, AReloadLosesNoCallAndLeavesNoWatchBehind) {
  const auto samples = RunStep("reload", {{"load_s", 0.3}, {"servers", 3}, {"calls_per_s", 40}}, {1, 3});
  ASSERT_EQ(samples.size(), 2u);
  for (const Sample& sample : samples) {
    ExpectFigures(sample, {"watching_p50_ms", "watching_last_ms", "in_force_p50_ms", "in_force_last_ms",
                           "cpu_us_per_reload", "discovery_bytes_out_per_reload"});
    EXPECT_EQ(sample.figures.count("watching_p99_ms"), 0u);  // too few reloads for this quantile
    EXPECT_EQ(sample.figures.at("watches"), sample.conditions.at("sidecars"));
    EXPECT_EQ(sample.figures.at("watches_left_behind"), 0);
    EXPECT_EQ(sample.figures.at("discovery_calls_per_reload"), 2);  // the full list, then the watch
    EXPECT_GT(sample.figures.at("calls"), 0);
    EXPECT_EQ(sample.figures.at("unserved_calls"), 0);
  }
}

TEST_F(RealStepsTest, EachOfSeveralCallersHasItsOwnSidecar) {
  const auto samples = RunStep(
      "call_rate",
      {{"slice_s", 0.3}, {"idle_s", 0.1}, {"calls_per_reading", 60}, {"servers", 3}, {"sidecars", 3}}, {100});
  ASSERT_EQ(samples.size(), 1u);
  EXPECT_GT(samples[0].figures.at("calls"), 100);  // 180 are expected
  EXPECT_EQ(samples[0].figures.at("unserved_calls"), 0);
}

TEST_F(RealStepsTest, InvalidSizesAreReportedWithFileAndKey) {
  const std::filesystem::path file = scratch / "bad.toml";
  for (const std::string kind : {"sidecars", "reload"}) {
    for (const std::string sizes : {"[2, 251]", "[0]", "[]", "\"many\""}) {
      std::ofstream(file) << "name = \"bad\"\n[[step]]\nkind = \"" + kind + "\"\nsidecars = " + sizes + "\n";
      try {
        LoadScenario(file, StepKinds(), {});
        ADD_FAILURE() << kind << " accepts " << sizes;
      } catch (const ScenarioError& error) {
        const std::string what = error.what();
        EXPECT_EQ(what.find(file.string() + ": step[1].sidecars: "), 0u) << what;
        EXPECT_EQ(what.find('\n'), std::string::npos) << what;
      }
    }
  }
}

TEST_F(RealStepsTest, AnInterruptedStepRecordsNoIncompleteSample) {
  stop = true;
  for (const char* kind : {"call_rate", "chain", "hollow_and_real", "sidecars", "reload"})
    EXPECT_TRUE(RunStep(kind, {}, {10}).empty()) << kind;
}

// Calls are sent to the sidecar only, which forwards them to the servers that discovery lists.
TEST_F(RealStepsTest, ASidecarForwardsCallsToSeveralServersOfItsService) {
  asio::io_context io(1);
  const Service service(io, ReplicateSettings({}, 4));
  RealSidecar sidecar({FENNELHOLLOW_PROGRAM, scratch, "n0", service.discovery_address(), 1});
  sidecar.AwaitReady(io);
  CallerSettings settings;
  settings.poisson = false;
  settings.calls_per_s = 200;
  Caller caller(io, {sidecar.address()}, settings);
  caller.Start(std::chrono::milliseconds(502));
  ASSERT_TRUE(RunUntil(
      io, [&] { return caller.done(); }, std::chrono::seconds(20)));
  EXPECT_EQ(caller.results().counts.served, 100u);
  std::uint64_t served = 0;
  int used = 0;
  for (const auto& server : service.servers()) {
    used += server->counts().served > 0 ? 1 : 0;
    EXPECT_EQ(server->counts().invalid, 0u);
    served += server->counts().served;
  }
  EXPECT_GE(served, 100u);
  EXPECT_GT(used, 1);
}

TEST_F(RealStepsTest, ASidecarThatDoesNotStartIsAnError) {
  asio::io_context io(1);
  RealSidecar sidecar({"/nonexistent", scratch, "n0", {asio::ip::make_address("127.0.0.1"), 1}, 1});
  EXPECT_THROW(sidecar.AwaitReady(io), std::runtime_error);
}

TEST(PairedRunTest, FailedCallsInvalidateTheMeasurement) {
  asio::io_context io(1);
  Service service(io, ReplicateSettings({}, 2));
  service.servers().front()->Drain();
  CallerSettings settings;
  settings.calls_per_s = 100;
  PairedPlan plan;
  plan.slice = std::chrono::milliseconds(200);
  plan.idle = std::chrono::milliseconds(100);
  plan.calls = 20;
  EXPECT_THROW(RunPaired(
                   io, {{service.addresses()}, {service.addresses()}}, settings, plan, [] { return 0; },
                   [] { return false; }),
               std::runtime_error);
}

TEST(PairedRunTest, TurnsCoverTheCallsThatAMeasurementNeeds) {
  PairedPlan plan;
  plan.slice = std::chrono::seconds(2);
  plan.calls = 1000;
  EXPECT_EQ(plan.Turns(10), 50);
  EXPECT_EQ(plan.Turns(1000), 2);
}

}  // namespace
}  // namespace merlinrun::scale
