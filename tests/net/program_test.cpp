// The program itself: what only a process of its own can show.
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
  ProgramTest() : discovery_(io, TellsOf(List(7, true, {}))) {
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

  static std::function<void(Peer&)> TellsOf(const nlohmann::json& list) {
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
  // The program with these variables besides, and the listener as descriptor 7 unless it is -1.
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
  bool Runs() { return ::waitpid(pid, nullptr, WNOHANG) == 0; }

  asio::io_context io;
  ScriptedServer discovery_;
  Tcp::endpoint listen;
  std::string path;
  std::string folder;
  pid_t pid = 0;
  pid_t older = 0;  // the process that the other one takes over from
};

// A new process takes over under load: nobody is turned away, and the old one ends by itself.
TEST_F(ProgramTest, ANewProcessTakesOverTheListenerAndLosesNoRequest) {
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
  EXPECT_TRUE(Runs());
}

// SIGHUP used to end the program. It follows the discovery that the file names now, though EDGE_DISCOVERY
// still names the old one; a file that makes no sense changes nothing.
TEST_F(ProgramTest, SighupMakesItFollowTheDiscoveryOfTheNewFile) {
  ScriptedServer server(io, Serves("ok"));
  ScriptedServer other(io, TellsOf(List(2, true, {Entry("s1", server.address)})));
  Configure(Text(other.address, {}));  // EDGE_DISCOVERY comes before the file at the start
  Start();
  ASSERT_TRUE(RunUntil(io, [&] { return discovery_.requests() >= 2; }));
  EXPECT_TRUE(other.peers.empty());
  Configure("{nonsense");
  ::kill(pid, SIGHUP);
  ::kill(pid, SIGHUP);
  RunFor(io, 50ms);
  EXPECT_TRUE(Runs());
  EXPECT_FALSE(discovery_.peers.back()->ended);
  Configure(Text(other.address, {}));
  ::kill(pid, SIGHUP);
  ASSERT_TRUE(RunUntil(io, [&] { return Ask("GET /ready HTTP/1.1\r\n\r\n") == "200"; }));
  EXPECT_EQ(Ask("GET /api HTTP/1.1\r\nReq-Id: r1\r\nReq-Kind: look\r\n\r\n"), "200");
  EXPECT_TRUE(RunUntil(io, [&] { return discovery_.peers.back()->ended; }));
}

// SIGTERM with an attempt out, half of another request read, and a connection accepted that has said nothing;
// then SIGHUP and SIGTERM again. Each gets one whole answer, what comes on a kept connection too, and the end
// is in order.
TEST_F(ProgramTest, SignalsDuringADrainChangeNothingAndWhatWasTakenIsAnswered) {
  bool answers = false;
  std::vector<Peer*> held;
  ScriptedServer server(io, [&](Peer& peer) {
    if (answers) return Serves("late")(peer);
    held.push_back(&peer);
  });
  Configure(Text(discovery_.address, {Entry("s1", server.address)}));
  Start();
  const auto get = [](const std::string& id) {
    return "GET /api HTTP/1.1\r\nReq-Id: " + id + "\r\nReq-Kind: look\r\n\r\n";
  };
  const auto out = Connect(io, listen);
  out->Write(get("out"));
  const auto kept = Connect(io, listen);
  kept->Write("GET /ready HTTP/1.1\r\n\r\n");
  const auto half = Connect(io, listen);
  half->Write(get("half").substr(0, 30));
  const auto silent = Connect(io, listen);
  ASSERT_TRUE(RunUntil(io, [&] { return held.size() == 1 && kept->requests() == 1; }));
  ::kill(pid, SIGTERM);
  ::kill(pid, SIGHUP);
  ::kill(pid, SIGTERM);
  half->Write(get("half").substr(30));
  kept->Write(get("kept"));
  silent->Write(get("silent"));
  ASSERT_TRUE(RunUntil(io, [&] { return held.size() == 4; }));
  ::kill(pid, SIGTERM);
  answers = true;
  for (Peer* peer : held) peer->Write(Reply("200 OK", "late"));
  for (const auto& client : {out, half, silent}) {
    ASSERT_TRUE(RunUntil(io, [&] { return client->ended; }));
    EXPECT_EQ(client->requests(), 1);
    EXPECT_EQ(client->received.substr(9, 3), "200");
    EXPECT_EQ(client->received.substr(client->received.size() - 4), "late");
  }
  ASSERT_TRUE(RunUntil(io, [&] { return kept->ended; }));
  EXPECT_EQ(kept->requests(), 2);
  EXPECT_EQ(server.requests(), 4);
  int status = -1;
  ASSERT_TRUE(RunUntil(io, [&] { return ::waitpid(pid, &status, WNOHANG) == pid; }));
  pid = 0;
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
}

}  // namespace
}  // namespace merlinrun::net
