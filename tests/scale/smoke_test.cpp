// Runs the smoke scenario with the built program: every kind of step once, without lost calls or changes.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <cstdlib>
#include <filesystem>
#include <map>
#include <string>

#include "scale/child.hpp"
#include "scale/results.hpp"

namespace merlinrun::scale {
namespace {

class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string name = (std::filesystem::temp_directory_path() / "rookhub-smoke-XXXXXX").string();
    if (::mkdtemp(name.data()) != nullptr) path_ = name;
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::filesystem::path& path() const { return path_; }

 private:
  std::filesystem::path path_;
};

TEST(Smoke, EveryKindOfStepRunsAndNothingIsLost) {
  const TemporaryFolder folder;
  ASSERT_FALSE(folder.path().empty());
  Child::Options options;
  options.program = ROOKHUB_SCALE_PROGRAM;
  options.arguments = {"run",       SMOKE_SCENARIO,       "--out",   folder.path() / "result",
                       "--sidecar", FENNELHOLLOW_PROGRAM, "--relay", ROOKHUB_RELAY_PROGRAM};
  Child run(options);
  const auto status = run.Wait(std::chrono::minutes(10));  // only slow machines need that long
  ASSERT_TRUE(status.has_value());
  ASSERT_TRUE(WIFEXITED(*status));
  EXPECT_EQ(WEXITSTATUS(*status), 0);

  const Result result = ReadResult(folder.path() / "result");
  EXPECT_FALSE(result.partial);
  std::map<std::string, int> samples;
  for (const Sample& sample : result.samples) {
    ++samples[sample.measure];
    const auto expect_figure = [&](const char* figure, double value) {
      const auto found = sample.figures.find(figure);
      if (found == sample.figures.end()) return;
      EXPECT_EQ(found->second, value) << sample.measure << ", " << figure;
    };
    expect_figure("unserved_calls", 0);
    expect_figure("refused", 0);
    expect_figure("relay_refused", 0);
    const auto relays = sample.conditions.find("relays");
    if (sample.measure == "fan_out") {
      expect_figure("upstream_watches",
                    relays->second > 0 ? relays->second : sample.conditions.at("watches"));
    }
    if (sample.measure == "fan_out_restart" && relays->second > 0) expect_figure("upstream_calls", 0);
    // Each change takes effect at each sidecar. A restart of a region is left out, as it starts sidecars
    // anew.
    if (sample.measure.rfind("play_", 0) == 0 && sample.measure != "play_region_restart")
      expect_figure("in_force_count", sample.figures.at("changes") * sample.conditions.at("sidecars"));
    if (sample.measure == "play_rack" || sample.measure == "play_zone") {
      for (const std::string phase : {"lost", "back"})
        expect_figure((phase + "_in_force_count").c_str(),
                      sample.figures.at(phase + "_changes") * sample.conditions.at("sidecars"));
    }
  }
  const std::map<std::string, int> expected = {{"list_size", 2},
                                               {"change_size", 1},
                                               {"watches", 2},
                                               {"change_rate", 1},
                                               {"fan_out", 2},
                                               {"fan_out_burst", 2},
                                               {"call_rate", 1},
                                               {"fan_out_restart", 2},
                                               {"hollow_and_real", 2},
                                               {"chain", 2},
                                               {"sidecars", 1},
                                               {"reload", 1},
                                               {"play_steady", 1},
                                               {"play_rack", 2},
                                               {"play_zone", 1},
                                               {"play_reload", 2},
                                               {"play_rollout", 1},
                                               {"play_region_cut", 1},
                                               {"play_region_restart", 1},
                                               {"play_discovery_restart", 1}};
  EXPECT_EQ(samples, expected);
}

}  // namespace
}  // namespace merlinrun::scale
