// Service during discovery outages: the sidecar reaches a recovered discovery although idle clients use up
// its descriptors, and a fleet that restarts is ready before a slow discovery has answered.
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

// ---- Idle clients use up the descriptors while discovery is down ----

class IdleClientsTest : public ::testing::Test {
 protected:
  IdleClientsTest() : discovery(io, Tcp::v4()) {
    discovery.bind(Loopback());  // connections are refused until it listens
    Tcp::acceptor free_port(io, Loopback());
    listen = free_port.local_endpoint();
    char name[] = "/tmp/fennelhollow-outage-XXXXXX";
    const int file = ::mkstemp(name);
    ::close(file);
    path = name;
  }
  ~IdleClientsTest() override {
    if (pid > 0) {
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
    }
    ::unlink(path.c_str());
  }

  // Runs the program with a limit of `sockets` descriptors.
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
  // Returns the status of the answer, or an empty string if there is none.
  std::string Ask(const std::string& text) {
    const auto client = Client(text);
    if (client == nullptr) return "";
    RunUntil(io, [&] { return client->requests() > 0 || client->ended; });
    return client->requests() > 0 ? client->received.substr(9, 3) : "";
  }
  // Keeps `count` inactive clients connected: half have sent nothing, most others are idle between two
  // requests, and some have sent part of one. Clients whose connection was closed reconnect.
  void KeepIdleClients(std::size_t count) {
    idle_clients.resize(count);
    for (std::size_t i = 0; i < count; ++i)
      if (idle_clients[i] == nullptr || idle_clients[i]->ended)
        idle_clients[i] = Client(i % 16 == 1 ? "GET /re" : i % 2 == 0 ? "" : "GET /ready HTTP/1.1\r\n\r\n");
  }
  // Ends the outage: discovery answers each call with a watch that starts with `list`, and keeps the request.
  void StartDiscovery(const nlohmann::json& list) {
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
  std::vector<std::shared_ptr<Peer>> idle_clients;
  Tcp::endpoint listen;
  std::string path;
  pid_t pid = 0;
};

class OutageWithIdleClients : public IdleClientsTest, public ::testing::WithParamInterface<const char*> {};

TEST_P(OutageWithIdleClients, GetsTheListAndServesClientsOnceDiscoveryIsBack) {
  constexpr std::size_t kSockets = 64;  // the minimum that the settings allow
  ScriptedServer old_server(io, Serves("old"));
  ScriptedServer new_server(io, Serves("new"));
  ASSERT_NO_FATAL_FAILURE(Start(kSockets, {Entry("s-1", old_server.address)}, GetParam()));
  for (int i = 0; i < 20; ++i) {
    KeepIdleClients(2 * kSockets);
    RunFor(io, 20ms);
  }
  StartDiscovery(List(2, true, {Entry("s-2", new_server.address)}));
  ASSERT_TRUE(RunUntil(io, [&] {
    KeepIdleClients(2 * kSockets);
    return !watches.empty() && watches.back()->requests() == 1;
  }));
  int served = 0;
  for (int i = 0; i < 200 && new_server.requests() < 10; ++i) {
    KeepIdleClients(2 * kSockets);
    const std::string status = Ask("GET /api HTTP/1.1\r\nReq-Id: r" + std::to_string(i) +
                                   "\r\nReq-Kind: look\r\nReq-Deadline: 5.0\r\n\r\n");
    ASSERT_NE(status, "") << i;
    served += status == "200";
  }
  EXPECT_EQ(new_server.requests(), 10);
  EXPECT_GE(served, 10);
}

INSTANTIATE_TEST_SUITE_P(Modes, OutageWithIdleClients, ::testing::Values("automatic", "subscribe"));

// ---- Forty sidecars restart at once against a slow discovery ----

class FleetTest : public ::testing::Test {
 protected:
  static constexpr std::size_t kFleet = 40;
  static constexpr std::size_t kNinetyPercent = 36;

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
  // Returns how many sidecars answer GET /ready with 200.
  std::size_t CountReady() {
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
  static bool RequestsFullList(const Peer& peer) {
    return peer.received.rfind("GET /v1/endpoints HTTP/1.1\r\n", 0) == 0;
  }
  // Discovery answers the call that has waited longest; each fifth call fails.
  void AnswerOneCall() {
    Peer& peer = *waiting.front();
    waiting.pop_front();
    if (peer.ended) return void(++abandoned_calls);
    const bool full_list = RequestsFullList(peer);
    full_list_calls += full_list;
    if (++answered_calls % 5 == 0) {
      full_list_failures += full_list;
      return peer.Write(Reply("503 Service Unavailable", ""));
    }
    if (full_list) return peer.Write(Reply("200 OK", List(7, true, {Entry("s-1", server.address)}).dump()));
    peer.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  }

  asio::io_context io;
  std::deque<Peer*> waiting;  // calls that discovery has not answered yet
  std::size_t answered_calls = 0;
  std::size_t full_list_calls = 0;     // answered calls for the full list ...
  std::size_t full_list_failures = 0;  // ... and how many of them failed
  std::size_t abandoned_calls = 0;     // calls that their sidecars closed before discovery answered them
  ScriptedServer discovery;
  ScriptedServer server;
  std::vector<std::unique_ptr<Sidecar>> fleet;
};

class RestartedFleet : public FleetTest, public ::testing::WithParamInterface<const char*> {};

TEST_P(RestartedFleet, IsReadyWithItsKnownServersBeforeDiscoveryAnswers) {
  Start({Entry("s-1", server.address)}, GetParam());
  EXPECT_GE(CountReady(), kNinetyPercent);
  EXPECT_EQ(answered_calls, 0U);
}

// Each sidecar requests the full list once, and again only after a failed call: discovery serves no more
// than one list for each sidecar, plus the calls that it refused.
TEST_P(RestartedFleet, WithoutKnownServersIsReadyAfterOneListForEachSidecar) {
  Start({}, GetParam());
  EXPECT_EQ(CountReady(), 0U);
  const auto lists_received = [&] { return full_list_calls - full_list_failures; };
  while (lists_received() < kFleet && answered_calls < 4 * kFleet) {
    ASSERT_TRUE(RunUntil(io, [&] { return !waiting.empty(); }))
        << lists_received() << " of " << answered_calls;
    ASSERT_LE(waiting.size(), kFleet + abandoned_calls);
    AnswerOneCall();
  }
  EXPECT_EQ(lists_received(), kFleet);
  EXPECT_TRUE(RunUntil(io, [&] { return CountReady() == kFleet; }));
}

INSTANTIATE_TEST_SUITE_P(Modes, RestartedFleet, ::testing::Values("automatic", "subscribe"));

}  // namespace
}  // namespace merlinrun::net
