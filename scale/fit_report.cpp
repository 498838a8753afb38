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

std::set<SeriesName> AllSeriesNames(const std::vector<FittedRun>& runs) {
  std::set<SeriesName> names;
  for (const FittedRun& run : runs) {
    for (const auto& [name, series] : run.series) names.insert(name);
  }
  return names;
}

std::string SizesText(const Series& series) {
  std::string text = std::to_string(series.sizes.size()) + " sizes " + FormatNumber(series.sizes.front()) +
                     ".." + FormatNumber(series.sizes.back());
  return text + (series.SpansTwoDecades() ? ", two decades" : ", under two decades");
}

void AppendSeries(std::ostream& out, const std::string& run, const Series& series) {
  out << "  " << run << ": " << SizesText(series);
  if (series.line) {
    out << "; slope " << FormatNumber(series.line->slope) << ", intercept "
        << FormatNumber(series.line->intercept) << ", Theil-Sen " << FormatNumber(series.theil_sen)
        << "; residual rms " << FormatPercent(series.residual_rms) << ", largest "
        << FormatPercent(series.residual_largest) << "; exponent " << FormatNumberOrDash(series.exponent)
        << ", of the increase " << FormatNumberOrDash(series.increase_exponent);
  } else {
    out << "; too few sizes";
  }
  out << "; spread of repeats " << FormatPercent(series.spread) << "\n";
}

// Compares the slope of a later run with that of the first run.
void AppendComparison(std::ostream& out, const std::string& run, const Series& first, const Series& later) {
  if (!first.line || !later.line) return;
  const std::optional<bool> within = WithinSpread(first, later);
  out << "  " << run << " to the first: ";
  if (first.line->slope == 0) {
    out << "no ratio, the first slope is 0";
  } else {
    out << "ratio " << FormatNumber(later.line->slope / first.line->slope);
  }
  out << (!within ? ", no spread stated" : *within ? ", within the spread" : ", OUTSIDE the spread") << "\n";
}

json ToJson(const Series& series) {
  json entry = {
      {"sizes", series.sizes}, {"medians", series.medians}, {"two_decades", series.SpansTwoDecades()}};
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

std::string FormatNumber(double value) {
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

std::string FormatNumberOrDash(std::optional<double> value) { return value ? FormatNumber(*value) : "-"; }

std::string FormatPercent(std::optional<double> share) {
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
  for (const SeriesName& name : AllSeriesNames(runs)) {
    out << ToString(name) << "\n";
    const Series* first = nullptr;
    for (const FittedRun& run : runs) {
      const auto found = run.series.find(name);
      if (found == run.series.end()) continue;
      AppendSeries(out, run.name, found->second);
      if (first != nullptr) AppendComparison(out, run.name, *first, found->second);
      if (first == nullptr) first = &found->second;
    }
  }
  return out.str();
}

std::string FitJson(const std::vector<FittedRun>& runs) {
  json all = json::object();
  for (const SeriesName& name : AllSeriesNames(runs)) {
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
