// Tests of the discovery test bed, with discovery and fleets in processes of their own, and of the steps that
// use it.
#include "scale/discovery_test_bed.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "scale/relayed_test_bed.hpp"
#include "scale/step.hpp"

namespace merlinrun::scale {
namespace {

const std::set<std::string> kTestedKinds = {
    "change_rate",  "change_size",     "list_size",           "play_discovery_restart",
    "play_rack",    "play_region_cut", "play_region_restart", "play_reload",
    "play_rollout", "play_steady",     "play_zone",           "watches"};

// Parameters with two sizes, with no relays and with two, and small values for everything else.
class SmallParameters : public Parameters {
 public:
  std::int64_t Integer(const std::string& key, std::int64_t default_value, std::int64_t min,
                       std::int64_t max) override {
    keys_read.insert(key);
    EXPECT_GE(default_value, min) << key;
    EXPECT_LE(default_value, max) << key;
    if (key == "processes" || key == "regions" || key == "batches" || key == "changes") return 2;
    if (key == "listed") return 40;
    return std::min<std::int64_t>(default_value, 4);
  }
  double Number(const std::string& key, double default_value, double min, double max) override {
    EXPECT_GE(default_value, min) << key;
    EXPECT_LE(default_value, max) << key;
    if (key == "speed") return 1000;  // so that there are changes within the short run
    return key == "seconds" || (key.ends_with("_s") && !key.ends_with("per_s")) ? 0.1 : default_value;
  }
  bool Flag(const std::string&, bool default_value) override { return default_value; }
  std::string String(const std::string&, const std::string& default_value) override { return default_value; }
  std::vector<std::int64_t> Integers(const std::string& key, const std::vector<std::int64_t>& default_value,
                                     std::int64_t min, std::int64_t max) override {
    EXPECT_GE(default_value.front(), min) << key;
    EXPECT_LE(default_value.back(), max) << key;
    if (key == "relays") {
      EXPECT_EQ(default_value.front(), 0);  // compares without and with relays
      EXPECT_GE(default_value.size(), 2U);
      keys_read.insert(key);
      return {0, 2};
    }
    EXPECT_GE(default_value.size(), 4U) << key;  // at least four sizes, over two decades
    sizes.insert(key);
    return {40, 41};
  }
  void Reject(const std::string& key, const std::string& reason) const override {
    throw ScenarioError(key + ": " + reason);
  }

  std::set<std::string> keys_read;
  std::set<std::string> sizes;
};

// KNOWN-RED.txt refers to this suite's name.
class RigTest : public ::testing::Test {
 protected:
  class SampleList : public Recorder {
   public:
    void Add(Sample sample) override { samples.push_back(std::move(sample)); }
    std::vector<Sample> samples;
  };

  SampleList recorder;
  Context context{recorder,
                  1,
                  1,
                  {},
                  ROOKHUB_RELAY_PROGRAM,
                  std::filesystem::temp_directory_path(),
                  [this] { return stop; }};
  bool stop = false;
};

TEST_F(RigTest, SeesAChangeTakeEffectAtEverySidecar) {
  DiscoveryTestBed::Options options;
  options.listed = 40;
  options.regions = 2;
  options.fleets = 2;
  DiscoveryTestBed test_bed(context, options);
  const auto generation_before = test_bed.DiscoveryCounts().at("generation").get<std::int64_t>();
  test_bed.AddSidecars(7);
  test_bed.AwaitWatches();
  EXPECT_EQ(test_bed.FirstListDelays().count, 7);
  EXPECT_EQ(test_bed.DiscoveryCounts().at("watches").get<int>(), 7);
  test_bed.ChangeServers({{"first", 3}, {"lifecycle", "draining"}});
  const std::int64_t last =
      test_bed.ChangeServers({{"first", 0}, {"count", 2}, {"stride", 37}, {"lifecycle", "removed"}});
  test_bed.AwaitEffect(last);
  const auto changes = test_bed.ChangesSince(generation_before);
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_EQ(test_bed.EffectDelays(changes).count, 14);
  EXPECT_EQ(test_bed.EffectDelays(changes).count, 0);  // discarded by the first call
  test_bed.RemoveSidecars(0);
  test_bed.AddSidecars(1, 0);
  test_bed.AwaitEffect(last);
  EXPECT_EQ(test_bed.SumOverFleets("sidecars"), 5);
  EXPECT_EQ(test_bed.FirstListDelays(0).count, 1);
}

TEST_F(RigTest, MeasuresEverySizeBeforeAnyIsRepeatedAndEndsEarlyIfInterrupted) {
  context.repeats = 2;
  std::vector<std::pair<std::int64_t, int>> measured;
  MeasureEach(context, {5, 7}, [&](std::int64_t size, int repeat) {
    if (measured.size() == 3) throw Interrupted();
    measured.emplace_back(size, repeat);
  });
  EXPECT_EQ(measured, (std::vector<std::pair<std::int64_t, int>>{{5, 0}, {7, 0}, {5, 1}}));
}

// Checks that there are figures for each size, not their values, which depend on the machine.
TEST_F(RigTest, EachKindOfStepRecordsASampleForEachSize) {
  for (const auto& [kind, make] : StepKinds()) {
    if (kTestedKinds.count(kind) == 0) continue;
    recorder.samples.clear();
    SmallParameters parameters;
    const auto step = make(parameters);
    const bool relayed = parameters.keys_read.count("relays") > 0;
    const std::size_t fleets = parameters.keys_read.count("processes") > 0 ? 2 : 1;
    EXPECT_EQ(step->Requirements().processes, 1 + fleets + (relayed ? 2 : 0)) << kind;
    step->Run(context);
    std::vector<double> sizes;
    std::vector<double> relays;
    for (const Sample& sample : recorder.samples) {
      EXPECT_EQ(sample.measure, kind);
      ASSERT_EQ(sample.conditions.size(), relayed ? 2U : 1U) << kind;
      for (const auto& [condition, value] : sample.conditions) {
        if (condition == "relays") relays.push_back(value);
        if (parameters.sizes.count(condition) > 0) sizes.push_back(value);
      }
      const auto it = sample.figures.find("in_force_count");
      EXPECT_TRUE(it == sample.figures.end() || it->second > 0) << kind;
    }
    EXPECT_EQ(sizes, relayed ? (std::vector<double>{40, 40, 41, 41}) : (std::vector<double>{40, 41})) << kind;
    EXPECT_EQ(relays, relayed ? (std::vector<double>{0, 2, 0, 2}) : std::vector<double>()) << kind;
  }
}

// With 40 servers in 37 zones, zone 0 has two servers. A rack has the zone's servers divided by its racks,
// and at least one.
TEST_F(RigTest, LossOfARackOrAZoneHasALossAndAReturnPhase) {
  for (const auto& [kind, servers] : std::map<std::string, double>{{"play_rack", 1}, {"play_zone", 2}}) {
    recorder.samples.clear();
    SmallParameters parameters;
    StepKinds().at(kind)(parameters)->Run(context);
    ASSERT_EQ(recorder.samples.size(), 4U);
    for (const Sample& sample : recorder.samples) {
      const auto& figures = sample.figures;
      EXPECT_EQ(figures.at("servers"), servers) << kind;
      EXPECT_EQ(figures.at("changes"), 2) << kind;
      for (const std::string phase : {"lost", "back"}) {
        EXPECT_EQ(figures.at(phase + "_changes"), 1) << kind;
        EXPECT_EQ(figures.at(phase + "_in_force_count"), sample.conditions.at("sidecars")) << kind;
        EXPECT_EQ(figures.count(phase + "_in_force_p50_ms"), 1U) << kind;
        EXPECT_GE(figures.at(phase + "_within_ms"), figures.at(phase + "_in_force_last_ms")) << kind;
      }
      EXPECT_EQ(figures.at("in_force_count"), 2 * sample.conditions.at("sidecars")) << kind;
    }
  }
}

// With relays, discovery gets no calls from sidecars; the relays get the calls that it would get.
TEST_F(RigTest, RelaysTakeTheCallsOfARegionThatIsRestarted) {
  SmallParameters parameters;
  StepKinds().at("play_region_restart")(parameters)->Run(context);
  ASSERT_EQ(recorder.samples.size(), 4U);
  for (const Sample& sample : recorder.samples) {
    const auto& figures = sample.figures;
    const double calls = 2 * figures.at("restarted");  // one for the full list, one for the watch
    EXPECT_GT(calls, 0);
    if (sample.conditions.at("relays") > 0) {
      EXPECT_EQ(figures.at("calls"), 0);
      EXPECT_EQ(figures.at("relay_calls") - figures.at("relay_refused"), calls);
      EXPECT_EQ(figures.at("relay_whole_lists"), figures.at("restarted"));
    } else {
      // Some calls are refused, as the queue has space for four.
      EXPECT_EQ(figures.at("calls") - figures.at("refused"), calls);
      EXPECT_EQ(figures.count("relay_calls"), 0U);
    }
    EXPECT_GT(figures.at("machine_cpu_share"), 0);
    EXPECT_LE(figures.at("machine_cpu_share"), 1);
  }
}

TEST_F(RigTest, AReloadMovesEverySidecarAndBothChangesTakeEffectAtAll) {
  SmallParameters parameters;
  StepKinds().at("play_reload")(parameters)->Run(context);
  ASSERT_EQ(recorder.samples.size(), 4U);
  for (const Sample& sample : recorder.samples) {
    const double sidecars = sample.conditions.at("sidecars");
    const bool relayed = sample.conditions.at("relays") > 0;
    EXPECT_EQ(sample.figures.at("watching_count"), sidecars);
    EXPECT_EQ(sample.figures.at("changes"), 2);
    EXPECT_EQ(sample.figures.at("in_force_count"), 2 * sidecars);
    const std::string tier = relayed ? "relay_" : "";
    EXPECT_EQ(sample.figures.at(tier + "calls") - sample.figures.at(tier + "refused"), 2 * sidecars);
  }
}

TEST_F(RigTest, AReloadNeedsAtLeastTwoRegionsOrRelays) {
  class SingleParameter : public SmallParameters {
   public:
    explicit SingleParameter(std::string key) : key_(std::move(key)) {}
    std::int64_t Integer(const std::string& key, std::int64_t default_value, std::int64_t min,
                         std::int64_t max) override {
      return key == key_ ? 1 : SmallParameters::Integer(key, default_value, min, max);
    }
    std::vector<std::int64_t> Integers(const std::string& key, const std::vector<std::int64_t>& default_value,
                                       std::int64_t min, std::int64_t max) override {
      if (key == key_) return {0, 1};
      return SmallParameters::Integers(key, default_value, min, max);
    }

   private:
    const std::string key_;
  };
  for (const std::string key : {"regions", "relays"}) {
    SingleParameter parameters(key);
    try {
      StepKinds().at("play_reload")(parameters);
      ADD_FAILURE() << "accepted: one of " << key;
    } catch (const ScenarioError& error) {
      EXPECT_TRUE(std::string(error.what()).starts_with(key + ": must be ")) << error.what();
    }
  }
}

// Counts the processes, listening ports and memory of the relays, at the maximum number of relays.
TEST_F(RigTest, RelaysAddToTheRequirements) {
  const DiscoveryTestBed::Options options{300, 3, 4};
  const ResourceRequirements without = RelayedTestBed::Requirements(options, {0}, {100, 5000});
  const ResourceRequirements with = RelayedTestBed::Requirements(options, {0, 8, 2}, {100, 5000});
  EXPECT_EQ(with.processes, without.processes + 8);
  EXPECT_EQ(with.ports, without.ports + 5 + 8);  // 8 regions instead of 3, and the ports of 8 relays
  EXPECT_GT(with.memory_mb, without.memory_mb);
  EXPECT_GE(with.descriptors, 5000U);
}

TEST_F(RigTest, WaitThrowsWhenInterrupted) {
  DiscoveryTestBed test_bed(context, {});
  EXPECT_NO_THROW(test_bed.Wait(0));
  stop = true;
  EXPECT_THROW(test_bed.Wait(10), Interrupted);
}

TEST_F(RigTest, ExecuteThrowsForAFailedCommandAndAfterTheEndOfTheProcess) {
  WorkerProcess worker(kDiscoveryProcess, {});
  EXPECT_THROW(worker.Execute({{"do", "counts"}}), std::runtime_error);  // no "open" before
  EXPECT_NO_THROW(worker.Execute({{"do", "open"}}));
  worker.child().Signal(SIGKILL);
  EXPECT_THROW(worker.Execute({{"do", "counts"}}), std::runtime_error);
}

}  // namespace
}  // namespace merlinrun::scale
