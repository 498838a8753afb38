#include "scale/runner.hpp"

#include <spdlog/spdlog.h>

#include <chrono>
#include <cmath>
#include <stdexcept>
#include <string>
#include <utility>

#include "scale/results.hpp"
#include "scale/table_reader.hpp"

namespace merlinrun::scale {
namespace {

using Clock = std::chrono::steady_clock;

class ResultRecorder : public Recorder {
 public:
  explicit ResultRecorder(Result& result) : result_(result) {}

  // Throws std::runtime_error for a value that is not finite: JSON cannot represent it, and no line can be
  // fitted through it.
  void Add(Sample sample) override {
    for (const auto* numbers : {&sample.conditions, &sample.figures}) {
      for (const auto& [name, value] : *numbers) {
        if (!std::isfinite(value)) throw std::runtime_error(sample.measure + ": " + name + " is not finite");
      }
    }
    result_.samples.push_back(std::move(sample));
  }

 private:
  Result& result_;
};

// Replaces a path by a name. Results must not contain paths of the machine that they were taken on.
std::string ReplacePath(std::string text, const std::filesystem::path& path, const std::string& name) {
  const std::string path_text = path.string();
  if (path_text.empty()) return text;
  for (std::size_t at = text.find(path_text); at != std::string::npos;
       at = text.find(path_text, at + name.size())) {
    text.replace(at, path_text.size(), name);
  }
  return text;
}

class Run {
 public:
  Run(const Scenario& scenario, const RunOptions& options) : scenario_(scenario), options_(options) {
    result_.scenario = scenario.name;
    result_.scenario_text = scenario.text;
    result_.seed = scenario.seed;
    result_.repeats = scenario.repeats;
    result_.started = UtcNow();
    result_.machine = ReadMachine();
    result_.build = BuildType();
  }

  int Execute() {
    try {
      WriteResultFile({"the run has not ended"});
    } catch (const std::exception&) {
      RejectInput(ResultFile(options_.out), "--out", "cannot be written");
    }
    for (const PlannedStep& planned : scenario_.steps) {
      if (options_.should_stop()) {
        interrupted_ = true;
        AddReason(planned, "not run: interrupted");
        continue;
      }
      RunStep(planned);
      WriteResultFile({"the run has not ended"});
    }
    WriteResultFile({});
    return interrupted_ ? kInterrupted : reasons_.empty() ? kDone : kFailed;
  }

 private:
  void RunStep(const PlannedStep& planned) {
    spdlog::info("{} ({}): started", planned.key, planned.kind);
    const std::size_t before = result_.samples.size();
    ResultRecorder recorder(result_);
    Context context{recorder, scenario_.seed,      planned.repeats, options_.sidecar, options_.relay,
                    {},       options_.should_stop};
    try {
      context.scratch = scratch_.path() / planned.key;
      std::filesystem::create_directory(context.scratch);
      planned.step->Run(context);
    } catch (const std::exception& error) {
      AddReason(planned, error.what());
    } catch (...) {
      AddReason(planned, "failed with an unknown exception");
    }
    if (options_.should_stop()) {
      interrupted_ = true;
      AddReason(planned, "interrupted");
    }
    spdlog::info("{} ({}): finished with {} samples", planned.key, planned.kind,
                 result_.samples.size() - before);
  }

  void AddReason(const PlannedStep& planned, const std::string& message) {
    std::string reason = planned.key + " (" + planned.kind + "): " + OneLine(message);
    spdlog::error("{}", reason);
    reason = ReplacePath(std::move(reason), scratch_.path(), "scratch");
    reason = ReplacePath(std::move(reason), options_.sidecar, "the sidecar");
    reasons_.push_back(ReplacePath(std::move(reason), options_.relay, "the relay"));
  }

  void WriteResultFile(const std::vector<std::string>& extra_reasons) {
    result_.seconds = std::chrono::duration<double>(Clock::now() - started_).count();
    result_.reasons = reasons_;
    result_.reasons.insert(result_.reasons.end(), extra_reasons.begin(), extra_reasons.end());
    result_.partial = !result_.reasons.empty();
    WriteResult(result_, options_.out);
  }

  const Scenario& scenario_;
  const RunOptions& options_;
  const Clock::time_point started_ = Clock::now();
  ScratchFolder scratch_;
  Result result_;
  std::vector<std::string> reasons_;
  bool interrupted_ = false;
};

}  // namespace

int RunScenario(const Scenario& scenario, const RunOptions& options) {
  PrepareFolder(options.out);
  return Run(scenario, options).Execute();
}

}  // namespace merlinrun::scale
