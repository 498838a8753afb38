// Tests of the discovery watch: how it is read, when it is reopened, and how invalid lists are handled.
#include "net/discovery.hpp"

#include <thread>

#include "loopback.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

std::string Chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

class DiscoveryTest : public ::testing::Test {
 protected:
  // Starts a fake discovery that answers the n-th watch with the n-th of `scripts`, and all later watches
  // with the last one. An empty script closes the connection.
  void Start(std::vector<std::string> scripts, Discovery::Timing timing = LongTimeouts()) {
    server = std::make_unique<ScriptedServer>(io, [this, scripts](Peer& peer) {
      if (peer.requests() != 1) return;
      const std::size_t n = std::min(watches++, scripts.size() - 1);
      peer.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + scripts[n]);
      if (scripts[n].empty()) peer.Close();
    });
    timing.backoff_base = timing.backoff_max = 2'000;
    discovery = std::make_unique<Discovery>(
        io, server->address, names, timing, 1,
        Discovery::Events{[this](const EndpointList& list) { lists.push_back(list); },
                          [this](Micros time) { ++failures, within = time; }});
    discovery->SetKnownGeneration(41);
    discovery->Watch();
  }
  // Lets a new discovery client read both pieces one after the other, and waits until it has received or
  // rejected the object.
  void DeliverInTwoPieces(const std::string& first, const std::string& second) {
    Discovery::Timing timing = LongTimeouts();
    timing.reopens_itself = false;
    lists.clear();
    failures = 0;
    Start({Chunk(first)}, timing);
    ASSERT_TRUE(RunUntil(io, [&] { return watches == 1; }));
    RunFor(io, 2ms);
    if (failures == 0 && !second.empty()) server->peers[0]->Write(Chunk(second));
    ASSERT_TRUE(RunUntil(io, [&] { return !lists.empty() || failures > 0; }));
    watches = 0;
    old_servers.push_back(std::move(server));
    old_clients.push_back(std::move(discovery));
  }
  // Timeouts of a day, so that on a busy machine no watch counts as silent and no missed change takes effect.
  // Each test shortens only those that it is about.
  static Discovery::Timing LongTimeouts() {
    Discovery::Timing timing;
    timing.silence_timeout = timing.answer_timeout = timing.missed_change_delay = timing.switch_delay = kDay;
    return timing;
  }
  static constexpr Micros kDay = Micros{24} * 3600 * 1'000'000;
  static std::string Line(std::int64_t generation, const std::string& id) {
    return List(generation, false, {Entry(id, {asio::ip::make_address("127.0.0.1"), 80})}).dump() + "\n";
  }

  asio::io_context io;
  drill::WireSettings names{{}, {"west", "east"}, {"std"}};
  std::unique_ptr<ScriptedServer> server;
  std::vector<std::unique_ptr<ScriptedServer>> old_servers;  // kept, as their handlers may still be called
  std::unique_ptr<Discovery> discovery;
  std::vector<std::unique_ptr<Discovery>> old_clients;
  std::size_t watches = 0;
  std::vector<EndpointList> lists;
  int failures = 0;
  Micros within = -1;  // of the last failure
};

TEST_F(DiscoveryTest, DeliversEachLineHoweverItIsSplitIntoChunks) {
  const std::string line = Line(43, "s-b");
  Start({Chunk(Line(42, "s-a")) + Chunk("\n") + Chunk(line.substr(0, 20)) + Chunk(line.substr(20) + "\n")});
  ASSERT_TRUE(RunUntil(io, [&] { return lists.size() == 2; }));
  EXPECT_NE(server->peers[0]->received.find("GET /v1/endpoints?stream=1&index=41 HTTP/1.1"),
            std::string::npos);
  EXPECT_EQ(lists[0].generation, 42);
  EXPECT_EQ(lists[1].endpoints[0].info.id, "s-b");
  EXPECT_EQ(lists[1].endpoints[0].info.zone, 1);
  EXPECT_FALSE(lists[1].full);
  EXPECT_EQ(failures, 0);
}

TEST_F(DiscoveryTest, ReopensAWatchThatEndedAtTheLastGeneration) {
  Start({Chunk(Line(42, "s-a")) + "0\r\n\r\n", Chunk(Line(43, "s-b"))});
  ASSERT_TRUE(RunUntil(io, [&] { return lists.size() == 2; }));
  EXPECT_NE(server->peers[1]->received.find("index=42 "), std::string::npos);
  EXPECT_EQ(failures, 1);
}

TEST_F(DiscoveryTest, ReopensAWatchThatFallsSilent) {
  Discovery::Timing timing = LongTimeouts();
  timing.silence_timeout = 100'000;
  Start({Chunk(Line(42, "s-a")), Chunk(Line(43, "s-b"))}, timing);
  EXPECT_TRUE(RunUntil(io, [&] { return lists.size() >= 2; }));
}

// What a silent watch misses takes effect 6 s after its last data. The next call is made within a third of
// the time left, so that one more fits in if that one is silent too.
TEST_F(DiscoveryTest, AfterASilentWatchDiscoveryIsCalledAgainBeforeMissedChangesTakeEffect) {
  Discovery::Timing timing = LongTimeouts();
  timing.reopens_itself = false;
  timing.silence_timeout = 100'000;
  Start({Chunk(Line(42, "s-a")), Chunk(Line(43, "s-b")) + "0\r\n\r\n"}, timing);
  ASSERT_TRUE(RunUntil(io, [&] { return failures == 1; }));
  EXPECT_GT(within, 0);
  EXPECT_LE(within, (kDay - timing.silence_timeout) / 3);
  discovery->Watch();
  ASSERT_TRUE(RunUntil(io, [&] { return failures == 2; }));
  ASSERT_EQ(lists.size(), 2U);  // the second watch delivered its list
  // It ended cleanly just now and missed nothing before, so what changes from now on takes effect later.
  EXPECT_GT(within, (kDay - timing.silence_timeout) / 3);
  EXPECT_LE(within, kDay / 2);
}

TEST_F(DiscoveryTest, AfterASwitchDiscoveryIsCalledAgainBeforeMissedChangesTakeEffect) {
  Discovery::Timing timing = LongTimeouts();
  timing.reopens_itself = false;
  timing.answer_timeout = 50'000;
  Start({Chunk(Line(42, "s-a"))}, timing);
  ASSERT_TRUE(RunUntil(io, [&] { return lists.size() == 1; }));
  ScriptedServer silent(io);
  discovery->SwitchTo(silent.address);
  ASSERT_TRUE(RunUntil(io, [&] { return failures == 1; }));
  EXPECT_GT(within, 0);
  EXPECT_LE(within, (kDay - timing.answer_timeout) / 3);
}

// Missed changes take effect during the first call, which is abandoned only later. The grace period of a
// drain runs from then on: discovery is called again soon, with a backoff as more calls fail.
TEST_F(DiscoveryTest, RetriesBackOffOnceMissedChangesHaveTakenEffectAfterASwitch) {
  Discovery::Timing timing = LongTimeouts();
  timing.reopens_itself = false;
  timing.switch_delay = 1'000;
  timing.answer_timeout = 50'000;
  Start({Chunk(Line(42, "s-a"))}, timing);
  ASSERT_TRUE(RunUntil(io, [&] { return lists.size() == 1; }));
  ScriptedServer silent(io);
  discovery->SwitchTo(silent.address);
  for (const Micros expected : {1'000'000, 2'000'000, 2'000'000}) {
    within = -1;
    ASSERT_TRUE(RunUntil(io, [&] { return within >= 0; }));
    EXPECT_EQ(within, expected);
    discovery->Watch();
  }
}

// A failed call delivers nothing, so the time is still counted from the last data of the watch.
TEST_F(DiscoveryTest, AFailedCallDoesNotPostponeMissedChanges) {
  Discovery::Timing timing = LongTimeouts();
  timing.reopens_itself = false;
  timing.answer_timeout = 50'000;
  Start({Chunk(Line(42, "s-a")) + "0\r\n\r\n", ""}, timing);
  ASSERT_TRUE(RunUntil(io, [&] { return failures == 1; }));
  const auto takes_effect_at = discovery->missed_changes_take_effect_at();
  ASSERT_TRUE(takes_effect_at.has_value());
  server->on_data = [](Peer&) {};  // never answers the next calls
  for (const int calls : {2, 3}) {
    discovery->Watch();
    ASSERT_TRUE(RunUntil(io, [&] { return failures == calls; }));
    EXPECT_EQ(discovery->missed_changes_take_effect_at(), takes_effect_at);
  }
}

// Guards against requests to draining servers from a sidecar that was held up: the list counted as current up
// to when the data of the watch was read, which may be long after it was sent.
TEST_F(DiscoveryTest, DataThatWaitedToBeReadConfirmsTheListOnlyUpToItsArrival) {
  constexpr auto kHeldUp = 700ms;
  constexpr auto kSlack = 100ms;
  Start({Chunk(Line(42, "s-a"))});
  ASSERT_TRUE(RunUntil(io, [&] { return lists.size() == 1; }));
  const auto before = discovery->missed_changes_take_effect_at();
  const auto sent_at = ListAge::Clock::now();
  server->peers[0]->Write(Chunk("\n"));
  std::this_thread::sleep_for(kHeldUp);
  ASSERT_TRUE(RunUntil(io, [&] { return discovery->missed_changes_take_effect_at() != before; }));
  EXPECT_LE(*discovery->missed_changes_take_effect_at(), sent_at + std::chrono::microseconds(kDay) + kSlack);
}

// Discovery has written the change, so a partial object takes effect without delay.
TEST_F(DiscoveryTest, APartialObjectTakesEffectFromItsFirstByte) {
  Discovery::Timing timing = LongTimeouts();
  timing.reopens_itself = false;
  const std::string line = Line(43, "s-b");
  Start({Chunk(Line(42, "s-a")) + Chunk(line.substr(0, line.size() / 2)) + "0\r\n\r\n"}, timing);
  ASSERT_TRUE(RunUntil(io, [&] { return failures == 1; }));
  ASSERT_TRUE(discovery->missed_changes_take_effect_at().has_value());
  EXPECT_LE(*discovery->missed_changes_take_effect_at(), std::chrono::steady_clock::now());
  EXPECT_LE(within, 1'000'000);
}

// A partial object must stay recorded when the next answer begins with another partial one.
TEST_F(DiscoveryTest, APartialObjectDoesNotConfirmTheList) {
  Discovery::Timing timing = LongTimeouts();
  timing.reopens_itself = false;
  const std::string half = Chunk(Line(43, "s-b").substr(0, 20));
  Start({Chunk(Line(42, "s-a")) + half + "0\r\n\r\n", half}, timing);
  ASSERT_TRUE(RunUntil(io, [&] { return failures == 1; }));
  const auto takes_effect_at = discovery->missed_changes_take_effect_at();
  EXPECT_LE(takes_effect_at, ListAge::Clock::now());
  discovery->Watch();
  ASSERT_TRUE(RunUntil(io, [&] { return watches == 2; }));
  RunFor(io, 50ms);
  server->peers[1]->Close();
  ASSERT_TRUE(RunUntil(io, [&] { return failures == 2; }));
  EXPECT_EQ(discovery->missed_changes_take_effect_at(), takes_effect_at);
}

// A reload must not discard the record of an object that the old address had begun to send.
TEST_F(DiscoveryTest, ASwitchInTheMiddleOfAnObjectRecordsItAsPartial) {
  Discovery::Timing timing = LongTimeouts();
  timing.reopens_itself = false;
  Start({Chunk(Line(42, "s-a")) + Chunk(Line(43, "s-b").substr(0, 20))}, timing);
  ASSERT_TRUE(RunUntil(io, [&] { return lists.size() == 1; }));
  RunFor(io, 50ms);
  ScriptedServer silent(io);
  discovery->SwitchTo(silent.address);
  ASSERT_TRUE(discovery->missed_changes_take_effect_at().has_value());
  EXPECT_LE(discovery->missed_changes_take_effect_at(), ListAge::Clock::now());
}

// Whatever the settings allow after a failed call, a change takes effect 6 s after a reachable discovery
// knows of it: half of that time is for the wait, the rest for the answer.
TEST_F(DiscoveryTest, AfterAFailedCallDiscoveryIsCalledAgainBeforeAChangeTakesEffect) {
  EXPECT_EQ(Discovery::Timing().missed_change_delay, 6'000'000);
  Discovery::Timing timing = LongTimeouts();
  timing.reopens_itself = false;
  timing.answer_timeout = 400'000;
  ScriptedServer refusing(io, [](Peer& peer) { peer.Write(Reply("503 Service Unavailable", "")); });
  ScriptedServer silent(io);
  ScriptedServer unreachable(io);
  unreachable.StopListening();
  for (const Tcp::endpoint& address : {refusing.address, unreachable.address, silent.address}) {
    Discovery fresh(io, address, names, timing, 1,
                    {[](const EndpointList&) {}, [this](Micros time) { ++failures, within = time; }});
    failures = 0;
    within = -1;
    fresh.Watch();
    ASSERT_TRUE(RunUntil(io, [&] { return failures == 1; }));
    // A call that timed out has used part of the time.
    EXPECT_LE(within, (address == silent.address ? kDay - timing.answer_timeout : kDay) / 2);
    EXPECT_GT(within, 0);
  }
}

TEST_F(DiscoveryTest, KeepsTheOldListOnInvalidDataAndCallsAgain) {
  const nlohmann::json bad_lifecycle = {{"instanceId", "s"}, {"lifecycle", "sideways"}};
  const nlohmann::json bad_address = {{"instanceId", "s"}, {"lifecycle", "up"}, {"hostPort", "there"}};
  const nlohmann::json bad_id = {{"instanceId", 7}, {"lifecycle", "up"}};
  std::vector<std::string> bad = {"{nonsense\n", "[]\n", "{\"generation\":1}\n"};
  for (const auto& entry : {bad_lifecycle, bad_address, bad_id})
    bad.push_back(List(50, false, {entry}).dump() + "\n");
  std::vector<std::string> scripts;
  for (const std::string& line : bad) scripts.push_back(Chunk(line));
  scripts.push_back(Chunk(Line(51, "s-a")));
  Start(scripts);
  ASSERT_TRUE(RunUntil(io, [&] { return !lists.empty(); }));
  EXPECT_EQ(lists[0].generation, 51);
  EXPECT_EQ(failures, static_cast<int>(bad.size()));
}

// Guards against a crash (SIGSEGV) when the last byte of a rejected object was also the last byte that was
// read.
TEST_F(DiscoveryTest, AnObjectMayBeCutAtAnyByteWhetherItIsAcceptedOrRejected) {
  std::string accepted = Line(42, "s-b");
  std::string outdated = Line(3, "s-b");
  std::string invalid = "{\"generation\": nonsense}\n";
  std::string malformed = "{\"generation\":,}\n";  // only the parser of the complete object finds the error
  for (std::string* text : {&accepted, &outdated, &invalid, &malformed}) {
    text->pop_back();  // the line break: the object ends with its last byte
    for (std::size_t cut = 1; cut <= text->size(); ++cut) {
      ASSERT_NO_FATAL_FAILURE(DeliverInTwoPieces(text->substr(0, cut), text->substr(cut)));
      EXPECT_EQ(lists.size(), text == &accepted ? 1U : 0U) << *text << " cut at " << cut;
      EXPECT_EQ(failures, text == &accepted ? 0 : 1) << *text << " cut at " << cut;
    }
  }
}

enum class Event { kObject, kList, kFailure, kData, kAgeChange };

class DiscoveryCallbackTest : public DiscoveryTest, public ::testing::WithParamInterface<Event> {
 protected:
  void SwitchAt(Event event) {
    if (event == GetParam()) discovery->SwitchTo(next_server.address);
  }

  ScriptedServer next_server{io, [](Peer& peer) {
                               if (peer.requests() == 1)
                                 peer.Write(Reply("200 OK", List(7, true, {}).dump()));
                             }};
};

// Guards against the use of a call that has been ended by the callback that it made: the switch to another
// address ends the call in progress.
TEST_P(DiscoveryCallbackTest, EachOneMayEndTheCallThatMadeIt) {
  std::string outdated = Line(3, "s-b");
  outdated.pop_back();  // the line break: it is rejected with the last byte that is read
  ScriptedServer first_server(io, [&](Peer& peer) {
    if (peer.requests() == 1)
      peer.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunk(Line(42, "s-a")) +
                 Chunk(outdated));
  });
  Discovery::Events events;
  events.on_object = [this](const nlohmann::json&) { SwitchAt(Event::kObject); };
  events.on_list = [this](const EndpointList& list) {
    lists.push_back(list);
    SwitchAt(Event::kList);
  };
  events.on_failed = [this](Micros) { SwitchAt(Event::kFailure); };
  events.on_data = [this] { SwitchAt(Event::kData); };
  events.on_age_changed = [this] { SwitchAt(Event::kAgeChange); };
  discovery = std::make_unique<Discovery>(io, first_server.address, names, LongTimeouts(), 1, events);
  discovery->SetKnownGeneration(41);
  discovery->Watch();
  EXPECT_TRUE(RunUntil(io, [&] { return !lists.empty() && lists.back().generation == 7; }));
}

INSTANTIATE_TEST_SUITE_P(Events, DiscoveryCallbackTest,
                         ::testing::Values(Event::kObject, Event::kList, Event::kFailure, Event::kData,
                                           Event::kAgeChange));

TEST_F(DiscoveryTest, RequestsTheFullListFromANewAddressAndThenWatches) {
  Start({Chunk(Line(42, "s-a"))});
  ASSERT_TRUE(RunUntil(io, [&] { return lists.size() == 1; }));
  ScriptedServer other(io, [](Peer& peer) {
    const bool watch = peer.received.find("stream=1&index=7 ") != std::string::npos;
    const std::string full_list =
        List(7, true, {Entry("s-w", {asio::ip::make_address("127.0.0.1"), 80})}).dump();
    peer.Write(watch ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunk(Line(8, "s-b"))
                     : Reply("200 OK", full_list));
  });
  discovery->SwitchTo(other.address);
  ASSERT_TRUE(RunUntil(io, [&] { return lists.size() == 3; }));
  EXPECT_EQ(other.peers[0]->received.rfind("GET /v1/endpoints HTTP/1.1\r\n", 0), 0U);
  EXPECT_TRUE(lists[1].full);  // its lower generation is accepted, as each address counts its own
  EXPECT_EQ(lists[2].generation, 8);
  EXPECT_TRUE(RunUntil(io, [&] { return server->peers[0]->ended; }));
  EXPECT_EQ(failures, 0);
  discovery->SwitchTo(other.address);  // the same address: the watch stays open
  RunFor(io, 30ms);
  EXPECT_EQ(other.peers.size(), 2U);
}

TEST_F(DiscoveryTest, SwitchesAgainWhileTheFirstNewAddressIsSilent) {
  Start({Chunk(Line(42, "s-a"))});
  ASSERT_TRUE(RunUntil(io, [&] { return lists.size() == 1; }));
  ScriptedServer silent(io);
  ScriptedServer other(io, [](Peer& peer) { peer.Write(Reply("200 OK", List(3, true, {}).dump())); });
  discovery->SwitchTo(silent.address);
  discovery->SwitchTo(other.address);
  ASSERT_TRUE(RunUntil(io, [&] { return lists.size() >= 2; }));
  EXPECT_EQ(lists[1].generation, 3);
}

// A discovery that starts from scratch also restarts its generations, so its changes do not apply to the
// known list.
TEST_F(DiscoveryTest, ALowerGenerationCausesARequestForTheFullList) {
  Start({Chunk(Line(42, "s-a")) + Chunk(Line(3, "s-b")),
         Chunk(List(4, true, {Entry("s-c", {asio::ip::make_address("127.0.0.1"), 80})}).dump() + "\n")});
  ASSERT_TRUE(RunUntil(io, [&] { return lists.size() == 2; }));
  EXPECT_EQ(lists[1].generation, 4);
  EXPECT_EQ(server->peers[1]->received.rfind("GET /v1/endpoints HTTP/1.1\r\n", 0), 0U);
}

TEST_F(DiscoveryTest, LeavesReopeningToTheBalancerWhereListsAreRequested) {
  Discovery::Timing timing = LongTimeouts();
  timing.reopens_itself = false;
  Start({"0\r\n\r\n"}, timing);
  ASSERT_TRUE(RunUntil(io, [&] { return failures == 1; }));
  RunFor(io, 50ms);
  EXPECT_EQ(watches, 1U);
  discovery->Watch();
  EXPECT_TRUE(RunUntil(io, [&] { return watches == 2; }));
}

// In the settings, spaces and commas of names have become underscores; in the list they are still there.
TEST(ParseList, FindsZonesAndMachinesWithSpacesAndCommasInTheirNames) {
  const drill::WireSettings names{{}, {"west", "north_sea__2"}, {"std", "big_one"}};
  nlohmann::json entry = Entry("s", {asio::ip::make_address("127.0.0.1"), 80}, "up", 0, "north sea, 2");
  entry["machineType"] = "big one";
  std::string error;
  const auto list = ParseList(List(1, true, {entry}), names, error);
  ASSERT_TRUE(list) << error;
  EXPECT_EQ(list->endpoints[0].info.zone, 1);
  EXPECT_EQ(list->endpoints[0].info.machine, 1);
}

// If the start time differed from list to list, a server would seem to restart and be in slow start each
// time.
TEST(ParseList, AServersStartIsTheSameTimeInEachList) {
  std::string error;
  const Tcp::endpoint at(asio::ip::make_address("127.0.0.1"), 80);
  for (int i = 0; i < 2; ++i) {
    const auto list =
        ParseList(List(i, true, {Entry("s", at, "up", 1'700'000'000'123), Entry("t", at)}), {}, error);
    ASSERT_TRUE(list) << error;
    EXPECT_EQ(list->endpoints[0].info.started, 1'700'000'000'123'000);
    EXPECT_EQ(list->endpoints[1].info.started, 0);
  }
}

TEST(ParseAddress, AcceptsOnlyAnIpAddressWithAPort) {
  EXPECT_TRUE(ParseAddress("127.0.0.1:80"));
  for (const char* bad :
       {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:99999", "127.0.0.1:8x", "host:80", ":80"})
    EXPECT_FALSE(ParseAddress(bad)) << bad;
}

}  // namespace
}  // namespace merlinrun::net
