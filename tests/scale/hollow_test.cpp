// Hollow sidecars on the stand-in.
#include "scale/hollow.hpp"

#include <algorithm>
#include <set>

#include "net/loopback.hpp"
#include "scale/discovery_stand_in.hpp"
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

class HollowTest : public ::testing::TestWithParam<bool> {
 protected:
  HollowTest() : settings(MakeSettings(GetParam())) {
    settings.settings.ask_within = 200'000;
    stand_in.SetList(MakeServers(5));
    for (std::uint64_t i = 0; i < 4; ++i) {
      fleet.push_back(std::make_unique<HollowSidecar>(io, settings, stand_in.addresses()[0], i, log));
      fleet.back()->Start();
    }
  }
  bool AllAt(std::int64_t generation) {
    return RunUntil(io, [&] {
      return std::all_of(fleet.begin(), fleet.end(),
                         [&](const auto& sidecar) { return sidecar->generation() == generation; });
    });
  }

  // The servers that the modules of all sidecars send requests to now.
  std::set<std::string> Used() {
    std::set<std::string> used;
    for (const auto& sidecar : fleet)
      for (int i = 0; i < 50; ++i) used.insert(sidecar->SendOne());
    return used;
  }

  asio::io_context io;
  drill::WireSettings settings;
  ForceLog log;
  DiscoveryStandIn stand_in{io, {Loopback()}, {}};
  std::vector<std::unique_ptr<HollowSidecar>> fleet;
};

TEST_P(HollowTest, ActOnEachChangeAndNoteItOnce) {
  const std::int64_t first = stand_in.generation();
  ASSERT_TRUE(AllAt(first));
  EXPECT_TRUE(log.Times(first).empty());  // what a sidecar starts with is no change
  const auto before = Used();
  ASSERT_GT(before.size(), 1U);  // the module sends to a part of all servers
  std::int64_t drawn = 0;        // one of those
  while (drawn < 5 && before.count(MakeServer(drawn).instance_id) == 0) ++drawn;
  ASSERT_LT(drawn, 5);
  ASSERT_TRUE(RunUntil(io, [&] { return stand_in.counts().watches == 4; }));
  const std::int64_t drained = stand_in.Change({MakeServer(drawn, Entry::Lifecycle::kDraining)});
  ASSERT_TRUE(AllAt(drained));
  EXPECT_EQ(log.Times(drained).size(), 4U);
  const auto after = Used();
  EXPECT_FALSE(after.empty());
  EXPECT_EQ(after.count(MakeServer(drawn).instance_id), 0U);
}

TEST_P(HollowTest, WhatWasMissedIsNotedForEachChange) {
  ASSERT_TRUE(AllAt(stand_in.generation()));
  ASSERT_TRUE(RunUntil(io, [&] { return stand_in.counts().watches == 4; }));
  stand_in.Die();
  const std::int64_t one = stand_in.Change({MakeServer(2, Entry::Lifecycle::kDraining)});
  const std::int64_t two = stand_in.Change({MakeServer(3, Entry::Lifecycle::kDraining)});
  RunFor(io, std::chrono::milliseconds(20));
  EXPECT_TRUE(log.Times(one).empty());
  stand_in.Return();
  ASSERT_TRUE(AllAt(two));
  EXPECT_EQ(log.Times(one).size(), 4U);
  EXPECT_EQ(log.Times(two).size(), 4U);
}

TEST_P(HollowTest, AReloadMovesThemAndWhatTheyKnowStaysInForceMeanwhile) {
  const auto watching = [&](const DiscoveryStandIn& at) {
    return RunUntil(io, [&] {
      return at.counts().watches == 4 && std::all_of(fleet.begin(), fleet.end(), [](const auto& sidecar) {
               return sidecar->watching_after() > 0;
             });
    });
  };
  ASSERT_TRUE(watching(stand_in));
  DiscoveryStandIn other(io, {Loopback()}, {});
  other.SetList(MakeServers(5));
  other.Die();
  for (const auto& sidecar : fleet) sidecar->Reload(other.addresses()[0]);
  ASSERT_TRUE(RunUntil(io, [&] { return stand_in.counts().watches == 0; }));
  EXPECT_FALSE(Used().empty());
  for (const auto& sidecar : fleet) EXPECT_EQ(sidecar->first_list_after() + sidecar->watching_after(), 0);
  other.Return();
  ASSERT_TRUE(watching(other));
  const std::int64_t there = other.Change({MakeServer(0, Entry::Lifecycle::kDraining)});
  ASSERT_TRUE(AllAt(there));
  EXPECT_EQ(log.Times(there).size(), 4U);
}

TEST_P(HollowTest, EndWithTheirTimersAndConnections) {
  ASSERT_TRUE(AllAt(stand_in.generation()));
  fleet.clear();
  EXPECT_TRUE(RunUntil(io, [&] { return stand_in.counts().watches == 0; }));
  RunFor(io, std::chrono::milliseconds(50));
}

INSTANTIATE_TEST_SUITE_P(PushedAndAskedFor, HollowTest, ::testing::Bool());

}  // namespace
}  // namespace merlinrun::scale
