// Tests the deadline that a server is told with a request.
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

}  // namespace
}  // namespace merlinrun::net
