// What a scale run leaves: DIR/result.json, written whole or not at all, and read back with its errors told.
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
  std::string scenario;       // its name
  std::string scenario_text;  // the whole file
  std::uint64_t seed = 1;
  int repeats = 1;
  std::string started;  // UTC, ISO 8601
  double seconds = 0;   // since then
  Machine machine;
  std::string build;                 // the build type, and whether sanitizers are in
  bool partial = false;              // not all of the scenario was measured
  std::vector<std::string> reasons;  // why it is partial
  std::vector<Sample> samples;
};

// How this program was built.
std::string BuildType();

// The present time in UTC, ISO 8601.
std::string UtcNow();

std::filesystem::path ResultFile(const std::filesystem::path& folder);

// Throws ScenarioError if the folder holds a result already, which is never overwritten, or cannot be made.
void PrepareFolder(const std::filesystem::path& folder);

// Replaces the run's own file in one move. Throws std::runtime_error if it cannot be written.
void WriteResult(const Result& result, const std::filesystem::path& folder);

// Writes a text file in one move. Throws std::runtime_error if it cannot be written.
void WriteFile(const std::filesystem::path& file, const std::string& text);

// Throws ScenarioError with file and key for a file that is not a whole result.
Result ReadResult(const std::filesystem::path& folder);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_RESULTS_HPP_
