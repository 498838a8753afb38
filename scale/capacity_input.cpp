#include "scale/capacity_input.hpp"

#include <limits>

#include "scale/table_reader.hpp"

namespace merlinrun::scale {
namespace {

constexpr double kMaxValue = std::numeric_limits<double>::max();

// A value is a number, or a table of `value` with `unit` and `reason`, which explain it to readers of the
// file.
void ReadValues(const std::filesystem::path& file, const std::string& section, const toml::table& table,
                Targets& targets) {
  std::string prefix = section + ".";
  TableReader reader(file, prefix, table);
  for (const auto& [key, node] : table) {
    const std::string name(key.str());
    if (targets.values.contains(name)) reader.Reject(name, "is defined twice");
    std::string reason;
    if (node.is_table()) {
      prefix.resize(section.size() + 1);
      prefix.append(name).append(".");
      TableReader entry(file, prefix, *node.as_table());
      if (!entry.Has("value")) entry.Reject("value", "is missing");
      targets.values[name] = entry.Number("value", 0, -kMaxValue, kMaxValue);
      entry.String("unit", "");
      reason = entry.String("reason", "");
      entry.RejectUnusedKeys();
    } else {
      targets.values[name] = reader.Number(name, 0, -kMaxValue, kMaxValue);
    }
    if (section != "assumptions") continue;
    if (reason.empty()) reader.Reject(name, "an assumption needs a reason");
    targets.assumptions.push_back({name, reason});
  }
}

}  // namespace

Targets ReadTargets(const std::filesystem::path& file) {
  const toml::table root = ParseToml(file, ReadText(file));
  TableReader reader(file, "", root);
  Targets targets;
  for (const char* section : {"targets", "budgets", "assumptions"}) {
    const toml::table* table = reader.Table(section);
    if (table == nullptr) reader.Reject(section, "is missing");
    ReadValues(file, section, *table, targets);
  }
  reader.RejectUnusedKeys();
  return targets;
}

Roles ReadRoles(const std::filesystem::path& file) {
  const toml::table root = ParseToml(file, ReadText(file));
  TableReader reader(file, "", root);
  Roles roles;
  roles.file = file;
  if (const toml::table* formulas = reader.Table("formulas")) {
    TableReader formula_reader(file, "formulas.", *formulas);
    for (const auto& [key, node] : *formulas) {
      const std::string name(key.str());
      roles.formulas[name] = formula_reader.RequiredString(name);
    }
  }
  for (const toml::table* table : reader.Tables("row")) {
    RoleRow row;
    row.key = "row[" + std::to_string(roles.rows.size() + 1) + "]";
    TableReader entry(file, row.key + ".", *table);
    row.role = entry.RequiredString("role");
    row.figure = entry.RequiredString("figure");
    row.unit = entry.RequiredString("unit");
    row.when = entry.RequiredString("when");
    if (row.when != "ordinary" && row.when != "worst" && row.when != "day") {
      entry.Reject("when", "must be ordinary, worst or day");
    }
    row.formula = entry.RequiredString("formula");
    row.budget = entry.String("budget", "");
    row.at = entry.String("at", "");
    row.mechanism = entry.String("mechanism", "");
    entry.RejectUnusedKeys();
    roles.rows.push_back(row);
  }
  reader.RejectUnusedKeys();
  if (roles.rows.empty()) reader.Reject("row", "there are no rows");
  return roles;
}

}  // namespace merlinrun::scale
