// A rig with or without relays between discovery and the fleets: the same fleet before and after.
#ifndef MERLINRUN_SCALE_RELAYED_RIG_HPP_
#define MERLINRUN_SCALE_RELAYED_RIG_HPP_

#include <cstdint>
#include <optional>
#include <vector>

#include "discovery_rig.hpp"
#include "relay_tier.hpp"
#include "step.hpp"

namespace merlinrun::scale {

struct RelayedRig {
  // With relays there are as many regions, and each has its own: `options.regions` holds without them alone.
  // Throws std::runtime_error if a process does not come up.
  RelayedRig(Context& context, const DiscoveryRig::Options& options, std::int64_t relays,
             std::int64_t batch_ms);

  // At the largest of each. Neither is empty.
  static Needs Requires(DiscoveryRig::Options options, const std::vector<std::int64_t>& relays,
                        const std::vector<std::int64_t>& sidecars);

  DiscoveryRig rig;
  std::optional<RelayTier> tier;  // none: the sidecars watch discovery itself
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_RELAYED_RIG_HPP_
