// Tests of simulated sidecars with the fake discovery.
#include "scale/simulated_sidecar.hpp"

#include <algorithm>
#include <set>

#include "net/loopback.hpp"
#include "scale/fake_discovery.hpp"
#include "scale/server_list.hpp"

namespace merlinrun::scale {
namespace {

using namespace net::testing;  // NOLINT(google-build-using-namespace)

TEST(MakeServers, HaveIdsAndAddressesOfTheirOwn) {
  std::set<std::string> ids;
  std::set<std::string> addresses;
  for (const Entry& entry : MakeServers(14'000)) {
    ids.insert(entry.instance_id);
    addresses.insert(entry.host_port);
  }
  EXPECT_EQ(ids.size(), 14'000U);
  EXPECT_EQ(addresses.size(), 14'000U);
}

class SimulatedSidecarTest : public ::testing::TestWithParam<bool> {
 protected:
  SimulatedSidecarTest() : settings(MakeSettings(GetParam())) {
    settings.settings.ask_within = 200'000;
    fake_discovery.SetList(MakeServers(5));
    for (std::uint64_t i = 0; i < 4; ++i) {
      fleet.push_back(
          std::make_unique<SimulatedSidecar>(io, settings, fake_discovery.addresses()[0], i, log));
      fleet.back()->Start();
    }
  }
  bool AwaitGeneration(std::int64_t generation) {
    return RunUntil(io, [&] {
      return std::all_of(fleet.begin(), fleet.end(),
                         [&](const auto& sidecar) { return sidecar->generation() == generation; });
    });
  }

  // Returns the servers that the balancers of all sidecars send requests to now.
  std::set<std::string> ServersInUse() {
    std::set<std::string> used;
    for (const auto& sidecar : fleet)
      for (int i = 0; i < 50; ++i) used.insert(sidecar->SendRequest());
    return used;
  }

  asio::io_context io;
  drill::WireSettings settings;
  EffectLog log;
  FakeDiscovery fake_discovery{io, {Loopback()}, {}};
  std::vector<std::unique_ptr<SimulatedSidecar>> fleet;
};

TEST_P(SimulatedSidecarTest, ApplyEachChangeAndRecordItOnce) {
  const std::int64_t first = fake_discovery.generation();
  ASSERT_TRUE(AwaitGeneration(first));
  EXPECT_TRUE(log.Times(first).empty());  // the first list of a sidecar is not a change
  const auto before = ServersInUse();
  ASSERT_GT(before.size(), 1U);  // the balancer sends to a subset of the servers
  std::int64_t chosen = 0;       // a server of that subset
  while (chosen < 5 && before.count(MakeServer(chosen).instance_id) == 0) ++chosen;
  ASSERT_LT(chosen, 5);
  ASSERT_TRUE(RunUntil(io, [&] { return fake_discovery.counts().watches == 4; }));
  const std::int64_t draining_generation =
      fake_discovery.Change({MakeServer(chosen, Entry::Lifecycle::kDraining)});
  ASSERT_TRUE(AwaitGeneration(draining_generation));
  EXPECT_EQ(log.Times(draining_generation).size(), 4U);
  const auto after = ServersInUse();
  EXPECT_FALSE(after.empty());
  EXPECT_EQ(after.count(MakeServer(chosen).instance_id), 0U);
}

TEST_P(SimulatedSidecarTest, MissedChangesAreRecordedSeparately) {
  ASSERT_TRUE(AwaitGeneration(fake_discovery.generation()));
  ASSERT_TRUE(RunUntil(io, [&] { return fake_discovery.counts().watches == 4; }));
  fake_discovery.Crash();
  const std::int64_t one = fake_discovery.Change({MakeServer(2, Entry::Lifecycle::kDraining)});
  const std::int64_t two = fake_discovery.Change({MakeServer(3, Entry::Lifecycle::kDraining)});
  RunFor(io, std::chrono::milliseconds(20));
  EXPECT_TRUE(log.Times(one).empty());
  fake_discovery.Restart();
  ASSERT_TRUE(AwaitGeneration(two));
  EXPECT_EQ(log.Times(one).size(), 4U);
  EXPECT_EQ(log.Times(two).size(), 4U);
}

TEST_P(SimulatedSidecarTest, AReloadMovesThemAndTheKnownListIsUsedMeanwhile) {
  const auto watching = [&](const FakeDiscovery& at) {
    return RunUntil(io, [&] {
      return at.counts().watches == 4 && std::all_of(fleet.begin(), fleet.end(), [](const auto& sidecar) {
               return sidecar->time_to_watch() > 0;
             });
    });
  };
  ASSERT_TRUE(watching(fake_discovery));
  FakeDiscovery other(io, {Loopback()}, {});
  other.SetList(MakeServers(5));
  other.Crash();
  for (const auto& sidecar : fleet) sidecar->Reload(other.addresses()[0]);
  ASSERT_TRUE(RunUntil(io, [&] { return fake_discovery.counts().watches == 0; }));
  EXPECT_FALSE(ServersInUse().empty());
  for (const auto& sidecar : fleet) EXPECT_EQ(sidecar->time_to_first_list() + sidecar->time_to_watch(), 0);
  other.Restart();
  ASSERT_TRUE(watching(other));
  const std::int64_t after_reload = other.Change({MakeServer(0, Entry::Lifecycle::kDraining)});
  ASSERT_TRUE(AwaitGeneration(after_reload));
  EXPECT_EQ(log.Times(after_reload).size(), 4U);
}

TEST_P(SimulatedSidecarTest, DestructionEndsTimersAndConnections) {
  ASSERT_TRUE(AwaitGeneration(fake_discovery.generation()));
  fleet.clear();
  EXPECT_TRUE(RunUntil(io, [&] { return fake_discovery.counts().watches == 0; }));
  RunFor(io, std::chrono::milliseconds(50));
}

INSTANTIATE_TEST_SUITE_P(AutomaticAndSubscribe, SimulatedSidecarTest, ::testing::Bool());

}  // namespace
}  // namespace merlinrun::scale
