// Fake steps, and a fixture for running the program in the process of the test. The steps count their runs;
// their parameters select what they do.
#ifndef MERLINRUN_TESTS_SCALE_FAKE_STEPS_HPP_
#define MERLINRUN_TESTS_SCALE_FAKE_STEPS_HPP_

#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include "scale/commands.hpp"
#include "scale/step.hpp"

namespace merlinrun::scale::testing {

inline int steps_run = 0;
inline bool stop_requested = false;
inline std::filesystem::path scratch_seen;
inline std::vector<int> repeats_seen;  // of each step that ran, in order

// Records memory = 100 + bytes * listed at each size, and a tenth more in each repeat. With "ends" set, it
// fails or is interrupted after the first size.
class FakeStep : public Step {
 public:
  explicit FakeStep(Parameters& parameters)
      : listed_(parameters.Integers("listed", {1, 10, 100, 1000}, 1, 14000)),
        share_(parameters.Number("share", 0.5, 0, 1)),
        bytes_(parameters.Number("bytes", 3, 0, 100)),
        ending_(parameters.String("ends", "")) {
    parameters.Flag("verbose", false);
    requirements_.descriptors = static_cast<std::size_t>(parameters.Integer("descriptors", 0, 0, 1LL << 40));
    requirements_.ports = static_cast<std::size_t>(parameters.Integer("ports", 0, 0, 1LL << 40));
    requirements_.processes = static_cast<std::size_t>(parameters.Integer("processes", 0, 0, 1LL << 40));
    requirements_.memory_mb = parameters.Number("memory_mb", 0, 0, 1e12);
    if (ending_ == "badly") parameters.Reject("ends", "must not end badly");
  }

  ResourceRequirements Requirements() const override { return requirements_; }

  void Run(Context& context) override {
    ++steps_run;
    scratch_seen = context.scratch;
    repeats_seen.push_back(context.repeats);
    std::ofstream(context.scratch / "log") << "left behind";
    for (const std::int64_t listed : listed_) {
      const auto size = static_cast<double>(listed);
      for (int repeat = 0; repeat < context.repeats; ++repeat) {
        const double memory = (100 + bytes_ * size) * (1 + 0.1 * repeat);
        context.recorder.Add({"fake", {{"listed", size}}, {{"memory_bytes", memory}}, repeat});
      }
      if (ending_ == "thrown") throw std::runtime_error("no luck\nin " + context.scratch.string());
      if (ending_ == "stopped") stop_requested = true;
      if (context.should_stop()) return;
    }
  }

 private:
  std::vector<std::int64_t> listed_;
  double share_;
  double bytes_;
  std::string ending_;
  ResourceRequirements requirements_;
};

inline std::unique_ptr<Step> MakeFake(Parameters& parameters) {
  return std::make_unique<FakeStep>(parameters);
}

inline const std::map<std::string, StepFactory> kFakeKinds = {{"fake", MakeFake}, {"other", MakeFake}};

inline std::string ReadFile(const std::filesystem::path& file) {
  std::ostringstream text;
  text << std::ifstream(file).rdbuf();
  return text.str();
}

// A temporary folder for a test. Runs the program in it, and captures what it writes to standard output and
// error.
class ProgramFixture {
 public:
  ProgramFixture() {
    std::string name = (std::filesystem::temp_directory_path() / "scale_test.XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("mkdtemp");
    folder = name;
    steps_run = 0;
    repeats_seen.clear();
    stop_requested = false;
  }
  ~ProgramFixture() { std::filesystem::remove_all(folder); }
  ProgramFixture(const ProgramFixture&) = delete;
  ProgramFixture& operator=(const ProgramFixture&) = delete;

  std::string Write(const std::string& name, const std::string& text) const {
    std::ofstream(folder / name) << text;
    return (folder / name).string();
  }

  int Call(std::vector<std::string> arguments) const;

  int Run(const std::string& scenario, const std::string& folder_name,
          const std::vector<std::string>& extra = {}) const {
    std::vector<std::string> all = {"run",       Write("scenario.toml", scenario),
                                    "--out",     (folder / folder_name).string(),
                                    "--sidecar", "/bin/true"};
    all.insert(all.end(), extra.begin(), extra.end());
    return Call(all);
  }

  std::filesystem::path folder;
  mutable std::string out;    // standard output of the last call
  mutable std::string error;  // standard error of the last call
};

}  // namespace merlinrun::scale::testing

#endif  // MERLINRUN_TESTS_SCALE_FAKE_STEPS_HPP_
