// Tests of the program rookhub_relay: command line, exit status and state file.
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include "fixture.hpp"

namespace merlinrun::relay {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

class RelayProgramTest : public ::testing::Test {
 protected:
  RelayProgramTest() {
    char name[] = "/tmp/rookhub-relay-XXXXXX";
    folder = ::mkdtemp(name);
  }
  ~RelayProgramTest() override {
    if (pid > 0) ::kill(pid, SIGKILL), ::waitpid(pid, nullptr, 0);
    std::filesystem::remove_all(folder);
  }
  void Spawn(std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), ROOKHUB_RELAY_PROGRAM);
    std::vector<char*> pointers;
    for (std::string& argument : arguments) pointers.push_back(argument.data());
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t files;
    ::posix_spawn_file_actions_init(&files);
    ::posix_spawn_file_actions_addopen(&files, 2, (folder + "/log").c_str(), O_WRONLY | O_CREAT | O_TRUNC,
                                       0600);
    const int failed = ::posix_spawn(&pid, ROOKHUB_RELAY_PROGRAM, &files, nullptr, pointers.data(), environ);
    ::posix_spawn_file_actions_destroy(&files);
    ASSERT_EQ(failed, 0);
  }
  // Waits for the program to end and returns its exit status, or -1 after a signal.
  int WaitForExit() {
    int status = -1;
    EXPECT_TRUE(RunUntil(io, [&] { return ::waitpid(pid, &status, WNOHANG) == pid; }));
    pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  std::size_t LogLines() const {
    std::ifstream log(folder + "/log");
    std::size_t lines = 0;
    for (std::string line; std::getline(log, line);) ++lines;
    return lines;
  }

  net::asio::io_context io;
  std::string folder;
  pid_t pid = 0;
};

TEST_F(RelayProgramTest, AnInvalidCommandLineIsReportedInOneLine) {
  const std::vector<std::vector<std::string>> bad = {
      {},
      {"--listen", "127.0.0.1:1"},
      {"--listen", "nowhere", "--upstream", "127.0.0.1:1"},
      {"--listen", "127.0.0.1:1", "--upstream", "127.0.0.1"},
      {"--listen", "127.0.0.1:1", "--upstream", "127.0.0.1:1", "--batch-ms", "soon"},
      {"--listen", "127.0.0.1:1", "--upstream", "127.0.0.1:1", "--batch-ms", "-1"},
      {"--listen", "127.0.0.1:1", "--upstream", "127.0.0.1:1", "--whole-lists", "0"},
      {"--listen", "127.0.0.1:1", "--upstream", "127.0.0.1:1", "--colour", "red"}};
  for (const auto& arguments : bad) {
    ASSERT_NO_FATAL_FAILURE(Spawn(arguments));
    EXPECT_EQ(WaitForExit(), 2) << ::testing::PrintToString(arguments);
    EXPECT_EQ(LogLines(), 1U) << ::testing::PrintToString(arguments);
  }
}

TEST_F(RelayProgramTest, AnAddressInUseIsReportedInOneLine) {
  net::Tcp::acceptor taken(io, Loopback());
  ASSERT_NO_FATAL_FAILURE(
      Spawn({"--listen", net::testing::Text(taken.local_endpoint()), "--upstream", "127.0.0.1:1"}));
  EXPECT_EQ(WaitForExit(), 1);
  EXPECT_EQ(LogLines(), 1U);
}

TEST_F(RelayProgramTest, ServesAndSavesItsStateOnSigterm) {
  Upstream upstream(io, List(41, true, {Instance("a")}));
  std::vector<std::string> arguments = {"--upstream", net::testing::Text(upstream.server.address), "--state",
                                        folder + "/state"};
  std::vector<net::Tcp::endpoint> addresses;
  {
    std::vector<net::Tcp::acceptor> free_ports;
    for (int i = 0; i < 2; ++i) {
      free_ports.emplace_back(io, Loopback());
      addresses.push_back(free_ports.back().local_endpoint());
      arguments.insert(arguments.end(), {"--listen", net::testing::Text(addresses.back())});
    }
  }
  ASSERT_NO_FATAL_FAILURE(Spawn(arguments));
  ASSERT_TRUE(RunUntil(io, [&] { return upstream.OpenWatches().size() == 1; }));
  for (const auto& address : addresses) {
    const auto watch = Connect(io, address);
    watch->Write(WatchFrom(41));
    EXPECT_TRUE(RunUntil(io, [&] { return Objects(*watch).size() == 1; }));
  }
  upstream.SendToWatches(List(42, false, {Instance("b")}));
  const auto last_watch = Connect(io, addresses[0]);
  last_watch->Write(WatchFrom(41));
  ASSERT_TRUE(RunUntil(
      io, [&] { return !Objects(*last_watch).empty() && Objects(*last_watch).back()["generation"] == 42; }));
  ::kill(pid, SIGTERM);
  EXPECT_EQ(WaitForExit(), 0);
  EXPECT_TRUE(RunUntil(io, [&] { return last_watch->ended; }));
  ListStore store(1);
  std::string error;
  std::ifstream file(folder + "/state");
  std::ostringstream text;
  text << file.rdbuf();
  ASSERT_TRUE(store.Restore(text.str(), error)) << error;
  EXPECT_EQ(store.generation(), 42);
}

}  // namespace
}  // namespace merlinrun::relay
