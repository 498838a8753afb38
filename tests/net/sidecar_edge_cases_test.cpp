// Edge cases of a whole sidecar: clients that disconnect while their request waits, several classes on one
// connection, changes of the discovery address, and unusual lists. Tests force the order of events by running
// the event loop step by step, not by sleeping.
#include "sidecar_fixture.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

class SidecarEdgeCasesTest : public SidecarTest {
 protected:
  static std::string WatchHeader() { return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"; }
  static std::string Chunk(const std::string& text) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
  }
  // Switches to another discovery address.
  void Reload(const Tcp::endpoint& address) {
    Config config = ParseConfig(ConfigJson(address, {}).dump());
    sidecar->Reload(config);
  }
  // Lists are requested by the balancer, without delay, instead of pushed.
  static void UseSubscribeMode(nlohmann::json& json) {
    json["settings"]["membership_mode"] = "subscribe";
    json["settings"]["rules"]["ask_within_us"] = 1000;
  }
};

// ---- A client that disconnects while its request waits ----

class RetryDisconnectTest : public SidecarEdgeCasesTest {
 protected:
  enum class CloseMode { kFin, kReset };

  static std::string Declined() { return Reply("503 Service Unavailable", "", "Srv-Declined: 1\r\n"); }
  Counters::ClassCounts CountsOf(std::size_t request_class) const {
    return sidecar->counters().classes()[request_class];
  }

  // Sends `text`, lets the server refuse the first attempt, disconnects during the retry delay, and checks
  // that no further attempt is made and the request is counted as disconnected.
  void DisconnectDuringRetryDelay(const std::string& text, std::size_t request_class, CloseMode mode) {
    std::shared_ptr<Peer> client;
    int declined = 0;
    ScriptedServer server(io, [&](Peer& peer) {
      if (declined >= peer.requests()) return;
      ++declined;
      peer.Write(Declined());
      if (declined == 1) mode == CloseMode::kFin ? client->Close() : client->Reset();
    });
    Start({Entry("s-1", server.address)});
    client = Connect(io, sidecar->address());
    client->Write(text);
    ASSERT_TRUE(RunUntil(io, [&] { return declined == 1; }));
    ASSERT_TRUE(RunUntil(io, [&] { return sidecar->pending_requests() == 0; }));
    RunFor(io, 300ms);  // longer than the longest first retry delay
    EXPECT_EQ(server.requests(), 1);
    EXPECT_EQ(sidecar->counters().attempts(), 1U);
    EXPECT_EQ(sidecar->counters().in_progress(), 0U);
    const Counters::ClassCounts counted = CountsOf(request_class);
    EXPECT_EQ(counted.refused + counted.failed + counted.served, 0U);
    EXPECT_EQ(counted.disconnected, 1U);
  }
};

TEST_F(RetryDisconnectTest, StopsAfterAFin) { DisconnectDuringRetryDelay(Get("a"), 0, CloseMode::kFin); }
TEST_F(RetryDisconnectTest, StopsAfterAReset) { DisconnectDuringRetryDelay(Get("a"), 0, CloseMode::kReset); }
TEST_F(RetryDisconnectTest, StopsAfterAFinBehindPartOfAnotherRequest) {
  DisconnectDuringRetryDelay(Get("a") + Get("b").substr(0, 20), 0, CloseMode::kFin);
}
TEST_F(RetryDisconnectTest, StopsAfterAResetBehindAnotherRequest) {
  DisconnectDuringRetryDelay(Get("a") + Get("b"), 0, CloseMode::kReset);
}
TEST_F(RetryDisconnectTest, StopsAfterAFinBehindMoreInputThanIsBuffered) {
  std::string more;
  for (int i = 0; i < 1000; ++i) more += Get("b" + std::to_string(i));
  DisconnectDuringRetryDelay(Get("a") + more, 0, CloseMode::kFin);
}

// Part of an upload has arrived, more than the sidecar buffers, and no server accepts connections. (A
// disconnect behind more data than the kernel's receive buffer holds cannot be noticed before that data has
// been read.)
class UploadDisconnectTest : public RetryDisconnectTest, public ::testing::WithParamInterface<bool> {};

TEST_P(UploadDisconnectTest, EndsAHalfFinishedUpload) {
  ScriptedServer server(io);
  server.StopListening();
  Start({Entry("s-1", server.address)});
  const auto client = Client(
      "POST /api HTTP/1.1\r\nReq-Id: u\r\nReq-Kind: pay\r\nIdempotency-Key: k\r\nContent-Length: "
      "400000\r\n\r\n" +
      std::string(120000, 'x'));
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->pending_requests() == 1; }));
  GetParam() ? client->Reset() : client->Close();
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->pending_requests() == 0; }));
  EXPECT_EQ(CountsOf(1).disconnected, 1U);
  EXPECT_EQ(CountsOf(1).refused + CountsOf(1).failed, 0U);
  EXPECT_EQ(sidecar->counters().in_progress(), 0U);
}

INSTANTIATE_TEST_SUITE_P(ByFinOrReset, UploadDisconnectTest, ::testing::Bool());

// The disconnect and the end of the retry delay are handled in the same iteration of the event loop.
TEST_F(RetryDisconnectTest, StopsInTheLoopIterationOfTheRetry) {
  std::shared_ptr<Peer> client;
  ScriptedServer server(io);
  Start({Entry("s-1", server.address)});
  client = Connect(io, sidecar->address());
  client->Write(Get("a") + Get("b"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  server.peers[0]->Write(Reply("503 Service Unavailable", "", "Srv-Declined: 1\r\nConnection: close\r\n"));
  // Wait until the sidecar has processed the refusal; then block the loop until the longest retry delay is
  // over.
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->upstream_connections() == 0; }));
  client->Close();
  const auto delay_end = std::chrono::steady_clock::now() + 110ms;
  while (std::chrono::steady_clock::now() < delay_end) continue;
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->pending_requests() == 0; }));
  EXPECT_EQ(server.requests(), 1);
  EXPECT_EQ(CountsOf(0).disconnected, 1U);
}

// A client that disconnects while the connection to the server is being established ends the dial.
TEST_F(RetryDisconnectTest, ClosesAConnectionThatIsBeingDialled) {
  ScriptedServer server(io);
  Start({Entry("s-1", server.address)});
  const auto client = Connect(io, sidecar->address());
  client->Write(Get("a"));
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->upstream_connections() == 1; }));
  client->Reset();
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->pending_requests() == 0; }));
  EXPECT_EQ(sidecar->upstream_connections(), 0U);
  EXPECT_EQ(CountsOf(0).disconnected, 1U);
}

// ---- Request classes ----

// Requests of several classes on one persistent connection are each assigned to their own class, even if two
// class names have the same form on the balancer's wire protocol. A request of an unknown class affects no
// other.
TEST_F(SidecarEdgeCasesTest, EachRequestHasItsOwnClassOnOneConnection) {
  ScriptedServer server(io, Serves("ok"));
  Start({Entry("s-1", server.address)}, [](nlohmann::json& json) {
    auto& classes = json["settings"]["grades"];
    classes[0]["name"] = "look_at it";
    classes[1]["name"] = "look at it";
    classes[1]["repeat"] = "idempotent";
  });
  const auto get = [](const std::string& id, const std::string& kind) {
    return "GET /api HTTP/1.1\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind + "\r\nReq-Deadline: 5.0\r\n\r\n";
  };
  const auto client = Client(get("a", "look_at it") + get("b", "look at it") + get("c", "look at it") +
                             Post("port", "d") + get("e", "look_at it"));
  EXPECT_EQ(Status(*client, 5), "200");
  const auto& classes = sidecar->counters().classes();
  EXPECT_EQ(classes[0].served, 2U);
  EXPECT_EQ(classes[1].served, 2U);
  EXPECT_EQ(classes[2].served, 1U);
  EXPECT_EQ(Ask(get("f", "look_at")), "404");
  EXPECT_EQ(server.requests(), 5);
}

// ---- Watches ----

// Generations of one discovery address mean nothing to another: asked for changes after a generation of the
// first, the second may never send any. So the full list is requested, also after a first call that
// fails.
TEST_F(SidecarEdgeCasesTest, RequestsTheFullListAfterAReloadWhoseFirstCallFails) {
  ScriptedServer one(io, Serves("one"));
  ScriptedServer two(io, Serves("two"));
  Start({Entry("s-1", one.address)}, UseSubscribeMode);
  SendList(List(40, false, {}));
  int calls = 0;
  ScriptedServer other(io, [&](Peer& peer) {
    if (++calls == 1) return peer.Write(Reply("503 Service Unavailable", ""));
    const bool complete = peer.received.rfind("GET /v1/endpoints HTTP/1.1\r\n", 0) == 0;
    peer.Write(complete ? Reply("200 OK", List(7, true, {Entry("s-2", two.address)}).dump()) : WatchHeader());
  });
  Reload(other.address);
  ASSERT_TRUE(RunUntil(io, [&] { return calls >= 3; }));
  EXPECT_EQ(other.peers[1]->received.rfind("GET /v1/endpoints HTTP/1.1\r\n", 0), 0U);
  EXPECT_NE(other.peers[2]->received.find("index=7 "), std::string::npos);
  EXPECT_EQ(Ask(Get("a")), "200");
  EXPECT_EQ(one.requests(), 0);
  EXPECT_EQ(two.requests(), 1);
}

// A change takes effect 6 s after discovery knows of it, whatever delay the settings allow after a failed
// call. Here they allow an hour, and with the number of sidecars used here the spread of the calls alone
// would be half an hour.
class RetryAfterFailedCallTest : public SidecarEdgeCasesTest, public ::testing::WithParamInterface<int> {};

TEST_P(RetryAfterFailedCallTest, ComesBeforeAChangeTakesEffectWhateverTheSettingsAllow) {
  nlohmann::json json = ConfigJson(discovery.address, {});
  UseSubscribeMode(json);
  json["settings"]["rules"]["ask_within_us"] = 3'600'000'000;
  json["settings"]["siblings"] = GetParam();
  Config config = ParseConfig(json.dump());
  config.listen = Loopback();
  sidecar = std::make_unique<Sidecar>(io, std::move(config));
  sidecar->Start();
  ScriptedServer refusing(io, [](Peer& peer) { peer.Write(Reply("503 Service Unavailable", "")); });
  Reload(refusing.address);
  EXPECT_TRUE(RunUntil(io, [&] { return refusing.requests() >= 5; }));
}

INSTANTIATE_TEST_SUITE_P(BySidecarCount, RetryAfterFailedCallTest, ::testing::Values(3, 300, 14'000));

TEST_F(SidecarEdgeCasesTest, RequestsTheFullListAfterALowerGenerationInSubscribeModeToo) {
  ScriptedServer one(io, Serves("one"));
  int calls = 0;
  discovery.on_data = [&](Peer& peer) {
    const bool complete = peer.received.rfind("GET /v1/endpoints HTTP/1.1\r\n", 0) == 0;
    ++calls;
    watch_peer = &peer;
    if (complete) return peer.Write(Reply("200 OK", List(4, true, {Entry("s-1", one.address)}).dump()));
    peer.Write(WatchHeader() + (calls == 1 ? Chunk(List(3, false, {}).dump() + "\n") : ""));
  };
  Start({Entry("s-gone", one.address)}, [](nlohmann::json& json) {
    UseSubscribeMode(json);
    json["known"]["generation"] = 41;
  });
  ASSERT_TRUE(RunUntil(io, [&] { return calls >= 3; }));
  EXPECT_NE(discovery.peers[0]->received.find("index=41 "), std::string::npos);
  EXPECT_EQ(discovery.peers[1]->received.rfind("GET /v1/endpoints HTTP/1.1\r\n", 0), 0U);
  EXPECT_NE(discovery.peers[2]->received.find("index=4 "), std::string::npos);
}

// Lists may be indented over several lines, as a complete answer or on a watch, and split at any byte.
TEST_F(SidecarEdgeCasesTest, ReadsListsOnSeveralLinesHoweverTheyAreSplit) {
  ScriptedServer one(io, Serves("one"));
  ScriptedServer two(io, Serves("two"));
  Start({Entry("s-1", one.address)});
  ScriptedServer other(io);
  const auto calls = [&] { return other.requests(); };
  Reload(other.address);
  ASSERT_TRUE(RunUntil(io, [&] { return calls() == 1; }));
  // A name that contains brackets and quotes must not end the object.
  const std::string complete =
      List(7, true, {Entry("s-\"}]{\\", one.address), Entry("s-1", one.address)}).dump(2) + "\n";
  other.peers[0]->Write(Reply("200 OK", complete));
  ASSERT_TRUE(RunUntil(io, [&] { return calls() == 2; }));
  EXPECT_NE(other.peers[1]->received.find("index=7 "), std::string::npos);
  std::string chunks = WatchHeader() + Chunk("\r\n");
  for (const char c : List(8, false, {Entry("s-2", two.address)}).dump(4) + "\n" +
                          List(9, false, {Entry("s-1", one.address, "draining")}).dump(1, '\t') + "\r\n\r\n" +
                          List(10, false, {Entry("s-\"}]{\\", one.address, "removed")}).dump())
    chunks += Chunk(std::string(1, c));
  other.peers[1]->Write(chunks + "0\r\n\r\n");
  ASSERT_TRUE(RunUntil(io, [&] { return calls() == 3; }));
  EXPECT_NE(other.peers[2]->received.find("index=10 "), std::string::npos);
  // Admission allows fewer requests right after servers are removed, so some may be refused.
  for (int i = 0; i < 40 && two.requests() < 5; ++i) Ask(Get("r" + std::to_string(i)));
  EXPECT_EQ(one.requests(), 0);  // draining or removed
  EXPECT_EQ(two.requests(), 5);
}

// Guards against a crash (SIGSEGV) on an invalid change that is the last data of a read.
TEST_F(SidecarEdgeCasesTest, AnInvalidChangeAtTheEndOfAReadKeepsTheListAndTheProcess) {
  ScriptedServer one(io, Serves("one"));
  Start({Entry("s-1", one.address)});
  const nlohmann::json invalid = {{"instanceId", 7}};
  watch_peer->Write(Chunk(List(2, false, {invalid}).dump()));
  ASSERT_TRUE(RunUntil(io, [&] { return discovery.peers.size() == 2; }));
  EXPECT_EQ(Ask(Get("a")), "200");
}

// A watch whose JSON object never becomes complete is closed, even if blank lines arrive within the object.
TEST_F(SidecarEdgeCasesTest, ClosesAWatchWhoseObjectNeverEnds) {
  ScriptedServer one(io, Serves("one"));
  Start({Entry("s-1", one.address)});
  watch_peer->Write(Chunk("{\"generation\":42,\n"));
  const auto watch = discovery.peers.front();
  asio::steady_timer blank(io);
  std::function<void()> write_blank_line = [&] {
    if (watch->ended) return;
    watch->Write(Chunk("\n"));
    blank.expires_after(100ms);
    blank.async_wait([&](ErrorCode error) {
      if (!error) write_blank_line();
    });
  };
  write_blank_line();
  EXPECT_TRUE(RunUntil(
      io, [&] { return discovery.peers.size() == 2; }, 10s));
  EXPECT_TRUE(RunUntil(io, [&] { return watch->ended; }));
}

}  // namespace
}  // namespace merlinrun::net
