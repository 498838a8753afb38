#include "scale/capacity.hpp"

#include <algorithm>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <cstdlib>
#include <utility>

#include "scale/formula.hpp"
#include "scale/table_reader.hpp"

namespace merlinrun::scale {
namespace {

using Conditions = std::map<std::string, double>;

// A name of something measured: "slope.list_size.memory_bytes.listed[real=0]".
struct MeasuredName {
  std::string kind;
  std::vector<std::string> parts;  // measure, figure and, but for medians, condition
  Conditions conditions;           // of the brackets
};

Conditions ParseConditions(const std::string& text) {
  Conditions conditions;
  std::vector<std::string> pairs;
  boost::split(pairs, text, boost::is_any_of(","));
  for (const std::string& pair : pairs) {
    const std::size_t equals = pair.find('=');
    char* end = nullptr;
    const char* number = equals == std::string::npos ? "" : pair.c_str() + equals + 1;
    const double value = std::strtod(number, &end);
    if (*number == '\0' || *end != '\0')
      throw FormulaError("[" + text + "] must be conditions as in [a=1,b=2]");
    conditions[pair.substr(0, equals)] = value;
  }
  return conditions;
}

std::optional<MeasuredName> ParseMeasured(const std::string& name) {
  MeasuredName parsed;
  const std::size_t bracket = name.find('[');
  boost::split(parsed.parts, name.substr(0, bracket), boost::is_any_of("."));
  parsed.kind = parsed.parts.front();
  parsed.parts.erase(parsed.parts.begin());
  const bool line = parsed.kind == "slope" || parsed.kind == "intercept" || parsed.kind == "line";
  if (!line && parsed.kind != "median") return std::nullopt;
  if (parsed.parts.size() != (line ? 3U : 2U)) return std::nullopt;
  if (bracket != std::string::npos) {
    parsed.conditions = ParseConditions(name.substr(bracket + 1, name.size() - bracket - 2));
  }
  return parsed;
}

bool Holds(const Conditions& all, const Conditions& some) {
  return std::all_of(some.begin(), some.end(), [&all](const auto& condition) {
    const auto found = all.find(condition.first);
    return found != all.end() && found->second == condition.second;
  });
}

std::string RunName(const FittedRun& run) { return run.result.partial ? run.name + ", partial" : run.name; }

// The values of one row's names, and what they rest on.
class Names {
 public:
  Names(const std::map<std::string, double>& values, const Roles& roles, std::span<const FittedRun> runs)
      : values_(values), roles_(roles), runs_(runs) {}

  double Value(const std::string& formula) {
    return Evaluate(formula, [this](const std::string& name, std::optional<double> argument) {
      return Named(name, argument);
    });
  }

  // Takes the size for slopes that stood without one.
  void UseBareSlopesAt(double size) {
    for (const double most : bare_) Use(size, most);
    bare_.clear();
  }

  void Fill(Demand& demand) const {
    demand.rests_on = rests_on_;
    demand.series = series_;
    demand.past = past_;
    demand.past_unknown = !bare_.empty();
  }

 private:
  double Named(const std::string& name, std::optional<double> argument) {
    if (const auto measured = ParseMeasured(name)) {
      if (measured->kind == "median") return NamedMedian(name, *measured, argument);
      return NamedLine(name, *measured, argument);
    }
    if (argument) throw FormulaError(name + " takes no argument");
    if (const auto value = values_.find(name); value != values_.end()) return value->second;
    const auto formula = roles_.formulas.find(name);
    if (formula == roles_.formulas.end()) throw FormulaError(name + " is not known");
    if (!open_.insert(name).second) throw FormulaError(name + " rests on itself");
    try {
      const double value = Value(formula->second);
      open_.erase(name);
      return value;
    } catch (const FormulaError& error) {
      throw FormulaError(name + ": " + error.what());
    }
  }

  double NamedMedian(const std::string& name, const MeasuredName& wanted, std::optional<double> argument) {
    if (argument) throw FormulaError(name + " takes no argument");
    for (const FittedRun& run : runs_) {
      std::set<Conditions> under;
      std::vector<double> values;
      for (const Sample& sample : run.result.samples) {
        const auto figure = sample.figures.find(wanted.parts[1]);
        if (sample.measure != wanted.parts[0] || figure == sample.figures.end()) continue;
        if (!Holds(sample.conditions, wanted.conditions)) continue;
        under.insert(sample.conditions);
        values.push_back(figure->second);
      }
      if (under.size() > 1)
        throw FormulaError(name + " was taken under several conditions: choose by [name=value]");
      if (values.empty()) continue;
      rests_on_.insert(name + " (" + RunName(run) + ")");
      return Median(std::move(values));
    }
    throw FormulaError(name + " was not measured");
  }

  double NamedLine(const std::string& name, const MeasuredName& wanted, std::optional<double> argument) {
    std::string missing = name + " was not measured";
    for (const FittedRun& run : runs_) {
      const Series* found = nullptr;
      const SeriesName* found_name = nullptr;
      for (const auto& [series_name, series] : run.series) {
        const bool same = series_name.measure == wanted.parts[0] && series_name.figure == wanted.parts[1] &&
                          series_name.condition == wanted.parts[2];
        if (!same || !Holds(series_name.others, wanted.conditions)) continue;
        if (!series.line) missing = name + " has too few sizes for a slope";
        if (!series.line) continue;
        if (found != nullptr) throw FormulaError(name + " names several series: choose by [name=value]");
        found = &series;
        found_name = &series_name;
      }
      if (found == nullptr) continue;
      rests_on_.insert(name + " (" + RunName(run) + ")");
      series_.insert(*found_name);
      return OfLine(name, wanted.kind, *found, argument);
    }
    throw FormulaError(missing);
  }

  double OfLine(const std::string& name, const std::string& kind, const Series& series,
                std::optional<double> argument) {
    if (kind == "intercept") {
      if (argument) throw FormulaError(name + " takes no argument");
      return series.line->intercept;
    }
    if (!argument) {
      if (kind == "line") throw FormulaError(name + " needs a size in parentheses");
      bare_.push_back(series.sizes.back());
      return series.line->slope;
    }
    Use(*argument, series.sizes.back());
    return series.line->slope * *argument + (kind == "line" ? series.line->intercept : 0);
  }

  void Use(double size, double most) {
    if (most > 0) past_ = std::max(past_.value_or(0), size / most);
  }

  const std::map<std::string, double>& values_;
  const Roles& roles_;
  std::span<const FittedRun> runs_;
  std::set<std::string> open_;  // named formulas in work
  std::set<std::string> rests_on_;
  std::set<SeriesName> series_;
  std::vector<double> bare_;  // the largest size measured, for each slope without an argument
  std::optional<double> past_;
};

}  // namespace

std::vector<Demand> CapacityModel::Demands(const std::map<std::string, double>& instead) const {
  std::map<std::string, double> values = targets_.values;
  for (const auto& [name, value] : instead) values[name] = value;
  for (const auto& [name, formula] : roles_.formulas) {
    if (values.contains(name))
      RejectInput(roles_.file, "formulas." + name, "is a name of the targets file too");
  }
  std::vector<Demand> demands;
  for (const RoleRow& row : roles_.rows) {
    Demand demand;
    demand.row = &row;
    std::string key = ".formula";
    try {
      Names names(values, roles_, runs_);
      demand.demand = names.Value(row.formula);
      key = ".at";
      if (!row.at.empty()) names.UseBareSlopesAt(Names(values, roles_, runs_).Value(row.at));
      names.Fill(demand);
      key = ".budget";
      if (!row.budget.empty()) {
        demand.budget = Names(values, roles_, runs_).Value(row.budget);
        if (*demand.budget <= 0) throw FormulaError("must be above 0");
      }
    } catch (const FormulaError& error) {
      RejectInput(roles_.file, row.key + key, error.what());
    }
    demands.push_back(std::move(demand));
  }
  return demands;
}

std::optional<double> CapacityModel::DemandBy(const FittedRun& run, const RoleRow& row) const {
  try {
    return Names(targets_.values, roles_, std::span(&run, 1)).Value(row.formula);
  } catch (const FormulaError&) {
    return std::nullopt;
  }
}

}  // namespace merlinrun::scale
