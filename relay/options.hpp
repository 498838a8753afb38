// What the command line says.
#ifndef MERLINRUN_RELAY_OPTIONS_HPP_
#define MERLINRUN_RELAY_OPTIONS_HPP_

#include <stdexcept>
#include <string>
#include <vector>

#include "relay/relay.hpp"

namespace merlinrun::relay {

// A command line that makes no sense. `what()` is one plain line.
class OptionsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// `arguments` without the program's name. Throws OptionsError; prints the help and leaves `config` untouched
// if that is asked for: false then. The limit of connections follows from the descriptors that are allowed.
bool ParseOptions(const std::vector<std::string>& arguments, Config& config);

}  // namespace merlinrun::relay

#endif  // MERLINRUN_RELAY_OPTIONS_HPP_
