// Rare moments: what happens when two things cross. The order is forced by steps of the loop, never by
// sleeps.
#include "sidecar_fixture.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

class RareTest : public SidecarTest {
 protected:
  static std::string Watching() { return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"; }
  static std::string Chunk(const std::string& text) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
  }
  // Follows another discovery from now on.
  void Reload(const Tcp::endpoint& address) {
    Config config = ParseConfig(ConfigJson(address, {}).dump());
    sidecar->Reload(config);
  }
  // Lists are asked for, not pushed, and at once.
  static void Asked(nlohmann::json& json) {
    json["settings"]["membership_mode"] = "subscribe";
    json["settings"]["rules"]["ask_within_us"] = 1000;
  }
};

// ---- A client that leaves while its request waits ----

class LeavingTest : public RareTest {
 protected:
  enum class How { kFin, kReset };

  static std::string Declined() { return Reply("503 Service Unavailable", "", "Srv-Declined: 1\r\n"); }
  Counters::Class Of(std::size_t request_class) const { return sidecar->counters().classes()[request_class]; }

  // Sends this, has its first attempt turned away, leaves, and looks at what is done for it after that.
  void LeaveDuringTheWait(const std::string& text, std::size_t request_class, How how) {
    std::shared_ptr<Peer> client;
    int declined = 0;
    ScriptedServer server(io, [&](Peer& peer) {
      if (declined >= peer.requests()) return;
      ++declined;
      peer.Write(Declined());
      if (declined == 1) how == How::kFin ? client->Close() : client->Reset();
    });
    Start({Entry("s-1", server.address)});
    client = Connect(io, sidecar->address());
    client->Write(text);
    ASSERT_TRUE(RunUntil(io, [&] { return declined == 1; }));
    ASSERT_TRUE(RunUntil(io, [&] { return sidecar->requests_held() == 0; }));
    RunFor(io, 300ms);  // longer than the longest first wait
    EXPECT_EQ(server.requests(), 1);
    EXPECT_EQ(sidecar->counters().attempts(), 1U);
    EXPECT_EQ(sidecar->counters().open(), 0U);
    const Counters::Class counted = Of(request_class);
    EXPECT_EQ(counted.refused + counted.failed + counted.served, 0U);
    EXPECT_EQ(counted.gone, 1U);
  }
};

TEST_F(LeavingTest, ByAFin) { LeaveDuringTheWait(Get("a"), 0, How::kFin); }
TEST_F(LeavingTest, ByAReset) { LeaveDuringTheWait(Get("a"), 0, How::kReset); }
TEST_F(LeavingTest, ByAFinWithBytesBehindTheRequest) {
  LeaveDuringTheWait(Get("a") + Get("b").substr(0, 20), 0, How::kFin);
}
TEST_F(LeavingTest, ByAResetWithARequestBehindTheRequest) {
  LeaveDuringTheWait(Get("a") + Get("b"), 0, How::kReset);
}
TEST_F(LeavingTest, ByAFinWithMoreBehindTheRequestThanIsRead) {
  std::string more;
  for (int i = 0; i < 1000; ++i) more += Get("b" + std::to_string(i));
  LeaveDuringTheWait(Get("a") + more, 0, How::kFin);
}

// Some of an upload has come, more than is read of it, and nobody is there to be sent it. (An end that is
// stuck behind more than the kernel takes in cannot be seen before that has been read.)
class LeavingUpload : public LeavingTest, public ::testing::WithParamInterface<bool> {};

TEST_P(LeavingUpload, HalfDone) {
  ScriptedServer server(io);
  server.StopListening();
  Start({Entry("s-1", server.address)});
  const auto client = Client(
      "POST /api HTTP/1.1\r\nReq-Id: u\r\nReq-Kind: pay\r\nIdempotency-Key: k\r\nContent-Length: "
      "400000\r\n\r\n" +
      std::string(120000, 'x'));
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->requests_held() == 1; }));
  GetParam() ? client->Reset() : client->Close();
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->requests_held() == 0; }));
  EXPECT_EQ(Of(1).gone, 1U);
  EXPECT_EQ(Of(1).refused + Of(1).failed, 0U);
  EXPECT_EQ(sidecar->counters().open(), 0U);
}

INSTANTIATE_TEST_SUITE_P(ByFinOrReset, LeavingUpload, ::testing::Bool());

// The end of the client's connection and the end of the wait come in one turn of the loop.
TEST_F(LeavingTest, InTheTurnOfTheRetry) {
  std::shared_ptr<Peer> client;
  ScriptedServer server(io);
  Start({Entry("s-1", server.address)});
  client = Connect(io, sidecar->address());
  client->Write(Get("a") + Get("b"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  server.peers[0]->Write(Reply("503 Service Unavailable", "", "Srv-Declined: 1\r\nConnection: close\r\n"));
  // Until the sidecar has taken the refusal; then the loop stands still until the longest wait is over.
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->upstream_connections() == 0; }));
  client->Close();
  const auto over = std::chrono::steady_clock::now() + 110ms;
  while (std::chrono::steady_clock::now() < over) continue;
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->requests_held() == 0; }));
  EXPECT_EQ(server.requests(), 1);
  EXPECT_EQ(Of(0).gone, 1U);
}

// While the connection to the server is coming up: what was not written is never written.
TEST_F(LeavingTest, DuringTheDial) {
  ScriptedServer server(io);
  Start({Entry("s-1", server.address)});
  const auto client = Connect(io, sidecar->address());
  client->Write(Get("a"));
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->upstream_connections() == 1; }));
  client->Reset();
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->requests_held() == 0; }));
  EXPECT_EQ(sidecar->upstream_connections(), 0U);
  EXPECT_EQ(Of(0).gone, 1U);
}

// ---- Settings apart ----

// Requests of several classes on one kept connection each get their own class, also where two names are one
// on the wire; and what is wrong costs nobody theirs.
TEST_F(RareTest, EachRequestHasItsOwnClassOnOneConnection) {
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

// The versions of one discovery say nothing at another, and one that is asked for changes after a version of
// the other's may have nothing to tell.
TEST_F(RareTest, AfterAReloadWhoseFirstCallFailsTheWholeListIsAskedFor) {
  ScriptedServer one(io, Serves("one"));
  ScriptedServer two(io, Serves("two"));
  Start({Entry("s-1", one.address)}, Asked);
  Tell(List(40, false, {}));
  int calls = 0;
  ScriptedServer other(io, [&](Peer& peer) {
    if (++calls == 1) return peer.Write(Reply("503 Service Unavailable", ""));
    const bool whole = peer.received.rfind("GET /v1/endpoints HTTP/1.1\r\n", 0) == 0;
    peer.Write(whole ? Reply("200 OK", List(7, true, {Entry("s-2", two.address)}).dump()) : Watching());
  });
  Reload(other.address);
  ASSERT_TRUE(RunUntil(io, [&] { return calls >= 3; }));
  EXPECT_EQ(other.peers[1]->received.rfind("GET /v1/endpoints HTTP/1.1\r\n", 0), 0U);
  EXPECT_NE(other.peers[2]->received.find("index=7 "), std::string::npos);
  EXPECT_EQ(Ask(Get("a")), "200");
  EXPECT_EQ(one.requests(), 0);
  EXPECT_EQ(two.requests(), 1);
}

// A change binds 6 s after discovery had it, whatever the settings allow after a failed call: here an hour,
// and with so many siblings the spread alone would be half of one.
class AskedAgain : public RareTest, public ::testing::WithParamInterface<int> {};

TEST_P(AskedAgain, BeforeAChangeBindsWhateverTheSettingsAllow) {
  nlohmann::json json = ConfigJson(discovery.address, {});
  Asked(json);
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

INSTANTIATE_TEST_SUITE_P(ByFleetsOfEachSize, AskedAgain, ::testing::Values(3, 300, 14'000));

TEST_F(RareTest, AfterALowerGenerationTheWholeListIsAskedForAlsoWhereTheModuleAsks) {
  ScriptedServer one(io, Serves("one"));
  int calls = 0;
  discovery.on_data = [&](Peer& peer) {
    const bool whole = peer.received.rfind("GET /v1/endpoints HTTP/1.1\r\n", 0) == 0;
    ++calls;
    watching = &peer;
    if (whole) return peer.Write(Reply("200 OK", List(4, true, {Entry("s-1", one.address)}).dump()));
    peer.Write(Watching() + (calls == 1 ? Chunk(List(3, false, {}).dump() + "\n") : ""));
  };
  Start({Entry("s-gone", one.address)}, [](nlohmann::json& json) {
    Asked(json);
    json["known"]["generation"] = 41;
  });
  ASSERT_TRUE(RunUntil(io, [&] { return calls >= 3; }));
  EXPECT_NE(discovery.peers[0]->received.find("index=41 "), std::string::npos);
  EXPECT_EQ(discovery.peers[1]->received.rfind("GET /v1/endpoints HTTP/1.1\r\n", 0), 0U);
  EXPECT_NE(discovery.peers[2]->received.find("index=4 "), std::string::npos);
}

// Lists may come indented, whole or on a watch, and in any pieces.
TEST_F(RareTest, ListsThatStandOnSeveralLinesAreReadHoweverTheyAreCut) {
  ScriptedServer one(io, Serves("one"));
  ScriptedServer two(io, Serves("two"));
  Start({Entry("s-1", one.address)});
  ScriptedServer other(io);
  const auto calls = [&] { return other.requests(); };
  Reload(other.address);
  ASSERT_TRUE(RunUntil(io, [&] { return calls() == 1; }));
  // A name with brackets and quotes in it ends no object.
  const std::string whole =
      List(7, true, {Entry("s-\"}]{\\", one.address), Entry("s-1", one.address)}).dump(2) + "\n";
  other.peers[0]->Write(Reply("200 OK", whole));
  ASSERT_TRUE(RunUntil(io, [&] { return calls() == 2; }));
  EXPECT_NE(other.peers[1]->received.find("index=7 "), std::string::npos);
  std::string pieces = Watching() + Chunk("\r\n");
  for (const char c : List(8, false, {Entry("s-2", two.address)}).dump(4) + "\n" +
                          List(9, false, {Entry("s-1", one.address, "draining")}).dump(1, '\t') + "\r\n\r\n" +
                          List(10, false, {Entry("s-\"}]{\\", one.address, "removed")}).dump())
    pieces += Chunk(std::string(1, c));
  other.peers[1]->Write(pieces + "0\r\n\r\n");
  ASSERT_TRUE(RunUntil(io, [&] { return calls() == 3; }));
  EXPECT_NE(other.peers[2]->received.find("index=10 "), std::string::npos);
  // Less is let in at once when servers go, so that some may be refused.
  for (int i = 0; i < 40 && two.requests() < 5; ++i) Ask(Get("r" + std::to_string(i)));
  EXPECT_EQ(one.requests(), 0);  // drained and removed
  EXPECT_EQ(two.requests(), 5);
}

// A watch whose object never becomes whole is broken, blank lines in its middle or not.
TEST_F(RareTest, AnObjectWithoutEndDoesNotKeepAWatch) {
  ScriptedServer one(io, Serves("one"));
  Start({Entry("s-1", one.address)});
  watching->Write(Chunk("{\"generation\":42,\n"));
  const auto watch = discovery.peers.front();
  asio::steady_timer blank(io);
  std::function<void()> beat = [&] {
    if (watch->ended) return;
    watch->Write(Chunk("\n"));
    blank.expires_after(100ms);
    blank.async_wait([&](ErrorCode error) {
      if (!error) beat();
    });
  };
  beat();
  EXPECT_TRUE(RunUntil(
      io, [&] { return discovery.peers.size() == 2; }, 10s));
  EXPECT_TRUE(RunUntil(io, [&] { return watch->ended; }));
}

}  // namespace
}  // namespace merlinrun::net
