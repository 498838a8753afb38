// Terms of service that hold on the worst of days: discovery is heard through a crowd of idle clients, and a
// fleet is ready before a slow discovery has answered it. What a client that has left is owed: left_test.cpp.
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <deque>
#include <fstream>

#include "loopback.hpp"
#include "net/sidecar.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

// ---- Idle clients fill the descriptors while discovery is down ----

class CrowdTest : public ::testing::Test {
 protected:
  CrowdTest() : discovery(io, Tcp::v4()) {
    discovery.bind(Loopback());  // refuses until it listens
    Tcp::acceptor free_port(io, Loopback());
    listen = free_port.local_endpoint();
    char name[] = "/tmp/fennelhollow-crowd-XXXXXX";
    const int file = ::mkstemp(name);
    ::close(file);
    path = name;
  }
  ~CrowdTest() override {
    if (pid > 0) {
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
    }
    ::unlink(path.c_str());
  }

  // The program with so many descriptors and no more.
  void Start(std::size_t sockets, const std::vector<nlohmann::json>& known, const std::string& mode) {
    nlohmann::json json = ConfigJson(discovery.local_endpoint(), known);
    json["listen"] = Text(listen);
    json["limits"]["sockets"] = sockets;
    json["settings"]["membership_mode"] = mode;
    json["settings"]["rules"]["ask_within_us"] = 1'000'000;
    std::ofstream(path, std::ios::trunc) << json.dump();
    const std::string command =
        "ulimit -n " + std::to_string(sockets) + "; exec '" + std::string(FENNELHOLLOW_PROGRAM) + "'";
    const std::string variable = "EDGE_CONFIG=" + path;
    const std::vector<const char*> arguments = {"sh", "-c", command.c_str(), nullptr};
    const std::vector<const char*> environment = {variable.c_str(), nullptr};
    ASSERT_EQ(::posix_spawn(&pid, "/bin/sh", nullptr, nullptr, const_cast<char* const*>(arguments.data()),
                            const_cast<char* const*>(environment.data())),
              0);
    ASSERT_TRUE(RunUntil(io, [&] { return Ask("GET /ready HTTP/1.1\r\n\r\n") == "200"; }));
  }
  std::shared_ptr<Peer> Client(const std::string& text) {
    auto client = std::make_shared<Peer>(Tcp::socket(io));
    ErrorCode error;
    client->socket.connect(listen, error);
    if (error) return nullptr;
    client->Read();
    client->Write(text);
    return client;
  }
  // The status of the answer; empty if there is none.
  std::string Ask(const std::string& text) {
    const auto client = Client(text);
    if (client == nullptr) return "";
    RunUntil(io, [&] { return client->requests() > 0 || client->ended; });
    return client->requests() > 0 ? client->received.substr(9, 3) : "";
  }
  // So many clients at rest: half have said nothing, half rest between two requests, and a few stay in the
  // middle of one. One that is closed comes again at once.
  void Crowd(std::size_t count) {
    crowd.resize(count);
    for (std::size_t i = 0; i < count; ++i)
      if (crowd[i] == nullptr || crowd[i]->ended)
        crowd[i] = Client(i % 16 == 1 ? "GET /re" : i % 2 == 0 ? "" : "GET /ready HTTP/1.1\r\n\r\n");
  }
  // Discovery is back: it takes each call and writes down what was asked.
  void ComeBack(const nlohmann::json& list) {
    discovery.listen();
    Accept(list);
  }
  void Accept(const nlohmann::json& list) {
    discovery.async_accept([this, list](ErrorCode error, Tcp::socket socket) {
      if (error) return;
      watches.push_back(std::make_shared<Peer>(std::move(socket)));
      watches.back()->on_data = [list](Peer& peer) {
        const std::string text = list.dump() + "\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        peer.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + (size + text) + "\r\n");
      };
      watches.back()->Read();
      Accept(list);
    });
  }

  asio::io_context io;
  Tcp::acceptor discovery;
  std::vector<std::shared_ptr<Peer>> watches;
  std::vector<std::shared_ptr<Peer>> crowd;
  Tcp::endpoint listen;
  std::string path;
  pid_t pid = 0;
};

class CrowdedOut : public CrowdTest, public ::testing::WithParamInterface<const char*> {};

TEST_P(CrowdedOut, AtItsReturnTheListIsLearntAndClientsAreServed) {
  constexpr std::size_t kSockets = 64;  // the least that the settings may give
  ScriptedServer gone(io, Serves("old"));
  ScriptedServer fresh(io, Serves("new"));
  ASSERT_NO_FATAL_FAILURE(Start(kSockets, {Entry("s-1", gone.address)}, GetParam()));
  for (int i = 0; i < 20; ++i) {
    Crowd(2 * kSockets);
    RunFor(io, 20ms);
  }
  ComeBack(List(2, true, {Entry("s-2", fresh.address)}));
  ASSERT_TRUE(RunUntil(io, [&] {
    Crowd(2 * kSockets);
    return !watches.empty() && watches.back()->requests() == 1;
  }));
  int served = 0;
  for (int i = 0; i < 200 && fresh.requests() < 10; ++i) {
    Crowd(2 * kSockets);
    const std::string status = Ask("GET /api HTTP/1.1\r\nReq-Id: r" + std::to_string(i) +
                                   "\r\nReq-Kind: look\r\nReq-Deadline: 5.0\r\n\r\n");
    ASSERT_NE(status, "") << i;
    served += status == "200";
  }
  EXPECT_EQ(fresh.requests(), 10);
  EXPECT_GE(served, 10);
}

INSTANTIATE_TEST_SUITE_P(Modes, CrowdedOut, ::testing::Values("automatic", "subscribe"));

// ---- Forty sidecars restart at once against a slow discovery ----

class FleetTest : public ::testing::Test {
 protected:
  static constexpr std::size_t kFleet = 40;
  static constexpr std::size_t kNineInTen = 36;

  FleetTest() : discovery(io, [this](Peer& peer) { waiting.push_back(&peer); }), server(io, Serves("ok")) {}

  void Start(const std::vector<nlohmann::json>& known, const std::string& mode) {
    for (std::size_t i = 0; i < kFleet; ++i) {
      nlohmann::json json = ConfigJson(discovery.address, known);
      json["seed"] = std::to_string(100 + i);
      json["settings"]["membership_mode"] = mode;
      json["settings"]["rules"]["ask_within_us"] = 1'000'000;
      json["settings"]["siblings"] = kFleet;
      json["settings"]["rank"] = i;
      if (known.empty()) json["known"] = List(0, true, {});
      Config config = ParseConfig(json.dump());
      config.listen = Loopback();
      fleet.push_back(std::make_unique<Sidecar>(io, std::move(config)));
      fleet.back()->Start();
    }
  }
  // How many answer GET /ready with 200.
  std::size_t Ready() {
    std::vector<std::shared_ptr<Peer>> clients;
    for (const auto& sidecar : fleet) {
      clients.push_back(Connect(io, sidecar->address()));
      clients.back()->Write("GET /ready HTTP/1.1\r\n\r\n");
    }
    std::size_t ready = 0;
    for (const auto& client : clients) {
      EXPECT_TRUE(RunUntil(io, [&] { return client->requests() == 1; }));
      ready += client->received.rfind("HTTP/1.1 200", 0) == 0;
    }
    return ready;
  }
  static bool AsksForAll(const Peer& peer) {
    return peer.received.rfind("GET /v1/endpoints HTTP/1.1\r\n", 0) == 0;
  }
  // Discovery takes the call that has waited longest: each fifth fails.
  void Step() {
    Peer& peer = *waiting.front();
    waiting.pop_front();
    if (peer.ended) return void(++given_up);
    const bool whole = AsksForAll(peer);
    asked_for_all += whole;
    if (++taken % 5 == 0) {
      refused_all += whole;
      return peer.Write(Reply("503 Service Unavailable", ""));
    }
    if (whole) return peer.Write(Reply("200 OK", List(7, true, {Entry("s-1", server.address)}).dump()));
    peer.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  }

  asio::io_context io;
  std::deque<Peer*> waiting;  // calls that discovery has not come to
  std::size_t taken = 0;
  std::size_t asked_for_all = 0;  // calls for the whole list that were taken ...
  std::size_t refused_all = 0;    // ... and that failed
  std::size_t given_up = 0;       // by their sidecars before they were taken
  ScriptedServer discovery;
  ScriptedServer server;
  std::vector<std::unique_ptr<Sidecar>> fleet;
};

class RestartedFleet : public FleetTest, public ::testing::WithParamInterface<const char*> {};

TEST_P(RestartedFleet, IsReadyWithWhatItKnewBeforeDiscoveryAnswersAnybody) {
  Start({Entry("s-1", server.address)}, GetParam());
  EXPECT_GE(Ready(), kNineInTen);
  EXPECT_EQ(taken, 0U);
}

// Each asks for the whole list once, and again only where that failed: discovery has no more to serve than
// one list for each and what it refused.
TEST_P(RestartedFleet, ThatKnewNothingIsReadyAfterOneListForEach) {
  Start({}, GetParam());
  EXPECT_EQ(Ready(), 0U);
  const auto learnt = [&] { return asked_for_all - refused_all; };
  while (learnt() < kFleet && taken < 4 * kFleet) {
    ASSERT_TRUE(RunUntil(io, [&] { return !waiting.empty(); })) << learnt() << " of " << taken;
    ASSERT_LE(waiting.size(), kFleet + given_up);
    Step();
  }
  EXPECT_EQ(learnt(), kFleet);
  EXPECT_TRUE(RunUntil(io, [&] { return Ready() == kFleet; }));
}

INSTANTIATE_TEST_SUITE_P(Modes, RestartedFleet, ::testing::Values("automatic", "subscribe"));

}  // namespace
}  // namespace merlinrun::net
