// What every step of a scale run is made of: its parameters from the scenario, what it needs of the machine,
// and the samples that it leaves.
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

// A scenario that cannot be played. `what()` is one plain line with the file and the key.
class ScenarioError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// What a step takes at its height, over this process and its children. Checked before anything is started.
struct Needs {
  std::size_t descriptors = 0;  // of the process that holds most of them
  std::size_t ports = 0;        // listening ones, of all processes
  std::size_t processes = 0;    // children
  double memory_mb = 0;         // of all processes together
};

// One reading: a figure by name, under the conditions by name that it was taken under. Conditions are what
// was set, not what was found: "listed" = 4000. Units stand in the names of figures: "_bytes", "_us", "_ms",
// "_per_s".
struct Sample {
  std::string measure;  // the step's kind, or a part of it
  std::map<std::string, double> conditions;
  std::map<std::string, double> figures;
  int repeat = 0;
};

// Takes samples as they are read, so that an interrupted run leaves what it measured.
class Recorder {
 public:
  virtual ~Recorder() = default;
  virtual void Add(Sample sample) = 0;
};

// A step's own table of the scenario, read by name. Every call throws ScenarioError, with file and key, for a
// value of another type or out of its range; keys that no call has named are an error once the step is made.
class Parameters {
 public:
  virtual ~Parameters() = default;
  virtual std::int64_t Integer(const std::string& key, std::int64_t standard, std::int64_t least,
                               std::int64_t most) = 0;
  virtual double Number(const std::string& key, double standard, double least, double most) = 0;
  virtual bool Flag(const std::string& key, bool standard) = 0;
  virtual std::string Word(const std::string& key, const std::string& standard) = 0;
  // Sizes to measure at, in the order in which they stand; at least one.
  virtual std::vector<std::int64_t> Integers(const std::string& key,
                                             const std::vector<std::int64_t>& standard, std::int64_t least,
                                             std::int64_t most) = 0;
  // For what no single call sees: a ScenarioError that names the file and this key.
  [[noreturn]] virtual void Reject(const std::string& key, const std::string& reason) const = 0;
};

struct Context {
  Recorder& recorder;
  std::uint64_t seed = 1;             // each step draws its own from it, by a library's generator
  int repeats = 1;                    // of each reading
  std::filesystem::path sidecar;      // the shipped program
  std::filesystem::path relay;        // the fan-out tier's program
  std::filesystem::path scratch;      // an empty folder for configuration files and logs
  std::function<bool()> should_stop;  // interrupted: end soon, with what there is
};

class Step {
 public:
  virtual ~Step() = default;
  virtual Needs Requires() const = 0;
  // Throws std::runtime_error if it cannot go on; what it has recorded stays.
  virtual void Run(Context& context) = 0;
};

using StepFactory = std::unique_ptr<Step> (*)(Parameters& parameters);

// All kinds of step by the name that scenarios give them: scale/steps.cpp.
const std::map<std::string, StepFactory>& StepKinds();

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_STEP_HPP_
