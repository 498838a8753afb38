// Latencies as a histogram of constant relative resolution, so that a high quantile costs no list of
// readings.
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

  // What lies outside 1 us to 1000 s counts as the nearest of these.
  void Add(std::chrono::nanoseconds latency);
  LatencyHistogram& operator+=(const LatencyHistogram& other);
  std::uint64_t count() const { return count_; }
  // Milliseconds below or at which this share (0 to 1) of the latencies lies, to 0.5%; not a number if there
  // are none.
  double QuantileMs(double share) const;
  double MeanMs() const;  // exact; not a number if there are none

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

  Histogram histogram_;
  std::uint64_t count_ = 0;
  std::chrono::nanoseconds sum_{};
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_LATENCY_HPP_
