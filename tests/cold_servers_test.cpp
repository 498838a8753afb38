// Cold servers under the sum of all sidecars: what one Balancer may send is nothing that a server can bear
// from thirty. Each of a thousand seeds is a fleet of its own; see cold_fleet.hpp.
#include <gtest/gtest.h>

#include <array>
#include <cstdint>

#include "cold_fleet.hpp"

namespace merlinrun::testing {
namespace {

constexpr std::uint64_t kSeeds = 1000;

TEST(ColdServers, BearTheSumOfAllSidecarsInAThousandFleets) {
  Count sum;
  std::array<int, kTroubles> troubles{};
  int tiny = 0;
  int large = 0;
  int taxed = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Scene scene = DrawScene(seed);
    const Count count = Fleet(scene, seed).Play();
    for (const ColdCount& cold : count.starts) {
      EXPECT_FALSE(cold.broken()) << "seed " << seed << ", trouble " << static_cast<int>(scene.trouble)
                                  << ": N " << cold.n << ", sent " << cold.sent << " of at most "
                                  << cold.most() << ", by told ones " << cold.told;
      tiny += cold.n > 0 && cold.n < 3;
      large += cold.n > 100;
      taxed += cold.fill() > 0.5;
    }
    ++troubles.at(static_cast<std::size_t>(scene.trouble));
    sum.sends += count.sends;
    sum.served += count.served;
    sum.cold_sends += count.cold_sends;
  }
  // The fleets are worth something only if all of this happened in them.
  for (const int seeds : troubles) EXPECT_GT(seeds, 50);
  EXPECT_GT(tiny, 100);
  EXPECT_GT(large, 100);
  EXPECT_GT(taxed, 100);
  EXPECT_GT(sum.sends, 1000000);
  EXPECT_GT(sum.served, 900000);
  EXPECT_GT(sum.cold_sends, 80000);
}

// Fleets of the first `seeds` that break the rule when the Balancers are told something else than it.
template <typename Change>
int BrokenFleets(std::uint64_t seeds, Change change) {
  int broken = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const Scene scene = DrawScene(seed);
    Settings untrue = scene.rules;
    change(untrue);
    broken += Fleet(scene, seed, &untrue).Play().broken() > 0;
  }
  return broken;
}

// The count has to see what it is there for: modules that are not told the rule, or too high a limit, break
// it.
TEST(ColdServers, TheCountSeesAModuleThatIsNotToldTheRule) {
  EXPECT_GT(BrokenFleets(200, [](Settings& s) { s.slow_start_duration = 0; }), 20);
  EXPECT_GT(BrokenFleets(200, [](Settings& s) { s.overload_factor *= 20; }), 20);
  EXPECT_GT(BrokenFleets(200, [](Settings& s) { s.slow_start_share = 1; }), 5);
}

TEST(ColdServers, TheSameSeedGivesTheSameFleet) {
  const Count one = Fleet(DrawScene(7), 7).Play();
  const Count two = Fleet(DrawScene(7), 7).Play();
  EXPECT_GT(one.sends, 0);
  EXPECT_EQ(one.requests, two.requests);
  EXPECT_EQ(one.sends, two.sends);
  EXPECT_EQ(one.served, two.served);
  EXPECT_EQ(one.cold_sends, two.cold_sends);
}

}  // namespace
}  // namespace merlinrun::testing
