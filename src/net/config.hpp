// The configuration of a sidecar: a JSON file and a few environment variables.
#ifndef MERLINRUN_NET_CONFIG_HPP_
#define MERLINRUN_NET_CONFIG_HPP_

#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "discovery.hpp"
#include "protocol.hpp"
#include "wire.hpp"

namespace merlinrun::net {

// The configuration cannot be used. The message is one line of text.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A parsed and checked configuration.
struct Config {
  std::string name;
  Tcp::endpoint listen;
  Tcp::endpoint discovery;
  std::uint64_t seed = 0;
  std::size_t descriptor_limit = 1024;               // maximum number of open file descriptors
  std::size_t memory_limit = std::size_t{64} << 20;  // maximum memory use in bytes
  std::optional<Tcp::endpoint> management;           // address of the management endpoint, if there is one
  std::optional<int> accept_fd;                      // inherited listening socket for clients, if any
  std::string shared_dir;                            // shared with the next version's process; empty = none
  std::vector<std::string> class_names;              // as spelled in the settings, by class index
  drill::WireSettings wire;                          // the settings of the balancer
  EndpointList last_known_list;                      // the last list of servers that this sidecar had
};

// Converts the JSON settings to the `path=value` pairs that drill::ParseSettings reads, so that the sidecar
// and merlinrun_drill, the balancer's adapter for the simulator, share one mapping of setting names.
std::string Flatten(const nlohmann::json& settings);

// Replaces the spaces and commas of a name by underscores, as both are separators in the `path=value` pairs.
std::string ToWireName(std::string_view name);

// Values from the environment that replace those of the file; an empty string replaces nothing.
struct Overrides {
  std::string listen;
  std::string discovery;
  std::string management;
};

// Parses the text of a configuration file. Throws ConfigError if it is invalid.
Config ParseConfig(const std::string& text, const Overrides& overrides = {});

// Looks up an environment variable by name; null if it is not set.
using Environment = std::function<const char*(const char*)>;

// Reads the configuration at the start: the file that EDGE_CONFIG names, the other EDGE_* variables and
// TMPDIR. Throws ConfigError if any of them is invalid.
Config LoadConfig(const Environment& environment);

// Reads the file again after it was replaced. The file's discovery address applies this time: EDGE_DISCOVERY
// is ignored, since it still holds the address given at the start.
Config ReloadConfig(const Environment& environment);

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_CONFIG_HPP_
