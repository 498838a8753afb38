// Tests the deadline of answers whose length is unknown: a short one has to be complete in time, and a long
// one is timed by its first bytes.
#include "net/short_answer_deadline.hpp"
#include "sidecar_fixture.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)
using Clock = std::chrono::steady_clock;

constexpr auto kDeadline = 1000ms;  // of the requests
constexpr auto kAnswerTolerance = 500ms;
constexpr auto kInterval = 100ms;  // between two pieces of an answer that is not complete

class ShortAnswerTest : public SidecarTest, public ::testing::WithParamInterface<bool> {
 protected:
  ShortAnswerTest() : timer(io) {}

  static bool chunked() { return GetParam(); }
  static std::string Head() {
    return chunked() ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     : "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
  }
  static std::string Piece(std::size_t size) {
    char line[20];
    std::snprintf(line, sizeof line, "%zx\r\n", size);
    const std::string data(size, 'x');
    return chunked() ? line + data + "\r\n" : data;
  }
  // Sends `count` small pieces, one in each kInterval, and then the end of the answer.
  void Continue(Peer& peer, int count) {
    timer.expires_after(kInterval);
    timer.async_wait([this, &peer, count](ErrorCode error) {
      if (error || peer.ended) return;
      if (count > 0) {
        peer.Write(Piece(16));
        return Continue(peer, count - 1);
      }
      if (chunked()) return peer.Write("0\r\n\r\n");
      peer.Close();
    });
  }
  // A server that writes an answer of `size` bytes in pieces of this size, one in each kInterval.
  std::function<void(Peer&)> WritesSlowly(std::size_t size, std::size_t piece) {
    return [this, size, piece](Peer& peer) {
      peer.Write(Head());
      WritePieces(peer, size, piece);
    };
  }
  void WritePieces(Peer& peer, std::size_t left, std::size_t piece) {
    timer.expires_after(kInterval);
    timer.async_wait([this, &peer, left, piece](ErrorCode error) {
      if (error || peer.ended) return;
      peer.Write(Piece(std::min(piece, left)));
      if (left > piece) return WritePieces(peer, left - piece, piece);
      if (chunked()) return peer.Write("0\r\n\r\n");
      peer.Close();
    });
  }
  // A server whose answers begin with a piece of this size, followed by `count` small ones.
  std::function<void(Peer&)> Answers(std::size_t first, int count) {
    return [this, first, count](Peer& peer) {
      peer.Write(Head() + Piece(first));
      Continue(peer, count);
    };
  }

  asio::steady_timer timer;
};

// Guards against answers that never end and were passed on without end: their clients got no final answer.
TEST_P(ShortAnswerTest, OneThatNeverEndsIsCutOffAtTheDeadline) {
  ScriptedServer server(io, Answers(20 * 1024, 1'000'000));
  Start({Entry("s-1", server.address)});
  const auto client = Client(GetWithDeadline("1.0", "a"));
  const auto sent = Clock::now();
  ASSERT_EQ(Status(*client), "200");
  EXPECT_TRUE(RunUntil(io, [&] { return client->ended; }));
  EXPECT_LE(Clock::now() - sent, kDeadline + kAnswerTolerance);
  EXPECT_EQ(client->received.find("\r\n0\r\n\r\n"), std::string::npos);  // it does not look complete
  EXPECT_TRUE(RunUntil(io, [&] { return sidecar->counters().in_progress() == 0; }));
  EXPECT_EQ(sidecar->counters().classes()[0].failed, 1U);
  EXPECT_TRUE(RunUntil(io, [&] { return sidecar->upstream_connections() == 0; }));
}

TEST_P(ShortAnswerTest, ALongOneGoesOnForAsLongAsTheServerSendsIt) {
  constexpr std::size_t kFirst = 100 * 1024;
  constexpr int kPieces = 20;  // twice the deadline
  ScriptedServer server(io, Answers(kFirst, kPieces));
  Start({Entry("s-1", server.address)});
  const auto client = Client(GetWithDeadline("1.0", "a"));
  EXPECT_TRUE(RunUntil(io, [&] { return client->received.find("\r\n0\r\n\r\n") != std::string::npos; }));
  EXPECT_EQ(std::count(client->received.begin(), client->received.end(), 'x'),
            static_cast<std::ptrdiff_t>(kFirst + kPieces * 16));
  EXPECT_TRUE(RunUntil(io, [&] { return sidecar->counters().classes()[0].served == 1; }));
}

// Guards against long answers that were cut off at the client's deadline although their server was still
// writing them: they counted as short ones that never end, because less than 64 KiB had come by then.
TEST_P(ShortAnswerTest, ALongOneThatIsWrittenSlowlyIsNotCutOff) {
  constexpr std::size_t kSize = 100'000;
  ScriptedServer server(io, WritesSlowly(kSize, 3000));  // 30 kB a second
  Start({Entry("s-1", server.address)});
  const auto client = Client(GetWithDeadline("1.0", "a"));
  EXPECT_TRUE(RunUntil(
      io, [&] { return client->ended || client->received.find("\r\n0\r\n\r\n") != std::string::npos; }));
  EXPECT_EQ(std::count(client->received.begin(), client->received.end(), 'x'),
            static_cast<std::ptrdiff_t>(kSize));
  EXPECT_TRUE(RunUntil(io, [&] { return sidecar->counters().classes()[0].served == 1; }));
}

// One that is written slowly at first and then hardly at all is not waited for.
TEST_P(ShortAnswerTest, OneThatSlowsDownToATrickleIsCutOff) {
  ScriptedServer server(io, [this](Peer& peer) {
    peer.Write(Head());
    WritePieces(peer, 40'000, 3000);  // for 1.4 s
    peer.on_data = nullptr;
  });
  Start({Entry("s-1", server.address)});
  const auto client = Client(GetWithDeadline("1.0", "a"));
  ASSERT_EQ(Status(*client), "200");
  ASSERT_TRUE(RunUntil(io, [&] {
    return std::count(client->received.begin(), client->received.end(), 'x') >= 39'000 || client->ended;
  }));
  Continue(*server.peers[0], 1'000'000);
  const auto trickles_from = Clock::now();
  EXPECT_TRUE(RunUntil(io, [&] { return client->ended; }));
  EXPECT_LE(Clock::now() - trickles_from, 2 * ShortAnswerDeadline::kRateInterval + kAnswerTolerance);
}

INSTANTIATE_TEST_SUITE_P(UntilTheCloseOrChunked, ShortAnswerTest, ::testing::Bool());

// A source that delivers one byte for each read, at once.
class ImmediateSource : public BodySource {
 public:
  explicit ImmediateSource(asio::io_context& io) : io_(io) {}
  void ReadSome(asio::mutable_buffer, ReadHandler handler) override {
    asio::post(io_, [handler = std::move(handler)] { handler({}, 1, false); });
  }
  void Stop() override {}

 private:
  asio::io_context& io_;
};

TEST(ShortAnswerDeadlineTest, TheTimeThatTheClientTakesDoesNotCount) {
  asio::io_context io;
  const auto body = std::make_shared<ShortAnswerDeadline>(io, std::make_shared<ImmediateSource>(io),
                                                          /*received=*/0, /*time_left=*/200'000);
  std::array<char, 16> buffer{};
  for (int reads = 0; reads < 4; ++reads) {
    std::optional<ErrorCode> result;
    body->ReadSome(asio::buffer(buffer), [&](ErrorCode error, std::size_t, bool) { result = error; });
    ASSERT_TRUE(RunUntil(io, [&] { return result.has_value(); }));
    EXPECT_FALSE(*result) << reads;
    RunFor(io, 100ms);
  }
}

}  // namespace
}  // namespace merlinrun::net
