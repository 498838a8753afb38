// Tests of the fake discovery with the sidecar's own discovery client.
#include "scale/fake_discovery.hpp"

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

// A client of the fake discovery, and the updates that it received.
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

class FakeDiscoveryTest : public ::testing::Test {
 protected:
  void Start(FakeDiscovery::Options options = {}, std::size_t regions = 1) {
    std::vector<Tcp::endpoint> listen;
    for (std::size_t i = 0; i < regions; ++i)
      listen.emplace_back(asio::ip::make_address("127.0.0." + std::to_string(i + 1)), 0);
    fake_discovery = std::make_unique<FakeDiscovery>(io, listen, options);
    fake_discovery->SetList(Servers(3));
  }
  Client& AddClient(std::size_t region = 0, bool reopens = false, Micros silence = 2'700'000) {
    clients.push_back(std::make_unique<Client>(io, fake_discovery->addresses()[region], reopens, silence));
    return *clients.back();
  }
  bool AwaitWatches(std::uint64_t count) {
    return RunUntil(io, [&] { return fake_discovery->counts().watches == count; });
  }

  asio::io_context io;
  std::unique_ptr<FakeDiscovery> fake_discovery;
  std::vector<std::unique_ptr<Client>> clients;
};

TEST_F(FakeDiscoveryTest, SendsTheFullListAndThenTheChanges) {
  Start();
  Client& client = AddClient();
  client.discovery.Watch();
  ASSERT_TRUE(AwaitWatches(1));
  const std::int64_t before = fake_discovery->generation();
  EXPECT_EQ(fake_discovery->Change({Server(1, Entry::Lifecycle::kRemoved), Server(7)}), before + 1);
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
  EXPECT_FALSE(client.lists[1].full);  // the watch starts at the generation of the list
  EXPECT_TRUE(client.lists[1].endpoints.empty());
  EXPECT_EQ(client.lists[2].generation, before + 1);
  ASSERT_EQ(client.lists[2].endpoints.size(), 2U);
  EXPECT_EQ(client.lists[2].endpoints[0].info.state, ServerInfo::State::kGone);
  EXPECT_EQ(fake_discovery->counts().calls, 2U);
  EXPECT_EQ(fake_discovery->counts().full_lists, 1U);
  EXPECT_EQ(fake_discovery->counts().objects, 3U);
  EXPECT_EQ(fake_discovery->counts().entries, 5U);
  EXPECT_EQ(client.failures, 0);
}

TEST_F(FakeDiscoveryTest, TheFullListContainsNoRemovedServers) {
  Start();
  fake_discovery->Change({Server(1, Entry::Lifecycle::kRemoved)});
  Client& client = AddClient();
  client.discovery.Watch();
  ASSERT_TRUE(RunUntil(io, [&] { return !client.lists.empty(); }));
  EXPECT_EQ(client.lists[0].endpoints.size(), 2U);
}

TEST_F(FakeDiscoveryTest, AWatchStartsWithTheMissedChangesEachEntryOnce) {
  Start();
  const std::int64_t known = fake_discovery->generation();
  fake_discovery->Change({Server(1, Entry::Lifecycle::kDraining)});
  fake_discovery->Change({Server(2, Entry::Lifecycle::kDraining)});
  fake_discovery->Change({Server(1, Entry::Lifecycle::kRemoved)});
  Client& client = AddClient();
  client.discovery.SetKnownGeneration(known);
  client.discovery.Watch();
  ASSERT_TRUE(RunUntil(io, [&] { return !client.lists.empty(); }));
  EXPECT_FALSE(client.lists[0].full);
  EXPECT_EQ(client.lists[0].generation, known + 3);
  ASSERT_EQ(client.lists[0].endpoints.size(), 2U);
  EXPECT_EQ(client.lists[0].endpoints[0].info.state, ServerInfo::State::kGone);
  EXPECT_EQ(client.lists[0].endpoints[1].info.state, ServerInfo::State::kDraining);
}

TEST_F(FakeDiscoveryTest, AWatchFromOutsideTheHistoryStartsWithTheFullList) {
  FakeDiscovery::Options options;
  options.history = 2;
  Start(options);
  const std::int64_t known = fake_discovery->generation();
  for (int i = 0; i < 3; ++i) fake_discovery->Change({Server(i, Entry::Lifecycle::kDraining)});
  for (const std::int64_t index : {known, known + 100}) {
    Client& client = AddClient();
    client.discovery.SetKnownGeneration(index);
    client.discovery.Watch();
    ASSERT_TRUE(RunUntil(io, [&] { return !client.lists.empty(); }));
    EXPECT_TRUE(client.lists[0].full);
    EXPECT_EQ(client.lists[0].endpoints.size(), 3U);
  }
  Client& recent = AddClient();
  recent.discovery.SetKnownGeneration(known + 1);
  recent.discovery.Watch();
  ASSERT_TRUE(RunUntil(io, [&] { return !recent.lists.empty(); }));
  EXPECT_FALSE(recent.lists[0].full);
  EXPECT_EQ(recent.lists[0].endpoints.size(), 2U);
}

TEST_F(FakeDiscoveryTest, SerializesAChangeOnceForAllWatches) {
  Start();
  for (int i = 0; i < 5; ++i) AddClient().discovery.Watch();
  ASSERT_TRUE(AwaitWatches(5));
  const std::uint64_t serialized = fake_discovery->objects_serialized();
  const std::uint64_t written = fake_discovery->counts().objects;
  fake_discovery->Change({Server(1, Entry::Lifecycle::kDraining)});
  EXPECT_EQ(fake_discovery->objects_serialized(), serialized + 1);
  EXPECT_EQ(fake_discovery->counts().objects, written + 5);
  EXPECT_TRUE(RunUntil(io, [&] {
    return std::all_of(clients.begin(), clients.end(), [&](const auto& c) {
      return c->lists.back().generation == fake_discovery->generation();
    });
  }));
}

TEST_F(FakeDiscoveryTest, HeartbeatsKeepAnIdleWatchOpen) {
  FakeDiscovery::Options options;
  options.heartbeat_interval = 20'000;
  Start(options);
  Client& client = AddClient();
  client.discovery.Watch();
  ASSERT_TRUE(RunUntil(io, [&] { return fake_discovery->counts().heartbeats >= 5; }));
  EXPECT_EQ(fake_discovery->counts().calls, 2U);
  EXPECT_EQ(client.failures, 0);
}

TEST_F(FakeDiscoveryTest, RefusesCallsWhenTheQueueIsFull) {
  FakeDiscovery::Options options;
  options.service_time = 60'000'000;  // no call is finished during the test
  options.queue = 2;
  options.max_wait = 60'000'000;
  Start(options);
  for (int i = 0; i < 7; ++i) AddClient().discovery.Watch();
  ASSERT_TRUE(RunUntil(io, [&] { return fake_discovery->counts().calls == 7; }));
  EXPECT_EQ(fake_discovery->counts().refused, 4U);  // one is in service, two wait
  const auto failures = [&] {
    int sum = 0;
    for (const auto& client : clients) sum += client->failures;
    return sum;
  };
  EXPECT_TRUE(RunUntil(io, [&] { return failures() == 4; }));
}

TEST_F(FakeDiscoveryTest, RefusesCallsThatWaitedTooLong) {
  FakeDiscovery::Options options;
  options.service_time = 60'000'000;
  options.max_wait = 1'000;
  Start(options);
  for (int i = 0; i < 3; ++i) AddClient().discovery.Watch();
  EXPECT_TRUE(RunUntil(io, [&] { return fake_discovery->counts().refused == 2; }));
}

TEST_F(FakeDiscoveryTest, ServesOneCallAfterAnother) {
  FakeDiscovery::Options options;
  options.service_time = 1'000;
  options.service_time_per_entry = 100;
  Start(options);
  for (int i = 0; i < 5; ++i) AddClient().discovery.Watch();
  ASSERT_TRUE(AwaitWatches(5));
  EXPECT_EQ(fake_discovery->counts().refused, 0U);
  EXPECT_EQ(fake_discovery->counts().full_lists, 5U);
}

TEST_F(FakeDiscoveryTest, ASilentWatchIsReopened) {
  Start();
  Client& client = AddClient(0, /*reopens=*/true, /*silence=*/200'000);
  client.discovery.Watch();
  ASSERT_TRUE(AwaitWatches(1));
  fake_discovery->SetSilent(true);
  fake_discovery->Change({Server(2, Entry::Lifecycle::kRemoved)});
  ASSERT_TRUE(RunUntil(io, [&] { return client.failures > 0; }));
  EXPECT_LT(client.lists.back().generation, fake_discovery->generation());
  fake_discovery->SetSilent(false);
  EXPECT_TRUE(RunUntil(io, [&] { return client.lists.back().generation == fake_discovery->generation(); }));
}

TEST_F(FakeDiscoveryTest, OnlyAPartitionedRegionIsSilentAndUnreachableUntilHealed) {
  Start({}, 2);
  Client& connected = AddClient(0);
  Client& partitioned = AddClient(1, /*reopens=*/true, /*silence=*/10'000'000);
  connected.discovery.Watch();
  partitioned.discovery.Watch();
  ASSERT_TRUE(AwaitWatches(2));
  ASSERT_TRUE(RunUntil(io, [&] { return connected.lists.size() == 2 && partitioned.lists.size() == 2; }));
  fake_discovery->SetPartitioned(1, true);
  fake_discovery->Change({Server(2, Entry::Lifecycle::kRemoved)});
  ASSERT_TRUE(RunUntil(io, [&] { return connected.lists.size() == 3; }));
  EXPECT_EQ(partitioned.lists.size(), 2U);
  EXPECT_EQ(partitioned.failures, 0);

  bool established = false;
  Tcp::socket late(io);
  late.async_connect(fake_discovery->addresses()[1], [&](net::ErrorCode error) { established = !error; });
  RunFor(io, 200ms);
  EXPECT_FALSE(established);
  fake_discovery->SetPartitioned(1, false);
  EXPECT_TRUE(RunUntil(io, [&] { return established; }));  // by a retransmission of the kernel
  Client& later = AddClient(1);
  later.discovery.Watch();
  ASSERT_TRUE(RunUntil(io, [&] { return !later.lists.empty(); }));
  EXPECT_EQ(later.lists[0].endpoints.size(), 2U);
}

TEST_F(FakeDiscoveryTest, ACrashEndsTheWatchesAndARestartKeepsTheList) {
  Start();
  Client& client = AddClient(0, /*reopens=*/true);
  client.discovery.Watch();
  ASSERT_TRUE(RunUntil(io, [&] { return client.lists.size() == 2; }));
  fake_discovery->Crash();
  EXPECT_EQ(fake_discovery->counts().watches, 0U);
  // The end of the watch and a refused connection.
  ASSERT_TRUE(RunUntil(io, [&] { return client.failures >= 2; }));
  fake_discovery->Change({Server(2, Entry::Lifecycle::kRemoved)});
  fake_discovery->Restart();
  ASSERT_TRUE(RunUntil(io, [&] { return client.lists.size() == 3; }));
  EXPECT_FALSE(client.lists[2].full);
  EXPECT_EQ(client.lists[2].endpoints.size(), 1U);
  fake_discovery->Crash();
  fake_discovery->Restart(/*reset_generations=*/true);
  ASSERT_TRUE(RunUntil(io, [&] { return client.lists.size() == 4; }));
  EXPECT_TRUE(client.lists[3].full);
  EXPECT_EQ(client.lists[3].generation, 1);
}

}  // namespace
}  // namespace merlinrun::scale
