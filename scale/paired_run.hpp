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
  int Turns(double calls_per_s) const;  // of either, for the rate of all callers together
};

// Where calls go on either way: the targets of each caller.
struct Ways {
  using Targets = std::vector<net::Tcp::endpoint>;
  std::vector<Targets> direct;
  std::vector<Targets> through;
};

struct PairedResult {
  CallResults direct;
  CallResults through;
  // Of the sidecars: before the first call, and over all turns. A call costs something after its end too, in
  // the direct turn that follows.
  double idle_cpu_us_per_s = 0;
  std::int64_t cpu_us = 0;
  std::chrono::duration<double> time{};

  // "cpu_us_per_call", less what they would have used without calls; what the way through sidecars adds to
  // the mean and to quantiles, those of either way, and the callers' own lateness. A quantile that fewer than
  // ten calls lie above is left out.
  std::map<std::string, double> Figures() const;
};

// Throws std::runtime_error if there was no call, or more than that share of them got no 200: what is
// measured of the others would not be the whole.
void CheckServed(const std::string& way, const CallCounts& counts, double most_unserved = 0.001);

// Callers of both ways have the same schedules, the n-th of each way that of the settings' seed + n. Throws
// as CheckServed for either way; ends early, with less, once `should_stop` holds.
PairedResult RunPaired(net::asio::io_context& io, const Ways& ways, const CallerSettings& settings,
                       const PairedPlan& plan, const std::function<std::int64_t()>& cpu_us,
                       const std::function<bool()>& should_stop);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_PAIRED_RUN_HPP_
