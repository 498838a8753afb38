#include "scale/capacity_tables.hpp"

#include <algorithm>
#include <boost/algorithm/string/join.hpp>
#include <boost/algorithm/string/replace.hpp>
#include <cmath>
#include <map>
#include <set>
#include <tuple>

#include "scale/numbers.hpp"
#include "scale/table_reader.hpp"

namespace merlinrun::scale {
namespace {

// Returns a row of a Markdown table. Vertical bars in cells are escaped, as they would end the cell.
std::string Row(std::vector<std::string> cells) {
  for (std::string& cell : cells) boost::replace_all(cell, "|", "\\|");
  return "| " + boost::join(cells, " | ") + " |\n";
}

std::string HeaderRows(const std::vector<std::string>& names) {
  return Row(names) + Row(std::vector<std::string>(names.size(), "---"));
}

std::string FactorText(double factor) { return FormatNumber(factor) + (factor > 1 ? " over" : " under"); }

std::string FactorText(const Demand& demand) { return demand.budget ? FactorText(demand.Factor()) : "-"; }

std::string ExtrapolationText(const Demand& demand) {
  if (demand.size_unknown) return "size not stated";
  if (!demand.size_ratio) return "no slope in it";
  return (*demand.size_ratio > 1 ? "yes, " : "no, ") + FormatNumber(*demand.size_ratio) +
         " of the largest size";
}

const Demand& WorstDemand(const std::vector<Demand>& demands) {
  return *std::max_element(demands.begin(), demands.end(),
                           [](const Demand& a, const Demand& b) { return a.Factor() < b.Factor(); });
}

// Names a slope without the other conditions under which it was measured.
using SlopeName = std::tuple<std::string, std::string, std::string>;
SlopeName SlopeNameOf(const SeriesName& name) { return {name.measure, name.figure, name.condition}; }

// Shows every slope that a row uses, under all conditions under which it was measured. This puts each used
// slope next to its counterparts: real and simulated sidecars, with and without relays.
std::string SlopesTable(const std::vector<FittedRun>& runs, const std::vector<Demand>& demands) {
  std::set<SlopeName> used;
  for (const Demand& demand : demands)
    for (const SeriesName& name : demand.series) used.insert(SlopeNameOf(name));
  std::string text = HeaderRows({"slope", "run", "per one more", "at none", "Theil-Sen", "sizes",
                                 "two decades", "residual rms", "residual largest", "spread of repeats",
                                 "exponent", "exponent of the increase"});
  for (const FittedRun& run : runs) {
    const std::string name = run.result.partial ? run.name + ", partial" : run.name;
    for (const auto& [series_name, series] : run.series) {
      if (!series.line || !used.contains(SlopeNameOf(series_name)))
        continue;  // too few sizes, or not used by any row
      std::vector<std::string> sizes;
      for (const double size : series.sizes) sizes.push_back(FormatNumber(size));
      std::vector<std::string> cells = {ToString(series_name), name};
      cells.insert(cells.end(), {FormatNumber(series.line->slope), FormatNumber(series.line->intercept),
                                 FormatNumber(series.theil_sen)});
      cells.insert(cells.end(), {boost::join(sizes, ", "), series.SpansTwoDecades() ? "yes" : "no"});
      cells.push_back(FormatPercent(series.residual_rms));
      cells.push_back(FormatPercent(series.residual_largest));
      cells.push_back(FormatPercent(series.spread));
      cells.push_back(FormatNumberOrDash(series.exponent));
      cells.push_back(FormatNumberOrDash(series.increase_exponent));
      text += Row(cells);
    }
  }
  return text;
}

std::string RolesTable(const std::vector<Demand>& demands) {
  std::string text = HeaderRows({"role", "figure", "when", "demand", "budget", "unit", "of the budget",
                                 "measured values used", "formula", "extrapolated", "mechanism"});
  for (const Demand& demand : demands) {
    const RoleRow& row = *demand.row;
    text += Row({row.role, row.figure, row.when, FormatNumber(demand.demand),
                 FormatNumberOrDash(demand.budget), row.unit, FactorText(demand),
                 demand.sources.empty() ? "nothing measured" : boost::join(demand.sources, "; "),
                 "`" + row.formula + "`", ExtrapolationText(demand),
                 row.mechanism.empty() && demand.budget ? "missing" : row.mechanism});
  }
  return text;
}

// Ranks the roles, each by the row that needs the largest share of its budget.
std::string RankingTable(const std::vector<Demand>& demands) {
  std::map<std::string, const Demand*> worst;
  for (const Demand& demand : demands) {
    if (!demand.budget) continue;
    const Demand*& current = worst[demand.row->role];
    if (current == nullptr || demand.Factor() > current->Factor()) current = &demand;
  }
  std::vector<const Demand*> ranked;
  ranked.reserve(worst.size());
  for (const auto& [role, demand] : worst) ranked.push_back(demand);
  std::stable_sort(ranked.begin(), ranked.end(),
                   [](const Demand* a, const Demand* b) { return a->Factor() > b->Factor(); });
  std::string text =
      HeaderRows({"rank", "role", "figure", "when", "demand", "budget", "unit", "of the budget"});
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    const RoleRow& row = *ranked[i]->row;
    text += Row({std::to_string(i + 1), row.role, row.figure, row.when, FormatNumber(ranked[i]->demand),
                 FormatNumberOrDash(ranked[i]->budget), row.unit, FactorText(*ranked[i])});
  }
  return text;
}

std::string WorstCell(const std::vector<Demand>& demands) {
  const Demand& worst = WorstDemand(demands);
  return FactorText(worst) + " (" + worst.row->role + ", " + worst.row->figure + ", " + worst.row->when + ")";
}

// Names the row whose factor changes most, as a ratio, between half and twice the assumption's value, with
// both factors.
std::string MostAffectedCell(const std::vector<Demand>& half, const std::vector<Demand>& twice) {
  std::size_t most_affected = 0;
  double largest_change = 0;
  for (std::size_t i = 0; i < half.size(); ++i) {
    if (!half[i].budget) continue;
    const double change = std::abs(std::log(twice[i].Factor() / half[i].Factor()));
    if (change > largest_change) {
      largest_change = change;
      most_affected = i;
    }
  }
  if (largest_change < 1e-9) return "nothing";
  const RoleRow& row = *half[most_affected].row;
  return FormatNumber(half[most_affected].Factor()) + " to " + FormatNumber(twice[most_affected].Factor()) +
         " (" + row.role + ", " + row.figure + ", " + row.when + ")";
}

std::string AssumptionsTable(const CapacityModel& model, const std::vector<Demand>& demands) {
  std::string text = HeaderRows({"assumption", "value", "reason", "worst at half", "worst as it is",
                                 "worst at twice", "most affected row"});
  for (const Assumption& assumption : model.targets().assumptions) {
    const double value = model.targets().values.at(assumption.name);
    const std::vector<Demand> half = model.Demands({{assumption.name, value / 2}});
    const std::vector<Demand> twice = model.Demands({{assumption.name, value * 2}});
    text += Row({assumption.name, FormatNumber(value), OneLine(assumption.reason), WorstCell(half),
                 WorstCell(demands), WorstCell(twice), MostAffectedCell(half, twice)});
  }
  return text;
}

// Names the slopes of a row that differ between the two runs by more than the spread of the first run's
// repeats.
std::string SlopesOutsideSpread(const Demand& demand, const FittedRun& first, const FittedRun& later) {
  std::vector<std::string> outside;
  for (const SeriesName& name : demand.series) {
    const auto first_series = first.series.find(name);
    const auto later_series = later.series.find(name);
    if (first_series == first.series.end() || later_series == later.series.end()) continue;
    if (!WithinSpread(first_series->second, later_series->second).value_or(true))
      outside.push_back(ToString(name));
  }
  return outside.empty() ? "none" : boost::join(outside, "; ");
}

// Compares the demand of each row as computed from the first run and from each later run.
std::string AgreementTable(const CapacityModel& model, const std::vector<Demand>& demands) {
  const std::vector<FittedRun>& runs = model.runs();
  if (runs.size() < 2) return "One result alone: nothing to compare.\n";
  std::string text;
  for (std::size_t later = 1; later < runs.size(); ++later) {
    if (later > 1) text += "\n";
    text += HeaderRows({"role", "figure", "when", "by " + runs[0].name, "by " + runs[later].name, "ratio",
                        "slopes outside the first one's spread"});
    for (const Demand& demand : demands) {
      if (demand.sources.empty()) continue;
      const RoleRow& row = *demand.row;
      const auto first = model.DemandFromRun(runs[0], row);
      const auto again = model.DemandFromRun(runs[later], row);
      const bool both = first && again;
      text += Row({row.role, row.figure, row.when, FormatNumberOrDash(first), FormatNumberOrDash(again),
                   both && *first != 0 ? FormatNumber(*again / *first) : "-",
                   both ? SlopesOutsideSpread(demand, runs[0], runs[later]) : "not in both"});
    }
  }
  return text;
}

std::string StartMarker(const std::string& name) { return "<!-- table " + name + " -->\n"; }
std::string EndMarker(const std::string& name) { return "<!-- end " + name + " -->\n"; }

struct TextRange {
  std::size_t at;
  std::size_t size;
};

// Returns the range of the text between the markers of a table.
TextRange FindTable(const std::filesystem::path& page, const std::string& text, const std::string& name) {
  const std::string start = StartMarker(name);
  const std::size_t found = text.find(start);
  const std::size_t end = found == std::string::npos ? found : text.find(EndMarker(name), found);
  if (end == std::string::npos) RejectInput(page, "table " + name, "its markers are missing");
  if (text.find(start, found + 1) != std::string::npos)
    RejectInput(page, "table " + name, "its markers occur twice");
  return {found + start.size(), end - found - start.size()};
}

}  // namespace

std::vector<Table> CapacityTables(const CapacityModel& model) {
  const std::vector<Demand> demands = model.Demands();
  return {{"slopes", SlopesTable(model.runs(), demands)},
          {"roles", RolesTable(demands)},
          {"ranking", RankingTable(demands)},
          {"assumptions", AssumptionsTable(model, demands)},
          {"agreement", AgreementTable(model, demands)}};
}

std::string WithMarkers(const Table& table) {
  return StartMarker(table.name) + table.text + EndMarker(table.name);
}

std::string ReplaceTables(const std::filesystem::path& page, std::string text,
                          const std::vector<Table>& tables) {
  for (const Table& table : tables) {
    const TextRange range = FindTable(page, text, table.name);
    text.replace(range.at, range.size, table.text);
  }
  return text;
}

std::vector<std::string> DifferingTables(const std::filesystem::path& page, const std::string& text,
                                         const std::vector<Table>& tables) {
  std::vector<std::string> differing;
  for (const Table& table : tables) {
    const TextRange range = FindTable(page, text, table.name);
    if (text.compare(range.at, range.size, table.text) != 0) differing.push_back(table.name);
  }
  return differing;
}

}  // namespace merlinrun::scale
