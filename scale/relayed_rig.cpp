#include "relayed_rig.hpp"

#include <algorithm>

namespace merlinrun::scale {
namespace {

// Upper bounds of a relay's own memory and of what a watch takes of it, from trials of the fan_out step.
constexpr double kRelayMb = 64;
constexpr double kWatchMb = 0.01;

DiscoveryRig::Options WithRelays(DiscoveryRig::Options options, std::int64_t relays) {
  if (relays > 0) options.regions = relays;
  return options;
}

}  // namespace

RelayedRig::RelayedRig(Context& context, const DiscoveryRig::Options& options, std::int64_t relays,
                       std::int64_t batch_ms)
    : rig(context, WithRelays(options, relays)) {
  if (relays == 0) return;
  tier.emplace(context, rig.addresses(), batch_ms);
  rig.Serve(tier->addresses());
}

Needs RelayedRig::Requires(DiscoveryRig::Options options, const std::vector<std::int64_t>& relays,
                           const std::vector<std::int64_t>& sidecars) {
  const std::int64_t most_relays = *std::max_element(relays.begin(), relays.end());
  const std::int64_t most_sidecars = *std::max_element(sidecars.begin(), sidecars.end());
  options.regions = std::max(options.regions, most_relays);
  Needs needs = DiscoveryRig::Requires(options, most_sidecars);
  if (most_relays == 0) return needs;
  needs.ports += static_cast<std::size_t>(most_relays);
  needs.processes += static_cast<std::size_t>(most_relays);
  needs.memory_mb +=
      kRelayMb * static_cast<double>(most_relays) + kWatchMb * static_cast<double>(most_sidecars);
  return needs;
}

}  // namespace merlinrun::scale
