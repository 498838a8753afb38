#include "scale/fit.hpp"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/covariance.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/variance.hpp>
#include <boost/accumulators/statistics/variates/covariate.hpp>
#include <boost/math/statistics/univariate_statistics.hpp>
#include <cmath>
#include <utility>

#include "scale/numbers.hpp"
#include "scale/table_reader.hpp"

namespace merlinrun::scale {
namespace {

namespace acc = boost::accumulators;

Line LeastSquares(const std::vector<double>& x, const std::vector<double>& y) {
  acc::accumulator_set<double, acc::stats<acc::tag::mean, acc::tag::variance,
                                          acc::tag::covariance<double, acc::tag::covariate1>>>
      statistics;
  double mean_y = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    statistics(x[i], acc::covariate1 = y[i]);
    mean_y += y[i] / static_cast<double>(x.size());
  }
  const double slope = acc::covariance(statistics) / acc::variance(statistics);
  return {slope, mean_y - slope * acc::mean(statistics)};
}

double TheilSen(const std::vector<double>& x, const std::vector<double>& y) {
  std::vector<double> slopes;
  for (std::size_t i = 0; i < x.size(); ++i) {
    for (std::size_t j = i + 1; j < x.size(); ++j) slopes.push_back((y[j] - y[i]) / (x[j] - x[i]));
  }
  return Median(std::move(slopes));
}

std::optional<double> Exponent(const std::vector<double>& x, const std::vector<double>& y) {
  std::vector<double> log_x;
  std::vector<double> log_y;
  for (std::size_t i = 0; i < x.size(); ++i) {
    if (x[i] <= 0 || y[i] <= 0) return std::nullopt;
    log_x.push_back(std::log(x[i]));
    log_y.push_back(std::log(y[i]));
  }
  return LeastSquares(log_x, log_y).slope;
}

// Residuals are relative to the median of their size, or to the largest median where it is 0.
void SetResiduals(Series& series) {
  double largest = 0;
  for (const double y : series.medians) largest = std::max(largest, std::abs(y));
  if (largest == 0) return;
  double squares = 0;
  for (std::size_t i = 0; i < series.sizes.size(); ++i) {
    const double y = series.medians[i];
    const double relative_error =
        std::abs(y - series.line->intercept - series.line->slope * series.sizes[i]) /
        (y == 0 ? largest : std::abs(y));
    squares += relative_error * relative_error;
    series.residual_largest = std::max(series.residual_largest, relative_error);
  }
  series.residual_rms = std::sqrt(squares / static_cast<double>(series.sizes.size()));
}

Series Fit(const std::map<double, std::vector<double>>& repeats) {
  Series series;
  for (const auto& [size, values] : repeats) {
    const double median = Median(values);
    series.sizes.push_back(size);
    series.medians.push_back(median);
    const auto [min, max] = std::minmax_element(values.begin(), values.end());
    if (values.size() > 1 && median != 0) {
      series.spread = std::max(series.spread.value_or(0), (*max - *min) / std::abs(median));
    }
  }
  if (series.sizes.size() < kMinSizes) return series;
  series.line = LeastSquares(series.sizes, series.medians);
  series.theil_sen = TheilSen(series.sizes, series.medians);
  SetResiduals(series);
  series.exponent = Exponent(series.sizes, series.medians);
  std::vector<double> size_increase;
  std::vector<double> increase;
  for (std::size_t i = 1; i < series.sizes.size(); ++i) {
    size_increase.push_back(series.sizes[i] - series.sizes[0]);
    increase.push_back(series.medians[i] - series.medians[0]);
  }
  series.increase_exponent = Exponent(size_increase, increase);
  return series;
}

}  // namespace

std::string ToString(const SeriesName& name) {
  std::string text = name.measure + "." + name.figure + "." + name.condition;
  std::string others;
  for (const auto& [other, value] : name.others)
    others += (others.empty() ? "" : ",") + other + "=" + FormatNumber(value);
  return others.empty() ? text : text + "[" + others + "]";
}

double Median(std::vector<double> values) {
  return boost::math::statistics::median(values.begin(), values.end());
}

std::map<SeriesName, Series> FitAll(const std::vector<Sample>& samples) {
  std::map<SeriesName, std::map<double, std::vector<double>>> values_by_size;
  for (const Sample& sample : samples) {
    for (const auto& [condition, size] : sample.conditions) {
      SeriesName name{sample.measure, "", condition, sample.conditions};
      name.others.erase(condition);
      for (const auto& [figure, value] : sample.figures) {
        name.figure = figure;
        values_by_size[name][size].push_back(value);
      }
    }
  }
  std::map<SeriesName, Series> fitted;
  for (const auto& [name, repeats] : values_by_size) {
    if (repeats.size() > 1 || name.others.empty()) fitted[name] = Fit(repeats);
  }
  return fitted;
}

std::vector<FittedRun> ReadRuns(const std::vector<std::filesystem::path>& folders) {
  std::vector<FittedRun> runs;
  for (const std::filesystem::path& folder : folders) {
    Result result = ReadResult(folder);
    // With a trailing slash, as in "DIR/", the path has no file name.
    const std::filesystem::path path = folder.has_filename() ? folder : folder.parent_path();
    const std::string name = path.filename().string();
    for (const FittedRun& other : runs) {
      // Tables identify runs by the names of their folders.
      if (other.name == name) RejectInput(folder, "folder", "another folder is named " + name + " too");
    }
    std::map<SeriesName, Series> series = FitAll(result.samples);
    runs.push_back({name, std::move(result), std::move(series)});
  }
  return runs;
}

std::optional<bool> WithinSpread(const Series& first, const Series& later) {
  if (!first.line || !later.line || !first.spread) return std::nullopt;
  return std::abs(later.line->slope - first.line->slope) <= *first.spread * std::abs(first.line->slope);
}

}  // namespace merlinrun::scale
