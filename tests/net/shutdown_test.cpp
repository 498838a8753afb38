// Tests that a graceful shutdown completes each answer that has begun, however long it takes, and answers
// each request that was taken, but is not held up by peers that have stopped. The sidecar is destroyed as
// soon as the shutdown is over, as the end of the process would do, so each test judges by what the client
// has received.
#include <boost/beast/http.hpp>

#include "sidecar_fixture.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

// The longest deadline of a class in these tests. The requests that have no answer yet are failed soon after
// it.
constexpr auto kLongestDeadline = 1s;
// Well after that time, so that an answer that is still being sent has outlasted all deadlines, but before
// the time for the header of a request is over.
constexpr auto kLongAnswerTime = 2000ms;
// Over the sum of the buffers that the kernel has for a connection, so that its receiver can hold up its
// sender.
constexpr std::size_t kMoreThanKernelBuffers = std::size_t{24} << 20;
// Over the buffer of a receiver that has not read yet, and within the buffer of its sender.
constexpr std::size_t kWithinSendBuffer = std::size_t{1} << 20;

class ShutdownTest : public SidecarTest {
 protected:
  void StartWithServer(const ScriptedServer& server, bool shared_listener = false) {
    nlohmann::json json = ConfigJson(discovery.address, {Entry("s-1", server.address)});
    for (nlohmann::json& request_class : json["settings"]["grades"]) {
      request_class["aim_us"] = std::chrono::microseconds(kLongestDeadline).count() / 2;
      request_class["hard_limit_us"] = std::chrono::microseconds(kLongestDeadline).count();
    }
    Config config = ParseConfig(json.dump());
    config.listen = Loopback();
    if (shared_listener) config.accept_fd = ::dup(next_process_listener.native_handle());
    sidecar = std::make_unique<Sidecar>(io, std::move(config));
    sidecar->Start();
    ASSERT_TRUE(RunUntil(io, [&] { return watch_peer != nullptr; }));
  }
  void ShutDown() {
    sidecar->Drain([this] {
      ended = true;
      asio::post(io, [this] { sidecar.reset(); });
    });
  }
  // Connects a client that reads nothing before Peer::Read is called.
  std::shared_ptr<Peer> ConnectWithoutReading(const std::string& text) {
    auto client = std::make_shared<Peer>(Tcp::socket(io));
    client->socket.connect(sidecar->address());
    client->Write(text);
    return client;
  }
  struct Answer {
    unsigned status = 0;
    std::string body;
  };
  // The answers in the text of a connection that has ended, without the last one if it is incomplete.
  static std::vector<Answer> CompleteAnswers(std::string_view text) {
    std::vector<Answer> answers;
    while (!text.empty()) {
      http::response_parser<http::string_body> parser;
      parser.eager(true);
      parser.body_limit(boost::none);
      ErrorCode error;
      std::size_t used = 0;
      while (!parser.is_done() && !error && used < text.size())
        used += parser.put(asio::buffer(text.substr(used)), error);
      if (parser.is_header_done() && parser.need_eof()) parser.put_eof(error);
      if (!parser.is_done()) break;
      answers.push_back({parser.get().result_int(), parser.get().body()});
      text.remove_prefix(used);
    }
    return answers;
  }
  static std::string Body(std::size_t size) {
    std::string body(size, ' ');
    for (std::size_t i = 0; i < size; ++i) body[i] = static_cast<char>('a' + i / 1000 % 26);
    return body;
  }

  Tcp::acceptor next_process_listener{io, Loopback()};
  bool ended = false;
};

// How the server and the sidecar delimit the body of an answer. With kUntilClose the client cannot tell the
// end of the process from the end of the answer.
enum class Framing { kLength, kChunked, kUntilClose };

struct LongAnswer {
  Framing framing;
  bool shared_listener;
};

class LongAnswerTest : public ShutdownTest, public ::testing::WithParamInterface<LongAnswer> {
 protected:
  static std::string Header(std::size_t size) {
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    switch (GetParam().framing) {
      case Framing::kLength:
        return ok + "Content-Length: " + std::to_string(size) + "\r\n\r\n";
      case Framing::kChunked:
        return ok + "Transfer-Encoding: chunked\r\n\r\n";
      case Framing::kUntilClose:
        return ok + "Connection: close\r\n\r\n";
    }
    return ok;
  }
  // Only clients of HTTP/1.0 get an answer that ends with its connection.
  static std::string Request() {
    std::string text = Get("a");
    if (GetParam().framing == Framing::kUntilClose) text.replace(text.find("HTTP/1.1"), 8, "HTTP/1.0");
    return text;
  }
  static std::string Piece(const std::string& data) {
    if (GetParam().framing != Framing::kChunked) return data;
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", data.size());
    return size + data + "\r\n";
  }
  static std::string LastPiece(const std::string& data) {
    return Piece(data) + (GetParam().framing == Framing::kChunked ? "0\r\n\r\n" : "");
  }
};

// Guards against a process that ends by itself in the middle of an answer that its server is still sending.
TEST_P(LongAnswerTest, IsCompletedBeforeTheProcessEnds) {
  const std::string body = Body(200'000);
  ScriptedServer server(
      io, [&](Peer& peer) { peer.Write(Header(body.size()) + Piece(body.substr(0, body.size() / 2))); });
  StartWithServer(server, GetParam().shared_listener);
  const auto client = Client(Request());
  ASSERT_TRUE(RunUntil(io, [&] { return client->received.size() > body.size() / 4; }));
  ShutDown();
  RunFor(io, kLongAnswerTime);
  EXPECT_FALSE(ended);
  server.peers.front()->WriteAsync(LastPiece(body.substr(body.size() / 2)),
                                   /*close=*/GetParam().framing == Framing::kUntilClose);
  ASSERT_TRUE(RunUntil(io, [&] { return client->ended; }));
  const std::vector<Answer> answers = CompleteAnswers(client->received);
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].status, 200U);
  EXPECT_TRUE(answers[0].body == body);
  EXPECT_TRUE(RunUntil(io, [&] { return ended; }));
}

// Guards against a process that ends by itself in the middle of an answer that its client is still reading.
TEST_P(LongAnswerTest, IsCompletedForAClientThatReadsLate) {
  const std::string body = Body(kMoreThanKernelBuffers);
  ScriptedServer server(io, [&](Peer& peer) {
    peer.WriteAsync(Header(body.size()) + LastPiece(body),
                    /*close=*/GetParam().framing == Framing::kUntilClose);
  });
  StartWithServer(server, GetParam().shared_listener);
  const auto client = ConnectWithoutReading(Request());
  ErrorCode error;
  ASSERT_TRUE(RunUntil(io, [&] { return client->socket.available(error) > 0; }));
  ShutDown();
  RunFor(io, kLongAnswerTime);
  EXPECT_FALSE(ended);
  client->Read();
  ASSERT_TRUE(RunUntil(io, [&] { return client->ended; }));
  const std::vector<Answer> answers = CompleteAnswers(client->received);
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].status, 200U);
  EXPECT_TRUE(answers[0].body == body);
  EXPECT_TRUE(RunUntil(io, [&] { return ended; }));
}

INSTANTIATE_TEST_SUITE_P(
    Framings, LongAnswerTest,
    ::testing::Values(LongAnswer{Framing::kLength, false}, LongAnswer{Framing::kChunked, false},
                      LongAnswer{Framing::kUntilClose, false}, LongAnswer{Framing::kLength, true},
                      LongAnswer{Framing::kChunked, true}, LongAnswer{Framing::kUntilClose, true}),
    [](const ::testing::TestParamInfo<LongAnswer>& test) {
      const char* framing = test.param.framing == Framing::kLength    ? "Length"
                            : test.param.framing == Framing::kChunked ? "Chunked"
                                                                      : "UntilClose";
      return std::string(framing) + (test.param.shared_listener ? "SharedListener" : "OwnListener");
    });

// What a client sends on its connection while it is still reading a long answer: a request without a body, or
// half of a long one, which it never continues.
enum class NextRequest { kShort, kHalfOfALongOne };

class RequestBehindALongAnswerTest : public ShutdownTest, public ::testing::WithParamInterface<NextRequest> {
 protected:
  static std::string Request() {
    if (GetParam() == NextRequest::kShort) return Get("b");
    return "POST /api HTTP/1.1\r\nReq-Id: b\r\nReq-Kind: pay\r\nIdempotency-Key: k\r\nContent-Length: "
           "400000\r\n\r\n" +
           std::string(200'000, 'x');
  }
};

// Guards against a request that is taken after the last deadline of the shutdown and gets no final answer.
TEST_P(RequestBehindALongAnswerTest, GetsAFinalAnswer) {
  const std::string body = Body(200'000);
  ScriptedServer server(io, [&](Peer& peer) {
    if (peer.requests() == 1 && &peer == server.peers.front().get())
      peer.Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                 body.substr(0, body.size() / 2));
  });
  StartWithServer(server);
  const auto client = Client(Get("a"));
  ASSERT_TRUE(RunUntil(io, [&] { return client->received.size() > body.size() / 4; }));
  ShutDown();
  RunFor(io, kLongAnswerTime);
  client->WriteAsync(Request());
  server.peers.front()->Write(body.substr(body.size() / 2));
  ASSERT_TRUE(RunUntil(io, [&] { return client->ended; }));
  const std::vector<Answer> answers = CompleteAnswers(client->received);
  ASSERT_EQ(answers.size(), 2U);
  EXPECT_TRUE(answers[0].body == body);
  EXPECT_GE(answers[1].status, 500U);
  EXPECT_TRUE(RunUntil(io, [&] { return ended; }));
}

INSTANTIATE_TEST_SUITE_P(Requests, RequestBehindALongAnswerTest,
                         ::testing::Values(NextRequest::kShort, NextRequest::kHalfOfALongOne),
                         [](const ::testing::TestParamInfo<NextRequest>& test) {
                           return test.param == NextRequest::kShort ? "Short" : "HalfOfALongOne";
                         });

// Guards against a process that ends by itself while a client is still sending the header of its request.
TEST_F(ShutdownTest, ARequestThatArrivesInPartsGetsAFinalAnswer) {
  ScriptedServer server(io, Serves("ok"));
  StartWithServer(server);
  const std::string request = Get("a");
  const auto client = Client(request.substr(0, 30));
  ASSERT_EQ(Ask(Get("other")), "200");  // the first part has been received
  ShutDown();
  RunFor(io, kLongAnswerTime);
  client->Write(request.substr(30));
  ASSERT_TRUE(RunUntil(io, [&] { return client->ended; }));
  ASSERT_EQ(CompleteAnswers(client->received).size(), 1U);
  EXPECT_TRUE(RunUntil(io, [&] { return ended; }));
}

// When a server answers: before the shutdown, in which case the client may keep its connection, or during it.
enum class AnswerTime { kBeforeShutdown, kDuringShutdown };

class LateReaderTest : public ShutdownTest, public ::testing::WithParamInterface<AnswerTime> {};

// Guards against an answer whose end is lost with its connection: it has been written completely, but the
// kernel still has most of it, and input that arrives on a closed connection resets it.
TEST_P(LateReaderTest, GetsItsWholeAnswerAlthoughItSendsAnotherRequest) {
  const std::string body = Body(kWithinSendBuffer);
  ScriptedServer server(io);
  StartWithServer(server);
  const auto client = ConnectWithoutReading(Get("a"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  if (GetParam() == AnswerTime::kDuringShutdown) ShutDown();
  server.peers.front()->WriteAsync(Reply("200 OK", body));
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->counters().classes()[0].served == 1; }));
  if (GetParam() == AnswerTime::kBeforeShutdown) ShutDown();
  RunFor(io, kLongAnswerTime);
  client->Write(Get("b"));
  client->Read();
  ASSERT_TRUE(RunUntil(io, [&] { return client->ended; }));
  const std::vector<Answer> answers = CompleteAnswers(client->received);
  ASSERT_GE(answers.size(), 1U);
  EXPECT_TRUE(answers[0].body == body);
  EXPECT_TRUE(RunUntil(io, [&] { return ended; }));
}

INSTANTIATE_TEST_SUITE_P(AnswerTimes, LateReaderTest,
                         ::testing::Values(AnswerTime::kBeforeShutdown, AnswerTime::kDuringShutdown),
                         [](const ::testing::TestParamInfo<AnswerTime>& test) {
                           return test.param == AnswerTime::kBeforeShutdown ? "BeforeShutdown"
                                                                            : "DuringShutdown";
                         });

// Guards against a process that never ends because a client does not read what the kernel has of its answer.
TEST_F(ShutdownTest, EndsAlthoughAClientNeverReadsAnAnswerInTheSendBuffer) {
  const std::string body = Body(kWithinSendBuffer);
  ScriptedServer server(io, [&](Peer& peer) { peer.WriteAsync(Reply("200 OK", body)); });
  StartWithServer(server);
  const auto client = ConnectWithoutReading(Get("a"));
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->counters().classes()[0].served == 1; }));
  ShutDown();
  const Inbound::Limits limits;
  const auto allowed = std::chrono::microseconds(limits.answer_timeout + limits.sweep_interval) + 1s;
  const DeadlineCheck deadline_check(io, std::chrono::duration_cast<std::chrono::milliseconds>(allowed),
                                     [&] { return ended; });
  EXPECT_TRUE(deadline_check.Met());
}

// Guards against a process that never ends because a client does not read its answer.
TEST_F(ShutdownTest, EndsAlthoughAClientNeverReadsItsAnswer) {
  const std::string body = Body(kMoreThanKernelBuffers);
  ScriptedServer server(io, [&](Peer& peer) { peer.WriteAsync(Reply("200 OK", body)); });
  StartWithServer(server);
  const auto client = ConnectWithoutReading(Get("a"));
  ErrorCode error;
  ASSERT_TRUE(RunUntil(io, [&] { return client->socket.available(error) > 0; }));
  ShutDown();
  const Inbound::Limits limits;
  const auto allowed = std::chrono::microseconds(limits.answer_timeout + limits.sweep_interval) + 1s;
  const DeadlineCheck deadline_check(io, std::chrono::duration_cast<std::chrono::milliseconds>(allowed),
                                     [&] { return ended; });
  EXPECT_TRUE(deadline_check.Met());
}

// Guards against a process that never ends because a server does not complete its answer. The client can tell
// that its answer is incomplete.
TEST_F(ShutdownTest, EndsAlthoughAServerNeverCompletesItsAnswer) {
  ScriptedServer server(io, [](Peer& peer) {
    peer.Write("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + std::string(100'000, 'x'));
  });
  StartWithServer(server);
  const auto client = Client(Get("a"));
  ASSERT_TRUE(RunUntil(io, [&] { return client->received.size() > 50'000; }));
  ShutDown();
  const auto allowed = std::chrono::microseconds(Upstream::Limits{}.stall_timeout) * 5 / 4 + 1s;
  const DeadlineCheck deadline_check(io, std::chrono::duration_cast<std::chrono::milliseconds>(allowed),
                                     [&] { return ended; });
  EXPECT_TRUE(deadline_check.Met());
  EXPECT_TRUE(RunUntil(io, [&] { return client->ended; }));
  EXPECT_TRUE(CompleteAnswers(client->received).empty());
}

}  // namespace
}  // namespace merlinrun::net
