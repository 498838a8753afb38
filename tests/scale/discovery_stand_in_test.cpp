// The stand-in for discovery against the sidecar's own client of it.
#include "scale/discovery_stand_in.hpp"

#include "net/discovery.hpp"
#include "net/loopback.hpp"

namespace merlinrun::scale {
namespace {

using namespace net::testing;  // NOLINT(google-build-using-namespace)

Entry Server(int number, Entry::Lifecycle lifecycle = Entry::Lifecycle::kUp) {
  Entry entry;
  entry.instance_id = "s-" + std::to_string(number);
  entry.host_port = "127.0.0.1:" + std::to_string(1000 + number);
  entry.zone = "east";
  entry.machine_type = "std";
  entry.cell = number;
  entry.lifecycle = lifecycle;
  entry.weight = 1.5;
  entry.started_at_ms = 1'700'000'000'123;
  return entry;
}

std::vector<Entry> Servers(int count) {
  std::vector<Entry> servers;
  servers.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) servers.push_back(Server(i));
  return servers;
}

// A client of the stand-in and what it was told.
struct Client {
  Client(asio::io_context& io, const Tcp::endpoint& address, bool reopens = false, Micros silence = 2'700'000)
      : discovery(io, address, names, Timing(reopens, silence), 1,
                  {[this](const net::EndpointList& list) { lists.push_back(list); },
                   [this](std::optional<Micros>) { ++failures; }}) {}
  static net::Discovery::Timing Timing(bool reopens, Micros silence) {
    net::Discovery::Timing timing;
    timing.reopens_itself = reopens;
    timing.silence_timeout = silence;
    timing.backoff_base = timing.backoff_max = 2'000;
    return timing;
  }

  drill::WireSettings names{{}, {"west", "east"}, {"std"}};
  std::vector<net::EndpointList> lists;
  int failures = 0;
  net::Discovery discovery;
};

class DiscoveryStandInTest : public ::testing::Test {
 protected:
  void Start(DiscoveryStandIn::Options options = {}, std::size_t regions = 1) {
    std::vector<Tcp::endpoint> listen;
    for (std::size_t i = 0; i < regions; ++i)
      listen.emplace_back(asio::ip::make_address("127.0.0." + std::to_string(i + 1)), 0);
    stand_in = std::make_unique<DiscoveryStandIn>(io, listen, options);
    stand_in->SetList(Servers(3));
  }
  Client& Join(std::size_t region = 0, bool reopens = false, Micros silence = 2'700'000) {
    clients.push_back(std::make_unique<Client>(io, stand_in->addresses()[region], reopens, silence));
    return *clients.back();
  }
  bool Watches(std::uint64_t count) {
    return RunUntil(io, [&] { return stand_in->counts().watches == count; });
  }

  asio::io_context io;
  std::unique_ptr<DiscoveryStandIn> stand_in;
  std::vector<std::unique_ptr<Client>> clients;
};

TEST_F(DiscoveryStandInTest, GivesTheWholeListAndThenTheChanges) {
  Start();
  Client& client = Join();
  client.discovery.Watch();
  ASSERT_TRUE(Watches(1));
  const std::int64_t before = stand_in->generation();
  EXPECT_EQ(stand_in->Change({Server(1, Entry::Lifecycle::kRemoved), Server(7)}), before + 1);
  ASSERT_TRUE(RunUntil(io, [&] { return client.lists.size() == 3; }));
  EXPECT_TRUE(client.lists[0].full);
  ASSERT_EQ(client.lists[0].endpoints.size(), 3U);
  const net::Endpoint& server = client.lists[0].endpoints[2];
  EXPECT_EQ(server.info.id, "s-2");
  EXPECT_EQ(server.address.port(), 1002);
  EXPECT_EQ(server.info.zone, 1);
  EXPECT_EQ(server.info.machine, 0);
  EXPECT_EQ(server.info.cell, 2);
  EXPECT_EQ(server.info.weight, 1.5);
  EXPECT_EQ(server.info.started, 1'700'000'000'123'000);
  EXPECT_FALSE(client.lists[1].full);  // the watch begins where the list ended
  EXPECT_TRUE(client.lists[1].endpoints.empty());
  EXPECT_EQ(client.lists[2].generation, before + 1);
  ASSERT_EQ(client.lists[2].endpoints.size(), 2U);
  EXPECT_EQ(client.lists[2].endpoints[0].info.state, ServerInfo::State::kGone);
  EXPECT_EQ(stand_in->counts().calls, 2U);
  EXPECT_EQ(stand_in->counts().whole_lists, 1U);
  EXPECT_EQ(stand_in->counts().objects, 3U);
  EXPECT_EQ(stand_in->counts().entries, 5U);
  EXPECT_EQ(client.failures, 0);
}

TEST_F(DiscoveryStandInTest, WhatIsRemovedIsInNoWholeList) {
  Start();
  stand_in->Change({Server(1, Entry::Lifecycle::kRemoved)});
  Client& client = Join();
  client.discovery.Watch();
  ASSERT_TRUE(RunUntil(io, [&] { return !client.lists.empty(); }));
  EXPECT_EQ(client.lists[0].endpoints.size(), 2U);
}

TEST_F(DiscoveryStandInTest, AWatchBeginsWithWhatItMissedEachEntryOnce) {
  Start();
  const std::int64_t had = stand_in->generation();
  stand_in->Change({Server(1, Entry::Lifecycle::kDraining)});
  stand_in->Change({Server(2, Entry::Lifecycle::kDraining)});
  stand_in->Change({Server(1, Entry::Lifecycle::kRemoved)});
  Client& client = Join();
  client.discovery.SetKnownGeneration(had);
  client.discovery.Watch();
  ASSERT_TRUE(RunUntil(io, [&] { return !client.lists.empty(); }));
  EXPECT_FALSE(client.lists[0].full);
  EXPECT_EQ(client.lists[0].generation, had + 3);
  ASSERT_EQ(client.lists[0].endpoints.size(), 2U);
  EXPECT_EQ(client.lists[0].endpoints[0].info.state, ServerInfo::State::kGone);
  EXPECT_EQ(client.lists[0].endpoints[1].info.state, ServerInfo::State::kDraining);
}

TEST_F(DiscoveryStandInTest, AWatchFromBeforeTheHistoryOrBeyondItBeginsWithTheWholeList) {
  DiscoveryStandIn::Options options;
  options.history = 2;
  Start(options);
  const std::int64_t had = stand_in->generation();
  for (int i = 0; i < 3; ++i) stand_in->Change({Server(i, Entry::Lifecycle::kDraining)});
  for (const std::int64_t index : {had, had + 100}) {
    Client& client = Join();
    client.discovery.SetKnownGeneration(index);
    client.discovery.Watch();
    ASSERT_TRUE(RunUntil(io, [&] { return !client.lists.empty(); }));
    EXPECT_TRUE(client.lists[0].full);
    EXPECT_EQ(client.lists[0].endpoints.size(), 3U);
  }
  Client& near = Join();
  near.discovery.SetKnownGeneration(had + 1);
  near.discovery.Watch();
  ASSERT_TRUE(RunUntil(io, [&] { return !near.lists.empty(); }));
  EXPECT_FALSE(near.lists[0].full);
  EXPECT_EQ(near.lists[0].endpoints.size(), 2U);
}

TEST_F(DiscoveryStandInTest, MakesAChangeOnceForAllWatches) {
  Start();
  for (int i = 0; i < 5; ++i) Join().discovery.Watch();
  ASSERT_TRUE(Watches(5));
  const std::uint64_t made = stand_in->serialized();
  const std::uint64_t written = stand_in->counts().objects;
  stand_in->Change({Server(1, Entry::Lifecycle::kDraining)});
  EXPECT_EQ(stand_in->serialized(), made + 1);
  EXPECT_EQ(stand_in->counts().objects, written + 5);
  EXPECT_TRUE(RunUntil(io, [&] {
    return std::all_of(clients.begin(), clients.end(),
                       [&](const auto& c) { return c->lists.back().generation == stand_in->generation(); });
  }));
}

TEST_F(DiscoveryStandInTest, BlankLinesKeepAWatchThatHasNoNews) {
  DiscoveryStandIn::Options options;
  options.blank_line = 20'000;
  Start(options);
  Client& client = Join();
  client.discovery.Watch();
  ASSERT_TRUE(RunUntil(io, [&] { return stand_in->counts().blank_lines >= 5; }));
  EXPECT_EQ(stand_in->counts().calls, 2U);
  EXPECT_EQ(client.failures, 0);
}

TEST_F(DiscoveryStandInTest, TurnsAwayWhatItsQueueDoesNotHold) {
  DiscoveryStandIn::Options options;
  options.service_time = 60'000'000;  // nothing is served in the test's time
  options.queue = 2;
  options.longest_wait = 60'000'000;
  Start(options);
  for (int i = 0; i < 7; ++i) Join().discovery.Watch();
  ASSERT_TRUE(RunUntil(io, [&] { return stand_in->counts().calls == 7; }));
  EXPECT_EQ(stand_in->counts().refused, 4U);  // one is being served, two wait
  const auto failures = [&] {
    int sum = 0;
    for (const auto& client : clients) sum += client->failures;
    return sum;
  };
  EXPECT_TRUE(RunUntil(io, [&] { return failures() == 4; }));
}

TEST_F(DiscoveryStandInTest, TurnsAwayWhatHasWaitedTooLong) {
  DiscoveryStandIn::Options options;
  options.service_time = 60'000'000;
  options.longest_wait = 1'000;
  Start(options);
  for (int i = 0; i < 3; ++i) Join().discovery.Watch();
  EXPECT_TRUE(RunUntil(io, [&] { return stand_in->counts().refused == 2; }));
}

TEST_F(DiscoveryStandInTest, ServesOneCallAfterAnother) {
  DiscoveryStandIn::Options options;
  options.service_time = 1'000;
  options.service_time_per_line = 100;
  Start(options);
  for (int i = 0; i < 5; ++i) Join().discovery.Watch();
  ASSERT_TRUE(Watches(5));
  EXPECT_EQ(stand_in->counts().refused, 0U);
  EXPECT_EQ(stand_in->counts().whole_lists, 5U);
}

TEST_F(DiscoveryStandInTest, WhatHasFallenSilentIsOpenedAnew) {
  Start();
  Client& client = Join(0, /*reopens=*/true, /*silence=*/200'000);
  client.discovery.Watch();
  ASSERT_TRUE(Watches(1));
  stand_in->SetSilent(true);
  stand_in->Change({Server(2, Entry::Lifecycle::kRemoved)});
  ASSERT_TRUE(RunUntil(io, [&] { return client.failures > 0; }));
  EXPECT_LT(client.lists.back().generation, stand_in->generation());
  stand_in->SetSilent(false);
  EXPECT_TRUE(RunUntil(io, [&] { return client.lists.back().generation == stand_in->generation(); }));
}

TEST_F(DiscoveryStandInTest, ACutRegionIsSilentAloneAndCannotBeJoinedUntilItIsHealed) {
  Start({}, 2);
  Client& near = Join(0);
  Client& far = Join(1, /*reopens=*/true, /*silence=*/10'000'000);
  near.discovery.Watch();
  far.discovery.Watch();
  ASSERT_TRUE(Watches(2));
  ASSERT_TRUE(RunUntil(io, [&] { return near.lists.size() == 2 && far.lists.size() == 2; }));
  stand_in->Cut(1, true);
  stand_in->Change({Server(2, Entry::Lifecycle::kRemoved)});
  ASSERT_TRUE(RunUntil(io, [&] { return near.lists.size() == 3; }));
  EXPECT_EQ(far.lists.size(), 2U);
  EXPECT_EQ(far.failures, 0);

  bool up = false;
  Tcp::socket late(io);
  late.async_connect(stand_in->addresses()[1], [&](net::ErrorCode error) { up = !error; });
  RunFor(io, 200ms);
  EXPECT_FALSE(up);
  stand_in->Cut(1, false);
  EXPECT_TRUE(RunUntil(io, [&] { return up; }));  // as the kernel tries again
  Client& later = Join(1);
  later.discovery.Watch();
  ASSERT_TRUE(RunUntil(io, [&] { return !later.lists.empty(); }));
  EXPECT_EQ(later.lists[0].endpoints.size(), 2U);
}

TEST_F(DiscoveryStandInTest, DiesWithItsWatchesAndReturnsWithItsList) {
  Start();
  Client& client = Join(0, /*reopens=*/true);
  client.discovery.Watch();
  ASSERT_TRUE(RunUntil(io, [&] { return client.lists.size() == 2; }));
  stand_in->Die();
  EXPECT_EQ(stand_in->counts().watches, 0U);
  ASSERT_TRUE(RunUntil(io, [&] { return client.failures >= 2; }));  // the end of the watch, and a refusal
  stand_in->Change({Server(2, Entry::Lifecycle::kRemoved)});
  stand_in->Return();
  ASSERT_TRUE(RunUntil(io, [&] { return client.lists.size() == 3; }));
  EXPECT_FALSE(client.lists[2].full);
  EXPECT_EQ(client.lists[2].endpoints.size(), 1U);
  stand_in->Die();
  stand_in->Return(/*anew=*/true);
  ASSERT_TRUE(RunUntil(io, [&] { return client.lists.size() == 4; }));
  EXPECT_TRUE(client.lists[3].full);
  EXPECT_EQ(client.lists[3].generation, 1);
}

}  // namespace
}  // namespace merlinrun::scale
