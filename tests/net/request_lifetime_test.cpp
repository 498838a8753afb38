// Tests that a request is freed as soon as it is complete, whatever completed it: afterwards no record of it,
// no memory of its body and no connection of its client is left.
#include "sidecar_fixture.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

constexpr std::size_t kBodySize = 60000;  // buffered by the sidecar
constexpr int kRequests = 20;

class RequestLifetimeTest : public SidecarTest {
 protected:
  static std::string Declined() { return Reply("503 Service Unavailable", "", "Srv-Declined: 1\r\n"); }
  // A request of class "port", whose body the sidecar buffers.
  static std::string LargePost(const std::string& id, const std::string& deadline = "1.0") {
    return "POST /api HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: " + id +
           "\r\nReq-Kind: port\r\nReq-Deadline: " + deadline +
           "\r\nContent-Length: " + std::to_string(kBodySize) + "\r\n\r\n" + std::string(kBodySize, 'x');
  }
  std::shared_ptr<Peer> LargeClient(const std::string& id, const std::string& deadline = "1.0") {
    auto client = Connect(io, sidecar->address());
    client->WriteAsync(LargePost(id, deadline));
    return client;
  }
  // Sends a request on a connection that is closed after the answer, and returns the answer's status.
  std::string AskAndClose(const std::string& text) {
    const auto client = Client(text);
    const std::string status = Status(*client);
    client->Close();
    return status;
  }
  // Repeats a request until it is refused, as a change of the list takes a moment to arrive.
  bool RepeatUntilRefused(const std::string& text) {
    for (int i = 0; i < 100; ++i) {
      if (AskAndClose(text) == "503") return true;
      RunFor(io, 20ms);
    }
    return false;
  }
  // Sends requests with large bodies at the same time, and checks the status of their answers.
  void ExpectStatusOfLargePosts(const std::string& status) {
    std::vector<std::shared_ptr<Peer>> clients;
    for (int i = 0; i < kRequests; ++i) clients.push_back(LargeClient("r" + std::to_string(i)));
    for (const auto& client : clients) EXPECT_EQ(Status(*client), status);
    for (const auto& client : clients) client->Close();
  }
  // Checks that nothing is left of any request soon after all clients have gone.
  void ExpectNothingLeft() {
    EXPECT_TRUE(RunUntil(io, [&] { return sidecar->client_connections() == 0; }));
    RunUntil(
        io, [&] { return sidecar->pending_requests() == 0; }, 1s);
    EXPECT_EQ(sidecar->pending_requests(), 0U);
    EXPECT_EQ(sidecar->reserved_memory(), 0U);
    EXPECT_EQ(sidecar->counters().in_progress(), 0U);
  }
  std::uint64_t DisconnectedCount(std::size_t request_class) const {
    return sidecar->counters().classes()[request_class].disconnected;
  }
};

// ---- Requests that the balancer ends from one of its timers ----

TEST_F(RequestLifetimeTest, RequestsRefusedAfterAWaitForAServerAreFreed) {
  ScriptedServer server(io);
  Start({Entry("s-1", server.address, "draining")});
  ExpectStatusOfLargePosts("503");
  ExpectNothingLeft();
  EXPECT_EQ(server.requests(), 0);
}

// The watch ends in the middle of an object, so a drain may have been missed, and calls to discovery fail.
TEST_F(RequestLifetimeTest, RequestsRefusedInADispatchPauseAreFreed) {
  ScriptedServer server(io, Serves("ok"));
  Start({Entry("s-1", server.address)});
  SendList(List(2, true, {Entry("s-1", server.address)}));
  EXPECT_EQ(AskAndClose(Get("before")), "200");
  discovery.on_data = [](Peer& peer) { peer.Write(Reply("503 Service Unavailable", "")); };
  watch_peer->Write("6\r\n{\"gene\r\n");
  RunFor(io, 100ms);
  watch_peer->Close();
  ASSERT_TRUE(RepeatUntilRefused(Get("probe")));
  const int sent_before = server.requests();
  ExpectStatusOfLargePosts("503");
  EXPECT_EQ(server.requests(), sent_before);
  for (const auto& peer : discovery.peers) peer->Close();
  ExpectNothingLeft();
}

TEST_F(RequestLifetimeTest, RequestsRefusedBecauseTheirOnlyServerIsEjectedOrDeclinesAreFreed) {
  ScriptedServer server(io, [](Peer& peer) { peer.Write(Declined()); });
  Start({Entry("s-1", server.address)});
  ExpectStatusOfLargePosts("503");
  ExpectNothingLeft();
}

// The attempt may have run, and its group, a zone, has no other server. So the request waits for one and
// fails.
TEST_F(RequestLifetimeTest, RequestsThatFailAfterAWaitForAnotherServerOfTheirGroupAreFreed) {
  ScriptedServer server(io, [](Peer& peer) { peer.Reset(); });
  ScriptedServer other(io, Serves("ok"));
  Start({Entry("s-1", server.address), Entry("s-2", other.address, "up", 0, "west")},
        [](nlohmann::json& json) { json["settings"]["grades"][1]["group"] = "zone"; });
  int failed = 0;
  for (int i = 0; i < kRequests; ++i)
    failed += AskAndClose(Post("pay", "r" + std::to_string(i), "1.0")) == "502";
  EXPECT_GT(failed, 0);
  ExpectNothingLeft();
}

TEST_F(RequestLifetimeTest, RequestsThatWaitForTheirKeyUntilTheirDeadlineAreFreed) {
  ScriptedServer server(io);
  Start({Entry("s-1", server.address)}, [](nlohmann::json& json) {
    json["settings"]["grades"][0]["sequential"] = true;
    json["settings"]["allowed"]["cancel"] = false;
  });
  std::vector<std::shared_ptr<Peer>> clients = {Client(GetWithDeadline("1.0", "first"))};
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  for (int i = 0; i < kRequests; ++i) clients.push_back(Client(GetWithDeadline("0.5", std::to_string(i))));
  for (const auto& client : clients) {
    const std::string status = Status(*client);
    EXPECT_TRUE(status == "503" || status == "504") << status;
    client->Close();
  }
  EXPECT_EQ(server.requests(), 1);
  ExpectNothingLeft();
}

// The answer to the first request makes the next one with the same key the first in its queue. It is refused
// by the same event, as its server is draining and one attempt is all that is allowed.
TEST_F(RequestLifetimeTest, ARequestThatIsRefusedByTheAnswerToAnotherOneIsFreed) {
  ScriptedServer server(io);
  Start({Entry("s-1", server.address)}, [](nlohmann::json& json) {
    json["settings"]["grades"][0]["sequential"] = true;
    json["settings"]["allowed"]["max_attempts"] = 1;
  });
  const auto first = Client(Get("first"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  const auto next = Client(Get("next"));
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->pending_requests() == 2; }));
  SendList(List(2, false, {Entry("s-1", server.address, "draining")}));
  ASSERT_TRUE(RepeatUntilRefused(Post("port", "probe", "1.0")));
  server.peers[0]->Write(Reply("200 OK", "ok"));
  EXPECT_EQ(Status(*first), "200");
  EXPECT_EQ(Status(*next), "503");
  first->Close();
  next->Close();
  ExpectNothingLeft();
}

// The shutdown waits for the requests that are pending, so one that stays keeps the process from ending.
TEST_F(RequestLifetimeTest, AShutdownEndsAfterRequestsWereRefusedFromATimer) {
  ScriptedServer server(io);
  Start({Entry("s-1", server.address, "draining")});
  ExpectStatusOfLargePosts("503");
  bool ended = false;
  sidecar->Drain([&] { ended = true; });
  EXPECT_TRUE(RunUntil(
      io, [&] { return ended; }, 5s));
}

// ---- All other ways in which a request ends ----

TEST_F(RequestLifetimeTest, ServedRequestsAreFreed) {
  ScriptedServer server(io, [](Peer& peer) {
    const std::size_t end = peer.received.find("\r\n\r\n");
    if (end == std::string::npos || peer.received.size() < end + 4 + kBodySize) return;
    peer.received.clear();
    peer.Write(Reply("200 OK", "ok"));
  });
  Start({Entry("s-1", server.address)});
  ExpectStatusOfLargePosts("200");
  ExpectNothingLeft();
}

TEST_F(RequestLifetimeTest, RequestsThatFailAtOnceAreFreed) {
  ScriptedServer server(io, [](Peer& peer) { peer.Reset(); });
  Start({Entry("s-1", server.address)});
  const auto client = LargeClient("a");
  EXPECT_EQ(Status(*client), "502");
  client->Close();
  ExpectNothingLeft();
}

TEST_F(RequestLifetimeTest, RequestsOfASilentServerAreFreedAtTheirDeadline) {
  ScriptedServer server(io);
  Start({Entry("s-1", server.address)});
  ExpectStatusOfLargePosts("502");
  ExpectNothingLeft();
}

TEST_F(RequestLifetimeTest, RequestsOfDisconnectedClientsAreFreed) {
  ScriptedServer silent(io);
  for (const bool may_cancel : {true, false}) {
    watch_peer = nullptr;
    Start({Entry("s-1", silent.address)},
          [&](nlohmann::json& json) { json["settings"]["allowed"]["cancel"] = may_cancel; });
    const std::size_t seen = silent.peers.size();
    const auto client = LargeClient("a");
    ASSERT_TRUE(RunUntil(io, [&] { return silent.peers.size() > seen && sidecar->pending_requests() == 1; }));
    client->Close();
    ASSERT_TRUE(RunUntil(io, [&] { return DisconnectedCount(2) == 1; }));
    // Without the permission to cancel it, the attempt lasts until its deadline.
    EXPECT_TRUE(RunUntil(io, [&] { return sidecar->pending_requests() == 0; }));
    ExpectNothingLeft();
  }
}

TEST_F(RequestLifetimeTest, RequestsThatWaitWhenTheirClientDisconnectsAreFreed) {
  ScriptedServer server(io);
  Start({Entry("s-1", server.address, "draining")});
  const auto client = LargeClient("a");
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->pending_requests() == 1; }));
  client->Close();
  ExpectNothingLeft();
}

TEST_F(RequestLifetimeTest, RequestsOfAServerThatIsTakenDownAndOfAnotherDiscoveryAreFreed) {
  ScriptedServer server(io);
  ScriptedServer next_discovery(io);
  Start({Entry("s-1", server.address)});
  const auto first = LargeClient("a");
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  SendList(List(2, false, {Entry("s-1", server.address, "removed")}));
  ASSERT_TRUE(RepeatUntilRefused(Get("probe")));
  const auto second = LargeClient("b");
  sidecar->Reload(ParseConfig(ConfigJson(next_discovery.address, {}).dump()));
  EXPECT_EQ(Status(*first), "502");
  EXPECT_EQ(Status(*second), "503");
  first->Close();
  second->Close();
  ExpectNothingLeft();
}

TEST_F(RequestLifetimeTest, RequestsThatAShutdownExpiresAreFreed) {
  ScriptedServer server(io);
  Start({Entry("s-1", server.address)});
  const auto client = LargeClient("a", "5.0");
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  bool ended = false;
  sidecar->Drain([&] { ended = true; });
  EXPECT_EQ(Status(*client), "502");
  client->Close();
  EXPECT_TRUE(RunUntil(io, [&] { return ended; }));
  ExpectNothingLeft();
}

}  // namespace
}  // namespace merlinrun::net
