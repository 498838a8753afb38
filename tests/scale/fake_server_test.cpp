#include "scale/fake_server.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "net/loopback.hpp"
#include "net/validate.hpp"

namespace merlinrun::scale {
namespace {

using namespace net::testing;  // NOLINT(google-build-using-namespace)
namespace asio = net::asio;

// A service time longer than any test: requests in service stay there.
constexpr std::chrono::hours kForever{1};

std::string Get(const std::string& headers = "Req-Id: a\r\n") {
  return "GET /api HTTP/1.1\r\nHost: o\r\n" + headers + "\r\n";
}

class FakeServerTest : public ::testing::Test {
 protected:
  // Sends a request on a new connection.
  std::shared_ptr<Peer> SendRequest(const FakeServer& server, const std::string& text = Get()) {
    peers.push_back(Connect(io, server.address()));
    peers.back()->Write(text);
    return peers.back();
  }
  // Waits for the answer and returns its status line, header and body.
  std::string AwaitAnswer(const std::shared_ptr<Peer>& peer) {
    EXPECT_TRUE(RunUntil(io, [&] { return peer->requests() > 0; }));
    return peer->received;
  }
  // Sends this number of requests at once and returns how many of them are declined.
  int CountDeclined(FakeServer& server, int requests) {
    for (int i = 0; i < requests; ++i) SendRequest(server);
    EXPECT_TRUE(RunUntil(io, [&] { return server.counts().taken == static_cast<std::uint64_t>(requests); }));
    EXPECT_EQ(server.open_requests() + server.counts().declined, static_cast<std::uint64_t>(requests));
    return static_cast<int>(server.counts().declined);
  }

  asio::io_context io;
  std::vector<std::shared_ptr<Peer>> peers;
};

TEST_F(FakeServerTest, ReportsItsLoadInTheFormatThatTheSidecarParses) {
  FakeServer server(io, {.body_size = 10});
  const std::string answer = AwaitAnswer(SendRequest(server));
  EXPECT_EQ(answer.substr(0, 15), "HTTP/1.1 200 OK");
  const std::string name = "Srv-Load: ";
  const std::size_t at = answer.find(name) + name.size();
  const LoadReport load = net::ParseLoadHeader(answer.substr(at, answer.find("\r\n", at) - at));
  EXPECT_EQ(load.busy, 0);
  EXPECT_EQ(load.waiting, 0);
  ASSERT_TRUE(load.cpu.has_value());
  EXPECT_LT(*load.cpu, 1);
  EXPECT_EQ(server.counts().served, 1u);
}

TEST_F(FakeServerTest, ServesSeveralRequestsOnOneConnection) {
  FakeServer server(io, {.service_time = std::chrono::microseconds(0)});
  const auto peer = SendRequest(server);
  for (int answers = 1; answers < 5; ++answers) {
    ASSERT_TRUE(RunUntil(io, [&] { return peer->requests() == answers; }));
    peer->Write(Get());
  }
  EXPECT_TRUE(RunUntil(io, [&] { return server.counts().served == 5; }));
}

TEST_F(FakeServerTest, DeclinesRequestsBeyondItsCoresAndQueue) {
  FakeServer server(io, {.cores = 2, .queue = 3, .service_time = kForever});
  EXPECT_EQ(CountDeclined(server, 8), 3);
}

TEST_F(FakeServerTest, HasLessCapacityWhileCold) {
  FakeServer server(io, {.cores = 2,
                         .queue = 6,
                         .service_time = kForever,
                         .cold_speed = 0.25,
                         .warm_up_time = kForever * 1000});
  EXPECT_EQ(CountDeclined(server, 8), 6);
}

TEST_F(FakeServerTest, HasFullCapacityOnceWarm) {
  FakeServer server(io, {.cores = 2,
                         .queue = 6,
                         .service_time = kForever,
                         .cold_speed = 0.25,
                         .warm_up_time = std::chrono::microseconds(1)});
  EXPECT_EQ(CountDeclined(server, 8), 0);
}

TEST_F(FakeServerTest, CompletesOpenRequestsAndDeclinesNewOnesWhileDraining) {
  FakeServer server(io, {.service_time = std::chrono::milliseconds(300)});
  const auto before = SendRequest(server);
  ASSERT_TRUE(RunUntil(io, [&] { return server.open_requests() == 1; }));
  server.Drain();
  const std::string declined = AwaitAnswer(SendRequest(server));
  EXPECT_EQ(declined.substr(0, 12), "HTTP/1.1 503");
  EXPECT_NE(declined.find("Srv-Declined: 1\r\n"), std::string::npos);
  EXPECT_EQ(AwaitAnswer(before).substr(0, 12), "HTTP/1.1 200");
}

TEST_F(FakeServerTest, DeclinesARequestThatExpiresInTheQueueAndRejectsOneWithoutId) {
  FakeServer server(io, {.cores = 1, .service_time = std::chrono::seconds(1)});
  SendRequest(server);
  const std::string late = AwaitAnswer(SendRequest(server, Get("Req-Id: b\r\nReq-Deadline: 0.01\r\n")));
  EXPECT_EQ(late.substr(0, 12), "HTTP/1.1 504");
  EXPECT_NE(late.find("Srv-Declined: 1\r\n"), std::string::npos);
  EXPECT_EQ(AwaitAnswer(SendRequest(server, Get(""))).substr(0, 12), "HTTP/1.1 404");
  EXPECT_EQ(server.counts().invalid, 1u);
}

// A chain of two fake servers and a scripted last one.
class ChainTest : public FakeServerTest {
 protected:
  // Sends the request to the first server and returns the request that the last one receives.
  std::string ReceivedAfterTwoHops(const std::string& text) {
    ScriptedServer last(io, Serves("ok"));
    const std::chrono::milliseconds service(20);
    FakeServer second(io, {.service_time = service, .seed = 2, .onward = {last.address}});
    FakeServer first(io, {.service_time = service, .seed = 1, .onward = {second.address()}});
    EXPECT_EQ(AwaitAnswer(SendRequest(first, text)).substr(0, 12), "HTTP/1.1 200");
    EXPECT_EQ(first.counts().served, 1u);
    EXPECT_EQ(second.counts().served, 1u);
    return last.peers.at(0)->received;
  }
  static double DeadlineOf(const std::string& text) {
    const std::string name = "Req-Deadline: ";
    const std::size_t at = text.find(name) + name.size();
    return net::ParseDecimal(text.substr(at, text.find("\r\n", at) - at)).value_or(-1);
  }
};

TEST_F(ChainTest, SendsTheRemainingTimeAndANewIdToTheNextService) {
  const std::string received =
      ReceivedAfterTwoHops(Get("Req-Id: a\r\nReq-Kind: read\r\nReq-Owner: acme\r\nReq-Deadline: 100\r\n"));
  EXPECT_LT(DeadlineOf(received), 100 - 0.04);  // two service times and the network
  EXPECT_GT(DeadlineOf(received), 0);
  EXPECT_EQ(received.find("Req-Id: a\r\n"), std::string::npos);
  EXPECT_NE(received.find("Req-Id: "), std::string::npos);
  EXPECT_NE(received.find("Req-Kind: read\r\n"), std::string::npos);
  EXPECT_NE(received.find("Req-Owner: acme\r\n"), std::string::npos);
}

TEST_F(ChainTest, ARequestWithAKeyGetsANewKeyAtEachHop) {
  const std::string received = ReceivedAfterTwoHops(
      "POST /api HTTP/1.1\r\nHost: o\r\nReq-Id: a\r\nIdempotency-Key: k\r\nContent-Length: 3\r\n\r\nabc");
  EXPECT_EQ(received.substr(0, 4), "POST");
  EXPECT_EQ(received.find("Idempotency-Key: k\r\n"), std::string::npos);
  EXPECT_NE(received.find("Idempotency-Key: "), std::string::npos);
  EXPECT_NE(received.find("\r\n\r\nabc"), std::string::npos);
}

TEST_F(ChainTest, ARequestFailsIfTheNextServiceFails) {
  FakeServer draining(io, {});
  draining.Drain();
  FakeServer first(io, {.onward = {draining.address()}});
  EXPECT_EQ(AwaitAnswer(SendRequest(first)).substr(0, 12), "HTTP/1.1 500");
  EXPECT_EQ(first.counts().failed, 1u);
  EXPECT_EQ(first.open_requests(), 0u);
}

}  // namespace
}  // namespace merlinrun::scale
