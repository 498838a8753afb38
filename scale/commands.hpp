// The command line of rookhub_scale.
#ifndef MERLINRUN_SCALE_COMMANDS_HPP_
#define MERLINRUN_SCALE_COMMANDS_HPP_

#include <functional>
#include <map>
#include <string>

#include "scale/step.hpp"

namespace merlinrun::scale {

// Runs the program and returns its exit status. Errors are reported in one line on standard error. `kinds`
// and `should_stop` are parameters so that tests can replace StepKinds() and the signal handlers.
int RunCommand(int argc, const char* const* argv, const std::map<std::string, StepFactory>& kinds,
               const std::function<bool()>& should_stop);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_COMMANDS_HPP_
