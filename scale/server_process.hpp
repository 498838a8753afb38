// Server stand-ins in a process of their own.
#ifndef MERLINRUN_SCALE_SERVER_PROCESS_HPP_
#define MERLINRUN_SCALE_SERVER_PROCESS_HPP_

#include <cstdint>

namespace merlinrun::scale {

// Does what the run tells it over the line at that loopback port, until the line ends. Commands by "do":
// - "open": service_us, exponential, seed, onward (addresses); starts a server; answers "address"
// - "counts": answers, summed over all servers, "taken", "served", "declined", "failed", "invalid", "held",
//   usage, and once something was served how late the loop handled the end of a service: "late_p50_ms" and
//   "late_p99_ms"
int RunServerProcess(std::uint16_t port);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_SERVER_PROCESS_HPP_
