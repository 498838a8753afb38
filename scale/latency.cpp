#include "latency.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace merlinrun::scale {
namespace {

constexpr double kMinUs = 1;
constexpr double kMaxUs = 1e9;
constexpr unsigned kBins = 4200;  // ln(1e9) / 4200: bins of 0.49%

}  // namespace

LatencyHistogram::LatencyHistogram()
    : histogram_(boost::histogram::make_histogram(Axis(kBins, kMinUs, kMaxUs))) {}

void LatencyHistogram::Add(std::chrono::nanoseconds latency) {
  const double us = static_cast<double>(latency.count()) / 1000.0;
  histogram_(std::clamp(us, kMinUs, std::nextafter(kMaxUs, 0.0)));
  ++count_;
  sum_ += latency;
}

LatencyHistogram& LatencyHistogram::operator+=(const LatencyHistogram& other) {
  histogram_ += other.histogram_;
  count_ += other.count_;
  sum_ += other.sum_;
  return *this;
}

double LatencyHistogram::MeanMs() const {
  return std::chrono::duration<double, std::milli>(sum_).count() / static_cast<double>(count_);
}

double LatencyHistogram::QuantileMs(double quantile) const {
  if (count_ == 0) return std::numeric_limits<double>::quiet_NaN();
  const double rank = std::max(1.0, std::ceil(quantile * static_cast<double>(count_)));
  double below = 0;
  for (int bin = 0; bin < static_cast<int>(kBins); ++bin) {
    below += static_cast<double>(histogram_.at(bin));
    if (below >= rank) return histogram_.axis().bin(bin).center() / 1000.0;
  }
  return kMaxUs / 1000.0;
}

}  // namespace merlinrun::scale
