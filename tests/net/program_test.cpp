// The program itself: behaviour that shows only in a separate process, such as signals and inherited sockets.
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "loopback.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

class ProgramTest : public ::testing::Test {
 protected:
  ProgramTest() : discovery_(io, ServesList(List(7, true, {}))) {
    Tcp::acceptor free_port(io, Loopback());
    listen = free_port.local_endpoint();
    char name[] = "/tmp/fennelhollow-test-XXXXXX";
    const int file = ::mkstemp(name);
    ::close(file);
    path = name;
  }
  ~ProgramTest() override {
    for (const pid_t running : {pid, older}) {
      if (running <= 0) continue;
      ::kill(running, SIGKILL);
      ::waitpid(running, nullptr, 0);
    }
    ::unlink(path.c_str());
    if (!folder.empty()) std::filesystem::remove_all(folder);
  }

  static std::function<void(Peer&)> ServesList(const nlohmann::json& list) {
    return [list](Peer& peer) {
      if (peer.received.find("stream=1") == std::string::npos)
        peer.Write(Reply("200 OK", list.dump()));
      else
        peer.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    };
  }
  void Configure(const std::string& text) { std::ofstream(path, std::ios::trunc) << text; }
  std::string Text(const Tcp::endpoint& discovery, const std::vector<nlohmann::json>& instances) const {
    nlohmann::json json = ConfigJson(discovery, instances);
    json["listen"] = testing::Text(listen);
    return json.dump();
  }
  void Start() {
    ASSERT_NO_FATAL_FAILURE(Spawn({}, -1));
    ASSERT_TRUE(RunUntil(io, [&] { return !Ask("GET /ready HTTP/1.1\r\n\r\n").empty(); }));
  }
  // Starts the program with these variables and those of the configuration. A `listener` other than -1
  // becomes its descriptor 7.
  void Spawn(std::vector<std::string> variables, int listener) {
    variables.push_back("EDGE_CONFIG=" + path);
    variables.push_back("EDGE_DISCOVERY=" + testing::Text(discovery_.address));
    std::vector<const char*> environment;
    for (const std::string& variable : variables) environment.push_back(variable.c_str());
    environment.push_back(nullptr);
    const std::vector<const char*> arguments = {FENNELHOLLOW_PROGRAM, nullptr};
    posix_spawn_file_actions_t files;
    ::posix_spawn_file_actions_init(&files);
    if (listener >= 0) ::posix_spawn_file_actions_adddup2(&files, listener, 7);
    const int failed =
        ::posix_spawn(&pid, FENNELHOLLOW_PROGRAM, &files, nullptr, const_cast<char* const*>(arguments.data()),
                      const_cast<char* const*>(environment.data()));
    ::posix_spawn_file_actions_destroy(&files);
    ASSERT_EQ(failed, 0);
  }
  std::string MakeFolder() {
    char name[] = "/tmp/fennelhollow-shared-XXXXXX";
    return folder = ::mkdtemp(name);
  }
  // The status of the answer; empty if there is none.
  std::string Ask(const std::string& text) {
    auto client = std::make_shared<Peer>(Tcp::socket(io));
    ErrorCode error;
    client->socket.connect(listen, error);
    if (error) return "";
    client->Read();
    client->Write(text);
    RunUntil(io, [&] { return client->requests() > 0 || client->ended; });
    return client->requests() > 0 ? client->received.substr(9, 3) : "";
  }
  bool IsRunning() { return ::waitpid(pid, nullptr, WNOHANG) == 0; }

  asio::io_context io;
  ScriptedServer discovery_;
  Tcp::endpoint listen;
  std::string path;
  std::string folder;
  pid_t pid = 0;
  pid_t older = 0;  // the process that `pid` takes over from
};

// A new process takes over the listening socket under load: every request succeeds, and the old process ends
// by itself after SIGTERM.
TEST_F(ProgramTest, NoRequestFailsWhileANewProcessTakesOverTheListener) {
  ScriptedServer server(io, Serves("ok"));
  Tcp::acceptor listener(io, listen);
  Configure(Text(discovery_.address, {Entry("s1", server.address)}));
  const std::vector<std::string> variables = {"EDGE_ACCEPT_FD=7", "TMPDIR=" + MakeFolder()};
  int asked = 0;
  const auto ask = [&] {
    return Ask("GET /api HTTP/1.1\r\nReq-Id: r" + std::to_string(asked++) + "\r\nReq-Kind: look\r\n\r\n");
  };
  ASSERT_NO_FATAL_FAILURE(Spawn(variables, listener.native_handle()));
  for (int i = 0; i < 20; ++i) ASSERT_EQ(ask(), "200") << asked;
  older = std::exchange(pid, 0);
  ASSERT_NO_FATAL_FAILURE(Spawn(variables, listener.native_handle()));
  for (int i = 0; i < 50; ++i) ASSERT_EQ(ask(), "200") << asked;
  ::kill(older, SIGTERM);
  int status = -1;
  ASSERT_TRUE(RunUntil(io, [&] {
    EXPECT_EQ(ask(), "200") << asked;
    return ::waitpid(older, &status, WNOHANG) == older;
  }));
  older = 0;
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  for (int i = 0; i < 20; ++i) ASSERT_EQ(ask(), "200") << asked;
  EXPECT_TRUE(IsRunning());
}

// SIGHUP must not end the program, as it once did. It makes the program follow the discovery address of the
// file, although EDGE_DISCOVERY still has the old one; an invalid file changes nothing.
TEST_F(ProgramTest, SighupSwitchesToTheDiscoveryAddressOfTheNewFile) {
  ScriptedServer server(io, Serves("ok"));
  ScriptedServer other(io, ServesList(List(2, true, {Entry("s1", server.address)})));
  Configure(Text(other.address, {}));  // at the start EDGE_DISCOVERY overrides the file
  Start();
  ASSERT_TRUE(RunUntil(io, [&] { return discovery_.requests() >= 2; }));
  EXPECT_TRUE(other.peers.empty());
  Configure("{nonsense");
  ::kill(pid, SIGHUP);
  ::kill(pid, SIGHUP);
  RunFor(io, 50ms);
  EXPECT_TRUE(IsRunning());
  EXPECT_FALSE(discovery_.peers.back()->ended);
  Configure(Text(other.address, {}));
  ::kill(pid, SIGHUP);
  ASSERT_TRUE(RunUntil(io, [&] { return Ask("GET /ready HTTP/1.1\r\n\r\n") == "200"; }));
  EXPECT_EQ(Ask("GET /api HTTP/1.1\r\nReq-Id: r1\r\nReq-Kind: look\r\n\r\n"), "200");
  EXPECT_TRUE(RunUntil(io, [&] { return discovery_.peers.back()->ended; }));
}

// SIGTERM arrives with an attempt in flight, half of another request read, and a connection accepted that has
// sent nothing; then SIGHUP and SIGTERM again. Each client gets one complete answer, also for a request that
// arrives on a kept-alive connection, and the process ends with status 0.
TEST_F(ProgramTest, SignalsDuringADrainChangeNothingAndAcceptedRequestsAreAnswered) {
  bool answers = false;
  std::vector<Peer*> unanswered;
  ScriptedServer server(io, [&](Peer& peer) {
    if (answers) return Serves("late")(peer);
    unanswered.push_back(&peer);
  });
  Configure(Text(discovery_.address, {Entry("s1", server.address)}));
  Start();
  const auto get = [](const std::string& id) {
    return "GET /api HTTP/1.1\r\nReq-Id: " + id + "\r\nReq-Kind: look\r\n\r\n";
  };
  const auto in_flight = Connect(io, listen);
  in_flight->Write(get("in-flight"));
  const auto kept_alive = Connect(io, listen);
  kept_alive->Write("GET /ready HTTP/1.1\r\n\r\n");
  const auto half = Connect(io, listen);
  half->Write(get("half").substr(0, 30));
  const auto silent = Connect(io, listen);
  ASSERT_TRUE(RunUntil(io, [&] { return unanswered.size() == 1 && kept_alive->requests() == 1; }));
  ::kill(pid, SIGTERM);
  ::kill(pid, SIGHUP);
  ::kill(pid, SIGTERM);
  half->Write(get("half").substr(30));
  kept_alive->Write(get("kept-alive"));
  silent->Write(get("silent"));
  ASSERT_TRUE(RunUntil(io, [&] { return unanswered.size() == 4; }));
  ::kill(pid, SIGTERM);
  answers = true;
  for (Peer* peer : unanswered) peer->Write(Reply("200 OK", "late"));
  for (const auto& client : {in_flight, half, silent}) {
    ASSERT_TRUE(RunUntil(io, [&] { return client->ended; }));
    EXPECT_EQ(client->requests(), 1);
    EXPECT_EQ(client->received.substr(9, 3), "200");
    EXPECT_EQ(client->received.substr(client->received.size() - 4), "late");
  }
  ASSERT_TRUE(RunUntil(io, [&] { return kept_alive->ended; }));
  EXPECT_EQ(kept_alive->requests(), 2);
  EXPECT_EQ(server.requests(), 4);
  int status = -1;
  ASSERT_TRUE(RunUntil(io, [&] { return ::waitpid(pid, &status, WNOHANG) == pid; }));
  pid = 0;
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
}

}  // namespace
}  // namespace merlinrun::net
