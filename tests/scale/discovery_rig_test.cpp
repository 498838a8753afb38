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

#include "scale/step.hpp"

namespace merlinrun::scale {
namespace {

const std::set<std::string> kOwnKinds = {"change_rate",         "change_size", "list_size",
                                         "play_rack",           "play_zone",   "play_region_cut",
                                         "play_region_restart", "play_steady", "play_discovery_restart",
                                         "play_rollout",        "watches"};

// Two sizes, and little of everything else.
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
    EXPECT_GE(standard.size(), 4U) << key;  // and over two decades
    EXPECT_GE(standard.front(), least) << key;
    EXPECT_LE(standard.back(), most) << key;
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
  Context context{recorder, 1, 1, {}, {}, std::filesystem::temp_directory_path(), [this] { return stop; }};
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
    EXPECT_EQ(step->Requires().processes, parameters.asked.count("processes") > 0 ? 3U : 2U) << kind;
    step->Run(context);
    ASSERT_EQ(recorder.samples.size(), 2U) << kind;
    for (const Sample& sample : recorder.samples) {
      EXPECT_EQ(sample.measure, kind);
      ASSERT_EQ(sample.conditions.size(), 1U) << kind;
      EXPECT_EQ(parameters.sizes.count(sample.conditions.begin()->first), 1U) << kind;
      const auto it = sample.figures.find("in_force_count");
      EXPECT_TRUE(it == sample.figures.end() || it->second > 0) << kind;
    }
    EXPECT_EQ(recorder.samples[0].conditions.begin()->second, 40) << kind;
    EXPECT_EQ(recorder.samples[1].conditions.begin()->second, 41) << kind;
  }
}

// A zone of 40 servers in 37 zones has two; a rack, the zone's servers over its racks, and one at least.
TEST_F(RigTest, ARackAndAZoneAreTwoPlaysWithALossAndAReturnEach) {
  for (const auto& [kind, servers] : std::map<std::string, double>{{"play_rack", 1}, {"play_zone", 2}}) {
    recorder.samples.clear();
    Small parameters;
    StepKinds().at(kind)(parameters)->Run(context);
    ASSERT_FALSE(recorder.samples.empty());
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
