#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

#include "fake_steps.hpp"
#include "scale/machine.hpp"
#include "scale/results.hpp"
#include "scale/scenario.hpp"

namespace merlinrun::scale::testing {

int Bench::Call(std::vector<std::string> arguments) const {
  std::vector<const char*> argv = {"rookhub_scale"};
  for (const std::string& argument : arguments) argv.push_back(argument.c_str());
  ::testing::internal::CaptureStdout();
  ::testing::internal::CaptureStderr();
  const int status =
      RunCommand(static_cast<int>(argv.size()), argv.data(), kFakeKinds, [] { return stop_asked; });
  out = ::testing::internal::GetCapturedStdout();
  error = ::testing::internal::GetCapturedStderr();
  return status;
}

namespace {

const std::string kHead = "name = \"tried\"\nseed = 7\n";
const std::string kGood = kHead + "[[step]]\nkind = \"fake\"\n";

struct Bad {
  std::string scenario;
  std::string told;  // after the file's name
};

class BadScenario : public ::testing::TestWithParam<Bad> {};

TEST_P(BadScenario, IsToldInOneLineAndNothingIsStarted) {
  const Bench bench;
  EXPECT_EQ(bench.Run(GetParam().scenario, "out"), 2);
  EXPECT_EQ(std::count(bench.error.begin(), bench.error.end(), '\n'), 1) << bench.error;
  const std::string start =
      "rookhub_scale: " + (bench.folder / "scenario.toml").string() + ": " + GetParam().told;
  EXPECT_EQ(bench.error.substr(0, start.size()), start);
  EXPECT_EQ(steps_run, 0);
  EXPECT_FALSE(std::filesystem::exists(bench.folder / "out"));
}

INSTANTIATE_TEST_SUITE_P(
    Scale, BadScenario,
    ::testing::Values(
        Bad{"name = ", "line 1: "}, Bad{"seed = 1\n" + kGood.substr(kGood.find('[')), "name: is missing"},
        Bad{"name = 3\n", "name: must be a string"}, Bad{kHead, "step: there are no steps"},
        Bad{kHead + "step = 3\n", "step: must be tables"},
        Bad{kHead + "repeats = 0\n" + kGood.substr(kHead.size()), "repeats: must be from 1 to 100"},
        Bad{"seed = -1\nname = \"x\"", "seed: must be from 0"},
        Bad{"speed = 1\n" + kGood, "speed: is not known"},
        Bad{kGood + "[limits]\nmemory_mb = 12289\n", "limits.memory_mb: must be from 1 to 12288"},
        Bad{kGood + "[limits]\ncores = 2\n", "limits.cores: is not known"},
        Bad{kHead + "[[step]]\nlisted = [1]\n", "step[1].kind: is missing"},
        Bad{kGood + "[[step]]\nkind = \"none\"\n", "step[2].kind: no kind of step is named none"},
        Bad{kGood + "[[step]]\nkind = \"fake\"\nlistd = [4]\n", "step[2].listd: is not known"},
        Bad{kGood + "listed = []\n", "step[1].listed: must hold at least one size"},
        Bad{kGood + "listed = [1, 14001]\n", "step[1].listed: must be from 1 to 14000"},
        Bad{kGood + "listed = [1, 2.5]\n", "step[1].listed: must be a whole number"},
        Bad{kGood + "listed = 4\n", "step[1].listed: must be a list"},
        Bad{kGood + "share = nan\n", "step[1].share: must be from 0 to 1"},
        Bad{kGood + "share = \"a\"\n", "step[1].share: must be a number"},
        Bad{kGood + "verbose = 1\n", "step[1].verbose: must be true or false"},
        Bad{kGood + "repeats = 0\n", "step[1].repeats: must be from 1 to 100"},
        Bad{kGood + "repeats = \"2\"\n", "step[1].repeats: must be a whole number"},
        Bad{kGood + "ends = \"badly\"\n", "step[1].ends: must not end badly"},
        Bad{kGood + "descriptors = 99999999999\n", "step[1]: fake needs 99999999999 descriptors, there are "},
        Bad{kGood + "ports = 28001\n", "step[1]: fake needs 28001 ports, there are "},
        Bad{kGood + "processes = 301\n", "step[1]: fake needs 301 processes, there are 300"},
        Bad{kGood + "memory_mb = 12289\n", "step[1]: fake needs 12289 MB of memory, there are "},
        Bad{kGood + "memory_mb = 2\n[limits]\nmemory_mb = 1\n",
            "step[1]: fake needs 2 MB of memory, there are 1"}));

TEST(ScaleRun, TellsAFileThatIsNotThereAndArgumentsThatAreNone) {
  const Bench bench;
  EXPECT_EQ(bench.Call({"run", "/nonexistent.toml", "--out", bench.folder / "out"}), 2);
  EXPECT_EQ(bench.error, "rookhub_scale: /nonexistent.toml: file: cannot be read\n");
  EXPECT_EQ(bench.Call({"run", bench.folder, "--out", bench.folder / "out"}), 2);
  EXPECT_EQ(bench.error, "rookhub_scale: " + bench.folder.string() + ": file: cannot be read\n");
  EXPECT_EQ(bench.Call({"run"}), 2);
  EXPECT_EQ(std::count(bench.error.begin(), bench.error.end(), '\n'), 1) << bench.error;
  EXPECT_EQ(bench.Run(kGood, "out", {"--sidecar", "/nonexistent"}), 2);
  EXPECT_EQ(bench.Run(kGood, "/proc/self"), 2);
  EXPECT_EQ(bench.error, "rookhub_scale: /proc/self/result.json: --out: cannot be written\n");
  EXPECT_EQ(steps_run, 0);
}

TEST(ScaleRun, LeavesAResultThatReadsBackAndNoScratchFolder) {
  const Bench bench;
  ASSERT_EQ(bench.Run(kGood, "out"), 0) << bench.error;
  const Result result = ReadResult(bench.folder / "out");
  EXPECT_EQ(result.scenario, "tried");
  EXPECT_EQ(result.scenario_text, kGood);
  EXPECT_EQ(result.seed, 7U);
  EXPECT_FALSE(result.partial);
  ASSERT_EQ(result.samples.size(), 4U);
  EXPECT_EQ(result.samples[3].conditions.at("listed"), 1000);
  EXPECT_EQ(result.samples[3].figures.at("memory_bytes"), 3100);
  EXPECT_FALSE(scratch_seen.empty());
  EXPECT_FALSE(std::filesystem::exists(scratch_seen.parent_path()));
}

TEST(ScaleRun, AStepsOwnRepeatsHoldForItAlone) {
  const Bench bench;
  ASSERT_EQ(bench.Run("repeats = 2\n" + kGood + "repeats = 3\n[[step]]\nkind = \"other\"\n", "out"), 0)
      << bench.error;
  EXPECT_EQ(repeats_seen, (std::vector<int>{3, 2}));
  EXPECT_EQ(ReadResult(bench.folder / "out").repeats, 2);
}

TEST(ScaleRun, NeverOverwritesAResult) {
  const Bench bench;
  std::filesystem::create_directory(bench.folder / "out");
  bench.Write("out/result.json", "kept");
  EXPECT_EQ(bench.Run(kGood, "out"), 2);
  EXPECT_EQ(std::count(bench.error.begin(), bench.error.end(), '\n'), 1) << bench.error;
  EXPECT_EQ(Slurp(bench.folder / "out/result.json"), "kept");
  EXPECT_EQ(steps_run, 0);
}

TEST(ScaleRun, GoesOnAfterAStepThatThrowsAndSaysSo) {
  const Bench bench;
  EXPECT_EQ(bench.Run(kGood + "ends = \"thrown\"\n[[step]]\nkind = \"other\"\n", "out"), 1);
  const Result result = ReadResult(bench.folder / "out");
  EXPECT_TRUE(result.partial);
  EXPECT_EQ(result.reasons, std::vector<std::string>{"step[1] (fake): no luck in scratch/step[1]"});
  EXPECT_EQ(result.samples.size(), 5U);
  EXPECT_FALSE(std::filesystem::exists(scratch_seen.parent_path()));
}

TEST(ScaleRun, KeepsWhatAnInterruptedRunHasMeasured) {
  const Bench bench;
  EXPECT_EQ(bench.Run(kGood + "ends = \"stopped\"\n[[step]]\nkind = \"other\"\n", "out"), 3);
  const Result result = ReadResult(bench.folder / "out");
  EXPECT_TRUE(result.partial);
  const std::vector<std::string> reasons = {"step[1] (fake): interrupted",
                                            "step[2] (other): not run: interrupted"};
  EXPECT_EQ(result.reasons, reasons);
  EXPECT_EQ(result.samples.size(), 1U);
  EXPECT_EQ(steps_run, 1);
  EXPECT_FALSE(std::filesystem::exists(scratch_seen.parent_path()));
}

TEST(ScaleRun, LeavesOutStepsOfOtherKinds) {
  const Bench bench;
  const std::string two = kGood + "[[step]]\nkind = \"other\"\n";
  EXPECT_EQ(bench.Run(two, "out", {"--steps", "other"}), 0);
  EXPECT_EQ(steps_run, 1);
  EXPECT_EQ(bench.Run(two, "none", {"--steps", "third"}), 2);
  EXPECT_EQ(steps_run, 1);
}

TEST(ScaleResult, TellsTheKeyOfWhatIsWrong) {
  const Bench bench;
  ASSERT_EQ(bench.Run(kGood, "out"), 0);
  const std::string good = Slurp(bench.folder / "out/result.json");
  const std::vector<std::pair<std::string, std::string>> changes = {
      {"\"schema\": 1", "schema: is 2"},
      {"\"seed\": 7", "seed: must be"},
      {"\"partial\": false", "partial: must be"},
      {"\"listed\": 100.0", "samples[2].conditions.listed: must be a number"},
      {"\"started\"", "started: is missing"},
      {"{", "file: is not JSON"}};
  const std::vector<std::string> instead = {"\"schema\": 2",       "\"seed\": -7", "\"partial\": 0",
                                            "\"listed\": \"100\"", "\"begun\"",    "["};
  for (std::size_t i = 0; i < changes.size(); ++i) {
    std::string bad = good;
    const std::size_t at = bad.find(changes[i].first);
    ASSERT_NE(at, std::string::npos) << changes[i].first;
    bench.Write("out/result.json", bad.replace(at, changes[i].first.size(), instead[i]));
    try {
      ReadResult(bench.folder / "out");
      ADD_FAILURE() << "taken: " << instead[i];
    } catch (const ScenarioError& error) {
      const std::string start = (bench.folder / "out/result.json").string() + ": " + changes[i].second;
      EXPECT_EQ(std::string(error.what()).substr(0, start.size()), start);
    }
  }
}

}  // namespace
}  // namespace merlinrun::scale::testing
