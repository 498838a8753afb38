#include "soak_run.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdio>
#include <functional>
#include <memory>

#include "../net/loopback.hpp"
#include "process.hpp"
#include "reserved_address.hpp"
#include "soak_rules.hpp"

namespace merlinrun::faults {
namespace {

namespace asio = net::asio;
using net::ErrorCode;
using net::testing::ConfigJson;
using net::testing::Entry;
using net::testing::RunUntil;
using std::chrono::milliseconds;

constexpr int kServers = 8;
constexpr int kCallers = 10;
constexpr int kIdleClients = 120;    // connections
constexpr int kSocketLimit = 160;    // limit on the sidecar's sockets in runs with idle clients
constexpr double kFirstFault = 1.5;  // seconds from the start
constexpr double kLastFault = 11.0;  // no fault begins later than this
constexpr double kTerminateAt = 19.0;
constexpr double kNewConnectionTime = 0.3;  // after SIGTERM, new connections are opened for this long
// From SIGTERM to SIGKILL: the longest deadline (kMaxDeadline in caller.cpp, and hard_limit_us in the
// sidecar's settings) and 0.7 s. It is the earliest SIGKILL that the sidecar has to expect; see
// src/net/graceful_shutdown.cpp.
constexpr double kKillDelay = 2.0 + 0.7;
constexpr auto kTick = milliseconds(5);
constexpr auto kMinStall = milliseconds(20);  // a tick that is late by more than this is recorded as a stall

// One run: its processes, its plan of faults and its record.
class Run {
 public:
  Run(std::uint64_t seed, const std::string& program)
      : random_(seed), discovery_(io_, seed + 1), program_(program), ticker_(io_) {
    for (int i = 0; i < kServers; ++i)
      servers_.push_back(
          std::make_unique<RecordingServer>(io_, "s" + std::to_string(i), seed * 100 + 2, record_.arrivals));
    record_.discovery = &discovery_;
    record_.pushed = Unit() < 0.25;
    record_.idle_clients = Unit() < 0.25;
    record_.grace = std::chrono::seconds(2);
    record_.ask_within = std::chrono::seconds(10);
  }

  SoakResult Execute(std::uint64_t seed) {
    StartSidecar(seed);
    if (!RunUntil(io_, [this] { return discovery_.calls() > 0; }))
      return Result({"the sidecar did not call discovery"});
    start_ = Clock::now();
    last_tick_ = start_;
    Tick();
    for (int i = 0; i < kCallers; ++i) {
      callers_.push_back(std::make_shared<Caller>(io_, listen_, "c" + std::to_string(i),
                                                  seed * 1000 + static_cast<std::uint64_t>(i),
                                                  record_.requests));
      callers_.back()->Start();
    }
    if (record_.idle_clients) ScheduleAt(1.0, "idle clients connect", [this] { AddIdleClients(); });
    PlanDrains();
    PlanFaults();
    PlanRestart(seed);
    PlanShutdown();
    RunUntil(
        io_, [this] { return finished_; }, std::chrono::seconds(60));
    for (const auto& caller : callers_) caller->Stop();
    record_.log = log_.Read();
    return Result(CheckRules(record_, start_));
  }

 private:
  void StartSidecar(std::uint64_t seed) {
    for (const auto& server : servers_)
      discovery_.Publish(Entry(server->id(), server->address()), FaultyDiscovery::Delivery::kComplete);
    WriteConfig(seed, 0);
    Spawn();
  }
  void Spawn() {
    process_ = std::make_unique<Process>(
        program_, std::vector<std::string>{"EDGE_CONFIG=" + config_.path(), "EDGE_TRACE=1"}, log_.path());
  }
  void WriteConfig(std::uint64_t seed, std::size_t discovery) {
    nlohmann::json json = ConfigJson(discovery_.address(discovery), {});
    json["listen"] = net::testing::Text(listen_);
    json["known"] = discovery_.WrittenList();
    char text[32];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(seed));
    json["seed"] = text;
    if (record_.idle_clients) json["limits"]["sockets"] = kSocketLimit;
    nlohmann::json& settings = json["settings"];
    if (!record_.pushed) settings["membership_mode"] = "subscribe";
    settings["rules"]["ask_within_us"] = record_.ask_within.count();
    settings["rules"]["drain_grace_us"] = record_.grace.count();
    settings["siblings"] = sidecar_count_;
    for (nlohmann::json& grade : settings["grades"]) grade["hard_limit_us"] = 2'000'000;
    config_.Write(json.dump());
  }

  // ---- The plan ----

  // Calls `act` this many seconds after the start, and adds `what` to the timeline.
  void ScheduleAt(double seconds, const std::string& what, std::function<void()> act) {
    auto timer = std::make_shared<asio::steady_timer>(io_);
    timer->expires_at(start_ + std::chrono::duration_cast<Clock::duration>(Seconds(seconds)));
    timer->async_wait([this, timer, what, act = std::move(act)](ErrorCode error) {
      if (error) return;
      char line[160];
      std::snprintf(line, sizeof line, "%.3f %s", Seconds(Clock::now() - start_).count(), what.c_str());
      timeline_.emplace_back(line);
      act();
    });
  }
  // Half of the servers drain, and most of these are removed some seconds later.
  void PlanDrains() {
    for (std::size_t i = 0; i < servers_.size() / 2; ++i) {
      RecordingServer& server = *servers_[i];
      const double at = Between(kFirstFault, kLastFault);
      const auto delivery = DrawDelivery();
      const bool declines = Unit() < 0.3;
      ScheduleAt(at, server.id() + " drains" + Describe(delivery), [this, &server, delivery, declines] {
        if (declines) server.SetMode(RecordingServer::Mode::kDeclining);
        discovery_.Publish(Entry(server.id(), server.address(), "draining"), delivery);
      });
      if (Unit() < 0.4) continue;
      const bool stops = Unit() < 0.5;
      ScheduleAt(at + Between(2.5, 5.0), server.id() + " is removed" + (stops ? " and stops" : ""),
                 [this, &server, stops] {
                   discovery_.Publish(Entry(server.id(), server.address(), "removed"),
                                      FaultyDiscovery::Delivery::kComplete);
                   if (stops) server.SetMode(RecordingServer::Mode::kStopped);
                 });
    }
  }
  // One fault of discovery, one hanging server and up to two reloads of the sidecar.
  void PlanFaults() {
    static constexpr std::pair<FaultyDiscovery::Mode, const char*> kModes[] = {
        {FaultyDiscovery::Mode::kOverloaded, "overloaded"},
        {FaultyDiscovery::Mode::kSlow, "slow"},
        {FaultyDiscovery::Mode::kRefusing, "refusing"},
        {FaultyDiscovery::Mode::kDown, "down"}};
    discovery_.SetServedShare(Between(0, 0.5));
    // A discovery that pushes its lists has no queue of calls: it is only slow or down.
    std::size_t mode_index = static_cast<std::size_t>(4 * Unit()) % 4;
    if (record_.pushed) mode_index |= 1;
    const auto& [mode, name] = kModes[mode_index];
    const double from = Between(kFirstFault, kLastFault);
    const double max_duration =
        mode == FaultyDiscovery::Mode::kOverloaded || mode == FaultyDiscovery::Mode::kDown ? 9.0 : 6.0;
    ScheduleAt(from, std::string("discovery is ") + name, [this, mode = mode] { discovery_.SetMode(mode); });
    ScheduleAt(from + Between(1.0, max_duration), "discovery is healthy",
               [this] { discovery_.SetMode(FaultyDiscovery::Mode::kHealthy); });
    RecordingServer& hanging_server = *servers_.back();
    const double at = Between(kFirstFault, kLastFault);
    ScheduleAt(at, hanging_server.id() + " hangs",
               [&hanging_server] { hanging_server.SetMode(RecordingServer::Mode::kHanging); });
    ScheduleAt(at + Between(1.0, 8.0), hanging_server.id() + " works again",
               [&hanging_server] { hanging_server.SetMode(RecordingServer::Mode::kServing); });
    const int reloads = static_cast<int>(3 * Unit());
    for (int i = 0; i < reloads; ++i)
      ScheduleAt(Between(kFirstFault, kLastFault), "SIGHUP, another address of discovery", [this, i] {
        WriteConfig(1, static_cast<std::size_t>((i + 1) % 2));
        if (process_ == nullptr) return;
        process_->Signal(SIGHUP);
        process_->Signal(SIGHUP);
      });
  }
  // In some runs the sidecar is killed and started again with the last list that it was sent.
  void PlanRestart(std::uint64_t seed) {
    if (Unit() < 0.6) return;
    const double at = Between(kFirstFault, kLastFault);
    ScheduleAt(at, "SIGKILL, to be started again", [this, seed] {
      WriteConfig(seed, 0);
      process_.reset();  // killed and waited for
      record_.restart = Restart{Clock::now(), Clock::now()};
    });
    ScheduleAt(at + Between(0.4, 1.3), "started again", [this] {
      Spawn();
      record_.restart->started = Clock::now();
    });
  }
  // Sends SIGTERM, repeated and mixed with SIGHUP. The callers continue until SIGKILL, which comes kKillDelay
  // after the first SIGTERM.
  void PlanShutdown() {
    ScheduleAt(kTerminateAt, "SIGTERM", [this] {
      record_.terminated = Clock::now();
      process_->Signal(SIGTERM);
      process_->Signal(SIGHUP);
      process_->Signal(SIGTERM);
    });
    ScheduleAt(kTerminateAt + kNewConnectionTime, "no more new connections", [this] {
      for (const auto& caller : callers_) caller->ReconnectOnlyToResend();
      process_->Signal(SIGHUP);
    });
    ScheduleAt(kTerminateAt + kKillDelay, "SIGKILL", [this] {
      CheckProcessEnd();
      process_->Signal(SIGKILL);
      if (!record_.ended) timeline_.emplace_back("the sidecar had not ended by then");
      finished_ = true;
    });
  }
  // Chooses at random how a change is delivered.
  FaultyDiscovery::Delivery DrawDelivery() {
    const double draw = Unit();
    if (draw < 0.4) return FaultyDiscovery::Delivery::kEndWatch;
    if (draw < 0.55) return FaultyDiscovery::Delivery::kSilenceWatch;
    if (draw < 0.7) return FaultyDiscovery::Delivery::kCutOff;
    return FaultyDiscovery::Delivery::kComplete;
  }
  static const char* Describe(FaultyDiscovery::Delivery delivery) {
    switch (delivery) {
      case FaultyDiscovery::Delivery::kComplete:
        return "";
      case FaultyDiscovery::Delivery::kEndWatch:
        return ", the watch ends instead";
      case FaultyDiscovery::Delivery::kSilenceWatch:
        return ", the watch falls silent";
      case FaultyDiscovery::Delivery::kCutOff:
        return ", only half of the change is sent";
      case FaultyDiscovery::Delivery::kStopInside:
        return ", the watch falls silent after half of the change";
    }
    return "";
  }

  // ---- The run ----

  void Tick() {
    ticker_.expires_after(kTick);
    ticker_.async_wait([this](ErrorCode error) {
      if (error || finished_) return;
      const auto now = Clock::now();
      const auto delay = now - last_tick_ - kTick;
      if (delay > kMinStall) record_.stalls.emplace_back(now, delay);
      last_tick_ = now;
      CheckProcessEnd();
      Tick();
    });
  }
  // Records the exit of the sidecar. Any exit before SIGTERM or with a status other than 0 is a crash.
  void CheckProcessEnd() {
    if (process_ == nullptr) return;
    const auto status = process_->PollExit();
    if (!status || record_.ended) return;
    record_.ended = Clock::now();
    if (!record_.terminated || !WIFEXITED(*status) || WEXITSTATUS(*status) != 0)
      crashes_.push_back("crash: wait status " + std::to_string(*status));
  }
  // Opens connections that send nothing.
  void AddIdleClients() {
    for (int i = 0; i < kIdleClients; ++i) {
      auto socket = std::make_unique<net::Tcp::socket>(io_);
      ErrorCode ignored;
      socket->connect(listen_, ignored);
      idle_clients_.push_back(std::move(socket));
    }
  }

  SoakResult Result(std::vector<std::string> violations) {
    SoakResult result;
    result.violations = std::move(violations);
    result.violations.insert(result.violations.end(), crashes_.begin(), crashes_.end());
    result.timeline = timeline_;
    result.log = record_.log;
    result.requests = record_.requests.size();
    for (const Request& request : record_.requests) {
      result.answered += request.answered_at.has_value();
      result.served += request.status == 200;
    }
    result.arrivals = record_.arrivals.size();
    return result;
  }

  // Returns a random number, uniform in [0, 1).
  double Unit() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  double Between(double min, double max) { return min + (max - min) * Unit(); }

  asio::io_context io_;
  std::mt19937_64 random_;
  FaultyDiscovery discovery_;
  SoakRecord record_;
  std::vector<std::unique_ptr<RecordingServer>> servers_;
  std::vector<std::shared_ptr<Caller>> callers_;
  std::vector<std::unique_ptr<net::Tcp::socket>> idle_clients_;
  const std::string program_;
  TemporaryFile config_;
  TemporaryFile log_;
  std::unique_ptr<Process> process_;
  const ReservedAddress reserved_{io_};
  const net::Tcp::endpoint listen_ = reserved_.address();
  asio::steady_timer ticker_;
  Clock::time_point start_;
  Clock::time_point last_tick_;
  std::vector<std::string> timeline_;
  std::vector<std::string> crashes_;
  int sidecar_count_ = std::array<int, 4>{1, 8, 41, 300}.at(random_() % 4);
  bool finished_ = false;
};

}  // namespace

SoakResult RunSoak(std::uint64_t seed, const std::string& program) {
  Run run(seed, program);
  return run.Execute(seed);
}

}  // namespace merlinrun::faults
