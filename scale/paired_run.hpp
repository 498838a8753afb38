// Makes the same calls directly and through sidecars, in alternating turns of one run. Other load on the
// machine then affects both alike.
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

// The durations of one measurement, from the scenario.
struct PairedPlan {
  std::chrono::duration<double> slice{2};  // duration of one turn
  // Idle time before the first call. The default covers several heartbeats of discovery, one every 2 s.
  std::chrono::duration<double> idle{6};
  std::int64_t calls = 2000;  // minimum number expected in all turns of each kind

  // Reads "slice_s", "idle_s" and "calls_per_reading".
  static PairedPlan Read(Parameters& parameters);
  int Turns(double calls_per_s) const;  // number of turns of each kind, for the total rate of all callers
};

// The targets of each caller, for direct calls and for calls through sidecars.
struct CallPaths {
  using Targets = std::vector<net::Tcp::endpoint>;
  std::vector<Targets> direct;
  std::vector<Targets> through;
};

struct PairedResult {
  CallResults direct;
  CallResults through;
  // CPU time that the sidecars use per second while idle, measured before the first call.
  double idle_cpu_us_per_s = 0;
  // CPU time of the sidecars over all turns except the first of each path, which is discarded. The direct
  // turns are included because a call causes some work after its end, which falls into the direct turn that
  // follows.
  std::int64_t cpu_us = 0;
  // The duration of the turns that cpu_us covers.
  std::chrono::duration<double> time{};

  // Returns "cpu_us_per_call", without the CPU time that the sidecars would have used when idle; the latency
  // that the sidecars add to the mean and to each quantile; the quantiles of both paths; and the lateness of
  // the callers. Quantiles with fewer than ten calls above them are left out.
  std::map<std::string, double> Figures() const;
};

// Throws std::runtime_error if there was no call, or if more than this share of the calls did not get status
// 200: the figures of the other calls alone would not be representative.
void CheckServed(const std::string& path, const CallCounts& counts, double max_unserved_share = 0.001);

// Callers of both paths have the same schedules: the n-th caller of each path uses the settings' seed + n.
// Throws as CheckServed() does for each path. Returns early, with fewer calls, once `should_stop` returns
// true.
PairedResult RunPaired(net::asio::io_context& io, const CallPaths& paths, const CallerSettings& settings,
                       const PairedPlan& plan, const std::function<std::int64_t()>& cpu_us,
                       const std::function<bool()>& should_stop);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_PAIRED_RUN_HPP_
