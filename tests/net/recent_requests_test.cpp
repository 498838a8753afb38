// Tests that a request id that may have run is not sent again, on any connection and in either process of an
// upgrade.
#include "net/recent_requests.hpp"

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "sidecar_fixture.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)
using Clock = std::chrono::steady_clock;

class RecentRequestsTest : public SidecarTest {
 protected:
  RecentRequestsTest() {
    char name[] = "/tmp/fennelhollow-recent-XXXXXX";
    folder = ::mkdtemp(name);
  }
  ~RecentRequestsTest() override { std::filesystem::remove_all(folder); }

  std::string file() const { return folder + "/requests"; }
  // A process of an upgrade, on a listener of its own so that the test can choose between the two.
  std::unique_ptr<Sidecar> StartProcess(Tcp::acceptor& listener, const ScriptedServer& server) {
    Config config = ParseConfig(ConfigJson(discovery.address, {Entry("s-1", server.address)}).dump());
    config.accept_fd = ::dup(listener.native_handle());
    config.shared_dir = folder;
    auto process = std::make_unique<Sidecar>(io, std::move(config));
    process->Start();
    return process;
  }
  std::string AskAt(const Sidecar& process, const std::string& text) {
    const auto client = Connect(io, process.address());
    client->Write(text);
    return Status(*client);
  }

  std::string folder;
};

// Guards against requests that ran twice: when the client of a request had left, its id was free again.
TEST_F(RecentRequestsTest, AnIdThatComesAgainAfterItsClientHasLeftIsNotSentAgain) {
  ScriptedServer server(io);
  Start({Entry("s-1", server.address)});
  const auto client = Client(Post("port", "a"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  client->Close();
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->pending_requests() == 0; }));
  EXPECT_EQ(Ask(Post("port", "a")), "409");
  EXPECT_EQ(server.requests(), 1);
}

// The same at the other process of an upgrade, which knew nothing of the requests of the first.
TEST_F(RecentRequestsTest, AnIdThatComesAgainAtTheOtherProcessIsNotSentAgain) {
  ScriptedServer server(io);
  Tcp::acceptor old_listener(io, Loopback());
  Tcp::acceptor new_listener(io, Loopback());
  const auto older = StartProcess(old_listener, server);
  const auto client = Connect(io, older->address());
  client->Write(Post("port", "a"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  const auto newer = StartProcess(new_listener, server);
  EXPECT_EQ(AskAt(*newer, Post("port", "a")), "409");  // still in flight at the other process
  client->Close();
  ASSERT_TRUE(RunUntil(io, [&] { return older->pending_requests() == 0; }));
  EXPECT_EQ(AskAt(*newer, Post("port", "a")), "409");
  EXPECT_EQ(server.requests(), 1);
}

// A folder that cannot be written to for a while: the ids are shared as soon as it can.
TEST_F(RecentRequestsTest, IdsFromBeforeTheFolderBecameUsableAreSharedToo) {
  ScriptedServer server(io);
  Tcp::acceptor old_listener(io, Loopback());
  Tcp::acceptor new_listener(io, Loopback());
  std::filesystem::create_directory(file());  // in the way of the file
  const auto older = StartProcess(old_listener, server);
  const auto client = Connect(io, older->address());
  client->Write(Post("port", "a"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  std::filesystem::remove(file());
  ASSERT_TRUE(RunUntil(io, [&] { return std::filesystem::is_regular_file(file()); }));
  const auto newer = StartProcess(new_listener, server);
  EXPECT_EQ(AskAt(*newer, Post("port", "a")), "409");
  EXPECT_EQ(server.requests(), 1);
}

// A request that has surely not run may come again.
TEST_F(RecentRequestsTest, AnIdThatNeverRanMayComeAgain) {
  int received = 0;
  ScriptedServer server(io, [&](Peer& peer) {
    peer.Write(++received == 1 ? Reply("503 Service Unavailable", "", "Srv-Declined: 1\r\n")
                               : Reply("200 OK", "ok"));
  });
  Start({Entry("s-1", server.address)},
        [](nlohmann::json& json) { json["settings"]["allowed"]["max_attempts"] = 1; });
  EXPECT_EQ(Ask(Post("port", "a")), "503");
  EXPECT_EQ(Ask(Post("port", "a")), "200");
}

TEST_F(RecentRequestsTest, KeepsAnIdForItsTimeAndNoLonger) {
  RecentRequests requests;
  const auto now = Clock::now();
  requests.Add("a", now);
  EXPECT_TRUE(requests.Contains("a", now + RecentRequests::kRetention));
  EXPECT_FALSE(requests.Contains("a", now + RecentRequests::kRetention + 1ms));
  EXPECT_FALSE(requests.Contains("b", now));
  requests.Remove("a");
  EXPECT_FALSE(requests.Contains("a", now));
}

// Ever new ids replace the oldest ones; the newest are kept.
TEST_F(RecentRequestsTest, KeepsTheNewestOfVeryManyIds) {
  RecentRequests requests;
  const auto begin = Clock::now();
  constexpr int kIds = 200'000;
  for (int i = 0; i < kIds; ++i) requests.Add("id" + std::to_string(i), begin + std::chrono::microseconds(i));
  int kept = 0;
  for (int i = kIds - 1000; i < kIds; ++i) kept += requests.Contains("id" + std::to_string(i), begin + 1s);
  EXPECT_EQ(kept, 1000);
}

// What a killed process left half written, or another program wrote, neither ends this one nor is lost.
TEST_F(RecentRequestsTest, AFileThatIsTooShortIsCompleted) {
  std::ofstream(file()) << "short";
  RecentRequests requests;
  EXPECT_TRUE(requests.Share(file()));
  requests.Add("a", Clock::now());
  RecentRequests other;
  EXPECT_TRUE(other.Share(file()));
  EXPECT_TRUE(other.Contains("a", Clock::now()));
}

}  // namespace
}  // namespace merlinrun::net
