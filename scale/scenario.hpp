// A scenario: the steps of a scale run, read from a TOML file and checked before any step starts.
#ifndef MERLINRUN_SCALE_SCENARIO_HPP_
#define MERLINRUN_SCALE_SCENARIO_HPP_

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "scale/machine.hpp"
#include "scale/step.hpp"

namespace merlinrun::scale {

// A step of a scenario that was read and checked.
struct PlannedStep {
  std::string key;   // "step[2]", numbered from 1 in the order of the file
  std::string kind;  // its key in StepKinds()
  int repeats = 1;   // of each measurement: the step's own setting, or else the scenario's
  std::unique_ptr<Step> step;
};

struct Scenario {
  std::filesystem::path file;
  std::string text;  // the content of the file, which is copied into the result
  std::string name;
  std::uint64_t seed = 1;
  int repeats = 1;              // of each measurement, for steps without a setting of their own
  double memory_mb = 12288;     // limit for each step
  std::size_t processes = 300;  // limit for child processes at a time
  std::vector<PlannedStep> steps;
};

// Throws ScenarioError with file and key for invalid content. If `selected_kinds` is not empty, steps of
// other kinds are checked but not included.
Scenario LoadScenario(const std::filesystem::path& file, const std::map<std::string, StepFactory>& kinds,
                      const std::vector<std::string>& selected_kinds = {});

// Throws ScenarioError with the file and the step's key if a step requires more than the machine or the
// scenario's limits allow.
void CheckRequirements(const Scenario& scenario, const MachineLimits& machine);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_SCENARIO_HPP_
