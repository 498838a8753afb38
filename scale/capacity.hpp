// The capacity model: computes the demand on each role at the target from measured slopes.
#ifndef MERLINRUN_SCALE_CAPACITY_HPP_
#define MERLINRUN_SCALE_CAPACITY_HPP_

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "scale/capacity_input.hpp"
#include "scale/fit.hpp"

namespace merlinrun::scale {

// The demand that was computed for a row.
struct Demand {
  const RoleRow* row = nullptr;
  double demand = 0;
  std::optional<double> budget;
  std::set<std::string> sources;  // the measured names that were used, with their runs
  std::set<SeriesName> series;    // the series of the slopes among them
  // The largest size at which a line or slope is used, relative to the largest size that was measured: above
  // 1, the demand is extrapolated. None if the formula uses no slope.
  std::optional<double> size_ratio;
  bool size_unknown = false;  // a slope is used without an argument, and the row has no `at`

  // Demand relative to the budget; above 1, the budget is exceeded. 0 without a budget, so that such a row is
  // never the worst.
  double Factor() const { return budget ? demand / *budget : 0; }
};

// Names in formulas are values of the targets file, named formulas, and the following measured values. Each
// measured value is taken from the first run that has it:
//   slope.MEASURE.FIGURE.CONDITION      least squares slope; multiplied by the argument, if there is one
//   intercept.MEASURE.FIGURE.CONDITION
//   line.MEASURE.FIGURE.CONDITION(SIZE) value of the fitted line at that size
//   median.MEASURE.FIGURE               of all samples, which must have the same conditions
// Conditions in brackets after a name select one of several series: "[relays=2]".
class CapacityModel {
 public:
  // The model keeps references to all three arguments.
  CapacityModel(const Targets& targets, const Roles& roles, const std::vector<FittedRun>& runs)
      : targets_(targets), roles_(roles), runs_(runs) {}

  // Returns the demand of each row. `overrides` replace values of the targets file. Throws ScenarioError with
  // the file and key of a formula that cannot be evaluated, or of a budget that is not above 0.
  std::vector<Demand> Demands(const std::map<std::string, double>& overrides = {}) const;

  // Returns the demand of a row computed from one run only; nothing if the run lacks a figure that it uses.
  std::optional<double> DemandFromRun(const FittedRun& run, const RoleRow& row) const;

  const Targets& targets() const { return targets_; }
  const std::vector<FittedRun>& runs() const { return runs_; }

 private:
  const Targets& targets_;
  const Roles& roles_;
  const std::vector<FittedRun>& runs_;
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_CAPACITY_HPP_
