// Hollow sidecars in a process of their own.
#ifndef MERLINRUN_SCALE_FLEET_PROCESS_HPP_
#define MERLINRUN_SCALE_FLEET_PROCESS_HPP_

#include <cstdint>

namespace merlinrun::scale {

// Does what the run tells it over the line at that loopback port, until the line ends. Commands by "do":
// - "add": sidecars, address, region, seed, must_subscribe; starts them all at once
// - "reload": region, address; all of the region are moved there at once
// - "end": region (-1 = all); their connections are closed
// - "status": generation, trim; answers "sidecars", "settled" (how many have had the first object of a watch
//   since they were started or moved), "at" (how many act on that generation or a later one) and usage
// - "force": changes, pairs of generation and time, keep; answers "tenths_ms", pairs of a time from change to
//   force and how many sidecars took it, and forgets what it has noted unless told to keep it
// - "joined", "watching": region; answer "tenths_ms" likewise, from a sidecar's start or move to its first
// list,
//   and to the first object of the watch upon it
int RunFleetProcess(std::uint16_t port);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_FLEET_PROCESS_HPP_
