// Tests requests whose server sends the header of a long answer and then nothing. The client is owed a final
// answer in time, as nothing of the long one can be passed on.
#include "sidecar_fixture.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)
using Clock = std::chrono::steady_clock;

constexpr auto kDeadline = 1000ms;  // of the requests
constexpr auto kAnswerTolerance = 500ms;
constexpr std::size_t kLength = 300'000;

std::string LongHead() {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kLength) + "\r\n\r\n";
}

class LongAnswerStartTest : public SidecarTest {
 protected:
  static std::string Request(const std::string& kind) {
    return kind == "look" ? GetWithDeadline("1.0", "a") : Post(kind, "a", "1.0");
  }
};

class SilentAfterTheHeader : public LongAnswerStartTest, public ::testing::WithParamInterface<const char*> {};

// Guards against answers that were cut off without a byte, seconds after their time: a long answer counted as
// begun with its header, so the deadline of the request was given up, and the stall timeout reset the client.
TEST_P(SilentAfterTheHeader, TheRequestGetsAFinalAnswerInTime) {
  ScriptedServer server(io, [](Peer& peer) { peer.Write(LongHead()); });
  Start({Entry("s-1", server.address)});
  const auto client = Client(Request(GetParam()));
  const auto sent = Clock::now();
  const std::string status = Status(*client);
  EXPECT_LE(Clock::now() - sent, kDeadline + kAnswerTolerance);
  EXPECT_TRUE(status == "502" || status == "503") << status;
  EXPECT_TRUE(RunUntil(io, [&] { return sidecar->pending_requests() == 0; }));
}

INSTANTIATE_TEST_SUITE_P(Classes, SilentAfterTheHeader, ::testing::Values("look", "pay", "port"));

// A connection that breaks behind the header: nothing has been passed on, so the request can be sent again.
TEST_F(LongAnswerStartTest, ARequestWhoseConnectionBreaksBehindTheHeaderIsRetried) {
  int answered = 0;
  const auto script = [&](Peer& peer) {
    if (++answered > 1) return peer.Write(LongHead() + std::string(kLength, 'x'));
    peer.Write(LongHead());
    peer.Close();
  };
  ScriptedServer first(io, script);
  ScriptedServer second(io, script);
  Start({Entry("s-1", first.address), Entry("s-2", second.address)});
  const auto client = Client(Request("look"));
  EXPECT_EQ(Status(*client), "200");
  EXPECT_TRUE(RunUntil(io, [&] {
    return std::count(client->received.begin(), client->received.end(), 'x') ==
           static_cast<std::ptrdiff_t>(kLength);
  }));
}

// The first bytes of the body are passed on at once, not when a chunk is full.
TEST_F(LongAnswerStartTest, TheFirstBytesArePassedOnAtOnce) {
  ScriptedServer server(io, [](Peer& peer) { peer.Write(LongHead() + "x"); });
  Start({Entry("s-1", server.address)});
  const auto client = Client(Request("look"));
  const DeadlineCheck deadline_check(io, kDeadline,
                                     [&] { return client->received.find("\r\n\r\nx") != std::string::npos; });
  EXPECT_TRUE(deadline_check.Met());
}

}  // namespace
}  // namespace merlinrun::net
