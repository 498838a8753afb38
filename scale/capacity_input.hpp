// Reads the input files of the capacity model: the target, and the formulas that derive its demand from
// measured figures.
#ifndef MERLINRUN_SCALE_CAPACITY_INPUT_HPP_
#define MERLINRUN_SCALE_CAPACITY_INPUT_HPP_

#include <filesystem>
#include <map>
#include <string>
#include <vector>

namespace merlinrun::scale {

struct Assumption {
  std::string name;
  std::string reason;
};

// docs/capacity/targets.toml: [targets], [budgets] and [assumptions]. Names must be unique over all three.
struct Targets {
  std::map<std::string, double> values;
  std::vector<Assumption> assumptions;  // sorted by name
};

// The demand for one figure of a role at the target.
struct RoleRow {
  std::string key;        // "row[3]", numbered from 1
  std::string role;       // "sidecar"
  std::string figure;     // "memory"
  std::string unit;       // of demand and budget
  std::string when;       // "ordinary", "worst" (the worst second) or "day"
  std::string formula;    // of the demand
  std::string budget;     // a formula; empty if neither the target nor an assumption limits the figure
  std::string at;         // a formula for the size at which slopes without an argument are used; may be empty
  std::string mechanism;  // what keeps the role within its budget, or would; may be empty
};

// docs/capacity/roles.toml: [formulas], whose names other formulas may use, and the [[row]]s.
struct Roles {
  std::filesystem::path file;
  std::map<std::string, std::string> formulas;
  std::vector<RoleRow> rows;
};

// Both throw ScenarioError with file and key for invalid content.
Targets ReadTargets(const std::filesystem::path& file);
Roles ReadRoles(const std::filesystem::path& file);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_CAPACITY_INPUT_HPP_
