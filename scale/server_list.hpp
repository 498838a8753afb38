// Servers and settings of a fictitious deployment, the same in every process of a run.
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

// Returns server `number`. Its names have the form and length of those in the protocol's documentation.
Entry MakeServer(std::int64_t number, Entry::Lifecycle lifecycle = Entry::Lifecycle::kUp,
                 std::int64_t started_at_ms = 0);
std::vector<Entry> MakeServers(std::int64_t count);

// The settings of every sidecar of the deployment, as its configuration contains them and as they are parsed.
// With `must_subscribe`, the balancer decides when to ask for the list.
nlohmann::json MakeSettingsJson(bool must_subscribe);
drill::WireSettings MakeSettings(bool must_subscribe);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_SERVER_LIST_HPP_
