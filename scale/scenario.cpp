#include "scale/scenario.hpp"

#include <algorithm>
#include <limits>
#include <sstream>
#include <utility>

#include "scale/table_reader.hpp"

namespace merlinrun::scale {
namespace {

constexpr double kMaxMemoryMb = 12288;
constexpr std::int64_t kMaxProcesses = 300;

int Repeats(TableReader& reader, int default_value) {
  return static_cast<int>(reader.Integer("repeats", default_value, 1, 100));
}

PlannedStep MakeStep(const std::filesystem::path& file, std::size_t number, const toml::table& table,
                     int repeats, const std::map<std::string, StepFactory>& kinds) {
  PlannedStep planned;
  planned.key = "step[" + std::to_string(number) + "]";
  TableReader parameters(file, planned.key + ".", table);
  planned.kind = parameters.RequiredString("kind");
  const auto kind = kinds.find(planned.kind);
  if (kind == kinds.end()) parameters.Reject("kind", "no kind of step is named " + planned.kind);
  planned.repeats = Repeats(parameters, repeats);
  planned.step = kind->second(parameters);
  parameters.RejectUnusedKeys();
  return planned;
}

void CheckRequirement(const Scenario& scenario, const PlannedStep& step, const std::string& resource,
                      double needed, double available) {
  if (needed <= available) return;
  std::ostringstream reason;
  reason.precision(12);
  reason << step.kind << " needs " << needed << " " << resource << ", there are " << available;
  RejectInput(scenario.file, step.key, reason.str());
}

}  // namespace

Scenario LoadScenario(const std::filesystem::path& file, const std::map<std::string, StepFactory>& kinds,
                      const std::vector<std::string>& selected_kinds) {
  Scenario scenario;
  scenario.file = file;
  scenario.text = ReadText(file);
  const toml::table root = ParseToml(file, scenario.text);
  TableReader reader(file, "", root);
  scenario.name = reader.RequiredString("name");
  scenario.seed =
      static_cast<std::uint64_t>(reader.Integer("seed", 1, 0, std::numeric_limits<std::int64_t>::max()));
  scenario.repeats = Repeats(reader, 1);
  if (const toml::table* limits = reader.Table("limits")) {
    TableReader limits_reader(file, "limits.", *limits);
    scenario.memory_mb = limits_reader.Number("memory_mb", kMaxMemoryMb, 1, kMaxMemoryMb);
    scenario.processes =
        static_cast<std::size_t>(limits_reader.Integer("processes", kMaxProcesses, 0, kMaxProcesses));
    limits_reader.RejectUnusedKeys();
  }
  const std::vector<const toml::table*> tables = reader.Tables("step");
  reader.RejectUnusedKeys();
  if (tables.empty()) reader.Reject("step", "there are no steps");
  for (std::size_t i = 0; i < tables.size(); ++i) {
    PlannedStep planned = MakeStep(file, i + 1, *tables[i], scenario.repeats, kinds);
    const bool is_selected = selected_kinds.empty() || std::find(selected_kinds.begin(), selected_kinds.end(),
                                                                 planned.kind) != selected_kinds.end();
    if (is_selected) scenario.steps.push_back(std::move(planned));
  }
  if (scenario.steps.empty()) reader.Reject("step", "no step has one of the selected kinds");
  return scenario;
}

void CheckRequirements(const Scenario& scenario, const MachineLimits& machine) {
  const double memory_mb = std::min(scenario.memory_mb, machine.memory_mb);
  for (const PlannedStep& step : scenario.steps) {
    const ResourceRequirements requirements = step.step->Requirements();
    CheckRequirement(scenario, step, "descriptors", static_cast<double>(requirements.descriptors),
                     static_cast<double>(machine.descriptors));
    CheckRequirement(scenario, step, "ports", static_cast<double>(requirements.ports),
                     static_cast<double>(machine.ports));
    CheckRequirement(scenario, step, "processes", static_cast<double>(requirements.processes),
                     static_cast<double>(scenario.processes));
    CheckRequirement(scenario, step, "MB of memory", requirements.memory_mb, memory_mb);
  }
}

}  // namespace merlinrun::scale
