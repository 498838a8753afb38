// The command line of rookhub_scale.
#ifndef MERLINRUN_SCALE_COMMANDS_HPP_
#define MERLINRUN_SCALE_COMMANDS_HPP_

#include <functional>
#include <map>
#include <string>

#include "scale/step.hpp"

namespace merlinrun::scale {

// Returns the exit status. Whatever is wrong is told in one line on standard error. `kinds` and `should_stop`
// stand in for StepKinds() and for the signals in tests.
int RunCommand(int argc, const char* const* argv, const std::map<std::string, StepFactory>& kinds,
               const std::function<bool()>& should_stop);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_COMMANDS_HPP_
