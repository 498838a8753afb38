// Servers in processes of their own, and what is seen of them and of sidecars from outside.
#include "scale/remote_servers.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <set>
#include <string>
#include <vector>

#include "scale/caller.hpp"
#include "scale/known_servers.hpp"
#include "scale/loop.hpp"
#include "scale/real_sidecars.hpp"
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

TEST_F(RemoteServersTest, SidecarsFollowANewAddressAndActOnAChangeThere) {
  RemoteServers servers(1, context.scratch);
  auto addresses = servers.Open(Alike({}, 3));
  const Entry third = Listed(addresses).back();
  addresses.pop_back();
  const Service before(io, addresses);
  Service after(io, addresses);
  RealSidecars sidecars(io, context, 1, /*management=*/true);
  ASSERT_EQ(sidecars.Add(2, before.discovery()).size(), 2u);
  std::vector<net::Tcp::endpoint> doors;
  for (const auto& sidecar : sidecars.all()) doors.push_back(sidecar->management());
  EXPECT_EQ(after.counts().watches, 0u);

  sidecars.Reload(after.discovery());
  ASSERT_TRUE(RunUntil(
      io, [&] { return after.counts().watches == 2; }, kLong));
  int told = 0;
  const KnownServersWatch watch(io, doors, 3, [&] { ++told; });
  RunFor(io, std::chrono::milliseconds(100));
  EXPECT_EQ(told, 0);
  after.Change({third});
  ASSERT_TRUE(RunUntil(
      io, [&] { return told == 2; }, kLong));
  RunFor(io, std::chrono::milliseconds(100));
  EXPECT_EQ(told, 2);  // once for each
  EXPECT_EQ(before.counts().watches, 0u);
}

}  // namespace
}  // namespace merlinrun::scale
