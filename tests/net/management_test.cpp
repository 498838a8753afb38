// The management endpoint: its answers to valid and invalid requests, and that slow callers don't block it.
#include "net/management.hpp"

#include "loopback.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

class ManagementTest : public ::testing::Test {
 protected:
  void Start() {
    ManagementEndpoint::Handlers handlers;
    handlers.ready = [this] { return ready; };
    handlers.stats = [] { return std::string("{}\n"); };
    handlers.set_admin_down = [this](const std::string& server, bool down) {
      admin_changes.emplace_back(server, down);
      return ManagementEndpoint::Reply{http::status::ok, "yes\n"};
    };
    endpoint = std::make_unique<ManagementEndpoint>(io, Loopback(), limits, std::move(handlers));
  }
  std::shared_ptr<Peer> Caller(const std::string& text = "") {
    auto caller = Connect(io, endpoint->address());
    if (!text.empty()) caller->Write(text);
    return caller;
  }
  // The status of the answer, once the connection has ended; empty if there is none.
  std::string Call(const std::string& text) {
    auto caller = Caller(text);
    EXPECT_TRUE(RunUntil(io, [&] { return caller->ended; })) << text;
    return caller->requests() > 0 ? caller->received.substr(9, 3) : "";
  }

  asio::io_context io;
  ManagementEndpoint::Limits limits;
  bool ready = true;
  std::vector<std::pair<std::string, bool>> admin_changes;
  std::unique_ptr<ManagementEndpoint> endpoint;
};

TEST_F(ManagementTest, AnswersAndThenClosesTheConnection) {
  Start();
  EXPECT_EQ(Call("GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n"), "200");
  ready = false;
  EXPECT_EQ(Call("GET /ops/readiness HTTP/1.1\r\n\r\n"), "503");
  auto caller = Caller("GET /ops/stats HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(RunUntil(io, [&] { return caller->ended; }));
  EXPECT_NE(caller->received.find("Content-Type: application/json\r\n"), std::string::npos);
  EXPECT_NE(caller->received.find("Connection: close\r\n"), std::string::npos);
  EXPECT_EQ(caller->received.substr(caller->received.find("\r\n\r\n") + 4), "{}\n");
}

TEST_F(ManagementTest, RejectsUnknownPathsWrongMethodsAndMalformedRequests) {
  Start();
  EXPECT_EQ(Call("GET /ops/nothing HTTP/1.1\r\n\r\n"), "404");
  EXPECT_EQ(Call("GET /api HTTP/1.1\r\nReq-Id: r1\r\n\r\n"), "404");
  EXPECT_EQ(Call("POST /ops/stats HTTP/1.1\r\nContent-Length: 0\r\n\r\n"), "405");
  EXPECT_EQ(Call("DELETE /ops/readiness HTTP/1.1\r\n\r\n"), "405");
  EXPECT_EQ(Call("no HTTP at all\r\n\r\n"), "400");
  EXPECT_EQ(Call("GET /ops/stats HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"), "400");
  EXPECT_EQ(Call("GET /ops/stats HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n"), "431");
}

TEST_F(ManagementTest, DecodesPercentEncodedServerIdsInThePath) {
  Start();
  const auto post = [&](const std::string& path) {
    return Call("POST " + path + " HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  };
  EXPECT_EQ(post("/ops/servers/down/s-1"), "200");
  EXPECT_EQ(post("/ops/servers/up/a%2Fb%20%0A%c3%A9"), "200");
  EXPECT_EQ(admin_changes,
            (std::vector<std::pair<std::string, bool>>{{"s-1", true}, {"a/b \n\xc3\xa9", false}}));
  EXPECT_EQ(post("/ops/servers/down/"), "400");
  EXPECT_EQ(post("/ops/servers/down/a%2"), "400");
  EXPECT_EQ(post("/ops/servers/down/a%zz"), "400");
  EXPECT_EQ(post("/ops/servers/aside/s-1"), "404");
  EXPECT_EQ(Call("GET /ops/servers/down/s-1 HTTP/1.1\r\n\r\n"), "405");
  EXPECT_EQ(admin_changes.size(), 2U);
}

TEST_F(ManagementTest, AnswersAHeadRequestWithoutABody) {
  Start();
  auto caller = Caller("HEAD /ops/stats HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(RunUntil(io, [&] { return caller->ended; }));
  EXPECT_EQ(caller->received.substr(9, 3), "405");
  EXPECT_EQ(caller->received.find("\r\n\r\n"), caller->received.size() - 4);
}

TEST_F(ManagementTest, IncompleteRequestsDoNotBlockOtherCallers) {
  limits.request_timeout = 60'000'000;
  Start();
  std::vector<std::shared_ptr<Peer>> idle;
  for (int i = 0; i < 30; ++i) idle.push_back(Caller(i % 2 == 0 ? "" : "GET /ops/st"));
  for (int i = 0; i < 5; ++i) EXPECT_EQ(Call("GET /ops/readiness HTTP/1.1\r\n\r\n"), "200");
}

TEST_F(ManagementTest, ClosesAConnectionWhoseRequestTimesOut) {
  limits.request_timeout = 100'000;
  Start();
  EXPECT_EQ(Call(""), "");
  EXPECT_EQ(Call("GET /ops/st"), "");
}

}  // namespace
}  // namespace merlinrun::net
