// Steps for the tests of the frame: they count how often they run and do what their table says.
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
inline bool stop_asked = false;
inline std::filesystem::path scratch_seen;
inline std::vector<int> repeats_seen;  // by each step that ran

// Records memory = 100 + 3 * listed at each size, and a tenth more in each repeat; may fail, or be
// interrupted, after the first.
class FakeStep : public Step {
 public:
  explicit FakeStep(Parameters& parameters)
      : listed_(parameters.Integers("listed", {1, 10, 100, 1000}, 1, 14000)),
        share_(parameters.Number("share", 0.5, 0, 1)),
        bytes_(parameters.Number("bytes", 3, 0, 100)),
        word_(parameters.Word("ends", "")) {
    parameters.Flag("verbose", false);
    needs_.descriptors = static_cast<std::size_t>(parameters.Integer("descriptors", 0, 0, 1LL << 40));
    needs_.ports = static_cast<std::size_t>(parameters.Integer("ports", 0, 0, 1LL << 40));
    needs_.processes = static_cast<std::size_t>(parameters.Integer("processes", 0, 0, 1LL << 40));
    needs_.memory_mb = parameters.Number("memory_mb", 0, 0, 1e12);
    if (word_ == "badly") parameters.Reject("ends", "must not end badly");
  }

  Needs Requires() const override { return needs_; }

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
      if (word_ == "thrown") throw std::runtime_error("no luck\nin " + context.scratch.string());
      if (word_ == "stopped") stop_asked = true;
      if (context.should_stop()) return;
    }
  }

 private:
  std::vector<std::int64_t> listed_;
  double share_;
  double bytes_;
  std::string word_;
  Needs needs_;
};

inline std::unique_ptr<Step> MakeFake(Parameters& parameters) {
  return std::make_unique<FakeStep>(parameters);
}

inline const std::map<std::string, StepFactory> kFakeKinds = {{"fake", MakeFake}, {"other", MakeFake}};

inline std::string Slurp(const std::filesystem::path& file) {
  std::ostringstream text;
  text << std::ifstream(file).rdbuf();
  return text.str();
}

// A folder of its own for each test, and the program called in it with what it says taken.
class Bench {
 public:
  Bench() {
    std::string name = (std::filesystem::temp_directory_path() / "scale_test.XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("mkdtemp");
    folder = name;
    steps_run = 0;
    repeats_seen.clear();
    stop_asked = false;
  }
  ~Bench() { std::filesystem::remove_all(folder); }
  Bench(const Bench&) = delete;
  Bench& operator=(const Bench&) = delete;

  std::string Write(const std::string& name, const std::string& text) const {
    std::ofstream(folder / name) << text;
    return (folder / name).string();
  }

  int Call(std::vector<std::string> arguments) const;

  int Run(const std::string& scenario, const std::string& to,
          const std::vector<std::string>& more = {}) const {
    std::vector<std::string> all = {
        "run", Write("scenario.toml", scenario), "--out", (folder / to).string(), "--sidecar", "/bin/true"};
    all.insert(all.end(), more.begin(), more.end());
    return Call(all);
  }

  std::filesystem::path folder;
  mutable std::string out;    // of the last call
  mutable std::string error;  // of the last call
};

}  // namespace merlinrun::scale::testing

#endif  // MERLINRUN_TESTS_SCALE_FAKE_STEPS_HPP_
