// What the steps of calls through real sidecars have in common: the servers behind them, and the reading.
#ifndef MERLINRUN_SCALE_CALL_PLAN_HPP_
#define MERLINRUN_SCALE_CALL_PLAN_HPP_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "paired_run.hpp"
#include "remote_servers.hpp"
#include "server_stand_in.hpp"
#include "step.hpp"

namespace merlinrun::scale {

struct CallPlan {
  ServerSettings server;     // of each
  int server_processes = 4;  // that the servers share
  PairedPlan paired;

  // Reads "service_us", "exponential", "server_processes" and what PairedPlan does.
  static CallPlan Read(Parameters& parameters);
  // Of a caller's calls, how many are open at a time when they take five times as long as all services on
  // their way.
  std::size_t Open(double calls_per_s, std::size_t depth = 1) const;
  ServerSettings Seeded(std::uint64_t seed) const;
};

// One paired reading of that measure, and how late the servers were: recorded unless it is stopped.
void RecordPaired(Context& context, Sample sample, const PairedResult& result, RemoteServers& servers);

// For each repeat and each size, with a seed of its own, until the run is to stop.
void ForEachReading(Context& context, const std::vector<std::int64_t>& sizes,
                    const std::function<void(std::int64_t size, int repeat, std::uint64_t seed)>& measure);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_CALL_PLAN_HPP_
