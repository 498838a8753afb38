// Tests long answers whose server pauses in the middle: it hangs for some seconds and then goes on, so what
// it still gives must not be cut off.
#include "sidecar_fixture.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)
using Clock = std::chrono::steady_clock;

constexpr auto kPause = 6000ms;
constexpr std::size_t kFirst = 100'000;  // bytes of the body before the pause
constexpr std::size_t kRest = 100'000;

enum class Framing { kLength, kChunked, kUntilClose };

class StalledAnswerTest : public SidecarTest {
 protected:
  static std::string Head(Framing framing) {
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    if (framing == Framing::kLength)
      return ok + "Content-Length: " + std::to_string(kFirst + kRest) + "\r\n\r\n";
    return ok + (framing == Framing::kChunked ? "Transfer-Encoding: chunked\r\n\r\n"
                                              : "Connection: close\r\n\r\n");
  }
  static std::string Data(Framing framing, std::size_t size) {
    const std::string data(size, 'x');
    if (framing != Framing::kChunked) return data;
    char line[20];
    std::snprintf(line, sizeof line, "%zx\r\n", size);
    return line + data + "\r\n";
  }
  // Lets a server write the rest of its answer.
  static void Finish(Peer& server, Framing framing) {
    server.Write(Data(framing, kRest) + (framing == Framing::kChunked ? "0\r\n\r\n" : ""));
    if (framing == Framing::kUntilClose) server.Close();
  }
  static std::size_t BodySize(const Peer& client) {
    return static_cast<std::size_t>(std::count(client.received.begin(), client.received.end(), 'x'));
  }
};

// Guards against answers that were cut off while their server hung for some seconds, although it then gave
// the rest: an answer that made no progress for 4 s was given up.
TEST_F(StalledAnswerTest, AnAnswerIsNotCutOffWhileItsServerPauses) {
  constexpr Framing kFramings[] = {Framing::kLength, Framing::kChunked, Framing::kUntilClose};
  std::size_t begun = 0;
  ScriptedServer server(io, [&](Peer& peer) {
    if (peer.requests() != 1 || begun == std::size(kFramings)) return;
    peer.Write(Head(kFramings[begun]) + Data(kFramings[begun], kFirst));
    ++begun;
  });
  Start({Entry("s-1", server.address)});
  std::vector<std::shared_ptr<Peer>> clients;
  for (std::size_t i = 0; i < std::size(kFramings); ++i) {
    clients.push_back(Client(GetWithDeadline("1.0", "a" + std::to_string(i))));
    ASSERT_TRUE(RunUntil(io, [&] { return begun == i + 1; }));
  }
  RunFor(io, kPause);
  ASSERT_EQ(server.peers.size(), std::size(kFramings));
  for (std::size_t i = 0; i < std::size(kFramings); ++i) Finish(*server.peers[i], kFramings[i]);
  for (const auto& client : clients)
    EXPECT_TRUE(RunUntil(io, [&] { return client->ended || BodySize(*client) == kFirst + kRest; }));
  for (const auto& client : clients) EXPECT_EQ(BodySize(*client), kFirst + kRest);
}

// Answers that stall keep their memory only as long as nobody else needs it.
TEST_F(StalledAnswerTest, AStalledAnswerMakesRoomWhenMemoryRunsShort) {
  constexpr int kStalled = 100;  // more than fit
  ScriptedServer server(io, [&](Peer& peer) {
    if (peer.received.find("Req-Kind: look") != std::string::npos)
      return peer.Write(Head(Framing::kLength) + Data(Framing::kLength, kFirst));
    if (peer.received.size() > 60'000) peer.Write(Reply("200 OK", "ok"));
  });
  Start({Entry("s-1", server.address)}, [](nlohmann::json& json) { json["limits"]["memory_mb"] = 16; });
  std::vector<std::shared_ptr<Peer>> clients;
  for (int i = 0; i < kStalled; ++i) clients.push_back(Client(Get("stalled" + std::to_string(i))));
  RunFor(io, std::chrono::milliseconds(Upstream::Limits{}.stall_timeout / 1000) + 200ms);
  const auto upload =
      Client("POST /api HTTP/1.1\r\nReq-Id: u\r\nReq-Kind: port\r\nContent-Length: 60000\r\n\r\n" +
             std::string(60'000, 'b'));
  EXPECT_EQ(Status(*upload), "200");
  EXPECT_TRUE(std::any_of(clients.begin(), clients.end(), [](const auto& client) { return !client->ended; }));
}

}  // namespace
}  // namespace merlinrun::net
