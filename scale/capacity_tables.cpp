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

// A line of a Markdown table. Bars in a cell would end it.
std::string Row(std::vector<std::string> cells) {
  for (std::string& cell : cells) boost::replace_all(cell, "|", "\\|");
  return "| " + boost::join(cells, " | ") + " |\n";
}

std::string Head(const std::vector<std::string>& names) {
  return Row(names) + Row(std::vector<std::string>(names.size(), "---"));
}

std::string FactorOf(double factor) { return Short(factor) + (factor > 1 ? " over" : " under"); }

std::string FactorOf(const Demand& demand) { return demand.budget ? FactorOf(demand.Factor()) : "-"; }

std::string Past(const Demand& demand) {
  if (demand.past_unknown) return "size not stated";
  if (!demand.past) return "no slope in it";
  return (*demand.past > 1 ? "yes, " : "no, ") + Short(*demand.past) + " of the largest size";
}

const Demand& Worst(const std::vector<Demand>& demands) {
  return *std::max_element(demands.begin(), demands.end(),
                           [](const Demand& a, const Demand& b) { return a.Factor() < b.Factor(); });
}

// A slope, whatever other conditions it was taken under.
using SlopeName = std::tuple<std::string, std::string, std::string>;
SlopeName NameOf(const SeriesName& name) { return {name.measure, name.figure, name.condition}; }

// The slopes that a row rests on, under all conditions that they were taken under, so that what rests on one
// is seen beside its counterpart: real beside hollow, with relays beside without.
std::string SlopesTable(const std::vector<FittedRun>& runs, const std::vector<Demand>& demands) {
  std::set<SlopeName> used;
  for (const Demand& demand : demands)
    for (const SeriesName& name : demand.series) used.insert(NameOf(name));
  std::string text =
      Head({"slope", "run", "per one more", "at none", "Theil-Sen", "sizes", "two decades", "residual rms",
            "residual largest", "spread of repeats", "exponent", "exponent of the increase"});
  for (const FittedRun& run : runs) {
    const std::string name = run.result.partial ? run.name + ", partial" : run.name;
    for (const auto& [series_name, series] : run.series) {
      if (!series.line || !used.contains(NameOf(series_name))) continue;  // too few sizes, or of no row
      std::vector<std::string> sizes;
      for (const double size : series.sizes) sizes.push_back(Short(size));
      std::vector<std::string> cells = {ToString(series_name), name};
      cells.insert(cells.end(),
                   {Short(series.line->slope), Short(series.line->intercept), Short(series.theil_sen)});
      cells.insert(cells.end(), {boost::join(sizes, ", "), series.TwoDecades() ? "yes" : "no"});
      cells.push_back(Percent(series.residual_rms));
      cells.push_back(Percent(series.residual_largest));
      cells.push_back(Percent(series.spread));
      cells.push_back(ShortOrDash(series.exponent));
      cells.push_back(ShortOrDash(series.increase_exponent));
      text += Row(cells);
    }
  }
  return text;
}

std::string RolesTable(const std::vector<Demand>& demands) {
  std::string text = Head({"role", "figure", "when", "demand", "budget", "unit", "of the budget", "rests on",
                           "formula", "extrapolated", "mechanism"});
  for (const Demand& demand : demands) {
    const RoleRow& row = *demand.row;
    text += Row({row.role, row.figure, row.when, Short(demand.demand), ShortOrDash(demand.budget), row.unit,
                 FactorOf(demand),
                 demand.rests_on.empty() ? "nothing measured" : boost::join(demand.rests_on, "; "),
                 "`" + row.formula + "`", Past(demand),
                 row.mechanism.empty() && demand.budget ? "missing" : row.mechanism});
  }
  return text;
}

// Each role by its row that is worst.
std::string RankingTable(const std::vector<Demand>& demands) {
  std::map<std::string, const Demand*> worst;
  for (const Demand& demand : demands) {
    if (!demand.budget) continue;
    const Demand*& known = worst[demand.row->role];
    if (known == nullptr || demand.Factor() > known->Factor()) known = &demand;
  }
  std::vector<const Demand*> ranked;
  ranked.reserve(worst.size());
  for (const auto& [role, demand] : worst) ranked.push_back(demand);
  std::stable_sort(ranked.begin(), ranked.end(),
                   [](const Demand* a, const Demand* b) { return a->Factor() > b->Factor(); });
  std::string text = Head({"rank", "role", "figure", "when", "demand", "budget", "unit", "of the budget"});
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    const RoleRow& row = *ranked[i]->row;
    text += Row({std::to_string(i + 1), row.role, row.figure, row.when, Short(ranked[i]->demand),
                 ShortOrDash(ranked[i]->budget), row.unit, FactorOf(*ranked[i])});
  }
  return text;
}

std::string WorstCell(const std::vector<Demand>& demands) {
  const Demand& worst = Worst(demands);
  return FactorOf(worst) + " (" + worst.row->role + ", " + worst.row->figure + ", " + worst.row->when + ")";
}

// The row whose factor an assumption moves most, in ratio, and from where to where.
std::string MovedCell(const std::vector<Demand>& half, const std::vector<Demand>& twice) {
  std::size_t most = 0;
  double largest = 0;
  for (std::size_t i = 0; i < half.size(); ++i) {
    if (!half[i].budget) continue;
    const double moved = std::abs(std::log(twice[i].Factor() / half[i].Factor()));
    if (moved > largest) {
      largest = moved;
      most = i;
    }
  }
  if (largest < 1e-9) return "nothing";
  const RoleRow& row = *half[most].row;
  return Short(half[most].Factor()) + " to " + Short(twice[most].Factor()) + " (" + row.role + ", " +
         row.figure + ", " + row.when + ")";
}

std::string AssumptionsTable(const CapacityModel& model, const std::vector<Demand>& demands) {
  std::string text = Head(
      {"assumption", "value", "reason", "worst at half", "worst as it is", "worst at twice", "moves most"});
  for (const Assumption& assumption : model.targets().assumptions) {
    const double value = model.targets().values.at(assumption.name);
    const std::vector<Demand> half = model.Demands({{assumption.name, value / 2}});
    const std::vector<Demand> twice = model.Demands({{assumption.name, value * 2}});
    text += Row({assumption.name, Short(value), OneLine(assumption.reason), WorstCell(half),
                 WorstCell(demands), WorstCell(twice), MovedCell(half, twice)});
  }
  return text;
}

// The slopes of a row that a later run does not have within the first one's spread of repeats.
std::string Outside(const Demand& demand, const FittedRun& first, const FittedRun& later) {
  std::vector<std::string> outside;
  for (const SeriesName& name : demand.series) {
    const auto one = first.series.find(name);
    const auto other = later.series.find(name);
    if (one == first.series.end() || other == later.series.end()) continue;
    if (!WithinSpread(one->second, other->second).value_or(true)) outside.push_back(ToString(name));
  }
  return outside.empty() ? "none" : boost::join(outside, "; ");
}

// How far the runs agree on what each row's demand comes to.
std::string AgreementTable(const CapacityModel& model, const std::vector<Demand>& demands) {
  const std::vector<FittedRun>& runs = model.runs();
  if (runs.size() < 2) return "One result alone: nothing to compare.\n";
  std::string text;
  for (std::size_t later = 1; later < runs.size(); ++later) {
    if (later > 1) text += "\n";
    text += Head({"role", "figure", "when", "by " + runs[0].name, "by " + runs[later].name, "ratio",
                  "slopes outside the first one's spread"});
    for (const Demand& demand : demands) {
      if (demand.rests_on.empty()) continue;
      const RoleRow& row = *demand.row;
      const auto first = model.DemandBy(runs[0], row);
      const auto again = model.DemandBy(runs[later], row);
      const bool both = first && again;
      text += Row({row.role, row.figure, row.when, ShortOrDash(first), ShortOrDash(again),
                   both && *first != 0 ? Short(*again / *first) : "-",
                   both ? Outside(demand, runs[0], runs[later]) : "not in both"});
    }
  }
  return text;
}

std::string Start(const std::string& name) { return "<!-- table " + name + " -->\n"; }
std::string End(const std::string& name) { return "<!-- end " + name + " -->\n"; }

struct Place {
  std::size_t at;
  std::size_t size;
};

// Of the text between a table's markers.
Place Find(const std::filesystem::path& page, const std::string& text, const std::string& name) {
  const std::string start = Start(name);
  const std::size_t found = text.find(start);
  const std::size_t end = found == std::string::npos ? found : text.find(End(name), found);
  if (end == std::string::npos) RejectInput(page, "table " + name, "has no place between its markers");
  if (text.find(start, found + 1) != std::string::npos) RejectInput(page, "table " + name, "has two places");
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

std::string Marked(const Table& table) { return Start(table.name) + table.text + End(table.name); }

std::string ReplaceTables(const std::filesystem::path& page, std::string text,
                          const std::vector<Table>& tables) {
  for (const Table& table : tables) {
    const Place place = Find(page, text, table.name);
    text.replace(place.at, place.size, table.text);
  }
  return text;
}

std::vector<std::string> DifferingTables(const std::filesystem::path& page, const std::string& text,
                                         const std::vector<Table>& tables) {
  std::vector<std::string> differing;
  for (const Table& table : tables) {
    const Place place = Find(page, text, table.name);
    if (text.compare(place.at, place.size, table.text) != 0) differing.push_back(table.name);
  }
  return differing;
}

}  // namespace merlinrun::scale
