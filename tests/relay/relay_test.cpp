// The relay on sockets: what watches are told, whatever happens above them.
#include "relay/relay.hpp"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <optional>

#include "fixture.hpp"

namespace merlinrun::relay {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)
using Names = std::map<std::string, std::string>;

// The sidecars' own code as the client; `states` is the list as it holds it.
struct Sidecar {
  Sidecar(net::asio::io_context& io, const net::Tcp::endpoint& address, std::int64_t known = -1)
      : discovery(io, address, names, Timing(), 7,
                  {[this](const net::EndpointList& list) { Take(list); },
                   [this](std::optional<Micros>) { ++failures; }}) {
    discovery.SetKnownGeneration(known);
    discovery.Watch();
  }
  static net::Discovery::Timing Timing() {
    net::Discovery::Timing timing;
    timing.backoff_base = timing.backoff_max = 2'000;
    timing.silence_timeout = timing.answer_timeout = 60'000'000;  // a busy machine is no reason to ask again
    return timing;
  }
  void Take(const net::EndpointList& list) {
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
    config.batch = 0ms;
    // The scripted upstream says nothing of itself: a busy machine is no reason to take it for silent.
    config.timing.silence_timeout = config.timing.answer_timeout = 24LL * 3600 * 1'000'000;
  }
  ~RelayTest() override {
    if (!config.state.empty()) std::filesystem::remove(config.state);
  }
  void Start() {
    relay.emplace(io, config);
    ASSERT_TRUE(RunUntil(io, [&] { return relay->upstream_heard() && relay->feed().store().known(); }));
    ASSERT_TRUE(RunUntil(io, [&] { return upstream.Open().size() == 1; }));
  }
  std::shared_ptr<Peer> Call(const std::string& text) {
    auto peer = Connect(io, relay->addresses().front());
    peer->Write(text);
    return peer;
  }
  // A watch that has had its first object.
  std::shared_ptr<Peer> Watch(std::int64_t index) {
    auto peer = Call(WatchFrom(index));
    EXPECT_TRUE(RunUntil(io, [&] { return Objects(*peer).size() == 1; }));
    return peer;
  }
  bool Hears(const std::shared_ptr<Peer>& watch, std::size_t objects) {
    return RunUntil(io, [&] { return Objects(*watch).size() >= objects; });
  }
  void Change(std::int64_t generation, const std::string& id, const std::string& lifecycle = "up") {
    upstream.Tell(List(generation, false, {Instance(id, lifecycle)}));
  }
  void KeepState() {
    config.state =
        std::filesystem::temp_directory_path() / ("rookhub-relay-test-" + std::to_string(::getpid()));
  }

  net::asio::io_context io;
  Upstream upstream;
  Config config;
  std::optional<Relay> relay;
};

TEST_F(RelayTest, ASidecarFollowsItAsItWouldFollowDiscovery) {
  Start();
  Sidecar sidecar(io, relay->addresses().front());
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar.lists.size() == 2; }));  // the whole, and a watch from there
  EXPECT_TRUE(sidecar.lists[0].full);
  Change(42, "b", "draining");
  Change(43, "a", "removed");
  Change(44, "c");
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar.generation() == 44; }));
  using State = ServerInfo::State;
  EXPECT_EQ(sidecar.states, (std::map<std::string, State>{{"b", State::kDraining}, {"c", State::kHealthy}}));
  EXPECT_EQ(sidecar.failures, 0);
}

TEST_F(RelayTest, AWatchIsToldWhatChangedAfterItsIndexOrElseTheWholeList) {
  Start();
  const auto first = Watch(41);
  EXPECT_EQ(Objects(*first)[0], List(41, false, {}));
  Change(42, "a", "draining");
  ASSERT_TRUE(Hears(first, 2));
  EXPECT_EQ(States(Objects(*first)[1]), (Names{{"a", "draining"}}));
  const auto second = Watch(41);
  EXPECT_EQ(Objects(*second)[0], Objects(*first)[1]);
  const auto older = Watch(17);
  EXPECT_EQ(Objects(*older)[0].at("reset"), true);
  EXPECT_EQ(States(Objects(*older)[0]), (Names{{"a", "draining"}, {"b", "up"}}));
  const auto blank = Call(Ask("/v1/endpoints?stream=1"));  // no index: knows nothing
  ASSERT_TRUE(Hears(blank, 1));
  EXPECT_EQ(Objects(*blank), Objects(*older));
}

TEST_F(RelayTest, TheFirstChangeGoesOutAtOnceAndTheRestOfTheBatchAsOneObject) {
  config.batch = 2s;
  Start();
  const auto watch = Watch(41);
  std::string burst;
  for (int i = 0; i < 100; ++i)
    burst += Chunk(List(42 + i, false, {Instance("n" + std::to_string(i % 10))}).dump() + "\n");
  upstream.Open()[0]->Write(burst);
  ASSERT_TRUE(RunUntil(io, [&] { return relay->feed().store().generation() == 141; }));
  ASSERT_TRUE(Hears(watch, 3));
  const auto objects = Objects(*watch);
  ASSERT_EQ(objects.size(), 3U);
  EXPECT_EQ(objects[1].at("generation"), 42);
  EXPECT_EQ(objects[2].at("generation"), 141);
  EXPECT_EQ(States(objects[2]).size(), 10U);  // each entry once
  EXPECT_EQ(relay->feed().batches(), 2U);
}

TEST_F(RelayTest, AWholeListFromAboveIsToldAsTheDifference) {
  Start();
  const auto watch = Watch(41);
  upstream.whole = List(60, true, {Instance("b"), Instance("c")});
  upstream.first = upstream.whole.dump();
  upstream.Open()[0]->Reset();
  ASSERT_TRUE(Hears(watch, 2));
  EXPECT_EQ(Objects(*watch)[1].at("reset"), false);
  EXPECT_EQ(States(Objects(*watch)[1]), (Names{{"a", "removed"}, {"c", "up"}}));
}

TEST_F(RelayTest, ADiscoveryThatBeginsAnewResetsEveryWatch) {
  Start();
  const auto one = Watch(41);
  const auto two = Watch(41);
  upstream.whole = List(3, true, {Instance("z")});
  Change(2, "z");  // a lower generation: the whole list is asked for
  for (const auto& watch : {one, two}) {
    ASSERT_TRUE(Hears(watch, 2));
    EXPECT_EQ(Objects(*watch)[1], upstream.whole);
  }
  ASSERT_TRUE(RunUntil(io, [&] { return upstream.Open().size() == 1; }));
  Change(4, "y");
  for (const auto& watch : {one, two}) {
    ASSERT_TRUE(Hears(watch, 3));
    EXPECT_EQ(States(Objects(*watch)[2]), (Names{{"y", "up"}}));
  }
  EXPECT_EQ(States(Objects(*Watch(3))[0]), (Names{{"y", "up"}}));
}

// It has come from a relay that was ahead, or from the discovery that was there before.
TEST_F(RelayTest, AWatchThatKnowsMoreWaitsUntilTheRelayDoes) {
  config.first_words = 24h;  // the upstream may tell as much at any time
  Start();
  const auto ahead = Call(WatchFrom(43));
  ASSERT_TRUE(RunUntil(io, [&] { return !ahead->received.empty(); }));
  Change(42, "a", "draining");
  Change(43, "a");
  Change(44, "c");
  ASSERT_TRUE(Hears(ahead, 1));
  EXPECT_EQ(States(Objects(*ahead)[0]), (Names{{"c", "up"}}));
}

TEST_F(RelayTest, AWatchThatKnowsMoreThanAnUpstreamThatWasHeardOutTakesTheWholeList) {
  Start();
  Change(42, "a", "draining");
  ASSERT_TRUE(RunUntil(io, [&] { return relay->feed().store().generation() == 42; }));
  const auto lost = Watch(5000);
  EXPECT_EQ(Objects(*lost)[0].at("reset"), true);
  EXPECT_EQ(Objects(*lost)[0].at("generation"), 42);
}

// Guards against a clock of blank lines that runs ahead, as it did when a time was compared without its sign.
TEST_F(RelayTest, AQuietWatchHasABlankLineEveryTwoSecondsAndNoMore) {
  const auto begun = std::chrono::steady_clock::now();  // of the relay's schedule: none is due before it
  Start();
  const auto watch = Call(WatchFrom(41));
  const auto blank_lines = [&] {
    int count = 0;
    for (std::size_t at = watch->received.find(kBlankChunk); at != std::string::npos;
         at = watch->received.find(kBlankChunk, at + 1))
      ++count;
    return count;
  };
  ASSERT_TRUE(RunUntil(io, [&] { return blank_lines() >= 2; }));
  EXPECT_LE(blank_lines(), (std::chrono::steady_clock::now() - begun) / 2s + 1);
}

TEST_F(RelayTest, ASlowReaderGetsOneCompactedDeltaAndNoQueue) {
  config.limits.send_buffer = 8 * 1024;
  // That a stalled watch is closed is another test's: here it is not, however long the rounds take.
  config.limits.stalled = config.limits.longest_write = 24h;
  Start();
  auto slow = std::make_shared<Peer>(net::Tcp::socket(io));
  slow->socket.open(net::Tcp::v4());
  slow->socket.set_option(net::asio::socket_base::receive_buffer_size(8 * 1024));
  slow->socket.connect(relay->addresses().front());
  slow->Write(WatchFrom(41));
  const auto fast = Watch(41);
  ASSERT_TRUE(RunUntil(io, [&] { return relay->server().counts().watches == 2; }));
  constexpr int kRounds = 150;
  for (int round = 0; round < kRounds; ++round) {
    std::vector<Json> entries;
    for (int i = 0; i < 100; ++i)
      entries.push_back(Instance("n" + std::to_string(i), round % 2 == 0 ? "draining" : "up"));
    const std::size_t before = fast->received.size();
    upstream.Tell(List(42 + round, false, entries));
    // Until the fast one has read it to its end, so that no two rounds are told it as one.
    ASSERT_TRUE(RunUntil(io, [&] { return fast->received.find("}\n", before) != std::string::npos; }));
    ASSERT_EQ(relay->feed().store().generation(), 42 + round);
  }
  ASSERT_TRUE(Hears(fast, 1 + kRounds));
  ASSERT_EQ(relay->server().connections(), 2U);
  slow->Read();
  ASSERT_TRUE(RunUntil(io, [&] {
    const auto objects = Objects(*slow);
    return !objects.empty() && objects.back().at("generation") == 41 + kRounds;
  })) << (slow->ended ? "closed" : "open");
  const auto objects = Objects(*slow);
  EXPECT_LT(objects.size(), 30U);  // what the kernel held, one being written, one delta
  EXPECT_EQ(States(objects.back()).size(), 100U);
  EXPECT_LT(slow->received.size(), fast->received.size() / 4);
}

TEST_F(RelayTest, ServesWhatItKnowsAfterARestartWhileDiscoveryIsDown) {
  KeepState();
  Start();
  Change(42, "b", "removed");
  ASSERT_TRUE(RunUntil(io, [&] { return relay->feed().store().generation() == 42; }));
  relay.reset();
  upstream.server.StopListening();
  for (const auto& peer : upstream.server.peers) peer->Reset();
  relay.emplace(io, config);
  const auto watch = Watch(41);
  EXPECT_EQ(States(Objects(*watch)[0]), (Names{{"b", "removed"}}));
  const auto list = Call(Ask("/v1/endpoints"));
  ASSERT_TRUE(RunUntil(io, [&] { return list->ended; }));
  EXPECT_EQ(Json::parse(list->received.substr(list->received.find("\r\n\r\n"))),
            List(42, true, {Instance("a")}));
  const auto status = Call(Ask("/status"));
  ASSERT_TRUE(RunUntil(io, [&] { return status->ended; }));
  const Json told = Json::parse(status->received.substr(status->received.find("\r\n\r\n")));
  EXPECT_EQ(told.at("generation"), 42);
  EXPECT_EQ(told.at("upstream_connected"), false);
  EXPECT_EQ(told.at("watches"), 1);
  EXPECT_EQ(told.at("tombstones"), 1);
}

TEST_F(RelayTest, AWatchGoesOnWhileDiscoveryIsAwayAndIsToldOfItsReturn) {
  Start();
  const auto watch = Watch(41);
  upstream.first = List(45, false, {Instance("c")}).dump();
  upstream.Open()[0]->Reset();
  ASSERT_TRUE(Hears(watch, 2));
  EXPECT_EQ(States(Objects(*watch)[1]), (Names{{"c", "up"}}));
  EXPECT_FALSE(watch->ended);
  EXPECT_NE(upstream.Open()[0]->received.find("index=41 "), std::string::npos);
}

TEST_F(RelayTest, ATornStateFileIsLeftAndTheListAskedForAnew) {
  KeepState();
  std::ofstream(config.state) << "{\"format\":\"rookhub relay state 1\",\"generation\":9";
  Start();
  EXPECT_EQ(relay->feed().store().generation(), 41);
  EXPECT_EQ(relay->feed().store().floor(), 41);
}

TEST_F(RelayTest, RelaysStandInARow) {
  Start();
  Config below = config;
  below.upstream = relay->addresses().front();
  Relay second(io, below);
  ASSERT_TRUE(RunUntil(io, [&] { return second.upstream_heard() && second.feed().store().known(); }));
  Sidecar sidecar(io, second.addresses().front());
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar.lists.size() == 2; }));
  Change(42, "c");
  Change(43, "a", "removed");
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar.generation() == 43; }));
  EXPECT_EQ(sidecar.states.size(), 2U);
  EXPECT_EQ(sidecar.states.count("a"), 0U);
  // It may go over to the other relay with what it knows.
  const auto moved = Watch(42);
  EXPECT_EQ(States(Objects(*moved)[0]), (Names{{"a", "removed"}}));
  EXPECT_EQ(upstream.Open().size(), 1U);  // one watch, however many below
}

}  // namespace
}  // namespace merlinrun::relay
