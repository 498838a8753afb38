// No attempt, first or further, begins for a client that has left, wherever its request waits then.
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

#include "sidecar_fixture.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

// Its connections do not come up before it is told so: the one place in its queue is taken, and the kernel
// drops what else is dialled until there are more.
class LateServer {
 public:
  explicit LateServer(asio::io_context& io) : acceptor_(io, Tcp::v4()), filler_(io) {
    acceptor_.bind(Loopback());
    acceptor_.listen(0);
    address = acceptor_.local_endpoint();
    filler_.connect(address);
  }
  ~LateServer() {
    for (auto& peer : peers) peer->on_data = nullptr, peer->Close();
  }
  void ComeUp() {
    acceptor_.listen(64);
    Accept();
  }
  std::string Received() const {
    std::string all;
    for (const auto& peer : peers) all += peer->received;
    return all;
  }

  Tcp::endpoint address;
  std::vector<std::shared_ptr<Peer>> peers;

 private:
  void Accept() {
    acceptor_.async_accept([this](ErrorCode error, Tcp::socket socket) {
      if (error) return;
      peers.push_back(std::make_shared<Peer>(std::move(socket)));
      peers.back()->on_data = Serves("late");
      peers.back()->Read();
      Accept();
    });
  }

  Tcp::acceptor acceptor_;
  Tcp::socket filler_;
};

enum class How { kFin, kReset };
// What lies behind the request that the client leaves. With more than is read no input is awaited, and its
// end is seen by those alone who look for it.
enum class Behind { kNothing, kSome, kMoreThanIsRead };

struct Leaving {
  How how;
  Behind behind;
};

constexpr Leaving kLeavings[] = {
    {How::kFin, Behind::kNothing},        {How::kReset, Behind::kNothing},
    {How::kFin, Behind::kSome},           {How::kReset, Behind::kSome},
    {How::kFin, Behind::kMoreThanIsRead}, {How::kReset, Behind::kMoreThanIsRead}};
constexpr std::size_t kWays = std::size(kLeavings);

class LeftTest : public SidecarTest {
 protected:
  // With as much time as its class has.
  static std::string Get(const std::string& id) { return GetWithin("60.0", id); }
  static std::string TextOf(const Leaving& leaving, const std::string& id) {
    std::string text = Get(id);
    const int more = leaving.behind == Behind::kNothing ? 0 : leaving.behind == Behind::kSome ? 2 : 400;
    for (int i = 0; i < more; ++i) text += Get(id + "-" + std::to_string(i));
    return text;
  }
  static void Leave(const Leaving& leaving, Peer& client) {
    leaving.how == How::kFin ? client.Close() : client.Reset();
  }
  // One client for each way to leave.
  void ConnectAll() {
    for (std::size_t i = 0; i < kWays; ++i) {
      leavers.push_back(Connect(io, sidecar->address()));
      leavers.back()->Write(TextOf(kLeavings[i], "leaver-" + std::to_string(i)));
    }
  }
  void LeaveAll() {
    for (std::size_t i = 0; i < kWays; ++i) Leave(kLeavings[i], *leavers[i]);
  }
  std::uint64_t Gone() const { return sidecar->counters().classes()[0].gone; }
  void SlowDials(nlohmann::json& json) const {
    json["settings"]["allowed"]["dial_timeout_us"] = 20'000'000;
    json["settings"]["allowed"]["cancel"] = cancel;
    // The kernel dials again after 1, 3, 7 and 15 s: a slow machine may need more than one of them.
    json["settings"]["grades"][0]["hard_limit_us"] = 60'000'000;
  }

  bool cancel = true;
  std::vector<std::shared_ptr<Peer>> leavers;
};

// Also where the settings forbid cancelling: what has not begun is no attempt yet.
class LeftDialing : public LeftTest, public ::testing::WithParamInterface<bool> {};

TEST_P(LeftDialing, NothingIsWrittenWhenTheConnectionComesUp) {
  cancel = GetParam();
  LateServer server(io);
  Start({Entry("s-1", server.address)}, [this](nlohmann::json& json) { SlowDials(json); });
  ConnectAll();
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->upstream_connections() == kWays; }));
  RunFor(io, 150ms);  // so that the dial for the one that stays comes up after theirs
  const auto stays = Client(Get("stays"));
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->upstream_connections() == kWays + 1; }));
  LeaveAll();
  ASSERT_TRUE(RunUntil(io, [&] { return Gone() == kWays; }));
  server.ComeUp();
  EXPECT_EQ(Status(*stays), "200");
  RunFor(io, 50ms);
  EXPECT_EQ(server.Received().find("leaver-"), std::string::npos) << server.Received();
  EXPECT_EQ(sidecar->counters().attempts(), 1U);
}

// Nobody has come to notice that they left when their connections are up: the loop has stood still.
TEST_P(LeftDialing, NothingIsWrittenInTheTurnInWhichItComesUp) {
  cancel = GetParam();
  LateServer server(io);
  Start({Entry("s-1", server.address)}, [this](nlohmann::json& json) { SlowDials(json); });
  ConnectAll();
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->upstream_connections() == kWays; }));
  RunFor(io, 150ms);
  Tcp::socket after(io, Tcp::v4());  // dialled after theirs, so that it comes up after them
  after.non_blocking(true);
  ASSERT_EQ(
      ::connect(after.native_handle(), server.address.data(), static_cast<socklen_t>(server.address.size())),
      -1);
  ASSERT_EQ(errno, EINPROGRESS);
  LeaveAll();
  server.ComeUp();
  pollfd up{after.native_handle(), POLLOUT, 0};
  ASSERT_EQ(::poll(&up, 1, /*timeout=*/20'000), 1);
  ASSERT_TRUE(RunUntil(io, [&] { return Gone() == kWays; }));
  EXPECT_EQ(Ask(Get("stays")), "200");
  EXPECT_EQ(server.Received().find("leaver-"), std::string::npos) << server.Received();
  EXPECT_EQ(sidecar->counters().attempts(), 1U);
}

INSTANTIATE_TEST_SUITE_P(CancellingAllowedOrNot, LeftDialing, ::testing::Bool());

class LeftAtTheRetry : public LeftTest, public ::testing::WithParamInterface<Leaving> {};

TEST_P(LeftAtTheRetry, NothingIsSentInTheTurnOfTheRetry) {
  ScriptedServer server(io);
  Start({Entry("s-1", server.address)});
  const auto client = Client(TextOf(GetParam(), "leaver"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  server.peers[0]->Write(Reply("503 Service Unavailable", "", "Srv-Declined: 1\r\nConnection: close\r\n"));
  // Until the sidecar has taken the refusal; then the loop stands still until the longest wait is over.
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->upstream_connections() == 0; }));
  Leave(GetParam(), *client);
  const auto over = std::chrono::steady_clock::now() + 110ms;
  while (std::chrono::steady_clock::now() < over) continue;
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->requests_held() == 0; }));
  EXPECT_EQ(server.requests(), 1);
  EXPECT_EQ(Gone(), 1U);
}

INSTANTIATE_TEST_SUITE_P(WithMoreBehindThanIsRead, LeftAtTheRetry,
                         ::testing::Values(kLeavings[4], kLeavings[5]));

// Requests of one key go one at a time: theirs wait, and the turn comes to each of them after they have left.
TEST_F(LeftTest, NothingIsSentWhenTheTurnOfTheirKeyComes) {
  ScriptedServer server(io);
  Start({Entry("s-1", server.address)},
        [](nlohmann::json& json) { json["settings"]["grades"][0]["sequential"] = true; });
  const auto first = Client(Get("first"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  ConnectAll();
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->requests_held() == 1 + kWays; }));
  const auto stays = Client(Get("stays"));
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->requests_held() == 2 + kWays; }));
  ASSERT_EQ(server.requests(), 1);
  server.peers[0]->Write(Reply("200 OK", "ok"));  // read before their ends are
  LeaveAll();
  server.on_data = [](Peer& peer) {
    if (peer.received.find("stays") != std::string::npos) peer.Write(Reply("200 OK", "ok"));
  };
  EXPECT_EQ(Status(*first), "200");
  EXPECT_EQ(Status(*stays), "200");
  EXPECT_EQ(server.requests(), 2);
  EXPECT_EQ(Gone(), kWays);
}

// The client leaves while the first of its requests is out; the next is read after that.
TEST_F(LeftTest, NothingIsSentOfWhatLiesBehindAnAnswerToNobody) {
  ScriptedServer server(io);
  Start({Entry("s-1", server.address)});
  const auto client = Client(TextOf({How::kFin, Behind::kMoreThanIsRead}, "leaver"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  server.peers[0]->Write(Reply("200 OK", "ok"));
  client->Close();
  ASSERT_TRUE(RunUntil(io, [&] { return Gone() == 1; }));
  server.on_data = [](Peer& peer) {
    if (peer.received.find("stays") != std::string::npos) peer.Write(Reply("200 OK", "ok"));
  };
  EXPECT_EQ(Ask(Get("stays")), "200");
  EXPECT_EQ(server.requests(), 2);
}

// They come, ask and go before the sidecar turns to its accept queue. Of what is reset the kernel
// may keep nothing.
TEST_F(LeftTest, NothingIsSentThatIsReadAfterItsClientHasLeft) {
  ScriptedServer server(io, Serves("ok"));
  Start({Entry("s-1", server.address)});
  ConnectAll();
  LeaveAll();
  EXPECT_EQ(Ask(Get("stays")), "200");
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->requests_held() == 0; }));
  EXPECT_EQ(server.requests(), 1);
  EXPECT_EQ(sidecar->counters().attempts(), 1U);
  EXPECT_GE(Gone(), kWays / 2);
}

}  // namespace
}  // namespace merlinrun::net
