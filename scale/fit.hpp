// Fits straight lines through figures that were measured at several sizes, and describes how well they fit.
#ifndef MERLINRUN_SCALE_FIT_HPP_
#define MERLINRUN_SCALE_FIT_HPP_

#include <compare>
#include <cstddef>
#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "scale/results.hpp"

namespace merlinrun::scale {

inline constexpr std::size_t kMinSizes = 4;  // fewer sizes give no slope

// Identifies a series: a figure of a measure, the condition that varies (the size), and the fixed values of
// the other conditions.
struct SeriesName {
  std::string measure;
  std::string figure;
  std::string condition;
  std::map<std::string, double> others;

  auto operator<=>(const SeriesName&) const = default;
};

// "list_size.memory_bytes.listed", followed by for example "[relays=2]" if there are other conditions.
std::string ToString(const SeriesName& name);

struct Line {
  double slope = 0;  // increase of the figure per unit of the condition
  double intercept = 0;
};

struct Series {
  std::vector<double> sizes;    // ascending
  std::vector<double> medians;  // of the repeats, for each size
  // Difference of the largest and smallest repeat, relative to the absolute value of their median, at the
  // size where this is greatest; none if no size was measured twice.
  std::optional<double> spread;
  // The following members are set only if there are at least kMinSizes sizes.
  std::optional<Line> line;     // least squares through the medians
  double theil_sen = 0;         // median of the slopes between all pairs of medians
  double residual_rms = 0;      // root mean square of (median - line) / median
  double residual_largest = 0;  // largest absolute value of the same
  // Exponent of a power law through the medians; 1 for a straight line through the origin. None if a size or
  // a median is not above 0.
  std::optional<double> exponent;
  // The same for the increase over the smallest size; 1 for any rising straight line. None if a larger size
  // does not have a larger median than the smallest size.
  std::optional<double> increase_exponent;

  bool SpansTwoDecades() const { return sizes.front() > 0 && sizes.back() >= 100 * sizes.front(); }
};

// Returns the middle value, or the mean of the two middle values. `values` must not be empty.
double Median(std::vector<double> values);

// Returns a series for each condition that was varied, and for the condition of a measure that has only one.
std::map<SeriesName, Series> FitAll(const std::vector<Sample>& samples);

struct FittedRun {
  std::string name;  // name of its folder
  Result result;
  std::map<SeriesName, Series> series;
};

// Throws ScenarioError for a folder without a complete result, and for two folders of the same name.
std::vector<FittedRun> ReadRuns(const std::vector<std::filesystem::path>& folders);

// Returns whether the slopes of both runs differ by no more than the spread of the first run. Returns nothing
// if one of them has no slope, or the first one has no spread.
std::optional<bool> WithinSpread(const Series& first, const Series& later);

// Return all series of all runs, as a text for people and as JSON.
std::string FitTable(const std::vector<FittedRun>& runs);
std::string FitJson(const std::vector<FittedRun>& runs);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_FIT_HPP_
