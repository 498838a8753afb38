#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "scale/fit.hpp"
#include "scale/numbers.hpp"

namespace merlinrun::scale {
namespace {

using nlohmann::json;

std::set<SeriesName> AllNames(const std::vector<FittedRun>& runs) {
  std::set<SeriesName> names;
  for (const FittedRun& run : runs) {
    for (const auto& [name, series] : run.series) names.insert(name);
  }
  return names;
}

std::string Sizes(const Series& series) {
  std::string text = std::to_string(series.sizes.size()) + " sizes " + Short(series.sizes.front()) + ".." +
                     Short(series.sizes.back());
  return text + (series.TwoDecades() ? ", two decades" : ", under two decades");
}

void ShowSeries(std::ostream& out, const std::string& run, const Series& series) {
  out << "  " << run << ": " << Sizes(series);
  if (series.line) {
    out << "; slope " << Short(series.line->slope) << ", intercept " << Short(series.line->intercept)
        << ", Theil-Sen " << Short(series.theil_sen) << "; residual rms " << Percent(series.residual_rms)
        << ", largest " << Percent(series.residual_largest) << "; exponent " << ShortOrDash(series.exponent)
        << ", of the increase " << ShortOrDash(series.increase_exponent);
  } else {
    out << "; too few sizes";
  }
  out << "; spread of repeats " << Percent(series.spread) << "\n";
}

// How a later run's slope stands to the first one's.
void Compare(std::ostream& out, const std::string& run, const Series& first, const Series& later) {
  if (!first.line || !later.line) return;
  const std::optional<bool> within = WithinSpread(first, later);
  out << "  " << run << " to the first: ";
  if (first.line->slope == 0) {
    out << "no ratio, the first slope is 0";
  } else {
    out << "ratio " << Short(later.line->slope / first.line->slope);
  }
  out << (!within ? ", no spread stated" : *within ? ", within the spread" : ", OUTSIDE the spread") << "\n";
}

json ToJson(const Series& series) {
  json entry = {{"sizes", series.sizes}, {"medians", series.medians}, {"two_decades", series.TwoDecades()}};
  if (series.spread) entry["spread"] = *series.spread;
  if (!series.line) {
    entry["slope"] = "too few sizes";
    return entry;
  }
  entry["slope"] = series.line->slope;
  entry["intercept"] = series.line->intercept;
  entry["theil_sen"] = series.theil_sen;
  entry["residual_rms"] = series.residual_rms;
  entry["residual_largest"] = series.residual_largest;
  if (series.exponent) entry["exponent"] = *series.exponent;
  if (series.increase_exponent) entry["increase_exponent"] = *series.increase_exponent;
  return entry;
}

}  // namespace

std::string Short(double value) {
  std::ostringstream out;
  if (std::abs(value) >= 1000 && std::abs(value) < 1e9) {
    out << std::fixed;
    out.precision(0);
  } else {
    out.precision(4);
  }
  out << value;
  return out.str() == "-0" ? "0" : out.str();
}

std::string ShortOrDash(std::optional<double> value) { return value ? Short(*value) : "-"; }

std::string Percent(std::optional<double> share) {
  if (!share) return "-";
  std::ostringstream out;
  out.precision(1);
  out << std::fixed << *share * 100 << "%";
  return out.str();
}

std::string FitTable(const std::vector<FittedRun>& runs) {
  std::ostringstream out;
  for (const FittedRun& run : runs) {
    if (!run.result.partial) continue;
    out << run.name << " is partial:\n";
    for (const std::string& reason : run.result.reasons) out << "  " << reason << "\n";
  }
  for (const SeriesName& name : AllNames(runs)) {
    out << ToString(name) << "\n";
    const Series* first = nullptr;
    for (const FittedRun& run : runs) {
      const auto found = run.series.find(name);
      if (found == run.series.end()) continue;
      ShowSeries(out, run.name, found->second);
      if (first != nullptr) Compare(out, run.name, *first, found->second);
      if (first == nullptr) first = &found->second;
    }
  }
  return out.str();
}

std::string FitJson(const std::vector<FittedRun>& runs) {
  json all = json::object();
  for (const SeriesName& name : AllNames(runs)) {
    json entries = json::array();
    const Series* first = nullptr;
    for (const FittedRun& run : runs) {
      const auto found = run.series.find(name);
      if (found == run.series.end()) continue;
      json entry = ToJson(found->second);
      entry["run"] = run.name;
      entry["partial"] = run.result.partial;
      if (first == nullptr) {
        first = &found->second;
      } else if (const std::optional<bool> within = WithinSpread(*first, found->second)) {
        entry["within_spread_of_first"] = *within;
      }
      entries.push_back(std::move(entry));
    }
    all[ToString(name)] = std::move(entries);
  }
  return all.dump(1) + "\n";
}

}  // namespace merlinrun::scale
