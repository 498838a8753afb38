// What the target asks of each role, from the slopes that were measured.
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

struct Demand {
  const RoleRow* row = nullptr;
  double demand = 0;
  std::optional<double> budget;
  std::set<std::string> rests_on;  // measured names with their runs
  std::set<SeriesName> series;     // the slopes among them
  // How often the largest size that a line or slope is used at holds the largest measured one: above 1 it is
  // extrapolated. None if no slope is in it.
  std::optional<double> past;
  bool past_unknown = false;  // a bare slope, in a row that does not say its size

  // Above 1: over the budget. 0 where there is none, so that no such row is ever the worst.
  double Factor() const { return budget ? demand / *budget : 0; }
};

// Names in formulas are the values of the targets file, the named formulas, and of what was measured, each
// from the first run that has it:
//   slope.MEASURE.FIGURE.CONDITION      least squares; with an argument, times it
//   intercept.MEASURE.FIGURE.CONDITION
//   line.MEASURE.FIGURE.CONDITION(SIZE) intercept and slope at that size
//   median.MEASURE.FIGURE               of all its samples, under one set of conditions
// Conditions in brackets after a name choose among several: "[relays=2]".
class CapacityModel {
 public:
  // All three must outlive the model.
  CapacityModel(const Targets& targets, const Roles& roles, const std::vector<FittedRun>& runs)
      : targets_(targets), roles_(roles), runs_(runs) {}

  // Each row's demand, with some of the targets' values replaced. Throws ScenarioError with the file and key
  // of a formula that has no value, or of a budget that is not above 0.
  std::vector<Demand> Demands(const std::map<std::string, double>& instead = {}) const;

  // What a row's demand comes to by one of the runs alone; none if that run lacks a figure in it.
  std::optional<double> DemandBy(const FittedRun& run, const RoleRow& row) const;

  const Targets& targets() const { return targets_; }
  const std::vector<FittedRun>& runs() const { return runs_; }

 private:
  const Targets& targets_;
  const Roles& roles_;
  const std::vector<FittedRun>& runs_;
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_CAPACITY_HPP_
