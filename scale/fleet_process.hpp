// Simulated sidecars in a worker process.
#ifndef MERLINRUN_SCALE_FLEET_PROCESS_HPP_
#define MERLINRUN_SCALE_FLEET_PROCESS_HPP_

#include <cstdint>

namespace merlinrun::scale {

// Executes the commands of the run, which listens for this process on that loopback port, until the run
// closes the connection. Commands, by the value of "do", with their parameters:
// - "add": sidecars, address, region, seed, must_subscribe. Starts that many sidecars at once.
// - "reload": region, address. Switches all sidecars of the region to that address at once.
// - "end": region (-1 = all). Removes these sidecars and closes their connections.
// - "status": generation, trim. Returns the number of "sidecars", of those that have received the first
//   object of a watch since their start or last reload ("settled"), and of those that use that generation or
//   a later one ("at"), and resource usage.
// - "force": changes (pairs of a generation and the time of the change), keep. Returns "tenths_ms": pairs of
//   a delay, from a change until it takes effect, and the number of sidecars with that delay. Discards all
//   recorded times unless "keep" is true.
// - "joined", "watching": region. Return "tenths_ms" likewise, with the delay from a sidecar's start or last
//   reload to its first list, or to the first object of the watch that follows it.
int RunFleetProcess(std::uint16_t port);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_FLEET_PROCESS_HPP_
