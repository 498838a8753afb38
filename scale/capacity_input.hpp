// The committed files that say what the target is, and by which formulas its demand follows from what was
// measured.
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

// docs/capacity/targets.toml: [targets], [budgets] and [assumptions], whose names are one space.
struct Targets {
  std::map<std::string, double> values;
  std::vector<Assumption> assumptions;  // by name
};

// A figure of a role, at the target.
struct RoleRow {
  std::string key;      // "row[3]", counted from 1
  std::string role;     // "sidecar"
  std::string figure;   // "memory"
  std::string unit;     // of demand and budget
  std::string when;     // "ordinary", "worst" (second) or "day"
  std::string formula;  // of the demand
  std::string budget;   // a formula too; empty where neither the target nor an assumption limits the figure
  std::string at;       // a formula of the size that bare slopes are used at; may be empty
  std::string mechanism;
};

// docs/capacity/roles.toml: [formulas] that others may name, and [[row]]s.
struct Roles {
  std::filesystem::path file;
  std::map<std::string, std::string> formulas;
  std::vector<RoleRow> rows;
};

// Both throw ScenarioError with file and key.
Targets ReadTargets(const std::filesystem::path& file);
Roles ReadRoles(const std::filesystem::path& file);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_CAPACITY_INPUT_HPP_
