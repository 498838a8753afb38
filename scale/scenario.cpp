#include "scale/scenario.hpp"

#include <algorithm>
#include <limits>
#include <sstream>
#include <utility>

#include "scale/table_reader.hpp"

namespace merlinrun::scale {
namespace {

constexpr double kMostMemoryMb = 12288;
constexpr std::int64_t kMostProcesses = 300;

int Repeats(TableReader& reader, int standard) {
  return static_cast<int>(reader.Integer("repeats", standard, 1, 100));
}

PlannedStep MakeStep(const std::filesystem::path& file, std::size_t number, const toml::table& table,
                     int repeats, const std::map<std::string, StepFactory>& kinds) {
  PlannedStep planned;
  planned.key = "step[" + std::to_string(number) + "]";
  TableReader parameters(file, planned.key + ".", table);
  planned.kind = parameters.Needed("kind");
  const auto kind = kinds.find(planned.kind);
  if (kind == kinds.end()) parameters.Reject("kind", "no kind of step is named " + planned.kind);
  planned.repeats = Repeats(parameters, repeats);
  planned.step = kind->second(parameters);
  parameters.RejectUnusedKeys();
  return planned;
}

void CheckNeed(const Scenario& scenario, const PlannedStep& step, const std::string& what, double needed,
               double there) {
  if (needed <= there) return;
  std::ostringstream reason;
  reason.precision(12);
  reason << step.kind << " needs " << needed << " " << what << ", there are " << there;
  RejectInput(scenario.file, step.key, reason.str());
}

}  // namespace

Scenario LoadScenario(const std::filesystem::path& file, const std::map<std::string, StepFactory>& kinds,
                      const std::vector<std::string>& only) {
  Scenario scenario;
  scenario.file = file;
  scenario.text = ReadText(file);
  const toml::table root = ParseToml(file, scenario.text);
  TableReader reader(file, "", root);
  scenario.name = reader.Needed("name");
  scenario.seed =
      static_cast<std::uint64_t>(reader.Integer("seed", 1, 0, std::numeric_limits<std::int64_t>::max()));
  scenario.repeats = Repeats(reader, 1);
  if (const toml::table* limits = reader.Table("limits")) {
    TableReader limit(file, "limits.", *limits);
    scenario.memory_mb = limit.Number("memory_mb", kMostMemoryMb, 1, kMostMemoryMb);
    scenario.processes =
        static_cast<std::size_t>(limit.Integer("processes", kMostProcesses, 0, kMostProcesses));
    limit.RejectUnusedKeys();
  }
  const std::vector<const toml::table*> tables = reader.Tables("step");
  reader.RejectUnusedKeys();
  if (tables.empty()) reader.Reject("step", "there are no steps");
  for (std::size_t i = 0; i < tables.size(); ++i) {
    PlannedStep planned = MakeStep(file, i + 1, *tables[i], scenario.repeats, kinds);
    const bool wanted = only.empty() || std::find(only.begin(), only.end(), planned.kind) != only.end();
    if (wanted) scenario.steps.push_back(std::move(planned));
  }
  if (scenario.steps.empty()) reader.Reject("step", "no step is of the kinds asked for");
  return scenario;
}

void CheckNeeds(const Scenario& scenario, const MachineLimits& machine) {
  const double memory_mb = std::min(scenario.memory_mb, machine.memory_mb);
  for (const PlannedStep& step : scenario.steps) {
    const Needs needs = step.step->Requires();
    CheckNeed(scenario, step, "descriptors", static_cast<double>(needs.descriptors),
              static_cast<double>(machine.descriptors));
    CheckNeed(scenario, step, "ports", static_cast<double>(needs.ports), static_cast<double>(machine.ports));
    CheckNeed(scenario, step, "processes", static_cast<double>(needs.processes),
              static_cast<double>(scenario.processes));
    CheckNeed(scenario, step, "MB of memory", needs.memory_mb, memory_mb);
  }
}

}  // namespace merlinrun::scale
