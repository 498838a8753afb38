// Guards against requests to a draining server after its grace period, if the sidecar has missed the drain.
// How it came about: a watch ended instead of delivering the drain, and the next calls to the overloaded
// discovery waited for 3 s each and ended with 503. Each call, answered or not, restarted the time within
// which discovery had to be called again. So failed calls postponed the moment at which missed changes take
// effect, which is 6 s after the last data of the watch. One sidecar had no list for 8.8 s, and dispatch was
// not paused although the list was too old to show which servers were draining.
#include <fstream>

#include "../net/loopback.hpp"
#include "faulty_discovery.hpp"
#include "process.hpp"

namespace merlinrun::faults {
namespace {

using namespace net::testing;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

constexpr auto kMissedChangeDelay = std::chrono::seconds(6);
constexpr auto kSwitchDelay = std::chrono::seconds(4);  // from a reload to the effect of a missed change
constexpr auto kGrace = milliseconds(500);              // drain_grace_us of ConfigJson
// Allows for a delay of the sidecar between reading its clock and writing, and for delays of this process.
constexpr auto kSlack = milliseconds(50);

class DrainTest : public ::testing::TestWithParam<std::uint64_t> {
 protected:
  DrainTest() : discovery(io, GetParam()) {}

  // Starts the sidecar with the list of both servers, and requests to it, once it has called discovery.
  void Start(const std::function<void(nlohmann::json&)>& change) {
    StartProcess(change);
    ASSERT_TRUE(RunUntil(io, [&] { return discovery.calls() > 0; }));
    SendRequests();
  }
  void StartProcess(const std::function<void(nlohmann::json&)>& change) {
    net::Tcp::acceptor free_port(io, Loopback());
    listen = free_port.local_endpoint();
    free_port.close();
    for (const auto& [id, server] : {std::pair("s-stays", &staying), std::pair("s-drains", &draining)})
      discovery.Publish(Entry(id, server->address), FaultyDiscovery::Delivery::kComplete);
    nlohmann::json json = ConfigJson(discovery.address(0), {});
    json["listen"] = Text(listen);
    json["known"] = discovery.FullList();
    char seed[32];
    std::snprintf(seed, sizeof seed, "%016llx", static_cast<unsigned long long>(GetParam()));
    json["seed"] = seed;
    change(json);
    settings = json;
    config.Write(json.dump());
    process = std::make_unique<Process>(FENNELHOLLOW_PROGRAM,
                                        std::vector<std::string>{"EDGE_CONFIG=" + config.path()}, log.path());
  }
  // Sends one request after another, each on a new connection, until the test ends.
  void SendRequests() {
    timer.expires_after(milliseconds(10));
    timer.async_wait([this](net::ErrorCode error) {
      if (error) return;
      if (client == nullptr || client->ended || client->requests() > 0 || ++ticks_waited > 100) {
        if (client != nullptr) client->Close();
        ticks_waited = 0;
        client = std::make_shared<Peer>(net::Tcp::socket(io));
        net::ErrorCode refused;
        client->socket.connect(listen, refused);
        if (!refused) {
          client->Read();
          client->Write("GET /api HTTP/1.1\r\nReq-Id: r" + std::to_string(++request_count) +
                        "\r\nReq-Kind: look\r\n\r\n");
        }
      }
      SendRequests();
    });
  }
  // Replaces the configuration with one that names this address of discovery, and signals it.
  void Reload(std::size_t address) {
    settings["discovery"] = Text(discovery.address(address));
    config.Write(settings.dump());
    process->Signal(SIGHUP);
  }
  int RequestsToDrainingServerAfter(Clock::time_point time) const {
    return static_cast<int>(
        std::count_if(arrivals.begin(), arrivals.end(), [&](Clock::time_point at) { return at > time; }));
  }
  // Whether requests are served by the server that stays, once the drain has been written to the sidecar and
  // its grace is over.
  bool ServiceIsResumed() {
    if (!RunUntil(io, [&] { return discovery.changes().back().written_at.has_value(); })) return false;
    RunFor(io, kGrace + kSlack);
    const int before = staying.requests();
    return RunUntil(io, [&] { return staying.requests() > before + 5; });
  }
  // Makes the sidecar ask for its list, at the latest 10 s after its start or after a failed call.
  static void UseSubscribeMode(nlohmann::json& json, int siblings) {
    json["settings"]["membership_mode"] = "subscribe";
    json["settings"]["siblings"] = siblings;
    json["settings"]["rules"]["ask_within_us"] = 10'000'000;
  }

  net::asio::io_context io;
  FaultyDiscovery discovery;
  ScriptedServer staying{io, Serves("ok")};
  std::vector<Clock::time_point> arrivals;
  ScriptedServer draining{io, [this, serves = Serves("ok")](Peer& peer) {
                            arrivals.push_back(Clock::now());
                            serves(peer);
                          }};
  net::asio::steady_timer timer{io};
  net::Tcp::endpoint listen;
  std::shared_ptr<Peer> client;
  int ticks_waited = 0;
  int request_count = 0;
  nlohmann::json settings;
  TemporaryFile config;
  TemporaryFile log;
  std::unique_ptr<Process> process;
};

TEST_P(DrainTest, FailedCallsDoNotPostponeTheEffectOfADrainThatTheWatchDidNotDeliver) {
  ASSERT_NO_FATAL_FAILURE(Start([](nlohmann::json& json) { UseSubscribeMode(json, 41); }));
  ASSERT_TRUE(RunUntil(io, [&] { return arrivals.size() >= 20; }));
  discovery.SetMode(FaultyDiscovery::Mode::kOverloaded);
  discovery.Publish(Entry("s-drains", draining.address, "draining"), FaultyDiscovery::Delivery::kEndWatch);
  const Clock::time_point made_at = Clock::now();
  RunFor(io, 8500ms);
  EXPECT_EQ(RequestsToDrainingServerAfter(made_at + kMissedChangeDelay + kGrace + kSlack), 0) << log.Read();
  discovery.SetMode(FaultyDiscovery::Mode::kHealthy);
  EXPECT_TRUE(ServiceIsResumed()) << log.Read();
}

// Guards against requests to a drained server while discovery stays overloaded: dispatch was paused for 5 s
// and then resumed with the list from before the drain.
TEST_P(DrainTest, APauseLastsAsLongAsDiscoveryIsOverloaded) {
  ASSERT_NO_FATAL_FAILURE(Start([](nlohmann::json& json) { UseSubscribeMode(json, 41); }));
  ASSERT_TRUE(RunUntil(io, [&] { return arrivals.size() >= 20; }));
  discovery.SetMode(FaultyDiscovery::Mode::kOverloaded);
  discovery.Publish(Entry("s-drains", draining.address, "draining"), FaultyDiscovery::Delivery::kEndWatch);
  const Clock::time_point made_at = Clock::now();
  RunFor(io, 14s);
  EXPECT_EQ(RequestsToDrainingServerAfter(made_at + kMissedChangeDelay + kGrace + kSlack), 0) << log.Read();
  discovery.SetMode(FaultyDiscovery::Mode::kHealthy);
  EXPECT_TRUE(ServiceIsResumed()) << log.Read();
}

// A discovery that is down cannot have announced any drain, so dispatch continues.
TEST_P(DrainTest, ServiceContinuesWhileDiscoveryIsDown) {
  ASSERT_NO_FATAL_FAILURE(Start([](nlohmann::json& json) { UseSubscribeMode(json, 41); }));
  ASSERT_TRUE(RunUntil(io, [&] { return arrivals.size() >= 20; }));
  discovery.SetMode(FaultyDiscovery::Mode::kDown);
  const Clock::time_point down = Clock::now();
  RunFor(io, 8s);
  EXPECT_GT(RequestsToDrainingServerAfter(down + 7s), 0) << log.Read();
}

// A drain that was sent in part takes effect at once: its grace period starts when it is written.
TEST_P(DrainTest, ADrainThatArrivedInPartIsObeyedAfterItsGrace) {
  ASSERT_NO_FATAL_FAILURE(Start([](nlohmann::json& json) { UseSubscribeMode(json, 41); }));
  ASSERT_TRUE(RunUntil(io, [&] { return arrivals.size() >= 20; }));
  discovery.SetMode(FaultyDiscovery::Mode::kOverloaded);
  discovery.Publish(Entry("s-drains", draining.address, "draining"), FaultyDiscovery::Delivery::kCutOff);
  const Clock::time_point written_at = Clock::now();
  RunFor(io, 2500ms);
  EXPECT_EQ(RequestsToDrainingServerAfter(written_at + kGrace + kSlack), 0) << log.Read();
}

// Guards against requests to a drained server while reloads follow each other: each of them cancelled the
// call that would have delivered the drain, and a cancelled call did not count as a failed one.
TEST_P(DrainTest, ReloadsInQuickSuccessionDoNotPostponeTheEffectOfADrain) {
  ASSERT_NO_FATAL_FAILURE(Start([](nlohmann::json& json) { UseSubscribeMode(json, 41); }));
  ASSERT_TRUE(RunUntil(io, [&] { return arrivals.size() >= 20; }));
  discovery.SetMode(FaultyDiscovery::Mode::kSilent);
  discovery.Publish(Entry("s-drains", draining.address, "draining"), FaultyDiscovery::Delivery::kComplete);
  const Clock::time_point first_reload = Clock::now();
  for (std::size_t reload = 1; reload <= 6; ++reload) {
    Reload(reload % 2);
    RunFor(io, 1s);
  }
  EXPECT_EQ(RequestsToDrainingServerAfter(first_reload + kSwitchDelay + kGrace + kSlack), 0) << log.Read();
  discovery.SetMode(FaultyDiscovery::Mode::kHealthy);
  EXPECT_TRUE(ServiceIsResumed()) << log.Read();
}

// Guards against requests to a drained server by a new process that has not called discovery yet: only the
// end of a call made its list stale.
TEST_P(DrainTest, ANewProcessThatHasNotCalledDiscoveryObeysAMissedDrain) {
  StartProcess([](nlohmann::json& json) {
    UseSubscribeMode(json, 300);
    json["settings"]["rules"]["ask_within_us"] = 600'000'000;  // the first call comes within half of this
  });
  discovery.Publish(Entry("s-drains", draining.address, "draining"), FaultyDiscovery::Delivery::kComplete);
  const Clock::time_point made_at = Clock::now();
  SendRequests();
  RunFor(io, 8s);
  EXPECT_GT(arrivals.size(), 20U);
  EXPECT_EQ(RequestsToDrainingServerAfter(made_at + kMissedChangeDelay + kGrace + kSlack), 0) << log.Read();
  EXPECT_EQ(discovery.calls(), 0);
}

// Guards against requests to a drained server while the rest of its drain does not arrive: the first byte of
// an object made the list current.
TEST_P(DrainTest, ADrainThatIsStillArrivingIsObeyedAfterItsGrace) {
  ASSERT_NO_FATAL_FAILURE(Start([](nlohmann::json& json) { UseSubscribeMode(json, 41); }));
  ASSERT_TRUE(RunUntil(io, [&] { return arrivals.size() >= 20; }));
  discovery.Publish(Entry("s-drains", draining.address, "draining"), FaultyDiscovery::Delivery::kStopInside);
  const Clock::time_point written_at = Clock::now();
  RunFor(io, 2s);
  EXPECT_EQ(RequestsToDrainingServerAfter(written_at + kGrace + kSlack), 0) << log.Read();
}

INSTANTIATE_TEST_SUITE_P(Seeds, DrainTest, ::testing::Values(1, 2, 3));

}  // namespace
}  // namespace merlinrun::faults
