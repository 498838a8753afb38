// Runs a step's loop for a time, or until something has come about.
#ifndef MERLINRUN_SCALE_LOOP_HPP_
#define MERLINRUN_SCALE_LOOP_HPP_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>

namespace merlinrun::scale {

// False if `done` does not hold within `most`.
inline bool RunUntil(boost::asio::io_context& io, const std::function<bool()>& done,
                     std::chrono::nanoseconds most) {
  const auto end = std::chrono::steady_clock::now() + most;
  while (!done()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    if (io.stopped()) io.restart();
    io.run_one_for(std::chrono::milliseconds(20));
  }
  return true;
}

inline void RunFor(boost::asio::io_context& io, std::chrono::nanoseconds time) {
  RunUntil(
      io, [] { return false; }, time);
}

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_LOOP_HPP_
