// Tests of the relay over sockets: what is sent on watches when the upstream changes, restarts or fails.
#include "relay/relay.hpp"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <optional>

#include "fixture.hpp"

namespace merlinrun::relay {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)
using StatesById = std::map<std::string, std::string>;

// A client with the discovery code of the sidecar. `states` is its current list.
struct Sidecar {
  Sidecar(net::asio::io_context& io, const net::Tcp::endpoint& address, std::int64_t known = -1)
      : discovery(io, address, names, Timing(), 7,
                  {[this](const net::EndpointList& list) { OnList(list); },
                   [this](std::optional<Micros>) { ++failures; }}) {
    discovery.SetKnownGeneration(known);
    discovery.Watch();
  }
  static net::Discovery::Timing Timing() {
    net::Discovery::Timing timing;
    timing.backoff_base = timing.backoff_max = 2'000;
    timing.silence_timeout = timing.answer_timeout = 60'000'000;  // a busy machine must cause no retry
    return timing;
  }
  void OnList(const net::EndpointList& list) {
    lists.push_back(list);
    if (list.full) states.clear();
    for (const net::Endpoint& server : list.endpoints) {
      states[server.info.id] = server.info.state;
      if (server.info.state == ServerInfo::State::kGone) states.erase(server.info.id);
    }
  }
  std::int64_t generation() const { return lists.empty() ? -1 : lists.back().generation; }

  drill::WireSettings names;
  std::vector<net::EndpointList> lists;
  std::map<std::string, ServerInfo::State> states;
  int failures = 0;
  net::Discovery discovery;
};

class RelayTest : public ::testing::Test {
 protected:
  RelayTest() : upstream(io, List(41, true, {Instance("a"), Instance("b")})) {
    config.listen = {Loopback()};
    config.upstream = upstream.server.address;
    config.batch_interval = 0ms;
    // The scripted upstream sends no heartbeats. With shorter timeouts, the relay would take it for silent
    // on a busy machine.
    config.timing.silence_timeout = config.timing.answer_timeout = 24LL * 3600 * 1'000'000;
  }
  ~RelayTest() override {
    if (!config.state_path.empty()) std::filesystem::remove(config.state_path);
  }
  void Start() {
    relay.emplace(io, config);
    ASSERT_TRUE(RunUntil(io, [&] { return relay->upstream_connected() && relay->feed().store().known(); }));
    ASSERT_TRUE(RunUntil(io, [&] { return upstream.OpenWatches().size() == 1; }));
  }
  std::shared_ptr<Peer> Call(const std::string& text) {
    auto peer = Connect(io, relay->addresses().front());
    peer->Write(text);
    return peer;
  }
  // Opens a watch and waits for its first object.
  std::shared_ptr<Peer> Watch(std::int64_t index) {
    auto peer = Call(WatchFrom(index));
    EXPECT_TRUE(RunUntil(io, [&] { return Objects(*peer).size() == 1; }));
    return peer;
  }
  // Waits until the watch has received at least this number of objects.
  bool Receives(const std::shared_ptr<Peer>& watch, std::size_t objects) {
    return RunUntil(io, [&] { return Objects(*watch).size() >= objects; });
  }
  void Change(std::int64_t generation, const std::string& id, const std::string& lifecycle = "up") {
    upstream.SendToWatches(List(generation, false, {Instance(id, lifecycle)}));
  }
  void UseStateFile() {
    config.state_path =
        std::filesystem::temp_directory_path() / ("rookhub-relay-test-" + std::to_string(::getpid()));
  }

  net::asio::io_context io;
  Upstream upstream;
  Config config;
  std::optional<Relay> relay;
};

TEST_F(RelayTest, ASidecarFollowsTheRelayLikeDiscovery) {
  Start();
  Sidecar sidecar(io, relay->addresses().front());
  ASSERT_TRUE(RunUntil(
      io, [&] { return sidecar.lists.size() == 2; }));  // the full list, and the first object of the watch
  EXPECT_TRUE(sidecar.lists[0].full);
  Change(42, "b", "draining");
  Change(43, "a", "removed");
  Change(44, "c");
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar.generation() == 44; }));
  using State = ServerInfo::State;
  EXPECT_EQ(sidecar.states, (std::map<std::string, State>{{"b", State::kDraining}, {"c", State::kHealthy}}));
  EXPECT_EQ(sidecar.failures, 0);
}

TEST_F(RelayTest, AWatchReceivesTheChangesAfterItsIndexOrTheFullList) {
  Start();
  const auto first = Watch(41);
  EXPECT_EQ(Objects(*first)[0], List(41, false, {}));
  Change(42, "a", "draining");
  ASSERT_TRUE(Receives(first, 2));
  EXPECT_EQ(States(Objects(*first)[1]), (StatesById{{"a", "draining"}}));
  const auto second = Watch(41);
  EXPECT_EQ(Objects(*second)[0], Objects(*first)[1]);
  const auto older = Watch(17);
  EXPECT_EQ(Objects(*older)[0].at("reset"), true);
  EXPECT_EQ(States(Objects(*older)[0]), (StatesById{{"a", "draining"}, {"b", "up"}}));
  const auto no_index = Call(Get("/v1/endpoints?stream=1"));
  ASSERT_TRUE(Receives(no_index, 1));
  EXPECT_EQ(Objects(*no_index), Objects(*older));
}

TEST_F(RelayTest, TheFirstChangeIsSentAtOnceAndTheRestOfTheBatchAsOneObject) {
  config.batch_interval = 2s;
  Start();
  const auto watch = Watch(41);
  std::string burst;
  for (int i = 0; i < 100; ++i)
    burst += Chunk(List(42 + i, false, {Instance("n" + std::to_string(i % 10))}).dump() + "\n");
  upstream.OpenWatches()[0]->Write(burst);
  ASSERT_TRUE(RunUntil(io, [&] { return relay->feed().store().generation() == 141; }));
  ASSERT_TRUE(Receives(watch, 3));
  const auto objects = Objects(*watch);
  ASSERT_EQ(objects.size(), 3U);
  EXPECT_EQ(objects[1].at("generation"), 42);
  EXPECT_EQ(objects[2].at("generation"), 141);
  EXPECT_EQ(States(objects[2]).size(), 10U);  // each entry once
  EXPECT_EQ(relay->feed().batches(), 2U);
}

TEST_F(RelayTest, AFullListFromUpstreamIsSentAsADelta) {
  Start();
  const auto watch = Watch(41);
  upstream.full_list = List(60, true, {Instance("b"), Instance("c")});
  upstream.first_object = upstream.full_list.dump();
  upstream.OpenWatches()[0]->Reset();
  ASSERT_TRUE(Receives(watch, 2));
  EXPECT_EQ(Objects(*watch)[1].at("reset"), false);
  EXPECT_EQ(States(Objects(*watch)[1]), (StatesById{{"a", "removed"}, {"c", "up"}}));
}

TEST_F(RelayTest, AFullListWithALowerGenerationResetsEveryWatch) {
  Start();
  const auto one = Watch(41);
  const auto two = Watch(41);
  upstream.full_list = List(3, true, {Instance("z")});
  Change(2, "z");  // a lower generation: the relay requests the full list
  for (const auto& watch : {one, two}) {
    ASSERT_TRUE(Receives(watch, 2));
    EXPECT_EQ(Objects(*watch)[1], upstream.full_list);
  }
  ASSERT_TRUE(RunUntil(io, [&] { return upstream.OpenWatches().size() == 1; }));
  Change(4, "y");
  for (const auto& watch : {one, two}) {
    ASSERT_TRUE(Receives(watch, 3));
    EXPECT_EQ(States(Objects(*watch)[2]), (StatesById{{"y", "up"}}));
  }
  EXPECT_EQ(States(Objects(*Watch(3))[0]), (StatesById{{"y", "up"}}));
}

// Guards against a crash (SIGSEGV) of the relay on a rejected change that is the last data of a read.
TEST_F(RelayTest, ARejectedChangeAtTheEndOfAReadEndsOnlyItsCall) {
  Start();
  const auto watch = Watch(41);
  upstream.first_object = List(43, false, {Instance("c")}).dump();
  const Json invalid = {{"instanceId", 7}};
  upstream.OpenWatches()[0]->Write(Chunk(List(42, false, {invalid}).dump()));
  ASSERT_TRUE(Receives(watch, 2));
  EXPECT_EQ(States(Objects(*watch)[1]), (StatesById{{"c", "up"}}));
}

// A client can have a higher generation than the relay if it comes from a relay that was ahead, or from a
// discovery that was replaced.
TEST_F(RelayTest, AWatchWithAHigherGenerationWaitsUntilTheRelayReachesIt) {
  config.catch_up_time = 24h;  // the relay never assumes that it has caught up
  Start();
  const auto ahead = Call(WatchFrom(43));
  ASSERT_TRUE(RunUntil(io, [&] { return !ahead->received.empty(); }));
  Change(42, "a", "draining");
  Change(43, "a");
  Change(44, "c");
  ASSERT_TRUE(Receives(ahead, 1));
  EXPECT_EQ(States(Objects(*ahead)[0]), (StatesById{{"c", "up"}}));
}

TEST_F(RelayTest, AWatchWithAHigherGenerationThanTheUpstreamReceivesTheFullList) {
  Start();
  Change(42, "a", "draining");
  ASSERT_TRUE(RunUntil(io, [&] { return relay->feed().store().generation() == 42; }));
  const auto watch = Watch(5000);
  EXPECT_EQ(Objects(*watch)[0].at("reset"), true);
  EXPECT_EQ(Objects(*watch)[0].at("generation"), 42);
}

// Guards against heartbeats that are sent too often. This happened when the sign of a time difference was
// ignored in a comparison.
TEST_F(RelayTest, AQuietWatchReceivesOneHeartbeatEveryTwoSeconds) {
  const auto start = std::chrono::steady_clock::now();  // no heartbeat is due before the relay's start
  Start();
  const auto watch = Call(WatchFrom(41));
  const auto heartbeats = [&] {
    int count = 0;
    for (std::size_t at = watch->received.find(kHeartbeatChunk); at != std::string::npos;
         at = watch->received.find(kHeartbeatChunk, at + 1))
      ++count;
    return count;
  };
  ASSERT_TRUE(RunUntil(io, [&] { return heartbeats() >= 2; }));
  EXPECT_LE(heartbeats(), (std::chrono::steady_clock::now() - start) / 2s + 1);
}

TEST_F(RelayTest, ASlowReaderReceivesOneMergedDeltaInsteadOfAQueue) {
  config.limits.send_buffer = 8 * 1024;
  // The slow watch must not be closed as stalled here, however long the rounds take.
  config.limits.stall_timeout = config.limits.max_write_time = 24h;
  Start();
  auto slow = std::make_shared<Peer>(net::Tcp::socket(io));
  slow->socket.open(net::Tcp::v4());
  slow->socket.set_option(net::asio::socket_base::receive_buffer_size(8 * 1024));
  slow->socket.connect(relay->addresses().front());
  slow->Write(WatchFrom(41));
  const auto fast = Watch(41);
  ASSERT_TRUE(RunUntil(io, [&] { return relay->server().counts().watches_begun == 2; }));
  constexpr int kRounds = 150;
  for (int round = 0; round < kRounds; ++round) {
    std::vector<Json> entries;
    for (int i = 0; i < 100; ++i)
      entries.push_back(Instance("n" + std::to_string(i), round % 2 == 0 ? "draining" : "up"));
    const std::size_t before = fast->received.size();
    upstream.SendToWatches(List(42 + round, false, entries));
    // Wait until the fast watch has received the whole object, so that no two rounds are merged into one.
    ASSERT_TRUE(RunUntil(io, [&] { return fast->received.find("}\n", before) != std::string::npos; }));
    ASSERT_EQ(relay->feed().store().generation(), 42 + round);
  }
  ASSERT_TRUE(Receives(fast, 1 + kRounds));
  ASSERT_EQ(relay->server().connections(), 2U);
  slow->Read();
  ASSERT_TRUE(RunUntil(io, [&] {
    const auto objects = Objects(*slow);
    return !objects.empty() && objects.back().at("generation") == 41 + kRounds;
  })) << (slow->ended ? "closed" : "open");
  const auto objects = Objects(*slow);
  EXPECT_LT(objects.size(), 30U);  // those in the kernel, the one being written and one delta
  EXPECT_EQ(States(objects.back()).size(), 100U);
  EXPECT_LT(slow->received.size(), fast->received.size() / 4);
}

TEST_F(RelayTest, ServesTheSavedListAfterARestartWhileDiscoveryIsDown) {
  UseStateFile();
  Start();
  Change(42, "b", "removed");
  ASSERT_TRUE(RunUntil(io, [&] { return relay->feed().store().generation() == 42; }));
  relay.reset();
  upstream.server.StopListening();
  for (const auto& peer : upstream.server.peers) peer->Reset();
  relay.emplace(io, config);
  const auto watch = Watch(41);
  EXPECT_EQ(States(Objects(*watch)[0]), (StatesById{{"b", "removed"}}));
  const auto list = Call(Get("/v1/endpoints"));
  ASSERT_TRUE(RunUntil(io, [&] { return list->ended; }));
  EXPECT_EQ(Json::parse(list->received.substr(list->received.find("\r\n\r\n"))),
            List(42, true, {Instance("a")}));
  const auto status = Call(Get("/status"));
  ASSERT_TRUE(RunUntil(io, [&] { return status->ended; }));
  const Json values = Json::parse(status->received.substr(status->received.find("\r\n\r\n")));
  EXPECT_EQ(values.at("generation"), 42);
  EXPECT_EQ(values.at("upstream_connected"), false);
  EXPECT_EQ(values.at("watches"), 1);
  EXPECT_EQ(values.at("tombstones"), 1);
}

TEST_F(RelayTest, AWatchStaysOpenWhileDiscoveryIsDownAndReceivesChangesAfterItsReturn) {
  Start();
  const auto watch = Watch(41);
  upstream.first_object = List(45, false, {Instance("c")}).dump();
  upstream.OpenWatches()[0]->Reset();
  ASSERT_TRUE(Receives(watch, 2));
  EXPECT_EQ(States(Objects(*watch)[1]), (StatesById{{"c", "up"}}));
  EXPECT_FALSE(watch->ended);
  EXPECT_NE(upstream.OpenWatches()[0]->received.find("index=41 "), std::string::npos);
}

// Guards against a status in which each failed call counted as data from the upstream.
TEST_F(RelayTest, AFailedCallIsNoDataFromTheUpstream) {
  config.timing.backoff_base = config.timing.backoff_max = 50'000;
  Start();
  upstream.server.StopListening();
  upstream.OpenWatches()[0]->Reset();
  RunFor(io, 300ms);
  const Json status = Json::parse(relay->Status());
  EXPECT_GT(status.at("upstream_ends"), 1);
  EXPECT_EQ(status.at("upstream_connected"), false);
  EXPECT_GE(status.at("upstream_unheard_s"), 0.3);
}

TEST_F(RelayTest, AnIncompleteStateFileIsIgnoredAndTheListIsRequestedAgain) {
  UseStateFile();
  std::ofstream(config.state_path) << "{\"format\":\"rookhub relay state 1\",\"generation\":9";
  Start();
  EXPECT_EQ(relay->feed().store().generation(), 41);
  EXPECT_EQ(relay->feed().store().min_delta_generation(), 41);
}

TEST_F(RelayTest, ARelayCanBeTheUpstreamOfAnother) {
  Start();
  Config downstream_config = config;
  downstream_config.upstream = relay->addresses().front();
  Relay second(io, downstream_config);
  ASSERT_TRUE(RunUntil(io, [&] { return second.upstream_connected() && second.feed().store().known(); }));
  Sidecar sidecar(io, second.addresses().front());
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar.lists.size() == 2; }));
  Change(42, "c");
  Change(43, "a", "removed");
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar.generation() == 43; }));
  EXPECT_EQ(sidecar.states.size(), 2U);
  EXPECT_EQ(sidecar.states.count("a"), 0U);
  // A client can switch to the other relay with its generation.
  const auto moved = Watch(42);
  EXPECT_EQ(States(Objects(*moved)[0]), (StatesById{{"a", "removed"}}));
  EXPECT_EQ(upstream.OpenWatches().size(), 1U);  // one watch, regardless of the number of clients
}

}  // namespace
}  // namespace merlinrun::relay
