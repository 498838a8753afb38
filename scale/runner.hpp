// Runs a scenario: one step after the other. Samples of a step are kept even if it fails.
#ifndef MERLINRUN_SCALE_RUNNER_HPP_
#define MERLINRUN_SCALE_RUNNER_HPP_

#include <filesystem>
#include <functional>

#include "scale/scenario.hpp"

namespace merlinrun::scale {

// Exit statuses of the program.
inline constexpr int kDone = 0;
inline constexpr int kFailed = 1;       // a step failed, or the tables of a page differ from the results
inline constexpr int kBadInput = 2;     // invalid input or arguments; no step was started
inline constexpr int kInterrupted = 3;  // ended early by a signal; the result holds the samples until then

struct RunOptions {
  std::filesystem::path out;      // the folder that result.json is written to
  std::filesystem::path sidecar;  // the sidecar's program
  std::filesystem::path relay;    // the relay's program; may be missing
  std::function<bool()> should_stop;
};

// Returns the exit status; if it is not 0, the result is marked as partial. Throws ScenarioError before any
// step is started if the output folder cannot be used, and std::runtime_error if the result cannot be written
// later.
int RunScenario(const Scenario& scenario, const RunOptions& options);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_RUNNER_HPP_
