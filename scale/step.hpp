// Interfaces of a step of a scale run: its parameters from the scenario, its resource requirements, and the
// samples that it records.
#ifndef MERLINRUN_SCALE_STEP_HPP_
#define MERLINRUN_SCALE_STEP_HPP_

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace merlinrun::scale {

// Thrown for invalid input, such as a scenario that cannot be run. `what()` is one line with the file and the
// key.
class ScenarioError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Resources that a step uses at its peak, in this process and its children. Checked against the limits before
// any step starts.
struct ResourceRequirements {
  std::size_t descriptors = 0;  // open at a time in the process that has the most of them
  std::size_t ports = 0;        // listening ports of all processes
  std::size_t processes = 0;    // child processes at a time
  double memory_mb = 0;         // sum over all processes
};

// The result of one measurement: named figures and the named conditions under which they were taken.
// Conditions are settings, not measured values, for example "listed" = 4000. The name of a figure ends with
// its unit: "_bytes", "_us", "_ms", "_per_s".
struct Sample {
  std::string measure;  // the step's kind, or the name of a part of the step
  std::map<std::string, double> conditions;
  std::map<std::string, double> figures;
  int repeat = 0;
};

// Receives each sample as soon as it is taken, so that an interrupted run keeps what was measured until then.
class Recorder {
 public:
  virtual ~Recorder() = default;
  virtual void Add(Sample sample) = 0;
};

// Reads the scenario's table of one step by key. Each function returns the default if the key is missing, and
// throws ScenarioError, with file and key, for a value of the wrong type or out of range. Keys that were not
// read while the step was created are reported as an error afterwards.
class Parameters {
 public:
  virtual ~Parameters() = default;
  virtual std::int64_t Integer(const std::string& key, std::int64_t default_value, std::int64_t min,
                               std::int64_t max) = 0;
  virtual double Number(const std::string& key, double default_value, double min, double max) = 0;
  virtual bool Flag(const std::string& key, bool default_value) = 0;
  virtual std::string String(const std::string& key, const std::string& default_value) = 0;
  // Returns the sizes to measure at, in the order of the file; there is at least one.
  virtual std::vector<std::int64_t> Integers(const std::string& key,
                                             const std::vector<std::int64_t>& default_value, std::int64_t min,
                                             std::int64_t max) = 0;
  // Throws a ScenarioError with the file and this key, for checks that involve more than one value.
  [[noreturn]] virtual void Reject(const std::string& key, const std::string& reason) const = 0;
};

// What a step can use while it runs.
struct Context {
  Recorder& recorder;
  std::uint64_t seed = 1;             // for random number generators; each step derives its own seeds from it
  int repeats = 1;                    // of each measurement
  std::filesystem::path sidecar;      // the sidecar's program
  std::filesystem::path relay;        // the relay's program
  std::filesystem::path scratch;      // an empty folder for configuration files and logs of this step
  std::function<bool()> should_stop;  // true once the run was interrupted; the step should return soon
};

class Step {
 public:
  virtual ~Step() = default;
  virtual ResourceRequirements Requirements() const = 0;
  // Runs the step and records its samples. Throws std::runtime_error on failure. Samples that were recorded
  // before are kept.
  virtual void Run(Context& context) = 0;
};

using StepFactory = std::unique_ptr<Step> (*)(Parameters& parameters);

// Returns the factories of all kinds of step, by the kind that scenarios name. Defined in scale/steps.cpp.
const std::map<std::string, StepFactory>& StepKinds();

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_STEP_HPP_
