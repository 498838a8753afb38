// The result of a scale run: DIR/result.json, which is written atomically. Errors in a file that is read back
// are reported with file and key.
#ifndef MERLINRUN_SCALE_RESULTS_HPP_
#define MERLINRUN_SCALE_RESULTS_HPP_

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include "scale/machine.hpp"
#include "scale/step.hpp"

namespace merlinrun::scale {

struct Result {
  std::string scenario;       // name of the scenario
  std::string scenario_text;  // content of the scenario file
  std::uint64_t seed = 1;
  int repeats = 1;
  std::string started;  // UTC, ISO 8601
  double seconds = 0;   // duration since `started`
  Machine machine;
  std::string build;                 // the build type, and whether it was built with sanitizers
  bool partial = false;              // not everything of the scenario was measured
  std::vector<std::string> reasons;  // why it is partial
  std::vector<Sample> samples;
};

// Returns the build type of this program, with a note if it was built with sanitizers.
std::string BuildType();

// Returns the current time in UTC, as ISO 8601.
std::string UtcNow();

std::filesystem::path ResultFile(const std::filesystem::path& folder);

// Creates the folder for a result. Throws ScenarioError if it contains a result already, which is never
// overwritten, or if it cannot be created.
void PrepareFolder(const std::filesystem::path& folder);

// Writes or replaces the result file of this run atomically. Throws std::runtime_error if it cannot be
// written.
void WriteResult(const Result& result, const std::filesystem::path& folder);

// Writes a text file atomically: to a temporary file first, which is then renamed. Throws std::runtime_error
// if it cannot be written.
void WriteFile(const std::filesystem::path& file, const std::string& text);

// Throws ScenarioError with file and key for a file that is not a complete, valid result.
Result ReadResult(const std::filesystem::path& folder);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_RESULTS_HPP_
