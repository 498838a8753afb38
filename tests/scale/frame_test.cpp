#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

#include "fake_steps.hpp"
#include "scale/machine.hpp"
#include "scale/results.hpp"
#include "scale/scenario.hpp"

namespace merlinrun::scale::testing {

int ProgramFixture::Call(std::vector<std::string> arguments) const {
  std::vector<const char*> argv = {"rookhub_scale"};
  for (const std::string& argument : arguments) argv.push_back(argument.c_str());
  ::testing::internal::CaptureStdout();
  ::testing::internal::CaptureStderr();
  const int status =
      RunCommand(static_cast<int>(argv.size()), argv.data(), kFakeKinds, [] { return stop_requested; });
  out = ::testing::internal::GetCapturedStdout();
  error = ::testing::internal::GetCapturedStderr();
  return status;
}

namespace {

const std::string kHeader = "name = \"tried\"\nseed = 7\n";
const std::string kValidScenario = kHeader + "[[step]]\nkind = \"fake\"\n";

struct BadCase {
  std::string scenario;
  std::string message;  // start of the message, after the file name
};

class BadScenario : public ::testing::TestWithParam<BadCase> {};

TEST_P(BadScenario, IsReportedInOneLineAndNothingIsStarted) {
  const ProgramFixture program;
  EXPECT_EQ(program.Run(GetParam().scenario, "out"), 2);
  EXPECT_EQ(std::count(program.error.begin(), program.error.end(), '\n'), 1) << program.error;
  const std::string start =
      "rookhub_scale: " + (program.folder / "scenario.toml").string() + ": " + GetParam().message;
  EXPECT_EQ(program.error.substr(0, start.size()), start);
  EXPECT_EQ(steps_run, 0);
  EXPECT_FALSE(std::filesystem::exists(program.folder / "out"));
}

INSTANTIATE_TEST_SUITE_P(
    Scale, BadScenario,
    ::testing::Values(
        BadCase{"name = ", "line 1: "},
        BadCase{"seed = 1\n" + kValidScenario.substr(kValidScenario.find('[')), "name: is missing"},
        BadCase{"name = 3\n", "name: must be a string"}, BadCase{kHeader, "step: there are no steps"},
        BadCase{kHeader + "step = 3\n", "step: must be an array of tables"},
        BadCase{kHeader + "repeats = 0\n" + kValidScenario.substr(kHeader.size()),
                "repeats: must be from 1 to 100"},
        BadCase{"seed = -1\nname = \"x\"", "seed: must be from 0"},
        BadCase{"speed = 1\n" + kValidScenario, "speed: is not a known key"},
        BadCase{kValidScenario + "[limits]\nmemory_mb = 12289\n",
                "limits.memory_mb: must be from 1 to 12288"},
        BadCase{kValidScenario + "[limits]\ncores = 2\n", "limits.cores: is not a known key"},
        BadCase{kHeader + "[[step]]\nlisted = [1]\n", "step[1].kind: is missing"},
        BadCase{kValidScenario + "[[step]]\nkind = \"none\"\n",
                "step[2].kind: no kind of step is named none"},
        BadCase{kValidScenario + "[[step]]\nkind = \"fake\"\nlistd = [4]\n",
                "step[2].listd: is not a known key"},
        BadCase{kValidScenario + "listed = []\n", "step[1].listed: must contain at least one size"},
        BadCase{kValidScenario + "listed = [1, 14001]\n", "step[1].listed: must be from 1 to 14000"},
        BadCase{kValidScenario + "listed = [1, 2.5]\n", "step[1].listed: must be a whole number"},
        BadCase{kValidScenario + "listed = 4\n", "step[1].listed: must be a list"},
        BadCase{kValidScenario + "share = nan\n", "step[1].share: must be from 0 to 1"},
        BadCase{kValidScenario + "share = \"a\"\n", "step[1].share: must be a number"},
        BadCase{kValidScenario + "verbose = 1\n", "step[1].verbose: must be true or false"},
        BadCase{kValidScenario + "repeats = 0\n", "step[1].repeats: must be from 1 to 100"},
        BadCase{kValidScenario + "repeats = \"2\"\n", "step[1].repeats: must be a whole number"},
        BadCase{kValidScenario + "ends = \"badly\"\n", "step[1].ends: must not end badly"},
        BadCase{kValidScenario + "descriptors = 99999999999\n",
                "step[1]: fake needs 99999999999 descriptors, there are "},
        BadCase{kValidScenario + "ports = 28001\n", "step[1]: fake needs 28001 ports, there are "},
        BadCase{kValidScenario + "processes = 301\n", "step[1]: fake needs 301 processes, there are 300"},
        BadCase{kValidScenario + "memory_mb = 12289\n", "step[1]: fake needs 12289 MB of memory, there are "},
        BadCase{kValidScenario + "memory_mb = 2\n[limits]\nmemory_mb = 1\n",
                "step[1]: fake needs 2 MB of memory, there are 1"}));

TEST(ScaleRun, RejectsMissingFilesAndInvalidArguments) {
  const ProgramFixture program;
  EXPECT_EQ(program.Call({"run", "/nonexistent.toml", "--out", program.folder / "out"}), 2);
  EXPECT_EQ(program.error, "rookhub_scale: /nonexistent.toml: file: cannot be read\n");
  EXPECT_EQ(program.Call({"run", program.folder, "--out", program.folder / "out"}), 2);
  EXPECT_EQ(program.error, "rookhub_scale: " + program.folder.string() + ": file: cannot be read\n");
  EXPECT_EQ(program.Call({"run"}), 2);
  EXPECT_EQ(std::count(program.error.begin(), program.error.end(), '\n'), 1) << program.error;
  EXPECT_EQ(program.Run(kValidScenario, "out", {"--sidecar", "/nonexistent"}), 2);
  EXPECT_EQ(program.Run(kValidScenario, "/proc/self"), 2);
  EXPECT_EQ(program.error, "rookhub_scale: /proc/self/result.json: --out: cannot be written\n");
  EXPECT_EQ(steps_run, 0);
}

TEST(ScaleRun, WritesAReadableResultAndRemovesTheScratchFolder) {
  const ProgramFixture program;
  ASSERT_EQ(program.Run(kValidScenario, "out"), 0) << program.error;
  const Result result = ReadResult(program.folder / "out");
  EXPECT_EQ(result.scenario, "tried");
  EXPECT_EQ(result.scenario_text, kValidScenario);
  EXPECT_EQ(result.seed, 7U);
  EXPECT_FALSE(result.partial);
  ASSERT_EQ(result.samples.size(), 4U);
  EXPECT_EQ(result.samples[3].conditions.at("listed"), 1000);
  EXPECT_EQ(result.samples[3].figures.at("memory_bytes"), 3100);
  EXPECT_FALSE(scratch_seen.empty());
  EXPECT_FALSE(std::filesystem::exists(scratch_seen.parent_path()));
}

TEST(ScaleRun, RepeatsOfAStepApplyToThatStepOnly) {
  const ProgramFixture program;
  ASSERT_EQ(
      program.Run("repeats = 2\n" + kValidScenario + "repeats = 3\n[[step]]\nkind = \"other\"\n", "out"), 0)
      << program.error;
  EXPECT_EQ(repeats_seen, (std::vector<int>{3, 2}));
  EXPECT_EQ(ReadResult(program.folder / "out").repeats, 2);
}

TEST(ScaleRun, NeverOverwritesAResult) {
  const ProgramFixture program;
  std::filesystem::create_directory(program.folder / "out");
  program.Write("out/result.json", "kept");
  EXPECT_EQ(program.Run(kValidScenario, "out"), 2);
  EXPECT_EQ(std::count(program.error.begin(), program.error.end(), '\n'), 1) << program.error;
  EXPECT_EQ(ReadFile(program.folder / "out/result.json"), "kept");
  EXPECT_EQ(steps_run, 0);
}

TEST(ScaleRun, ContinuesAfterAFailedStepAndRecordsTheReason) {
  const ProgramFixture program;
  EXPECT_EQ(program.Run(kValidScenario + "ends = \"thrown\"\n[[step]]\nkind = \"other\"\n", "out"), 1);
  const Result result = ReadResult(program.folder / "out");
  EXPECT_TRUE(result.partial);
  EXPECT_EQ(result.reasons, std::vector<std::string>{"step[1] (fake): no luck in scratch/step[1]"});
  EXPECT_EQ(result.samples.size(), 5U);
  EXPECT_FALSE(std::filesystem::exists(scratch_seen.parent_path()));
}

TEST(ScaleRun, KeepsTheSamplesOfAnInterruptedRun) {
  const ProgramFixture program;
  EXPECT_EQ(program.Run(kValidScenario + "ends = \"stopped\"\n[[step]]\nkind = \"other\"\n", "out"), 3);
  const Result result = ReadResult(program.folder / "out");
  EXPECT_TRUE(result.partial);
  const std::vector<std::string> reasons = {"step[1] (fake): interrupted",
                                            "step[2] (other): not run: interrupted"};
  EXPECT_EQ(result.reasons, reasons);
  EXPECT_EQ(result.samples.size(), 1U);
  EXPECT_EQ(steps_run, 1);
  EXPECT_FALSE(std::filesystem::exists(scratch_seen.parent_path()));
}

TEST(ScaleRun, RunsOnlyStepsOfTheSelectedKinds) {
  const ProgramFixture program;
  const std::string two_steps = kValidScenario + "[[step]]\nkind = \"other\"\n";
  EXPECT_EQ(program.Run(two_steps, "out", {"--steps", "other"}), 0);
  EXPECT_EQ(steps_run, 1);
  EXPECT_EQ(program.Run(two_steps, "none", {"--steps", "third"}), 2);
  EXPECT_EQ(steps_run, 1);
}

TEST(ScaleResult, NamesTheInvalidKeyOfAResult) {
  const ProgramFixture program;
  ASSERT_EQ(program.Run(kValidScenario, "out"), 0);
  const std::string good = ReadFile(program.folder / "out/result.json");
  const std::vector<std::pair<std::string, std::string>> changes = {
      {"\"schema\": 1", "schema: is 2"},
      {"\"seed\": 7", "seed: must be"},
      {"\"partial\": false", "partial: must be"},
      {"\"listed\": 100.0", "samples[2].conditions.listed: must be a number"},
      {"\"started\"", "started: is missing"},
      {"{", "file: is not JSON"}};
  const std::vector<std::string> replacements = {"\"schema\": 2",       "\"seed\": -7", "\"partial\": 0",
                                                 "\"listed\": \"100\"", "\"begun\"",    "["};
  for (std::size_t i = 0; i < changes.size(); ++i) {
    std::string bad = good;
    const std::size_t at = bad.find(changes[i].first);
    ASSERT_NE(at, std::string::npos) << changes[i].first;
    program.Write("out/result.json", bad.replace(at, changes[i].first.size(), replacements[i]));
    try {
      ReadResult(program.folder / "out");
      ADD_FAILURE() << "accepted: " << replacements[i];
    } catch (const ScenarioError& error) {
      const std::string start = (program.folder / "out/result.json").string() + ": " + changes[i].second;
      EXPECT_EQ(std::string(error.what()).substr(0, start.size()), start);
    }
  }
}

}  // namespace
}  // namespace merlinrun::scale::testing
