// The same calls directly and through sidecars, in turns of the same run: what else the machine does is in
// both.
#ifndef MERLINRUN_SCALE_PAIRED_RUN_HPP_
#define MERLINRUN_SCALE_PAIRED_RUN_HPP_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "caller.hpp"
#include "step.hpp"

namespace merlinrun::scale {

// How long a reading takes, as the scenario has it.
struct PairedPlan {
  std::chrono::duration<double> slice{2};  // a turn of either
  // Before the first call. Discovery's empty lines come every 2 s.
  std::chrono::duration<double> idle{6};
  std::int64_t calls = 2000;  // at least so many are expected in the turns of either

  // Reads "slice_s", "idle_s" and "calls_per_reading".
  static PairedPlan Read(Parameters& parameters);
  int Turns(double calls_per_s) const;  // of either
};

struct PairedResult {
  CallResults direct;
  CallResults through;
  // Of the sidecars: before the first call, and over all turns. A call costs something after its end too, in
  // the direct turn that follows.
  double idle_cpu_us_per_s = 0;
  std::int64_t cpu_us = 0;
  std::chrono::duration<double> time{};

  double cpu_us_per_call() const;  // less what they would have used without calls
  // What the way through sidecars adds to quantiles, those of either way, and the callers' own lateness. A
  // quantile that fewer than ten calls lie above is left out.
  std::map<std::string, double> LatencyFigures() const;
};

// Throws std::runtime_error if there was no call, or more than one in a thousand got no 200: what is measured
// of the others would not be the whole.
void CheckServed(const std::string& way, const CallCounts& counts);

// Callers of one schedule. Throws as CheckServed for either way; ends early, with less, once `should_stop`
// holds.
PairedResult RunPaired(net::asio::io_context& io, const std::vector<net::Tcp::endpoint>& direct,
                       const std::vector<net::Tcp::endpoint>& through, const CallerSettings& settings,
                       const PairedPlan& plan, const std::function<std::int64_t()>& cpu_us,
                       const std::function<bool()>& should_stop);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_PAIRED_RUN_HPP_
