// Parsers of the simulator's line protocol: the fields of a line and the settings.
//
// The namespace `drill` is the adapter through which a simulator runs the balancer. The sidecar's
// configuration uses the same parser of settings.
#ifndef MERLINRUN_DRILL_WIRE_HPP_
#define MERLINRUN_DRILL_WIRE_HPP_

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "merlinrun/balancer.hpp"

namespace merlinrun::drill {

// Describes what is wrong with a line. Host adds the line's number and verb.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The space-separated fields of one line, read from left to right. `what` names the field in errors. Each
// function throws WireError if its field is missing or invalid.
class Fields {
 public:
  explicit Fields(std::string_view line) : rest_(line) {}
  std::string_view Word(const char* what);                    // never empty
  std::optional<std::int64_t> OptionalInt(const char* what);  // `-` means absent
  std::int64_t Int(const char* what);
  std::int64_t NonNegative(const char* what);
  std::uint64_t Unsigned(const char* what);
  double Number(const char* what);
  bool Bool(const char* what);
  std::string_view Rest();  // all remaining fields
  void End();               // throws if any field remains

 private:
  std::string_view rest_;
  bool any_left_ = true;
};

// The settings of one sidecar: those of the balancer, and the names whose positions are its indices of zones
// and machine types.
struct WireSettings {
  Settings settings;
  std::vector<std::string> zones;
  std::vector<std::string> machines;
};

// Parses settings in the form path=value, separated by spaces. Ignores unknown paths; absent ones have
// defaults.
WireSettings ParseSettings(std::string_view pairs);
// Parses the result of an attempt.
Result ParseResult(std::string_view word);
// Returns the field of a load report by its name in reports, or null if the name is unknown.
std::optional<double>* FindLoadField(LoadReport& load, std::string_view name);
// Parses name:value pairs, separated by commas. `-` means no report.
LoadReport ParseLoad(std::string_view pairs);
// Decodes bytes from hexadecimal digits. `-` means no bytes.
std::string ParseHex(std::string_view digits);
// Parses the state of a server.
ServerInfo::State ParseState(std::string_view word);

// Returns the index of a name in a list, or -1 if it is not there.
int IndexOf(const std::vector<std::string>& names, std::string_view name);

}  // namespace merlinrun::drill

#endif  // MERLINRUN_DRILL_WIRE_HPP_
