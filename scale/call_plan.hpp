// Shared by the steps that send calls through real sidecars: the settings of the servers, and the loop over
// all measurements.
#ifndef MERLINRUN_SCALE_CALL_PLAN_HPP_
#define MERLINRUN_SCALE_CALL_PLAN_HPP_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "fake_server.hpp"
#include "paired_run.hpp"
#include "remote_servers.hpp"
#include "step.hpp"

namespace merlinrun::scale {

struct CallPlan {
  ServerSettings server;     // the same for each server
  int server_processes = 4;  // worker processes that the servers are spread over
  PairedPlan paired;

  // Reads "service_us", "exponential", "server_processes" and the keys of PairedPlan.
  static CallPlan Read(Parameters& parameters);
  // Returns an upper estimate of the number of calls of one caller that are open at the same time, for calls
  // that pass through `depth` services. A call is assumed to take five times its total service time,
  // which is counted as at least 1 ms per service.
  std::size_t MaxOpenCalls(double calls_per_s, std::size_t depth = 1) const;
  // Returns `server` with this seed.
  ServerSettings ServerWithSeed(std::uint64_t seed) const;
};

// Adds the figures of a paired measurement and the lateness of the servers to the sample, and records it
// unless the run is to stop.
void RecordPairedSample(Context& context, Sample sample, const PairedResult& result, RemoteServers& servers);

// Calls `measure` for each size in each repeat, every time with a new seed, until the run is to stop. Unlike
// MeasureEach (discovery_test_bed.hpp), passes a seed and checks itself, before each call, for the stop.
void ForEachMeasurement(
    Context& context, const std::vector<std::int64_t>& sizes,
    const std::function<void(std::int64_t size, int repeat, std::uint64_t seed)>& measure);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_CALL_PLAN_HPP_
