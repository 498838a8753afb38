// Tests that no attempt, neither the first nor a retry, starts for a client that has disconnected, wherever
// its request waits at that moment: for a connection, for a retry, for the request ahead of it with the same
// key, behind another request on the same connection, or in the accept queue.
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

#include "late_server.hpp"
#include "sidecar_fixture.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

enum class CloseMode { kFin, kReset };
// What the client has sent behind the request that it abandons. If that is more than the sidecar buffers, the
// sidecar has stopped reading, and only polling the socket shows the disconnect.
enum class Pipelined { kNothing, kSome, kMoreThanBuffered };

struct Disconnect {
  CloseMode mode;
  Pipelined pipelined;
};

constexpr Disconnect kDisconnects[] = {{CloseMode::kFin, Pipelined::kNothing},
                                       {CloseMode::kReset, Pipelined::kNothing},
                                       {CloseMode::kFin, Pipelined::kSome},
                                       {CloseMode::kReset, Pipelined::kSome},
                                       {CloseMode::kFin, Pipelined::kMoreThanBuffered},
                                       {CloseMode::kReset, Pipelined::kMoreThanBuffered}};
constexpr std::size_t kClients = std::size(kDisconnects);

class ClientDisconnectTest : public SidecarTest {
 protected:
  // A request with the longest deadline that its class allows.
  static std::string Get(const std::string& id) { return GetWithDeadline("60.0", id); }
  static std::string TextOf(const Disconnect& disconnect, const std::string& id) {
    std::string text = Get(id);
    const int more = disconnect.pipelined == Pipelined::kNothing ? 0
                     : disconnect.pipelined == Pipelined::kSome  ? 2
                                                                 : 400;
    for (int i = 0; i < more; ++i) text += Get(id + "-" + std::to_string(i));
    return text;
  }
  static void DisconnectClient(const Disconnect& disconnect, Peer& client) {
    disconnect.mode == CloseMode::kFin ? client.Close() : client.Reset();
  }
  // Connects one client for each way to disconnect.
  void ConnectAll() {
    for (std::size_t i = 0; i < kClients; ++i) {
      clients.push_back(Connect(io, sidecar->address()));
      clients.back()->Write(TextOf(kDisconnects[i], "abandoned-" + std::to_string(i)));
    }
  }
  void DisconnectAll() {
    for (std::size_t i = 0; i < kClients; ++i) DisconnectClient(kDisconnects[i], *clients[i]);
  }
  std::uint64_t DisconnectedCount() const { return sidecar->counters().classes()[0].disconnected; }
  void SlowDials(nlohmann::json& json) const {
    json["settings"]["allowed"]["dial_timeout_us"] = 20'000'000;
    json["settings"]["allowed"]["cancel"] = cancel;
    // The kernel resends a SYN after 1, 3, 7 and 15 s; a slow machine may need more than one of these.
    json["settings"]["grades"][0]["hard_limit_us"] = 60'000'000;
  }

  bool cancel = true;
  std::vector<std::shared_ptr<Peer>> clients;
};

// The client disconnects while the connection to the server is being established. The attempt is dropped even
// if the settings forbid cancelling, because it has not started before its request is written.
class DisconnectDuringDial : public ClientDisconnectTest, public ::testing::WithParamInterface<bool> {};

TEST_P(DisconnectDuringDial, DropsTheRequestsOfDisconnectedClients) {
  cancel = GetParam();
  LateServer server(io);
  Start({Entry("s-1", server.address)}, [this](nlohmann::json& json) { SlowDials(json); });
  ConnectAll();
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->upstream_connections() == kClients; }));
  RunFor(io, 150ms);  // so that the connection for the remaining client is established after theirs
  const auto connected = Client(Get("stays"));
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->upstream_connections() == kClients + 1; }));
  DisconnectAll();
  ASSERT_TRUE(RunUntil(io, [&] { return DisconnectedCount() == kClients; }));
  server.AcceptConnections();
  EXPECT_EQ(Status(*connected), "200");
  RunFor(io, 50ms);
  EXPECT_EQ(server.Received().find("abandoned-"), std::string::npos) << server.Received();
  EXPECT_EQ(sidecar->counters().attempts(), 1U);
}

// The event loop is blocked from the disconnects until the server connections are established, so that both
// are pending in the same iteration of the loop.
TEST_P(DisconnectDuringDial, DropsRequestsWhoseClientsDisconnectInTheSameLoopIteration) {
  cancel = GetParam();
  LateServer server(io);
  Start({Entry("s-1", server.address)}, [this](nlohmann::json& json) { SlowDials(json); });
  ConnectAll();
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->upstream_connections() == kClients; }));
  RunFor(io, 150ms);
  Tcp::socket after(io, Tcp::v4());  // dialled after theirs, so that it is established after them
  after.non_blocking(true);
  ASSERT_EQ(
      ::connect(after.native_handle(), server.address.data(), static_cast<socklen_t>(server.address.size())),
      -1);
  ASSERT_EQ(errno, EINPROGRESS);
  DisconnectAll();
  server.AcceptConnections();
  pollfd writable{after.native_handle(), POLLOUT, 0};
  ASSERT_EQ(::poll(&writable, 1, /*timeout=*/20'000), 1);
  ASSERT_TRUE(RunUntil(io, [&] { return DisconnectedCount() == kClients; }));
  EXPECT_EQ(Ask(Get("stays")), "200");
  EXPECT_EQ(server.Received().find("abandoned-"), std::string::npos) << server.Received();
  EXPECT_EQ(sidecar->counters().attempts(), 1U);
}

INSTANTIATE_TEST_SUITE_P(CancelAllowedOrNot, DisconnectDuringDial, ::testing::Bool());

class DisconnectDuringRetryDelay : public ClientDisconnectTest,
                                   public ::testing::WithParamInterface<Disconnect> {};

TEST_P(DisconnectDuringRetryDelay, DropsARetryThatIsDueInTheSameLoopIteration) {
  ScriptedServer server(io);
  Start({Entry("s-1", server.address)});
  const auto client = Client(TextOf(GetParam(), "abandoned"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  server.peers[0]->Write(Reply("503 Service Unavailable", "", "Srv-Declined: 1\r\nConnection: close\r\n"));
  // Wait until the sidecar has processed the refusal; then block the loop until the longest retry delay is
  // over.
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->upstream_connections() == 0; }));
  DisconnectClient(GetParam(), *client);
  const auto delay_end = std::chrono::steady_clock::now() + 110ms;
  while (std::chrono::steady_clock::now() < delay_end) continue;
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->pending_requests() == 0; }));
  EXPECT_EQ(server.requests(), 1);
  EXPECT_EQ(DisconnectedCount(), 1U);
}

INSTANTIATE_TEST_SUITE_P(WithMorePipelinedThanBuffered, DisconnectDuringRetryDelay,
                         ::testing::Values(kDisconnects[4], kDisconnects[5]));

// Requests with the same key are sent one at a time. Each queued request reaches the head of the queue after
// its client has disconnected.
TEST_F(ClientDisconnectTest, DropsRequestsThatWaitForAnotherOneWithTheSameKey) {
  ScriptedServer server(io);
  Start({Entry("s-1", server.address)},
        [](nlohmann::json& json) { json["settings"]["grades"][0]["sequential"] = true; });
  const auto first = Client(Get("first"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  ConnectAll();
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->pending_requests() == 1 + kClients; }));
  const auto connected = Client(Get("stays"));
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->pending_requests() == 2 + kClients; }));
  ASSERT_EQ(server.requests(), 1);
  server.peers[0]->Write(Reply("200 OK", "ok"));  // arrives before the disconnects
  DisconnectAll();
  server.on_data = [](Peer& peer) {
    if (peer.received.find("stays") != std::string::npos) peer.Write(Reply("200 OK", "ok"));
  };
  EXPECT_EQ(Status(*first), "200");
  EXPECT_EQ(Status(*connected), "200");
  EXPECT_EQ(server.requests(), 2);
  EXPECT_EQ(DisconnectedCount(), kClients);
}

// The client disconnects while its first request is in flight; the pipelined ones are parsed after that.
TEST_F(ClientDisconnectTest, DropsPipelinedRequestsOfADisconnectedClient) {
  ScriptedServer server(io);
  Start({Entry("s-1", server.address)});
  const auto client = Client(TextOf({CloseMode::kFin, Pipelined::kMoreThanBuffered}, "abandoned"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  server.peers[0]->Write(Reply("200 OK", "ok"));
  client->Close();
  ASSERT_TRUE(RunUntil(io, [&] { return DisconnectedCount() == 1; }));
  server.on_data = [](Peer& peer) {
    if (peer.received.find("stays") != std::string::npos) peer.Write(Reply("200 OK", "ok"));
  };
  EXPECT_EQ(Ask(Get("stays")), "200");
  EXPECT_EQ(server.requests(), 2);
}

// Guards against retries for clients that had left unnoticed. What such a client had sent behind its request
// filled the sidecar's receive window, so its close waited in its own kernel behind the rest.
TEST_F(ClientDisconnectTest, DropsARetryIfTheCloseMayBeStuckBehindUnreadInput) {
  ScriptedServer server(io);
  Start({Entry("s-1", server.address)});
  std::string text = Get("abandoned");
  while (text.size() < 600'000) text += Get("behind-" + std::to_string(text.size()));
  const auto client = Connect(io, sidecar->address());
  client->WriteAsync(text);
  ASSERT_TRUE(RunUntil(io, [&] { return client->written && server.requests() == 1; }));
  client->Close();
  const auto left_at = std::chrono::steady_clock::now();
  RunFor(io, 150ms);
  std::optional<std::chrono::steady_clock::time_point> sent_again_at;
  server.on_data = [&](Peer&) { sent_again_at = std::chrono::steady_clock::now(); };
  server.peers[0]->Write(Reply("503 Service Unavailable", "", "Srv-Declined: 1\r\nConnection: close\r\n"));
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->pending_requests() == 0 || sent_again_at; }));
  EXPECT_FALSE(sent_again_at) << std::chrono::duration<double>(*sent_again_at - left_at).count();
  EXPECT_EQ(server.requests(), 1);
}

// A client that sends one request at a time is retried for, however long it waits.
TEST_F(ClientDisconnectTest, RetriesForAClientThatIsSilentButConnected) {
  ScriptedServer server(io);
  Start({Entry("s-1", server.address)});
  const auto client = Client(Get("stays"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  RunFor(io, 300ms);
  server.on_data = Serves("ok");
  server.peers[0]->Write(Reply("503 Service Unavailable", "", "Srv-Declined: 1\r\nConnection: close\r\n"));
  EXPECT_EQ(Status(*client), "200");
}

// The clients connect, send their requests and disconnect before the sidecar accepts their connections. The
// kernel may discard what was received on a connection that has been reset.
TEST_F(ClientDisconnectTest, DropsRequestsThatAreReadAfterTheDisconnect) {
  ScriptedServer server(io, Serves("ok"));
  Start({Entry("s-1", server.address)});
  ConnectAll();
  DisconnectAll();
  EXPECT_EQ(Ask(Get("stays")), "200");
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->pending_requests() == 0; }));
  EXPECT_EQ(server.requests(), 1);
  EXPECT_EQ(sidecar->counters().attempts(), 1U);
  EXPECT_GE(DisconnectedCount(), kClients / 2);
}

}  // namespace
}  // namespace merlinrun::net
