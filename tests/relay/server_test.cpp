// Tests of the relay's server: full lists under load, and peers that misbehave.
#include "fixture.hpp"

namespace merlinrun::relay {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

class ServerTest : public ::testing::Test {
 protected:
  ServerTest() {
    std::vector<Json> entries;
    for (int i = 0; i < 3000; ++i) entries.push_back(Instance("s-" + std::to_string(i)));
    upstream = std::make_unique<Upstream>(io, List(41, true, entries));
    config.listen = {Loopback(), Loopback()};
    config.upstream = upstream->server.address;
    config.limits.send_buffer = 8 * 1024;
    config.limits.head_timeout = 60s;
  }
  void Start() {
    relay.emplace(io, config);
    ASSERT_TRUE(RunUntil(io, [&] { return relay->feed().store().known(); }));
  }
  // Sends `text` and receives nothing until Read is called.
  std::shared_ptr<Peer> Send(const std::string& text) {
    auto peer = std::make_shared<Peer>(net::Tcp::socket(io));
    peer->socket.open(net::Tcp::v4());
    peer->socket.set_option(net::asio::socket_base::receive_buffer_size(8 * 1024));
    peer->socket.connect(relay->addresses().back());
    peer->Write(text);
    return peer;
  }
  // Sends `text` and returns what is received until the connection ends.
  std::string Answer(const std::string& text) {
    const auto peer = Send(text);
    peer->Read();
    EXPECT_TRUE(RunUntil(io, [&] { return peer->ended; })) << text;
    return peer->received;
  }
  const Server::Counts& counts() const { return relay->server().counts(); }
  // Waits until the relay has received this number of calls.
  bool AwaitCalls(std::uint64_t calls) {
    return RunUntil(io, [&] { return counts().calls == calls; });
  }

  net::asio::io_context io;
  std::unique_ptr<Upstream> upstream;
  Config config;
  std::optional<Relay> relay;
};

TEST_F(ServerTest, FullListsBeyondTheLimitWaitAndCallsBeyondTheQueueAreRefused) {
  config.limits.admission = {1, 1, 60s};
  Start();
  const auto first = Send(Get("/v1/endpoints"));
  ASSERT_TRUE(AwaitCalls(1));
  const auto second = Send(WatchFrom(7));
  ASSERT_TRUE(AwaitCalls(2));
  const auto third = Send(Get("/v1/endpoints"));
  third->Read();
  ASSERT_TRUE(RunUntil(io, [&] { return third->ended; }));
  EXPECT_EQ(StatusLine(*third), "HTTP/1.1 503");
  EXPECT_EQ(counts().full_lists, 1U);
  EXPECT_EQ(counts().refused, 1U);
  second->Read();
  RunFor(io, 20ms);
  EXPECT_EQ(second->received, "");  // it waits until the first list has been sent
  first->Read();
  ASSERT_TRUE(RunUntil(io, [&] { return first->ended && Objects(*second).size() == 1; }));
  EXPECT_EQ(Json::parse(first->received.substr(first->received.find("\r\n\r\n"))), upstream->full_list);
  EXPECT_EQ(Objects(*second)[0], upstream->full_list);
  EXPECT_EQ(counts().full_lists, 2U);
  EXPECT_EQ(Answer(Get("/v1/endpoints")).substr(0, 12), "HTTP/1.1 200");
}

TEST_F(ServerTest, ACallThatWaitsTooLongIsRefusedAndADisconnectFreesItsSlot) {
  config.limits.admission = {1, 1, 50ms};
  Start();
  const auto first = Send(Get("/v1/endpoints"));
  ASSERT_TRUE(AwaitCalls(1));
  EXPECT_EQ(Answer(Get("/v1/endpoints")).substr(0, 12), "HTTP/1.1 503");
  first->Reset();
  EXPECT_TRUE(RunUntil(io, [&] { return relay->server().connections() == 0; }));
  EXPECT_EQ(Answer(Get("/v1/endpoints")).substr(0, 12), "HTTP/1.1 200");
}

// Small lists are written without waiting, so each one admits the next call of the queue at once. Guards
// against a recursion as deep as the queue is long.
TEST_F(ServerTest, ABurstOfCallsForASmallListIsServedWithoutRefusals) {
  config.limits.admission = {2, 1000, 60s};
  config.limits.send_buffer = 256 * 1024;
  upstream->full_list = List(41, true, {Instance("a")});
  Start();
  std::vector<std::shared_ptr<Peer>> all;
  for (int i = 0; i < 300; ++i) all.push_back(Send(Get("/v1/endpoints")));
  for (const auto& peer : all) peer->Read();
  ASSERT_TRUE(RunUntil(
      io, [&] { return std::all_of(all.begin(), all.end(), [](const auto& peer) { return peer->ended; }); }));
  for (const auto& peer : all) EXPECT_EQ(StatusLine(*peer), "HTTP/1.1 200");
  EXPECT_EQ(counts().full_lists, 300U);
  EXPECT_EQ(counts().refused, 0U);
}

TEST_F(ServerTest, WithoutAListCallsAreAnsweredWith503) {
  upstream->server.StopListening();
  relay.emplace(io, config);
  EXPECT_EQ(Answer(Get("/v1/endpoints")).substr(0, 12), "HTTP/1.1 503");
  EXPECT_EQ(Answer(WatchFrom(3)).substr(0, 12), "HTTP/1.1 503");
  EXPECT_EQ(Answer(Get("/status")).substr(0, 12), "HTTP/1.1 200");
  EXPECT_EQ(counts().refused, 2U);
}

TEST_F(ServerTest, InvalidCallsAreAnsweredWithAnErrorAndClosed) {
  Start();
  const std::vector<std::pair<std::string, std::string>> calls = {
      {Get("/v1/else"), "404"},
      {Get("/"), "404"},
      {"POST /v1/endpoints HTTP/1.1\r\nContent-Length: 0\r\n\r\n", "405"},
      {"DELETE /status HTTP/1.1\r\n\r\n", "405"},
      {Get("/v1/endpoints?stream=1&index=x"), "400"},
      {Get("/v1/endpoints?stream=1&index=-4"), "400"},
      {Get("/v1/endpoints?stream=1&index=99999999999999999999"), "400"},
      {Get("/v1/endpoints?stream=yes"), "400"},
      {"nonsense\r\n\r\n", "400"},
      {"GET /status HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "400"},
      {"GET /status HTTP/1.1\r\nX: " + std::string(9000, 'x') + "\r\n\r\n", "431"},
      {Get("/status"), "200"}};
  for (const auto& [text, status] : calls) EXPECT_EQ(Answer(text).substr(9, 3), status) << text.substr(0, 60);
  EXPECT_TRUE(RunUntil(io, [&] { return relay->server().connections() == 0; }));
}

TEST_F(ServerTest, SilentPeersAndWatchesThatSendDataAreClosed) {
  config.limits.head_timeout = 50ms;
  Start();
  EXPECT_EQ(Answer(""), "");
  EXPECT_EQ(Answer("GET /v1/endp"), "");
  const auto watch = Send(WatchFrom(41));
  watch->Read();
  ASSERT_TRUE(RunUntil(io, [&] { return counts().watches_begun == 1; }));
  watch->WriteAsync(std::string(300'000, 'x'));
  EXPECT_TRUE(RunUntil(io, [&] { return watch->ended; }));
  EXPECT_TRUE(RunUntil(io, [&] { return relay->server().connections() == 0; }));
}

TEST_F(ServerTest, AWatchThatReadsNothingIsClosed) {
  config.limits.stall_timeout = 50ms;
  Start();
  const auto watch = Send(WatchFrom(7));
  ASSERT_TRUE(RunUntil(io, [&] { return counts().full_lists == 1; }));
  EXPECT_TRUE(RunUntil(io, [&] { return relay->server().connections() == 0; }));
  EXPECT_EQ(Answer(Get("/v1/endpoints")).substr(0, 12), "HTTP/1.1 200");  // its slot is free
}

TEST_F(ServerTest, ConnectionsBeyondTheLimitAreClosedAtOnce) {
  config.limits.max_connections = 2;
  Start();
  const auto one = Send(WatchFrom(41));
  const auto two = Send(WatchFrom(41));
  ASSERT_TRUE(RunUntil(io, [&] { return counts().watches_begun == 2; }));
  EXPECT_EQ(Answer(WatchFrom(41)), "");
  EXPECT_EQ(counts().rejected_connections, 1U);
  one->Reset();
  ASSERT_TRUE(RunUntil(io, [&] { return relay->server().connections() == 1; }));
  EXPECT_EQ(Answer(Get("/status")).substr(0, 12), "HTTP/1.1 200");
}

}  // namespace
}  // namespace merlinrun::relay
