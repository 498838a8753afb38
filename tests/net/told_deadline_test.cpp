// Tests the deadline that a server is told with a request.
#include <thread>

#include "late_server.hpp"
#include "sidecar_fixture.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)
using Clock = std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;

// By how much the deadline that a server is told may exceed what is left to the client, in seconds.
constexpr double kDeadlineSlack = 0.15;
// Before the server lets connections come up. The kernel repeats the SYN 1 s after the first one, so the dial
// takes 1 s.
constexpr auto kServerDelay = 300ms;
constexpr auto kWait = 700ms;            // of a request, before the sidecar takes it up
constexpr double kClientDeadline = 4.0;  // seconds

// The deadline that the last request in `received` has, in seconds; none while its header is incomplete.
std::optional<double> ToldDeadline(const std::string& received) {
  const std::string name = std::string(kDeadlineHeader) + ": ";
  const std::size_t at = received.rfind(name);
  if (at == std::string::npos || received.find("\r\n", at) == std::string::npos) return std::nullopt;
  return std::stod(received.substr(at + name.size()));
}

class ToldDeadlineTest : public SidecarTest {
 protected:
  // Expects that a request that was sent at `sent_at` and arrives at a server now has what is left to its
  // client as its deadline.
  static void ExpectTimeLeft(Clock::time_point sent_at, std::optional<double> told) {
    const double elapsed = Seconds(Clock::now() - sent_at).count();
    ASSERT_TRUE(told);
    EXPECT_LE(*told, kClientDeadline - elapsed + kDeadlineSlack);
  }
  void ExpectTimeLeftAfterASlowDial(const std::string& request) {
    LateServer server(io);
    Start({Entry("s-1", server.address)},
          [](nlohmann::json& json) { json["settings"]["allowed"]["dial_timeout_us"] = 10'000'000; });
    const auto sent_at = Clock::now();
    const auto client = Connect(io, sidecar->address());
    client->WriteAsync(request);
    RunFor(io, kServerDelay);
    server.AcceptConnections();
    ASSERT_TRUE(RunUntil(io, [&] { return ToldDeadline(server.Received()).has_value(); }));
    ExpectTimeLeft(sent_at, ToldDeadline(server.Received()));
  }
  // Runs the event loop until the server has received `count` requests.
  bool Arrived(const ScriptedServer& server, int count) {
    return RunUntil(io, [&] { return server.requests() == count; });
  }
};

// Guards against a server that works on a request for longer than its client waits: the deadline was computed
// before the dial.
TEST_F(ToldDeadlineTest, DoesNotIncludeTheTimeOfTheDial) {
  ExpectTimeLeftAfterASlowDial(GetWithDeadline("4.0", "r1"));
}

// The same for a body that is complete, but too long to be buffered.
TEST_F(ToldDeadlineTest, DoesNotIncludeTheTimeOfTheDialBeforeALongBody) {
  const std::size_t size = kMaxBufferedBody + 1;
  ExpectTimeLeftAfterASlowDial(
      "POST /api HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: r1\r\nReq-Kind: port\r\n"
      "Req-Deadline: 4.0\r\nContent-Length: " +
      std::to_string(size) + "\r\n\r\n" + std::string(size, 'x'));
}

// Guards against a deadline that begins when the sidecar gets round to the request. While the event loop does
// not run, the request waits in the kernel, as it does behind a crowd of other clients.
TEST_F(ToldDeadlineTest, DoesNotIncludeTheTimeInTheAcceptQueue) {
  ScriptedServer server(io, Serves("ok"));
  Start({Entry("s-1", server.address)});
  const auto sent_at = Clock::now();
  const auto client = Client(GetWithDeadline("4.0", "r1"));
  std::this_thread::sleep_for(kWait);
  ASSERT_TRUE(Arrived(server, 1));
  ExpectTimeLeft(sent_at, ToldDeadline(server.peers[0]->received));
}

TEST_F(ToldDeadlineTest, DoesNotIncludeTheTimeInTheReceiveBuffer) {
  ScriptedServer server(io, Serves("ok"));
  Start({Entry("s-1", server.address)});
  const auto client = Client(GetWithDeadline("4.0", "r1"));
  ASSERT_EQ(Status(*client), "200");
  const auto sent_at = Clock::now();
  client->Write(GetWithDeadline("4.0", "r2"));
  std::this_thread::sleep_for(kWait);
  ASSERT_TRUE(Arrived(server, 2));
  ExpectTimeLeft(sent_at, ToldDeadline(server.peers.back()->received));
}

TEST_F(ToldDeadlineTest, DoesNotIncludeTheTimeBehindAnotherRequestOfTheConnection) {
  ScriptedServer server(io);
  // With a latency target that the first answer meets, it is no sign of overload.
  Start({Entry("s-1", server.address)},
        [](nlohmann::json& json) { json["settings"]["grades"][0]["aim_us"] = 4'000'000; });
  const auto sent_at = Clock::now();
  const auto client = Client(GetWithDeadline("4.0", "r1") + GetWithDeadline("4.0", "r2"));
  ASSERT_TRUE(Arrived(server, 1));
  RunFor(io, kWait);
  server.peers[0]->Write(Reply("200 OK", "ok"));
  ASSERT_TRUE(Arrived(server, 2));
  ExpectTimeLeft(sent_at, ToldDeadline(server.peers.back()->received));
}

TEST_F(ToldDeadlineTest, ARequestWhoseTimeIsOverBeforeItIsReadIsRefusedUnsent) {
  ScriptedServer server(io, Serves("ok"));
  Start({Entry("s-1", server.address)});
  const auto client = Client(GetWithDeadline("0.4", "r1"));
  std::this_thread::sleep_for(kWait);
  EXPECT_EQ(Status(*client), "503");
  EXPECT_EQ(server.requests(), 0);
}

}  // namespace
}  // namespace merlinrun::net
