// Tests a discovery that pushes its lists and is silent on all connections. It counts as down, and a
// discovery that is down cannot learn of changes: service continues without it, and the changes that it sends
// afterwards take effect at once.
#include <algorithm>

#include "../net/loopback.hpp"
#include "caller.hpp"
#include "faulty_discovery.hpp"
#include "process.hpp"
#include "recording_server.hpp"
#include "reserved_address.hpp"

namespace merlinrun::faults {
namespace {

using namespace net::testing;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

constexpr int kSidecars = 3;
constexpr int kServers = 6;
constexpr int kCallersPerSidecar = 5;
constexpr auto kGrace = milliseconds(700);
// Allows for a delay of the sidecar between reading its clock and writing, and for delays of this process.
constexpr auto kSlack = milliseconds(50);
constexpr auto kMeasuredTime = std::chrono::seconds(10);
// The minimum of (usable share during the silence) / (usable share before it).
constexpr double kMinUsableRatio = 0.95;

// A sidecar process with a reserved address to listen on.
class RunningSidecar {
 public:
  RunningSidecar(net::asio::io_context& io, nlohmann::json config) : reserved_(io) {
    config["listen"] = Text(address());
    config_.Write(config.dump());
    process_ = std::make_unique<Process>(
        FENNELHOLLOW_PROGRAM, std::vector<std::string>{"EDGE_CONFIG=" + config_.path()}, log_.path());
  }
  net::Tcp::endpoint address() const { return reserved_.address(); }
  std::string Log() const { return log_.Read(); }

 private:
  const ReservedAddress reserved_;
  TemporaryFile config_;
  TemporaryFile log_;
  std::unique_ptr<Process> process_;
};

class SilentDiscoveryTest : public ::testing::TestWithParam<std::uint64_t> {
 protected:
  SilentDiscoveryTest() : discovery(io, GetParam()) {
    for (int i = 0; i < kServers; ++i) {
      servers.push_back(
          std::make_unique<RecordingServer>(io, "s" + std::to_string(i), GetParam() * 100 + 2, arrivals));
      Publish(i, "up");
    }
  }
  ~SilentDiscoveryTest() override {
    for (const auto& caller : callers) caller->Stop();
  }

  void Publish(int server, const char* lifecycle) {
    const RecordingServer& changed = *servers.at(static_cast<std::size_t>(server));
    discovery.Publish(Entry(changed.id(), changed.address(), lifecycle),
                      FaultyDiscovery::Delivery::kComplete);
  }
  void Start() {
    for (int i = 0; i < kSidecars; ++i) {
      nlohmann::json json = ConfigJson(discovery.address(0), {});
      json["known"] = discovery.FullList();
      char seed[32];
      std::snprintf(seed, sizeof seed, "%016llx", static_cast<unsigned long long>(GetParam()) * 100 + i);
      json["seed"] = seed;
      json["settings"]["rules"]["drain_grace_us"] = std::chrono::microseconds(kGrace).count();
      json["settings"]["siblings"] = kSidecars;
      json["settings"]["rank"] = i;
      sidecars.push_back(std::make_unique<RunningSidecar>(io, json));
    }
    ASSERT_TRUE(RunUntil(io, [&] { return discovery.calls() >= kSidecars; }));
    for (int i = 0; i < kSidecars * kCallersPerSidecar; ++i) {
      callers.push_back(std::make_shared<Caller>(io,
                                                 sidecars[static_cast<std::size_t>(i % kSidecars)]->address(),
                                                 "c" + std::to_string(i), GetParam() * 1000 + i, requests));
      callers.back()->Start();
    }
  }
  // The share of the callers' time from `begin` to `end` that was not lost to unserved requests. It is
  // measured by time and not by requests, as a caller sends no other request while one waits in the sidecar.
  double UsableTimeShare(Clock::time_point begin, Clock::time_point end) const {
    Clock::duration lost{};
    int served = 0;
    for (const Request& request : requests) {
      if (request.sent < begin || request.sent >= end || request.disconnected_at) continue;
      if (request.status == 200) {
        ++served;
      } else {
        lost += std::min(request.answered_at.value_or(end), end) - request.sent;
      }
    }
    EXPECT_GT(served, 1000);
    return 1 - Seconds(lost) / (Seconds(end - begin) * static_cast<double>(callers.size()));
  }
  // The number of requests that this server received after `time`.
  int ArrivalsAfter(int server, Clock::time_point time) const {
    const std::string& id = servers.at(static_cast<std::size_t>(server))->id();
    return static_cast<int>(std::count_if(arrivals.begin(), arrivals.end(), [&](const Arrival& arrival) {
      return arrival.server == id && arrival.first_byte > time;
    }));
  }
  std::string Logs() const {
    std::string logs;
    for (const auto& sidecar : sidecars) logs += sidecar->Log() + "--\n";
    return logs;
  }

  net::asio::io_context io;
  FaultyDiscovery discovery;
  std::vector<Arrival> arrivals;
  std::deque<Request> requests;
  std::vector<std::unique_ptr<RecordingServer>> servers;
  std::vector<std::unique_ptr<RunningSidecar>> sidecars;
  std::vector<std::shared_ptr<Caller>> callers;
};

// Guards against a loss of service while discovery is silent: the silence was treated as missed drains, and
// most of a fleet paused dispatch.
TEST_P(SilentDiscoveryTest, ServiceContinuesAndADrainAfterTheSilenceIsObeyed) {
  ASSERT_NO_FATAL_FAILURE(Start());
  RunFor(io, 1s);
  const Clock::time_point before = Clock::now();
  RunFor(io, kMeasuredTime);
  discovery.SetMode(FaultyDiscovery::Mode::kSilent);
  const Clock::time_point silent = Clock::now();
  RunFor(io, kMeasuredTime);
  EXPECT_GE(UsableTimeShare(silent, Clock::now()), kMinUsableRatio * UsableTimeShare(before, silent))
      << Logs();

  discovery.SetMode(FaultyDiscovery::Mode::kHealthy);
  Publish(0, "draining");
  const Clock::time_point made_at = Clock::now();
  RunFor(io, kGrace + 1s);
  EXPECT_GT(ArrivalsAfter(1, made_at), 0);
  EXPECT_EQ(ArrivalsAfter(0, made_at + kGrace + kSlack), 0) << Logs();
}

INSTANTIATE_TEST_SUITE_P(Seeds, SilentDiscoveryTest, ::testing::Values(1, 2));

}  // namespace
}  // namespace merlinrun::faults
