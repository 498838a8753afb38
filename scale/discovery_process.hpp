// The stand-in for discovery in a process of its own, so that its CPU and memory are read alone.
#ifndef MERLINRUN_SCALE_DISCOVERY_PROCESS_HPP_
#define MERLINRUN_SCALE_DISCOVERY_PROCESS_HPP_

#include <cstdint>

namespace merlinrun::scale {

// Does what the run tells it over the line at that loopback port, until the line ends. Commands by "do":
// - "open": regions, service_time_us, service_time_per_line_us, queue, longest_wait_us, history, listed;
//   answers "addresses", one for each region
// - "list": listed; replaces the list, with all servers up
// - "change": first, count, stride, lifecycle, restarted; in one object; answers "generation" and "at_us"
// - "drive": per_s (0 = no more), seed; single servers drain and come up again, at times drawn at random
// - "changes": since; answers "changes", pairs of generation and time
// - "die", "return" (anew), "silent" (on), "cut" (region, on)
// - "counts" (trim); answers counts and usage. The largest calls in a second are counted anew after it.
int RunDiscoveryProcess(std::uint16_t port);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_DISCOVERY_PROCESS_HPP_
