// Discovery and fleets in processes of their own, and the steps on them.
#include "scale/discovery_rig.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "scale/relayed_rig.hpp"
#include "scale/step.hpp"

namespace merlinrun::scale {
namespace {

const std::set<std::string> kOwnKinds = {
    "change_rate",  "change_size",     "list_size",           "play_discovery_restart",
    "play_rack",    "play_region_cut", "play_region_restart", "play_reload",
    "play_rollout", "play_steady",     "play_zone",           "watches"};

// Two sizes, without relays and behind two, and little of everything else.
class Small : public Parameters {
 public:
  std::int64_t Integer(const std::string& key, std::int64_t standard, std::int64_t least,
                       std::int64_t most) override {
    asked.insert(key);
    EXPECT_GE(standard, least) << key;
    EXPECT_LE(standard, most) << key;
    if (key == "processes" || key == "regions" || key == "batches" || key == "changes") return 2;
    if (key == "listed") return 40;
    return std::min<std::int64_t>(standard, 4);
  }
  double Number(const std::string& key, double standard, double least, double most) override {
    EXPECT_GE(standard, least) << key;
    EXPECT_LE(standard, most) << key;
    if (key == "speed") return 1000;  // for changes within the time that there is
    return key == "seconds" || (key.ends_with("_s") && !key.ends_with("per_s")) ? 0.1 : standard;
  }
  bool Flag(const std::string&, bool standard) override { return standard; }
  std::string Word(const std::string&, const std::string& standard) override { return standard; }
  std::vector<std::int64_t> Integers(const std::string& key, const std::vector<std::int64_t>& standard,
                                     std::int64_t least, std::int64_t most) override {
    EXPECT_GE(standard.front(), least) << key;
    EXPECT_LE(standard.back(), most) << key;
    if (key == "relays") {
      EXPECT_EQ(standard.front(), 0);  // before and after
      EXPECT_GE(standard.size(), 2U);
      asked.insert(key);
      return {0, 2};
    }
    EXPECT_GE(standard.size(), 4U) << key;  // and over two decades
    sizes.insert(key);
    return {40, 41};
  }
  void Reject(const std::string& key, const std::string& reason) const override {
    throw ScenarioError(key + ": " + reason);
  }

  std::set<std::string> asked;
  std::set<std::string> sizes;
};

class RigTest : public ::testing::Test {
 protected:
  class Kept : public Recorder {
   public:
    void Add(Sample sample) override { samples.push_back(std::move(sample)); }
    std::vector<Sample> samples;
  };

  Kept recorder;
  Context context{recorder,
                  1,
                  1,
                  {},
                  ROOKHUB_RELAY_PROGRAM,
                  std::filesystem::temp_directory_path(),
                  [this] { return stop; }};
  bool stop = false;
};

TEST_F(RigTest, SeesAChangeInForceAtEverySidecar) {
  DiscoveryRig::Options options;
  options.listed = 40;
  options.regions = 2;
  options.fleets = 2;
  DiscoveryRig rig(context, options);
  const auto first = rig.Counts().at("generation").get<std::int64_t>();
  rig.Add(7);
  rig.AwaitWatches();
  EXPECT_EQ(rig.Joined().count, 7);
  EXPECT_EQ(rig.Counts().at("watches").get<int>(), 7);
  rig.Change({{"first", 3}, {"lifecycle", "draining"}});
  const std::int64_t last =
      rig.Change({{"first", 0}, {"count", 2}, {"stride", 37}, {"lifecycle", "removed"}});
  rig.AwaitForce(last);
  const auto changes = rig.ChangesSince(first);
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_EQ(rig.Force(changes).count, 14);
  EXPECT_EQ(rig.Force(changes).count, 0);  // they have been told
  rig.End(0);
  rig.Add(1, 0);
  rig.AwaitForce(last);
  EXPECT_EQ(rig.FleetFigure("sidecars"), 5);
  EXPECT_EQ(rig.Joined(0).count, 1);
}

TEST_F(RigTest, ReadsEverySizeBeforeAnyIsRepeatedAndEndsEarlyIfItIsInterrupted) {
  context.repeats = 2;
  std::vector<std::pair<std::int64_t, int>> read;
  ReadEach(context, {5, 7}, [&](std::int64_t size, int repeat) {
    if (read.size() == 3) throw Interrupted();
    read.emplace_back(size, repeat);
  });
  EXPECT_EQ(read, (std::vector<std::pair<std::int64_t, int>>{{5, 0}, {7, 0}, {5, 1}}));
}

// The figures are a machine's own; that there are some for each size is not.
TEST_F(RigTest, EachKindOfStepLeavesASampleForEachSize) {
  for (const auto& [kind, make] : StepKinds()) {
    if (kOwnKinds.count(kind) == 0) continue;
    recorder.samples.clear();
    Small parameters;
    const auto step = make(parameters);
    const bool relayed = parameters.asked.count("relays") > 0;
    const std::size_t fleets = parameters.asked.count("processes") > 0 ? 2 : 1;
    EXPECT_EQ(step->Requires().processes, 1 + fleets + (relayed ? 2 : 0)) << kind;
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

// A zone of 40 servers in 37 zones has two; a rack, the zone's servers over its racks, and one at least.
TEST_F(RigTest, ARackAndAZoneAreTwoPlaysWithALossAndAReturnEach) {
  for (const auto& [kind, servers] : std::map<std::string, double>{{"play_rack", 1}, {"play_zone", 2}}) {
    recorder.samples.clear();
    Small parameters;
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

// Behind relays discovery itself has no calls from sidecars, and the relays have what it would have.
TEST_F(RigTest, RelaysTakeTheCallsOfARegionThatIsRestarted) {
  Small parameters;
  StepKinds().at("play_region_restart")(parameters)->Run(context);
  ASSERT_EQ(recorder.samples.size(), 4U);
  for (const Sample& sample : recorder.samples) {
    const auto& figures = sample.figures;
    const double calls = 2 * figures.at("restarted");  // for the whole list, and for the watch
    EXPECT_GT(calls, 0);
    if (sample.conditions.at("relays") > 0) {
      EXPECT_EQ(figures.at("calls"), 0);
      EXPECT_EQ(figures.at("relay_calls") - figures.at("relay_refused"), calls);
      EXPECT_EQ(figures.at("relay_whole_lists"), figures.at("restarted"));
    } else {
      EXPECT_EQ(figures.at("calls") - figures.at("refused"), calls);  // a queue of four refuses some
      EXPECT_EQ(figures.count("relay_calls"), 0U);
    }
    EXPECT_GT(figures.at("machine_cpu_share"), 0);
    EXPECT_LE(figures.at("machine_cpu_share"), 1);
  }
}

TEST_F(RigTest, AReloadMovesEverySidecarAndBothChangesAreInForceAtAll) {
  Small parameters;
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

TEST_F(RigTest, AReloadNeedsTwoPlacesToMoveBetween) {
  class One : public Small {
   public:
    explicit One(std::string key) : key_(std::move(key)) {}
    std::int64_t Integer(const std::string& key, std::int64_t standard, std::int64_t least,
                         std::int64_t most) override {
      return key == key_ ? 1 : Small::Integer(key, standard, least, most);
    }
    std::vector<std::int64_t> Integers(const std::string& key, const std::vector<std::int64_t>& standard,
                                       std::int64_t least, std::int64_t most) override {
      if (key == key_) return {0, 1};
      return Small::Integers(key, standard, least, most);
    }

   private:
    const std::string key_;
  };
  for (const std::string key : {"regions", "relays"}) {
    One parameters(key);
    try {
      StepKinds().at("play_reload")(parameters);
      ADD_FAILURE() << "taken: one of " << key;
    } catch (const ScenarioError& error) {
      EXPECT_TRUE(std::string(error.what()).starts_with(key + ": must be ")) << error.what();
    }
  }
}

// The tier's processes, listeners, and memory are counted, at the largest of the numbers asked for.
TEST_F(RigTest, RelaysAreNeedsOfTheirOwn) {
  const DiscoveryRig::Options options{300, 3, 4};
  const Needs without = RelayedRig::Requires(options, {0}, {100, 5000});
  const Needs with = RelayedRig::Requires(options, {0, 8, 2}, {100, 5000});
  EXPECT_EQ(with.processes, without.processes + 8);
  EXPECT_EQ(with.ports, without.ports + 5 + 8);  // a region for each relay in place of three, and the relays'
  EXPECT_GT(with.memory_mb, without.memory_mb);
  EXPECT_GE(with.descriptors, 5000U);
}

TEST_F(RigTest, StopsWhenItIsInterrupted) {
  DiscoveryRig rig(context, {});
  EXPECT_NO_THROW(rig.Pass(0));
  stop = true;
  EXPECT_THROW(rig.Pass(10), Interrupted);
}

TEST_F(RigTest, APartSaysWhatItCannotDoAndItsEndIsSeen) {
  Part part(kDiscoveryProcess, {});
  EXPECT_THROW(part.Ask({{"do", "counts"}}), std::runtime_error);  // not open yet
  EXPECT_NO_THROW(part.Ask({{"do", "open"}}));
  part.child().Signal(SIGKILL);
  EXPECT_THROW(part.Ask({{"do", "counts"}}), std::runtime_error);
}

}  // namespace
}  // namespace merlinrun::scale
