// Plays a scenario: one step after the other, each with its samples kept, whatever becomes of it.
#ifndef MERLINRUN_SCALE_RUNNER_HPP_
#define MERLINRUN_SCALE_RUNNER_HPP_

#include <filesystem>
#include <functional>

#include "scale/scenario.hpp"

namespace merlinrun::scale {

// Exit statuses of the program.
inline constexpr int kDone = 0;
inline constexpr int kFailed = 1;       // a step failed, or a page differs from its results
inline constexpr int kBadInput = 2;     // nothing was started
inline constexpr int kInterrupted = 3;  // ended early by a signal, with what there was

struct RunOptions {
  std::filesystem::path out;      // the folder for result.json
  std::filesystem::path sidecar;  // the shipped program
  std::filesystem::path relay;    // the fan-out tier's program; may not be there
  std::function<bool()> should_stop;
};

// Returns the exit status; the result is marked partial if that is not 0. Throws ScenarioError before
// anything is started, and std::runtime_error if the result cannot be written.
int RunScenario(const Scenario& scenario, const RunOptions& options);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_RUNNER_HPP_
