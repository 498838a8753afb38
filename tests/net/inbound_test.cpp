// Tests of misbehaving clients: the timeouts and limits for them, and that other clients are still served.
#include "net/inbound.hpp"

#include "loopback.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

class InboundTest : public ::testing::Test {
 protected:
  InboundTest() {
    limits.request_timeout = 200'000;
    limits.idle_timeout = 300'000;
    limits.min_idle = 0;
    limits.linger_timeout = 100'000;
    limits.sweep_interval = 20'000;
  }
  void Start() {
    Inbound::Events events;
    events.on_request = [this](const Inbound::SessionPtr& session, Message<true> request) {
      requests.push_back(std::move(request));
      if (answer_requests)
        Inbound::Respond(session, Inbound::MakeReply(PlainTextResponse(http::status::ok, body)));
    };
    events.on_client_disconnected = [this](const std::string& id) { disconnected.push_back(id); };
    events.on_invalid_input = [this](const char* reason) { rejected.emplace_back(reason); };
    events.ready = [] { return true; };
    inbound = std::make_unique<Inbound>(io, Loopback(), inherited, limits, budget, std::move(events));
  }
  std::shared_ptr<Peer> Client(const std::string& text = "") {
    auto client = Connect(io, inbound->address());
    if (!text.empty()) client->Write(text);
    return client;
  }
  static std::string Get(const std::string& id) { return "GET /api HTTP/1.1\r\nReq-Id: " + id + "\r\n\r\n"; }
  std::string Status(Peer& client) {
    RunUntil(io, [&] { return client.requests() > 0 || client.ended; });
    return client.requests() > 0 ? client.received.substr(9, 3) : "";
  }
  bool Ends(Peer& client) {
    return RunUntil(io, [&] { return client.ended; });
  }

  asio::io_context io;
  Inbound::Limits limits;
  std::optional<int> inherited;
  MemoryBudget budget{std::size_t{1} << 20};
  std::unique_ptr<Inbound> inbound;
  std::vector<Message<true>> requests;
  std::vector<std::string> disconnected;
  std::vector<std::string> rejected;  // reasons
  bool answer_requests = true;
  std::string body = "ok";
};

TEST_F(InboundTest, ClosesSilentConnectionsAndAnswersIncompleteRequestsWith408) {
  Start();
  auto silent = Client();
  auto half = Client("GET /api HTTP/1.1\r\nReq-Id: r1\r\n");
  auto body_missing = Client("POST /api HTTP/1.1\r\nReq-Id: r1\r\nContent-Length: 10\r\n\r\nhalf");
  EXPECT_TRUE(Ends(*silent));
  EXPECT_EQ(silent->received, "");
  EXPECT_EQ(Status(*half), "408");
  EXPECT_EQ(Status(*body_missing), "408");
  EXPECT_TRUE(Ends(*half) && Ends(*body_missing));
  EXPECT_TRUE(RunUntil(io, [&] { return inbound->sessions() == 0; }));
  EXPECT_TRUE(requests.empty());
}

// Guards against a log that shows nothing of what a crowd of invalid requests does to the process.
TEST_F(InboundTest, TellsWhyInputIsRejected) {
  Start();
  EXPECT_EQ(Status(*Client("nonsense\r\n\r\n")), "400");
  EXPECT_EQ(Status(*Client("GET /api HTTP/1.1\r\nReq-Id: r1\r\nX: " + std::string(9000, 'x'))), "431");
  EXPECT_EQ(Status(*Client("GET /api HTTP/1.1\r\n")), "408");
  EXPECT_EQ(rejected, (std::vector<std::string>{"malformed request\n", "header too large\n",
                                                "the request took too long\n"}));
}

TEST_F(InboundTest, SendingByteByByteDoesNotExtendTheTimeout) {
  Start();
  auto client = Client("GET /api HTTP/1.1\r\nX: ");
  const auto begin = std::chrono::steady_clock::now();
  while (!client->ended && client->received.empty() && std::chrono::steady_clock::now() - begin < 10s) {
    client->Write("x");
    RunFor(io, 10ms);
  }
  EXPECT_EQ(Status(*client), "408");
}

TEST_F(InboundTest, APersistentConnectionTimesOutOnlyWhileIdle) {
  answer_requests = false;
  Start();
  auto busy = Client(Get("r1"));
  ASSERT_TRUE(RunUntil(io, [&] { return requests.size() == 1; }));
  answer_requests = true;
  auto persistent = Client(Get("r2"));
  EXPECT_EQ(Status(*persistent), "200");
  EXPECT_TRUE(Ends(*persistent));
  EXPECT_FALSE(busy->ended) << "closed while its request was in progress";
}

TEST_F(InboundTest, ClosesTheConnectionOfAClientThatDoesNotReadItsAnswer) {
  limits.answer_timeout = 200'000;
  body = std::string(16U << 20, 'x');  // far more than the socket buffers hold
  Start();
  Tcp::socket client(io);
  client.connect(inbound->address());
  asio::write(client, asio::buffer(Get("r1")));
  ASSERT_TRUE(RunUntil(io, [&] { return !requests.empty(); }));
  EXPECT_TRUE(RunUntil(io, [&] { return inbound->sessions() == 0; }));
}

// A body of `size` bytes that is always available.
class AvailableBody : public BodySource {
 public:
  AvailableBody(asio::io_context& io, std::size_t size) : io_(io), left_(size) {}
  void ReadSome(asio::mutable_buffer into, ReadHandler handler) override {
    const std::size_t n = std::min(into.size(), left_);
    std::fill_n(static_cast<char*>(into.data()), n, 'x');
    left_ -= n;
    asio::post(io_, [handler = std::move(handler), n, last = left_ == 0] { handler({}, n, last); });
  }
  void Stop() override {}

 private:
  asio::io_context& io_;
  std::size_t left_;
};

// Guards against long answers that were cut off while their client read them, but slowly: the kernel takes
// more of an answer only when the client has read a large part of its buffer, and nothing else counted as
// progress.
TEST_F(InboundTest, ALongAnswerIsNotCutOffWhileItsClientReadsItSlowly) {
  limits.answer_timeout = 500'000;
  constexpr std::size_t kSize = 24U << 20;
  Inbound::Events events;
  events.on_request = [&](const Inbound::SessionPtr& session, Message<true>) {
    Inbound::Reply reply;
    reply.message.head.result(http::status::ok);
    reply.message.length = kSize;
    reply.message.remaining = std::make_shared<AvailableBody>(io, kSize);
    Inbound::Respond(session, std::move(reply));
  };
  inbound = std::make_unique<Inbound>(io, Loopback(), inherited, limits, budget, std::move(events));
  Tcp::socket client(io);
  client.connect(inbound->address());
  asio::write(client, asio::buffer(Get("r1")));
  // 1 MB a second: a third of what the kernel holds, some megabytes, takes several times the timeout.
  std::vector<char> piece(50'000);
  std::size_t received = 0;
  ErrorCode error;
  client.non_blocking(true);
  for (int i = 0; i < 100; ++i) {
    RunFor(io, 50ms);
    received += client.read_some(asio::buffer(piece), error);
    if (error == asio::error::would_block) error = {};
  }
  EXPECT_FALSE(error) << error.message();
  EXPECT_TRUE(RunUntil(io, [&] {
    for (std::size_t n = 1; n > 0 && !error; received += n) n = client.read_some(asio::buffer(piece), error);
    if (error == asio::error::would_block) error = {};
    return received >= kSize || error;
  }));
  EXPECT_GE(received, kSize);
}

// Silent connections once used up the connection limit, until no more connections were accepted.
TEST_F(InboundTest, ClosesSilentConnectionsToServeNewOnes) {
  limits.max_sessions = 4;
  limits.request_timeout = 60'000'000;
  Start();
  std::vector<std::shared_ptr<Peer>> silent;
  for (int i = 0; i < 20; ++i) silent.push_back(Client());
  for (int i = 0; i < 3; ++i) EXPECT_EQ(Status(*Client(Get("r" + std::to_string(i)))), "200");
  EXPECT_TRUE(Ends(*silent.front()));
}

// Guards against a client that is answered late because a crowd has connected before it: one connection was
// accepted in each turn of the event loop, in which all other clients are served.
TEST_F(InboundTest, ARequestBehindACrowdOfNewConnectionsIsReadWithinFewTurnsOfTheLoop) {
  constexpr int kCrowd = 128;
  limits.soft_max_sessions = 64;  // connections of the crowd are closed for new ones
  Start();
  std::vector<std::shared_ptr<Peer>> crowd;
  for (int i = 0; i < kCrowd; ++i) crowd.push_back(Client());
  const auto client = Client(Get("r1"));
  int turns = 0;
  std::function<void()> count_turn = [&] {
    ++turns;
    asio::post(io, count_turn);
  };
  asio::post(io, count_turn);
  ASSERT_TRUE(RunUntil(io, [&] { return !requests.empty(); }));
  EXPECT_LT(turns, kCrowd / 4);
}

TEST_F(InboundTest, RejectsNewConnectionsWith503WhileAllOthersAreBusy) {
  limits.max_sessions = 4;
  answer_requests = false;
  Start();
  std::vector<std::shared_ptr<Peer>> working;
  for (int i = 0; i < 4; ++i) working.push_back(Client(Get("r" + std::to_string(i))));
  ASSERT_TRUE(RunUntil(io, [&] { return requests.size() == 4; }));
  std::vector<std::shared_ptr<Peer>> more;
  for (int i = 0; i < 30; ++i) more.push_back(Client(Get("m" + std::to_string(i))));
  EXPECT_EQ(Status(*more.front()), "503");
  for (const auto& client : more) EXPECT_TRUE(Ends(*client));
  EXPECT_EQ(requests.size(), 4U);
  for (const auto& client : working) EXPECT_FALSE(client->ended);
}

// Guards against a process that rejects all clients for as long as they keep coming: connections that had
// been rejected were closed one for one with new ones, so their number stayed above the limit.
TEST_F(InboundTest, ServesNewClientsOnceThoseBeforeAreIdleHoweverManyWereRejected) {
  limits.max_sessions = 4;
  limits.request_timeout = limits.idle_timeout = limits.linger_timeout = 60'000'000;
  Start();
  const std::string request = Get("r1");
  const std::size_t half = request.size() / 2;
  std::vector<std::shared_ptr<Peer>> clients;
  for (int i = 0; i < 4; ++i) clients.push_back(Client(request.substr(0, half)));
  RunFor(io, 20ms);
  std::vector<std::shared_ptr<Peer>> rejected_clients;
  for (int i = 0; i < 3; ++i) {
    rejected_clients.push_back(Client(request));
    EXPECT_EQ(Status(*rejected_clients.back()), "503");
  }
  for (const auto& client : clients) {
    client->Write(request.substr(half));
    EXPECT_EQ(Status(*client), "200");
  }
  EXPECT_EQ(Status(*Client(request)), "200");
}

TEST_F(InboundTest, BytesBehindARejectedRequestAreNotParsed) {
  Start();
  const std::string hidden = Get("hidden");
  auto client = Client("POST /api HTTP/1.1\r\nReq-Id: r1\r\nTransfer-Encoding: chunked\r\nContent-Length: " +
                       std::to_string(hidden.size()) + "\r\n\r\n0\r\n\r\n" + hidden);
  EXPECT_EQ(Status(*client), "400");
  EXPECT_TRUE(Ends(*client));
  EXPECT_TRUE(requests.empty());
}

TEST_F(InboundTest, RejectsATooLargeBodyAtItsHeaderWithoutBufferingIt) {
  Start();
  auto client = Client("POST /api HTTP/1.1\r\nReq-Id: r1\r\nContent-Length: 60000000\r\n\r\n");
  EXPECT_EQ(Status(*client), "413");
  auto chunked = Client("POST /api HTTP/1.1\r\nReq-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n3938700\r\n");
  EXPECT_EQ(Status(*chunked), "413");
  EXPECT_TRUE(Ends(*client) && Ends(*chunked));
  EXPECT_EQ(budget.reserved(), 0U);
}

TEST_F(InboundTest, RefusesBodiesBeyondTheMemoryBudgetAndReleasesTheirMemory) {
  const std::string head = "POST /api HTTP/1.1\r\nReq-Id: r1\r\nContent-Length: 65536\r\n\r\n";
  limits.request_timeout = 60'000'000;
  Start();
  std::vector<std::shared_ptr<Peer>> clients;  // 16 bodies take the whole budget of 1 MiB
  for (int i = 0; i < 16; ++i) clients.push_back(Client(head));
  ASSERT_TRUE(RunUntil(io, [&] { return budget.reserved() == std::size_t{1} << 20; }));
  EXPECT_EQ(Status(*Client(head)), "503");
  clients[0]->Write(std::string(65536, 'x'));
  EXPECT_EQ(Status(*clients[0]), "200");
  for (const auto& client : clients) client->Close();
  EXPECT_TRUE(RunUntil(io, [&] { return budget.reserved() == 0; }));
}

// A listener that is shared with another process is closed in this process only: connections in its backlog
// are neither accepted nor reset, and the next process serves them.
TEST_F(InboundTest, ClosingAnInheritedListenerLeavesItsBacklogToOtherProcesses) {
  Tcp::acceptor shared_listener(io, Loopback());
  const Tcp::endpoint address = shared_listener.local_endpoint();
  inherited = ::dup(shared_listener.native_handle());
  Start();
  EXPECT_EQ(inbound->address(), address);
  EXPECT_EQ(Status(*Client(Get("r1"))), "200");
  const auto waiting = Client(Get("r2"));  // in the backlog, because the loop has not run since
  inbound->StopAccepting();
  const auto late = Connect(io, address);
  late->Write(Get("r3"));
  RunFor(io, 50ms);
  EXPECT_FALSE(waiting->ended || late->ended);
  EXPECT_EQ(requests.size(), 1U);
  const auto before = std::move(inbound);
  inherited = ::dup(shared_listener.native_handle());
  Start();  // the next process
  EXPECT_EQ(Status(*waiting), "200");
  EXPECT_EQ(Status(*late), "200");
}

TEST_F(InboundTest, ALowerSoftLimitClosesIdleConnectionsOnly) {
  Start();
  std::vector<std::shared_ptr<Peer>> idle;
  for (int i = 0; i < 4; ++i) {
    idle.push_back(Client(Get("r" + std::to_string(i))));
    EXPECT_EQ(Status(*idle.back()), "200");
  }
  answer_requests = false;
  const auto busy = Client(Get("b1"));
  ASSERT_TRUE(RunUntil(io, [&] { return requests.size() == 5; }));
  inbound->SetSoftLimit(2);
  EXPECT_EQ(inbound->sessions(), 2U);
  EXPECT_TRUE(Ends(*idle[0]) && Ends(*idle[1]) && Ends(*idle[2]));
  EXPECT_FALSE(busy->ended || idle[3]->ended);
}

TEST_F(InboundTest, ReportsTheRequestOfADisconnectedClient) {
  answer_requests = false;
  Start();
  auto client = Client(Get("r1"));
  ASSERT_TRUE(RunUntil(io, [&] { return requests.size() == 1; }));
  client->Reset();
  ASSERT_TRUE(RunUntil(io, [&] { return !disconnected.empty(); }));
  EXPECT_EQ(disconnected[0], "r1");
}

}  // namespace
}  // namespace merlinrun::net
