// Counts requests by class and final status since the start of the process. The statistics of the management
// endpoint and the log read the same counters.
#ifndef MERLINRUN_NET_COUNTERS_HPP_
#define MERLINRUN_NET_COUNTERS_HPP_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace merlinrun::net {

// The request counters of one sidecar process.
class Counters {
 public:
  // How a request ended.
  enum class FinalStatus { kServed, kRefused, kFailed, kClientDisconnected };
  // The counters of one request class.
  struct ClassCounts {
    std::uint64_t started = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t disconnected = 0;  // the client disconnected before it had its answer

    std::uint64_t finished() const { return served + refused + failed + disconnected; }
  };

  explicit Counters(std::size_t classes) : classes_(classes) {}

  // Counts a new request of a known class. FinishRequest must follow exactly once.
  void StartRequest(std::size_t request_class) {
    ++classes_[request_class].started;
    ++in_progress_;
  }
  void FinishRequest(std::size_t request_class, FinalStatus status) {
    ClassCounts& counts = classes_[request_class];
    --in_progress_;
    switch (status) {
      case FinalStatus::kServed:
        ++counts.served;
        return;
      case FinalStatus::kRefused:
        ++counts.refused;
        return;
      case FinalStatus::kFailed:
        ++counts.failed;
        return;
      case FinalStatus::kClientDisconnected:
        ++counts.disconnected;
        return;
    }
  }
  // Counts an attempt whose request has been written to a server completely.
  void CountAttempt() { ++attempts_; }

  const std::vector<ClassCounts>& classes() const { return classes_; }
  std::uint64_t attempts() const { return attempts_; }
  // Requests that have started and not finished.
  std::size_t in_progress() const { return in_progress_; }
  // Requests of all classes since the start of the process.
  std::uint64_t started() const {
    std::uint64_t sum = 0;
    for (const ClassCounts& counts : classes_) sum += counts.started;
    return sum;
  }

 private:
  std::vector<ClassCounts> classes_;
  std::uint64_t attempts_ = 0;
  std::size_t in_progress_ = 0;
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_COUNTERS_HPP_
