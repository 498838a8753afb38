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

// The parts of the name of a measured value: "slope.list_size.memory_bytes.listed[real=0]".
struct MeasuredName {
  std::string kind;
  std::vector<std::string> parts;  // measure, figure and, except for medians, condition
  Conditions conditions;           // from the brackets
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
      throw FormulaError("[" + text + "] must be conditions such as [a=1,b=2]");
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

bool ContainsAll(const Conditions& all, const Conditions& some) {
  return std::all_of(some.begin(), some.end(), [&all](const auto& condition) {
    const auto found = all.find(condition.first);
    return found != all.end() && found->second == condition.second;
  });
}

std::string RunLabel(const FittedRun& run) { return run.result.partial ? run.name + ", partial" : run.name; }

// Resolves the names in the formulas of one row, and records which measured values they use.
class NameResolver {
 public:
  NameResolver(const std::map<std::string, double>& values, const Roles& roles,
               std::span<const FittedRun> runs)
      : values_(values), roles_(roles), runs_(runs) {}

  double Value(const std::string& formula) {
    return Evaluate(formula, [this](const std::string& name, std::optional<double> argument) {
      return Resolve(name, argument);
    });
  }

  // Records `size` as the size at which the slopes without an argument are used.
  void SetSizeOfSlopesWithoutArgument(double size) {
    for (const double max_measured : max_sizes_of_slopes_without_argument_) RecordSize(size, max_measured);
    max_sizes_of_slopes_without_argument_.clear();
  }

  void FillSources(Demand& demand) const {
    demand.sources = sources_;
    demand.series = series_;
    demand.size_ratio = size_ratio_;
    demand.size_unknown = !max_sizes_of_slopes_without_argument_.empty();
  }

 private:
  double Resolve(const std::string& name, std::optional<double> argument) {
    if (const auto measured = ParseMeasured(name)) {
      if (measured->kind == "median") return ResolveMedian(name, *measured, argument);
      return ResolveLine(name, *measured, argument);
    }
    if (argument) throw FormulaError(name + " takes no argument");
    if (const auto value = values_.find(name); value != values_.end()) return value->second;
    const auto formula = roles_.formulas.find(name);
    if (formula == roles_.formulas.end()) throw FormulaError(name + " is not known");
    if (!formulas_in_evaluation_.insert(name).second) throw FormulaError(name + " depends on itself");
    try {
      const double value = Value(formula->second);
      formulas_in_evaluation_.erase(name);
      return value;
    } catch (const FormulaError& error) {
      throw FormulaError(name + ": " + error.what());
    }
  }

  double ResolveMedian(const std::string& name, const MeasuredName& measured,
                       std::optional<double> argument) {
    if (argument) throw FormulaError(name + " takes no argument");
    for (const FittedRun& run : runs_) {
      std::set<Conditions> conditions_seen;
      std::vector<double> values;
      for (const Sample& sample : run.result.samples) {
        const auto figure = sample.figures.find(measured.parts[1]);
        if (sample.measure != measured.parts[0] || figure == sample.figures.end()) continue;
        if (!ContainsAll(sample.conditions, measured.conditions)) continue;
        conditions_seen.insert(sample.conditions);
        values.push_back(figure->second);
      }
      if (conditions_seen.size() > 1)
        throw FormulaError(name + " was taken under several conditions: select one by [name=value]");
      if (values.empty()) continue;
      sources_.insert(name + " (" + RunLabel(run) + ")");
      return Median(std::move(values));
    }
    throw FormulaError(name + " was not measured");
  }

  double ResolveLine(const std::string& name, const MeasuredName& measured, std::optional<double> argument) {
    std::string reason = name + " was not measured";
    for (const FittedRun& run : runs_) {
      const Series* found = nullptr;
      const SeriesName* found_name = nullptr;
      for (const auto& [series_name, series] : run.series) {
        const bool matches = series_name.measure == measured.parts[0] &&
                             series_name.figure == measured.parts[1] &&
                             series_name.condition == measured.parts[2];
        if (!matches || !ContainsAll(series_name.others, measured.conditions)) continue;
        if (!series.line) reason = name + " has too few sizes for a slope";
        if (!series.line) continue;
        if (found != nullptr)
          throw FormulaError(name + " matches several series: select one by [name=value]");
        found = &series;
        found_name = &series_name;
      }
      if (found == nullptr) continue;
      sources_.insert(name + " (" + RunLabel(run) + ")");
      series_.insert(*found_name);
      return LineValue(name, measured.kind, *found, argument);
    }
    throw FormulaError(reason);
  }

  double LineValue(const std::string& name, const std::string& kind, const Series& series,
                   std::optional<double> argument) {
    if (kind == "intercept") {
      if (argument) throw FormulaError(name + " takes no argument");
      return series.line->intercept;
    }
    if (!argument) {
      if (kind == "line") throw FormulaError(name + " needs a size in parentheses");
      max_sizes_of_slopes_without_argument_.push_back(series.sizes.back());
      return series.line->slope;
    }
    RecordSize(*argument, series.sizes.back());
    return series.line->slope * *argument + (kind == "line" ? series.line->intercept : 0);
  }

  void RecordSize(double size, double max_measured) {
    if (max_measured > 0) size_ratio_ = std::max(size_ratio_.value_or(0), size / max_measured);
  }

  const std::map<std::string, double>& values_;
  const Roles& roles_;
  std::span<const FittedRun> runs_;
  std::set<std::string> formulas_in_evaluation_;  // named formulas that are being evaluated, to detect cycles
  std::set<std::string> sources_;
  std::set<SeriesName> series_;
  // The largest measured size of each slope without an argument.
  std::vector<double> max_sizes_of_slopes_without_argument_;
  std::optional<double> size_ratio_;
};

}  // namespace

std::vector<Demand> CapacityModel::Demands(const std::map<std::string, double>& overrides) const {
  std::map<std::string, double> values = targets_.values;
  for (const auto& [name, value] : overrides) values[name] = value;
  for (const auto& [name, formula] : roles_.formulas) {
    if (values.contains(name))
      RejectInput(roles_.file, "formulas." + name, "is also a name in the targets file");
  }
  std::vector<Demand> demands;
  for (const RoleRow& row : roles_.rows) {
    Demand demand;
    demand.row = &row;
    std::string key = ".formula";
    try {
      NameResolver resolver(values, roles_, runs_);
      demand.demand = resolver.Value(row.formula);
      key = ".at";
      if (!row.at.empty())
        resolver.SetSizeOfSlopesWithoutArgument(NameResolver(values, roles_, runs_).Value(row.at));
      resolver.FillSources(demand);
      key = ".budget";
      if (!row.budget.empty()) {
        demand.budget = NameResolver(values, roles_, runs_).Value(row.budget);
        if (*demand.budget <= 0) throw FormulaError("must be above 0");
      }
    } catch (const FormulaError& error) {
      RejectInput(roles_.file, row.key + key, error.what());
    }
    demands.push_back(std::move(demand));
  }
  return demands;
}

std::optional<double> CapacityModel::DemandFromRun(const FittedRun& run, const RoleRow& row) const {
  try {
    return NameResolver(targets_.values, roles_, std::span(&run, 1)).Value(row.formula);
  } catch (const FormulaError&) {
    return std::nullopt;
  }
}

}  // namespace merlinrun::scale
