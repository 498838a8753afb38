// Fake servers in a worker process; see RemoteServers.
#ifndef MERLINRUN_SCALE_SERVER_PROCESS_HPP_
#define MERLINRUN_SCALE_SERVER_PROCESS_HPP_

#include <cstdint>

namespace merlinrun::scale {

// Executes the commands of the run, which listens for this process on that loopback port, until the run
// closes the connection. Commands, by the value of "do":
// - "open": starts a server with "service_us", "exponential", "seed" and "onward" (addresses); returns
//   its "address"
// - "counts": returns the sums over all servers of "taken", "served", "declined", "failed", "invalid"
//   and "held" (open requests), and with the resource usage of the process. Once a service time has ended,
//   also with quantiles of the delay with which the event loop handled that: "late_p50_ms" and "late_p99_ms"
int RunServerProcess(std::uint16_t port);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_SERVER_PROCESS_HPP_
