// Runs a step's I/O loop for some time, or until a condition holds.
#ifndef MERLINRUN_SCALE_LOOP_HPP_
#define MERLINRUN_SCALE_LOOP_HPP_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>

namespace merlinrun::scale {

// Runs the loop until `done` returns true. Returns false if that takes longer than `timeout`.
inline bool RunUntil(boost::asio::io_context& io, const std::function<bool()>& done,
                     std::chrono::nanoseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!done()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    if (io.stopped()) io.restart();
    io.run_one_for(std::chrono::milliseconds(20));
  }
  return true;
}

inline void RunFor(boost::asio::io_context& io, std::chrono::nanoseconds duration) {
  RunUntil(
      io, [] { return false; }, duration);
}

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_LOOP_HPP_
