#include "scale/server_stand_in.hpp"

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

// Longer than any test takes: what is in service stays there.
constexpr std::chrono::hours kForEver{1};

std::string Get(const std::string& headers = "Req-Id: a\r\n") {
  return "GET /api HTTP/1.1\r\nHost: o\r\n" + headers + "\r\n";
}

class ServerStandInTest : public ::testing::Test {
 protected:
  // One request, on a connection of its own.
  std::shared_ptr<Peer> Ask(const ServerStandIn& server, const std::string& text = Get()) {
    peers.push_back(Connect(io, server.address()));
    peers.back()->Write(text);
    return peers.back();
  }
  // The answer: status line, header and body.
  std::string Answer(const std::shared_ptr<Peer>& peer) {
    EXPECT_TRUE(RunUntil(io, [&] { return peer->requests() > 0; }));
    return peer->received;
  }
  // How many of so many requests at once are turned away.
  int DeclinedOf(ServerStandIn& server, int asked) {
    for (int i = 0; i < asked; ++i) Ask(server);
    EXPECT_TRUE(RunUntil(io, [&] { return server.counts().taken == static_cast<std::uint64_t>(asked); }));
    EXPECT_EQ(server.held() + server.counts().declined, static_cast<std::uint64_t>(asked));
    return static_cast<int>(server.counts().declined);
  }

  asio::io_context io;
  std::vector<std::shared_ptr<Peer>> peers;
};

TEST_F(ServerStandInTest, AnswersWithItsLoadInTheFormThatTheSidecarReads) {
  ServerStandIn server(io, {.body = 10});
  const std::string answer = Answer(Ask(server));
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

TEST_F(ServerStandInTest, TakesSeveralRequestsOnAConnectionOneAfterAnother) {
  ServerStandIn server(io, {.service = std::chrono::microseconds(0)});
  const auto peer = Ask(server);
  for (int answers = 1; answers < 5; ++answers) {
    ASSERT_TRUE(RunUntil(io, [&] { return peer->requests() == answers; }));
    peer->Write(Get());
  }
  EXPECT_TRUE(RunUntil(io, [&] { return server.counts().served == 5; }));
}

TEST_F(ServerStandInTest, DeclinesWhatIsOverItsCoresAndQueue) {
  ServerStandIn server(io, {.cores = 2, .queue = 3, .service = kForEver});
  EXPECT_EQ(DeclinedOf(server, 8), 3);
}

TEST_F(ServerStandInTest, AColdOneTakesLess) {
  ServerStandIn server(
      io, {.cores = 2, .queue = 6, .service = kForEver, .cold_share = 0.25, .warm_after = kForEver * 1000});
  EXPECT_EQ(DeclinedOf(server, 8), 6);
}

TEST_F(ServerStandInTest, AWarmOneTakesAllAgain) {
  ServerStandIn server(io, {.cores = 2,
                            .queue = 6,
                            .service = kForEver,
                            .cold_share = 0.25,
                            .warm_after = std::chrono::microseconds(1)});
  EXPECT_EQ(DeclinedOf(server, 8), 0);
}

TEST_F(ServerStandInTest, WhileDrainingItFinishesWhatItHasAndDeclinesTheRest) {
  ServerStandIn server(io, {.service = std::chrono::milliseconds(300)});
  const auto before = Ask(server);
  ASSERT_TRUE(RunUntil(io, [&] { return server.held() == 1; }));
  server.Drain();
  const std::string declined = Answer(Ask(server));
  EXPECT_EQ(declined.substr(0, 12), "HTTP/1.1 503");
  EXPECT_NE(declined.find("Srv-Declined: 1\r\n"), std::string::npos);
  EXPECT_EQ(Answer(before).substr(0, 12), "HTTP/1.1 200");
}

TEST_F(ServerStandInTest, TurnsAwayWhatIsOverBeforeItsTurnAndKnowsNoRequestWithoutId) {
  ServerStandIn server(io, {.cores = 1, .service = std::chrono::seconds(1)});
  Ask(server);
  const std::string late = Answer(Ask(server, Get("Req-Id: b\r\nReq-Deadline: 0.01\r\n")));
  EXPECT_EQ(late.substr(0, 12), "HTTP/1.1 504");
  EXPECT_NE(late.find("Srv-Declined: 1\r\n"), std::string::npos);
  EXPECT_EQ(Answer(Ask(server, Get(""))).substr(0, 12), "HTTP/1.1 404");
  EXPECT_EQ(server.counts().invalid, 1u);
}

// What the last server of a chain hears of a request that began with this text at the first.
class ChainTest : public ServerStandInTest {
 protected:
  std::string HeardAfterTwoHops(const std::string& text) {
    ScriptedServer last(io, Serves("ok"));
    const std::chrono::milliseconds service(20);
    ServerStandIn second(io, {.service = service, .seed = 2, .onward = {last.address}});
    ServerStandIn first(io, {.service = service, .seed = 1, .onward = {second.address()}});
    EXPECT_EQ(Answer(Ask(first, text)).substr(0, 12), "HTTP/1.1 200");
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

TEST_F(ChainTest, PassesOnTheTimeThatIsLeftAndAFreshId) {
  const std::string heard =
      HeardAfterTwoHops(Get("Req-Id: a\r\nReq-Kind: read\r\nReq-Owner: acme\r\nReq-Deadline: 100\r\n"));
  EXPECT_LT(DeadlineOf(heard), 100 - 0.04);  // two services, and what the way took
  EXPECT_GT(DeadlineOf(heard), 0);
  EXPECT_EQ(heard.find("Req-Id: a\r\n"), std::string::npos);
  EXPECT_NE(heard.find("Req-Id: "), std::string::npos);
  EXPECT_NE(heard.find("Req-Kind: read\r\n"), std::string::npos);
  EXPECT_NE(heard.find("Req-Owner: acme\r\n"), std::string::npos);
}

TEST_F(ChainTest, AKeyedRequestGetsAKeyOfItsOwnAtEachHop) {
  const std::string heard = HeardAfterTwoHops(
      "POST /api HTTP/1.1\r\nHost: o\r\nReq-Id: a\r\nIdempotency-Key: k\r\nContent-Length: 3\r\n\r\nabc");
  EXPECT_EQ(heard.substr(0, 4), "POST");
  EXPECT_EQ(heard.find("Idempotency-Key: k\r\n"), std::string::npos);
  EXPECT_NE(heard.find("Idempotency-Key: "), std::string::npos);
  EXPECT_NE(heard.find("\r\n\r\nabc"), std::string::npos);
}

TEST_F(ChainTest, WhatFailsFurtherOnHasFailed) {
  ServerStandIn draining(io, {});
  draining.Drain();
  ServerStandIn first(io, {.onward = {draining.address()}});
  EXPECT_EQ(Answer(Ask(first)).substr(0, 12), "HTTP/1.1 500");
  EXPECT_EQ(first.counts().failed, 1u);
  EXPECT_EQ(first.held(), 0u);
}

}  // namespace
}  // namespace merlinrun::scale
