// Tests of fake servers in worker processes, and of real sidecars that are given another discovery address.
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

constexpr auto kTimeout = std::chrono::seconds(60);  // reached only if a test fails

class NullRecorder : public Recorder {
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

  // Sends this number of calls at intervals of 5 ms and expects a 200 for each.
  void Call(const std::vector<net::Tcp::endpoint>& targets, std::uint64_t calls) {
    CallerSettings settings;
    settings.poisson = false;
    settings.calls_per_s = 200;
    settings.deadline = kTimeout;
    Caller caller(io, targets, settings);
    caller.Start(std::chrono::milliseconds(5) * calls + std::chrono::milliseconds(2));
    ASSERT_TRUE(RunUntil(
        io, [&] { return caller.done(); }, kTimeout));
    EXPECT_EQ(caller.results().counts.served, calls);
  }

  asio::io_context io{1};
  NullRecorder recorder;
  Context context{recorder, 1, 1, FENNELHOLLOW_PROGRAM, {}, {}, [] { return false; }};
};

TEST_F(RemoteServersTest, ServeEachCallOnceAndReportTheirLateness) {
  RemoteServers servers(2, context.scratch);
  EXPECT_TRUE(servers.LatenessFigures().empty());
  const auto addresses = servers.Open(ReplicateSettings({}, 3));
  EXPECT_EQ(std::set<net::Tcp::endpoint>(addresses.begin(), addresses.end()).size(), 3u);
  Call(addresses, 30);
  EXPECT_EQ(servers.counts().taken, 30u);
  EXPECT_EQ(servers.counts().served, 30u);
  EXPECT_EQ(servers.counts().invalid, 0u);
  EXPECT_EQ(servers.LatenessFigures().count("server_late_p50_ms"), 1u);
  EXPECT_EQ(servers.LatenessFigures().count("server_late_p99_ms"), 1u);
}

TEST_F(RemoteServersTest, CallTheNextService) {
  RemoteServers servers(2, context.scratch);
  ServerSettings first;
  first.onward = servers.Open(ReplicateSettings({}, 2));
  Call(servers.Open({first}, 1), 20);
  EXPECT_EQ(servers.counts().served, 40u);
}

TEST_F(RemoteServersTest, SidecarsWatchANewDiscoveryAddressAndApplyAChangeFromIt) {
  RemoteServers servers(1, context.scratch);
  auto addresses = servers.Open(ReplicateSettings({}, 3));
  const Entry third = MakeEntries(addresses).back();
  addresses.pop_back();
  const Service before(io, addresses);
  Service after(io, addresses);
  RealSidecars sidecars(io, context, 1, /*management=*/true);
  ASSERT_EQ(sidecars.Add(2, before.discovery_address()).size(), 2u);
  std::vector<net::Tcp::endpoint> management_addresses;
  for (const auto& sidecar : sidecars.all()) management_addresses.push_back(sidecar->management_address());
  EXPECT_EQ(after.discovery_counts().watches, 0u);

  sidecars.Reload(after.discovery_address());
  ASSERT_TRUE(RunUntil(
      io, [&] { return after.discovery_counts().watches == 2; }, kTimeout));
  int notified = 0;
  const KnownServersPoller poller(io, management_addresses, 3, [&] { ++notified; });
  RunFor(io, std::chrono::milliseconds(100));
  EXPECT_EQ(notified, 0);
  after.Change({third});
  ASSERT_TRUE(RunUntil(
      io, [&] { return notified == 2; }, kTimeout));
  RunFor(io, std::chrono::milliseconds(100));
  EXPECT_EQ(notified, 2);  // once for each sidecar
  EXPECT_EQ(before.discovery_counts().watches, 0u);
}

}  // namespace
}  // namespace merlinrun::scale
