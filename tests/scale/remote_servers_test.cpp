// Servers in processes of their own.
#include "scale/remote_servers.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <set>
#include <string>
#include <vector>

#include "scale/caller.hpp"
#include "scale/loop.hpp"
#include "scale/service.hpp"
#include "scale/step.hpp"

namespace merlinrun::scale {
namespace {

namespace asio = net::asio;

constexpr auto kLong = std::chrono::seconds(60);  // no test waits for it

class Nothing : public Recorder {
 public:
  void Add(Sample) override {}
};

class RemoteServersTest : public ::testing::Test {
 protected:
  RemoteServersTest() {
    std::string name = (std::filesystem::temp_directory_path() / "rookhub-remote-XXXXXX").string();
    context.scratch = ::mkdtemp(name.data());
  }
  ~RemoteServersTest() override { std::filesystem::remove_all(context.scratch); }

  // So many calls, one after another, each with an answer of 200.
  void Call(const std::vector<net::Tcp::endpoint>& targets, std::uint64_t calls) {
    CallerSettings settings;
    settings.poisson = false;
    settings.calls_per_s = 200;
    settings.deadline = kLong;
    Caller caller(io, targets, settings);
    caller.Start(std::chrono::milliseconds(5) * calls + std::chrono::milliseconds(2));
    ASSERT_TRUE(RunUntil(
        io, [&] { return caller.done(); }, kLong));
    EXPECT_EQ(caller.results().counts.served, calls);
  }

  asio::io_context io{1};
  Nothing nothing;
  Context context{nothing, 1, 1, FENNELHOLLOW_PROGRAM, {}, {}, [] { return false; }};
};

TEST_F(RemoteServersTest, ServeEachCallOnceAndTellHowLateTheyWere) {
  RemoteServers servers(2, context.scratch);
  EXPECT_TRUE(servers.LatenessFigures().empty());
  const auto addresses = servers.Open(Alike({}, 3));
  EXPECT_EQ(std::set<net::Tcp::endpoint>(addresses.begin(), addresses.end()).size(), 3u);
  Call(addresses, 30);
  EXPECT_EQ(servers.counts().taken, 30u);
  EXPECT_EQ(servers.counts().served, 30u);
  EXPECT_EQ(servers.counts().invalid, 0u);
  EXPECT_EQ(servers.LatenessFigures().count("server_late_p50_ms"), 1u);
  EXPECT_EQ(servers.LatenessFigures().count("server_late_p99_ms"), 1u);
}

TEST_F(RemoteServersTest, CallOnward) {
  RemoteServers servers(2, context.scratch);
  ServerSettings first;
  first.onward = servers.Open(Alike({}, 2));
  Call(servers.Open({first}, 1), 20);
  EXPECT_EQ(servers.counts().served, 40u);
}

}  // namespace
}  // namespace merlinrun::scale
