// A scenario: which steps a scale run takes, read from TOML and checked before anything is started.
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

struct PlannedStep {
  std::string key;   // "step[2]", counted from 1 as they stand in the file
  std::string kind;  // its name in StepKinds()
  int repeats = 1;   // of each of its readings: its own, or else the scenario's
  std::unique_ptr<Step> step;
};

struct Scenario {
  std::filesystem::path file;
  std::string text;  // the whole file, for the result
  std::string name;
  std::uint64_t seed = 1;
  int repeats = 1;              // of each reading, where a step has none of its own
  double memory_mb = 12288;     // that all steps stay under
  std::size_t processes = 300;  // children at a time
  std::vector<PlannedStep> steps;
};

// Throws ScenarioError with file and key for whatever makes no sense. With `only` not empty, steps of other
// kinds are checked and then left out.
Scenario LoadScenario(const std::filesystem::path& file, const std::map<std::string, StepFactory>& kinds,
                      const std::vector<std::string>& only = {});

// Throws ScenarioError with the file and the step's key if a step needs more than there is.
void CheckNeeds(const Scenario& scenario, const MachineLimits& machine);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_SCENARIO_HPP_
