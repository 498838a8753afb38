// The command line of rookhub_relay.
#ifndef MERLINRUN_RELAY_OPTIONS_HPP_
#define MERLINRUN_RELAY_OPTIONS_HPP_

#include <stdexcept>
#include <string>
#include <vector>

#include "relay/relay.hpp"

namespace merlinrun::relay {

// An invalid command line. what() is one line.
class OptionsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Parses `arguments`, which exclude the program's name, into `config`. Throws OptionsError if they are
// invalid. If help is requested, prints it, leaves `config` unchanged and returns false. The limit on
// connections is derived from the process's limit on file descriptors.
bool ParseOptions(const std::vector<std::string>& arguments, Config& config);

}  // namespace merlinrun::relay

#endif  // MERLINRUN_RELAY_OPTIONS_HPP_
