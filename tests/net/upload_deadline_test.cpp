// Tests the deadline of requests whose bodies are streamed. A client's time begins with its last byte, which
// the sidecar may not have read yet: what the server does not take stays in the buffers of the kernel.
#include <boost/asio/write.hpp>
#include <tuple>

#include "sidecar_fixture.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// The latest final answer, after the deadline of the request.
constexpr auto kAnswerTolerance = milliseconds(500);
// Within this time a client that stops in the middle of a request is told so.
constexpr auto kStoppedClientTimeout = milliseconds(3000);
constexpr auto kPace = milliseconds(5);        // between two reads of a paced server
constexpr auto kQuietTime = milliseconds(50);  // no more of a request follows

// A server that reads a limited number of bytes at a time, and answers a request once it has read all of it.
class PacedServer {
 public:
  explicit PacedServer(asio::io_context& io) : acceptor_(io, Loopback()), pace_(io) {
    address = acceptor_.local_endpoint();
    acceptor_.async_accept([this](ErrorCode error, Tcp::socket socket) {
      if (error) return;
      socket_.emplace(std::move(socket));
      socket_->non_blocking(true);
      Read();
    });
  }

  // Reads this many bytes in each kPace. With 0 nothing is read.
  void SetRate(std::size_t bytes) { bytes_per_read_ = bytes; }
  // Answers once this many bytes have been read and no more follow.
  void AnswerAfter(std::size_t size) { answer_after_ = size; }
  std::size_t received() const { return received_; }

  Tcp::endpoint address;

 private:
  void Read() {
    std::string piece(bytes_per_read_, '\0');
    ErrorCode error;
    std::size_t n = 0;
    for (std::size_t got = 1; got > 0 && n < piece.size(); n += got)
      got = socket_->read_some(asio::buffer(&piece[n], piece.size() - n), error);
    received_ += n;
    if (n > 0) last_read_at_ = Clock::now();
    if (received_ >= answer_after_ && Clock::now() - last_read_at_ >= kQuietTime) {
      asio::write(*socket_, asio::buffer(Reply("200 OK", "done")), error);
      answer_after_ = SIZE_MAX;
    }
    pace_.expires_after(kPace);
    pace_.async_wait([this](ErrorCode stopped) {
      if (!stopped) Read();
    });
  }

  Tcp::acceptor acceptor_;
  asio::steady_timer pace_;
  std::optional<Tcp::socket> socket_;
  std::size_t bytes_per_read_ = 64 * 1024;
  std::size_t received_ = 0;
  Clock::time_point last_read_at_;
  std::size_t answer_after_ = SIZE_MAX;
};

class UploadDeadlineTest : public SidecarTest {
 protected:
  // How many bytes can be written to a connection whose peer reads nothing.
  std::size_t KernelCapacity() {
    Tcp::acceptor silent(io, Loopback());
    Tcp::socket socket(io);
    socket.connect(silent.local_endpoint());
    socket.non_blocking(true);
    const std::string piece(16 * 1024, 'x');
    std::size_t written = 0;
    ErrorCode error;
    for (auto last = Clock::now(); Clock::now() < last + milliseconds(200);) {
      const std::size_t n = socket.write_some(asio::buffer(piece), error);
      if (n > 0) written += n, last = Clock::now();
    }
    return written;
  }
  // A body that the kernel holds on its way over two connections, but not over one.
  std::size_t BodyForTwoConnections() { return KernelCapacity() * 3 / 2; }
  static std::string Head(const std::string& deadline, const std::string& framing) {
    return "POST /api HTTP/1.1\r\nReq-Id: u\r\nReq-Kind: port\r\nReq-Deadline: " + deadline + "\r\n" +
           framing + "\r\n\r\n";
  }
  static std::string WithLength(const std::string& deadline, std::size_t size) {
    return Head(deadline, "Content-Length: " + std::to_string(size)) + std::string(size, 'x');
  }
  static std::string Chunked(const std::string& deadline, std::size_t size) {
    char line[20];
    std::snprintf(line, sizeof line, "%zx\r\n", size);
    return Head(deadline, "Transfer-Encoding: chunked") + line + std::string(size, 'x') + "\r\n0\r\n\r\n";
  }
  // Sends a request that the kernel holds completely while the server does not read, and waits until its last
  // byte is written.
  std::shared_ptr<Peer> Upload(const std::string& text) {
    auto client = Connect(io, sidecar->address());
    client->WriteAsync(text);
    EXPECT_TRUE(RunUntil(io, [&] { return client->written; }));
    written_at = Clock::now();
    return client;
  }
  // Expects a final answer in time, with this status.
  void ExpectAnswer(Peer& client, const std::string& status, milliseconds deadline) {
    EXPECT_EQ(Status(client), status);
    EXPECT_LE(Clock::now() - written_at, deadline + kAnswerTolerance);
    EXPECT_TRUE(RunUntil(io, [&] { return sidecar->pending_requests() == 0; }));
  }

  Clock::time_point written_at;
};

// With a body that is chunked, or has a length.
class FramedUploadTest : public UploadDeadlineTest, public ::testing::WithParamInterface<bool> {
 protected:
  static std::string Framed(const std::string& deadline, std::size_t size) {
    return GetParam() ? Chunked(deadline, size) : WithLength(deadline, size);
  }
};

// Guards against answers that come only when a server has been silent for the stall timeout of 4 s: a body
// that was not written completely had no deadline.
TEST_P(FramedUploadTest, ARequestThatTheServerStopsReadingIsAnsweredInTime) {
  PacedServer server(io);
  Start({Entry("s-1", server.address)});
  server.SetRate(0);
  const auto client = Upload(Framed("1.0", BodyForTwoConnections()));
  ExpectAnswer(*client, "503", milliseconds(1000));
}

// Guards against a deadline that starts anew with the last byte to the server, long after that of the client.
TEST_F(UploadDeadlineTest, ATimeInWhichTheServerDoesNotReadCountsForTheClient) {
  PacedServer server(io);
  Start({Entry("s-1", server.address)});
  server.SetRate(0);
  const std::size_t size = BodyForTwoConnections();
  const auto client = Upload(WithLength("1.5", size));
  RunFor(io, 900ms);
  server.SetRate(size);  // all of it at once; it never answers
  ExpectAnswer(*client, "502", milliseconds(1500));
  EXPECT_GE(server.received(), size);
}

// A client that is slower than its deadline has not sent its last byte, so its time has not begun.
TEST_P(FramedUploadTest, AClientThatSendsForLongerThanItsDeadlineIsServed) {
  PacedServer server(io);
  Start({Entry("s-1", server.address)});
  constexpr std::size_t kSize = 400'000;
  constexpr std::size_t kPiece = 30'000;
  const std::string text = Framed("0.5", kSize);
  server.AnswerAfter(kSize);
  const auto client = Connect(io, sidecar->address());
  for (std::size_t at = 0; at < text.size(); at += kPiece) {
    client->Write(text.substr(at, kPiece));
    RunFor(io, 100ms);
  }
  EXPECT_EQ(Status(*client), "200");
}

INSTANTIATE_TEST_SUITE_P(WithLengthOrChunked, FramedUploadTest, ::testing::Bool());

// Whether the body is chunked, and how much of the request is sent.
class StoppedClientTest : public UploadDeadlineTest,
                          public ::testing::WithParamInterface<std::tuple<bool, std::size_t>> {};

// Guards against connections and memory that are held for as long as a body of that size may take: what had
// arrived counted for the client after it had stopped.
TEST_P(StoppedClientTest, IsAnsweredSoonHoweverMuchItHasSent) {
  const auto [chunked, sent] = GetParam();
  PacedServer server(io);
  Start({Entry("s-1", server.address)});
  server.SetRate(std::size_t{1} << 20);
  const std::size_t size = sent + 4096;
  const std::string text = chunked ? Chunked("1.0", size) : WithLength("1.0", size);
  const auto client = Upload(text.substr(0, sent));
  EXPECT_EQ(Status(*client), "408");
  EXPECT_LE(Clock::now() - written_at, kStoppedClientTimeout);
  EXPECT_TRUE(RunUntil(io, [&] { return sidecar->pending_requests() == 0; }));
}

INSTANTIATE_TEST_SUITE_P(WithLengthOrChunked, StoppedClientTest,
                         ::testing::Combine(::testing::Bool(),
                                            ::testing::Values(kMaxBufferedBody - 4096, std::size_t{1} << 20,
                                                              std::size_t{10} << 20)));

// Guards against uploads that were given up in a shutdown long before their clients' deadline: the time that
// the shutdown leaves was counted from the beginning of the request.
TEST_F(UploadDeadlineTest, AShutdownDoesNotShortenTheTimeOfARequestThatEndsBeforeIt) {
  PacedServer server(io);
  Start({Entry("s-1", server.address)});
  server.SetRate(0);
  const std::size_t size = BodyForTwoConnections();
  const auto client = Upload(WithLength("3.0", size));
  sidecar->Drain([] {});
  RunFor(io, 2000ms);
  EXPECT_EQ(client->received, "");
  server.SetRate(size);
  server.AnswerAfter(size);
  ExpectAnswer(*client, "200", milliseconds(3000));
}

// The kernel of the client cannot hold all that is missing, so the client has not sent its last byte either.
TEST_F(UploadDeadlineTest, ABodyOfKnownLengthThatTheServerReadsSlowlyIsServed) {
  PacedServer server(io);
  Start({Entry("s-1", server.address)}, [](nlohmann::json& json) {
    for (nlohmann::json& grade : json["settings"]["grades"]) {
      grade["hard_limit_us"] = 4'000'000;
      grade["aim_us"] = 3'000'000;
    }
  });
  constexpr std::size_t kSize = std::size_t{30} << 20;
  constexpr std::size_t kBytesPerSecond = std::size_t{5} << 20;
  server.SetRate(kBytesPerSecond * kPace.count() / 1000);
  server.AnswerAfter(kSize);
  const auto client = Connect(io, sidecar->address());
  client->WriteAsync(WithLength("4.0", kSize));
  ASSERT_TRUE(RunUntil(
      io, [&] { return client->requests() > 0; }, 20s));
  EXPECT_EQ(Status(*client), "200");
}

}  // namespace
}  // namespace merlinrun::net
