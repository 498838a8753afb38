#include "relayed_test_bed.hpp"

#include <algorithm>

namespace merlinrun::scale {
namespace {

// Upper bounds of the memory of a relay without watches and of each watch, from runs of the fan_out step.
constexpr double kMbPerRelay = 64;
constexpr double kMbPerWatch = 0.01;

DiscoveryTestBed::Options WithRelays(DiscoveryTestBed::Options options, std::int64_t relays) {
  if (relays > 0) options.regions = relays;
  return options;
}

}  // namespace

RelayedTestBed::RelayedTestBed(Context& context, const DiscoveryTestBed::Options& options,
                               std::int64_t relays, std::int64_t batch_ms)
    : test_bed(context, WithRelays(options, relays)) {
  if (relays == 0) return;
  relay_tier.emplace(context, test_bed.addresses(), batch_ms);
  test_bed.SetAddresses(relay_tier->addresses());
}

ResourceRequirements RelayedTestBed::Requirements(DiscoveryTestBed::Options options,
                                                  const std::vector<std::int64_t>& relays,
                                                  const std::vector<std::int64_t>& sidecars) {
  const std::int64_t max_relays = *std::max_element(relays.begin(), relays.end());
  const std::int64_t max_sidecars = *std::max_element(sidecars.begin(), sidecars.end());
  options.regions = std::max(options.regions, max_relays);
  ResourceRequirements requirements = DiscoveryTestBed::Requirements(options, max_sidecars);
  if (max_relays == 0) return requirements;
  requirements.ports += static_cast<std::size_t>(max_relays);
  requirements.processes += static_cast<std::size_t>(max_relays);
  requirements.memory_mb +=
      kMbPerRelay * static_cast<double>(max_relays) + kMbPerWatch * static_cast<double>(max_sidecars);
  return requirements;
}

}  // namespace merlinrun::scale
