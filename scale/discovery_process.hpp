// The fake discovery in a worker process, so that its CPU time and memory can be measured separately.
#ifndef MERLINRUN_SCALE_DISCOVERY_PROCESS_HPP_
#define MERLINRUN_SCALE_DISCOVERY_PROCESS_HPP_

#include <cstdint>

namespace merlinrun::scale {

// Executes the commands of the run, which listens for this process on that loopback port, until the run
// closes the connection. Commands, by the value of "do", with their parameters:
// - "open": regions, service_time_us, service_time_per_line_us, queue, longest_wait_us, history, listed.
//   Starts discovery; returns "addresses", one for each region, and "generation".
// - "list": listed. Replaces the list; all its servers are up. Returns "generation".
// - "change": first, count, stride, lifecycle, restarted. Changes these servers in one object; returns
//   "generation" and "at_us".
// - "drive": per_s (0 = stop), seed. Single servers drain and come up again at random times.
// - "changes": since. Returns "changes": pairs of a generation and the time of the change.
// - "die": stops discovery. "return": anew. Starts it again; with "anew", generations restart.
// - "silent": on. See FakeDiscovery::SetSilent.
// - "cut": region, on. See FakeDiscovery::SetPartitioned.
// - "counts": trim. Returns counts and resource usage, and resets "most_calls_in_a_second".
int RunDiscoveryProcess(std::uint16_t port);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_DISCOVERY_PROCESS_HPP_
