// Servers and settings of a made-up deployment, the same in every process of a run.
#ifndef MERLINRUN_SCALE_SERVER_LIST_HPP_
#define MERLINRUN_SCALE_SERVER_LIST_HPP_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "discovery_list.hpp"
#include "wire.hpp"

namespace merlinrun::scale {

inline constexpr int kZones = 37;  // server n is in zone n % kZones

// Server `number`, with names and sizes as the protocol page shows them.
Entry MakeServer(std::int64_t number, Entry::Lifecycle lifecycle = Entry::Lifecycle::kUp,
                 std::int64_t started_at_ms = 0);
std::vector<Entry> MakeServers(std::int64_t count);

// What every sidecar of the deployment is told, as its configuration has it and as it reads it. If
// `must_subscribe`, its module decides when to ask.
nlohmann::json MakeSettingsJson(bool must_subscribe);
drill::WireSettings MakeSettings(bool must_subscribe);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_SERVER_LIST_HPP_
