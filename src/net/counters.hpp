// Counts requests by class and final status since the start of the process. The statistics of the management
// endpoint and the log read the same counters.
#ifndef MERLINRUN_NET_COUNTERS_HPP_
#define MERLINRUN_NET_COUNTERS_HPP_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace merlinrun::net {

class Counters {
 public:
  // How a request ended.
  enum class End { kServed, kRefused, kFailed, kClientGone };
  // The counters of one request class.
  struct Class {
    std::uint64_t taken = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t gone = 0;  // the client disconnected before it had its answer

    std::uint64_t ended() const { return served + refused + failed + gone; }
  };

  explicit Counters(std::size_t classes) : classes_(classes) {}

  // Counts a new request of a known class. Finish must follow exactly once.
  void Take(std::size_t request_class) {
    ++classes_[request_class].taken;
    ++open_;
  }
  void Finish(std::size_t request_class, End end) {
    Class& counts = classes_[request_class];
    --open_;
    switch (end) {
      case End::kServed:
        ++counts.served;
        return;
      case End::kRefused:
        ++counts.refused;
        return;
      case End::kFailed:
        ++counts.failed;
        return;
      case End::kClientGone:
        ++counts.gone;
        return;
    }
  }
  // Counts an attempt whose request has been written to a server completely.
  void CountAttempt() { ++attempts_; }

  const std::vector<Class>& classes() const { return classes_; }
  std::uint64_t attempts() const { return attempts_; }
  // Requests that have started and not finished.
  std::size_t open() const { return open_; }
  // Requests of all classes since the start of the process.
  std::uint64_t taken() const {
    std::uint64_t sum = 0;
    for (const Class& counts : classes_) sum += counts.taken;
    return sum;
  }

 private:
  std::vector<Class> classes_;
  std::uint64_t attempts_ = 0;
  std::size_t open_ = 0;
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_COUNTERS_HPP_
