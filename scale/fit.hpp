// Straight lines through what was measured at several sizes, with how far they are from it.
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

inline constexpr std::size_t kFewestSizes = 4;  // for a slope

// A figure of a measure, with the one condition that varies and the others as they stood.
struct SeriesName {
  std::string measure;
  std::string figure;
  std::string condition;
  std::map<std::string, double> others;

  auto operator<=>(const SeriesName&) const = default;
};

// "list_size.memory_bytes.listed", and "[relays=2]" after it if other conditions stood.
std::string ToString(const SeriesName& name);

struct Line {
  double slope = 0;  // figure for one more of the condition
  double intercept = 0;
};

struct Series {
  std::vector<double> sizes;    // ascending
  std::vector<double> medians;  // of the repeats at each size
  // Largest less smallest repeat over the size of the median, at the size where that is greatest; none if no
  // size was measured twice.
  std::optional<double> spread;
  // What follows is there from kFewestSizes sizes on.
  std::optional<Line> line;     // least squares through the medians
  double theil_sen = 0;         // median of the slopes between all pairs of medians
  double residual_rms = 0;      // of (median - line) over the median
  double residual_largest = 0;  // of the same
  // Of a power law through the medians, 1 for a straight line through the origin; none if a median is not
  // above 0.
  std::optional<double> exponent;
  // The same of the increase over the smallest size, 1 for any straight line; none if the figure does not
  // grow.
  std::optional<double> increase_exponent;

  bool TwoDecades() const { return sizes.front() > 0 && sizes.back() >= 100 * sizes.front(); }
};

// The middle value, or the mean of the middle two. Not for an empty list.
double Median(std::vector<double> values);

// Series for each condition that was varied, and for the only condition of a measure.
std::map<SeriesName, Series> FitAll(const std::vector<Sample>& samples);

struct FittedRun {
  std::string name;  // its folder's
  Result result;
  std::map<SeriesName, Series> series;
};

// Throws ScenarioError for a folder without a whole result, and for two of one name.
std::vector<FittedRun> ReadRuns(const std::vector<std::filesystem::path>& folders);

// Whether the slope of a later run differs from the first one's by no more than the first one's spread; none
// if one has no slope, or the first one no spread.
std::optional<bool> WithinSpread(const Series& first, const Series& later);

// All series of all runs as a table for people, and as JSON.
std::string FitTable(const std::vector<FittedRun>& runs);
std::string FitJson(const std::vector<FittedRun>& runs);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_FIT_HPP_
