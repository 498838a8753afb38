// A test bed with or without relays between discovery and the fleets, to compare the same fleet in both
// setups.
#ifndef MERLINRUN_SCALE_RELAYED_TEST_BED_HPP_
#define MERLINRUN_SCALE_RELAYED_TEST_BED_HPP_

#include <cstdint>
#include <optional>
#include <vector>

#include "discovery_test_bed.hpp"
#include "relay_tier.hpp"
#include "step.hpp"

namespace merlinrun::scale {

struct RelayedTestBed {
  // With relays there is one region for each relay, and `options.regions` is ignored. Throws
  // std::runtime_error if a process cannot be started.
  RelayedTestBed(Context& context, const DiscoveryTestBed::Options& options, std::int64_t relays,
                 std::int64_t batch_ms);

  // The requirements at the maximum of `relays` and of `sidecars`; neither may be empty.
  static ResourceRequirements Requirements(DiscoveryTestBed::Options options,
                                           const std::vector<std::int64_t>& relays,
                                           const std::vector<std::int64_t>& sidecars);

  DiscoveryTestBed test_bed;
  std::optional<RelayTier> relay_tier;  // empty: the sidecars watch discovery itself
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_RELAYED_TEST_BED_HPP_
