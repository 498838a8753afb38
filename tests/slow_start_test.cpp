// Tests that servers in slow start are not overloaded by all sidecars together: a load that is harmless from
// one Balancer can overload a starting server when thirty of them send it. Each of a thousand seeds gives
// another fleet, which slow_start_fleet.hpp simulates.
#include <gtest/gtest.h>

#include <array>
#include <cstdint>

#include "slow_start_fleet.hpp"

namespace merlinrun::testing {
namespace {

constexpr std::uint64_t kSeeds = 1000;

TEST(SlowStart, AllSidecarsTogetherKeepTheLimitInAThousandFleets) {
  FleetResult sum;
  std::array<int, kDisturbanceCount> disturbances{};
  int tiny = 0;
  int large = 0;
  int half_used = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Scenario scenario = DrawScenario(seed);
    const FleetResult result = Fleet(scenario, seed).Run();
    for (const StartLoad& start : result.starts) {
      EXPECT_FALSE(start.broke_rule())
          << "seed " << seed << ", disturbance " << static_cast<int>(scenario.disturbance)
          << ": allowed load " << start.allowed << ", sent " << start.sent << " of at most "
          << start.max_allowed() << ", by sidecars that knew of the start " << start.informed;
      tiny += start.allowed > 0 && start.allowed < 3;
      large += start.allowed > 100;
      half_used += start.used_share() > 0.5;
    }
    ++disturbances.at(static_cast<std::size_t>(scenario.disturbance));
    sum.sends += result.sends;
    sum.served += result.served;
    sum.slow_start_sends += result.slow_start_sends;
  }
  // Make sure that the fleets covered these cases.
  for (const int seeds : disturbances) EXPECT_GT(seeds, 50);
  EXPECT_GT(tiny, 100);
  EXPECT_GT(large, 100);
  EXPECT_GT(half_used, 100);
  EXPECT_GT(sum.sends, 1000000);
  EXPECT_GT(sum.served, 900000);
  EXPECT_GT(sum.slow_start_sends, 80000);
}

// Counts the fleets that break the rule, among those of seeds 1 to `seeds`, when the balancers get settings
// that `change` has altered and the measurement keeps the true ones.
template <typename Change>
int CountViolatingFleets(std::uint64_t seeds, Change change) {
  int fleets = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const Scenario scenario = DrawScenario(seed);
    Settings altered = scenario.settings;
    change(altered);
    fleets += Fleet(scenario, seed, &altered).Run().violations() > 0;
  }
  return fleets;
}

// Tests the measurement itself: balancers without slow start, or with too high a limit, have to be
// reported as breaking the rule.
TEST(SlowStart, TheMeasurementReportsBalancersThatBreakTheRule) {
  EXPECT_GT(CountViolatingFleets(200, [](Settings& s) { s.slow_start_duration = 0; }), 20);
  EXPECT_GT(CountViolatingFleets(200, [](Settings& s) { s.overload_factor *= 20; }), 20);
  EXPECT_GT(CountViolatingFleets(200, [](Settings& s) { s.slow_start_share = 1; }), 5);
}

TEST(SlowStart, TheSameSeedGivesTheSameRun) {
  const FleetResult one = Fleet(DrawScenario(7), 7).Run();
  const FleetResult two = Fleet(DrawScenario(7), 7).Run();
  EXPECT_GT(one.sends, 0);
  EXPECT_EQ(one.requests, two.requests);
  EXPECT_EQ(one.sends, two.sends);
  EXPECT_EQ(one.served, two.served);
  EXPECT_EQ(one.slow_start_sends, two.slow_start_sends);
}

}  // namespace
}  // namespace merlinrun::testing
