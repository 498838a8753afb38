// A histogram of latencies with constant relative resolution, so that high quantiles need no list of all
// samples.
#ifndef MERLINRUN_SCALE_LATENCY_HPP_
#define MERLINRUN_SCALE_LATENCY_HPP_

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <chrono>
#include <cstdint>
#include <tuple>

namespace merlinrun::scale {

class LatencyHistogram {
 public:
  LatencyHistogram();

  // Latencies below 1 us or above 1000 s are counted as these limits.
  void Add(std::chrono::nanoseconds latency);
  LatencyHistogram& operator+=(const LatencyHistogram& other);
  std::uint64_t count() const { return count_; }
  // Returns the quantile (0 to 1) of the latencies in milliseconds, with a relative error of 0.5%; NaN if the
  // histogram is empty.
  double QuantileMs(double quantile) const;
  double MeanMs() const;  // exact; NaN if the histogram is empty

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

  Histogram histogram_;
  std::uint64_t count_ = 0;
  std::chrono::nanoseconds sum_{};
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_LATENCY_HPP_
