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
constexpr int kCrowd = 120;           // idle connections
constexpr int kCrowdedSockets = 160;  // descriptors of a sidecar with a crowd
constexpr double kFirstFault = 1.5;   // seconds from the start
constexpr double kFaultsLast = 11.0;  // the last one begins before
constexpr double kTerminate = 19.0;
constexpr double kNewConnections = 0.3;  // after SIGTERM
constexpr double kKill = 2.0 + 0.7;      // after SIGTERM: the longest deadline and 0.7 s
constexpr auto kTick = milliseconds(5);
constexpr auto kStall = milliseconds(20);  // a tick that comes later than this is a stall

class Run {
 public:
  Run(std::uint64_t seed, const std::string& program)
      : random_(seed), discovery_(io_, seed + 1), program_(program), ticker_(io_) {
    for (int i = 0; i < kServers; ++i)
      servers_.push_back(
          std::make_unique<RecordingServer>(io_, "s" + std::to_string(i), seed * 100 + 2, record_.arrivals));
    record_.discovery = &discovery_;
    record_.pushed = Unit() < 0.25;
    record_.crowd = Unit() < 0.25;
    record_.grace = std::chrono::seconds(2);
    record_.ask_within = std::chrono::seconds(10);
  }

  SoakResult Play(std::uint64_t seed) {
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
    if (record_.crowd) At(1.0, "a crowd of idle clients", [this] { AddCrowd(); });
    PlanDrains();
    PlanTroubles();
    PlanRestart(seed);
    PlanEnd();
    RunUntil(
        io_, [this] { return over_; }, std::chrono::seconds(60));
    for (const auto& caller : callers_) caller->Stop();
    record_.log = log_.Read();
    return Result(CheckRules(record_, start_));
  }

 private:
  void StartSidecar(std::uint64_t seed) {
    for (const auto& server : servers_)
      discovery_.Publish(Entry(server->id(), server->address()), FaultyDiscovery::Telling::kWhole);
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
    if (record_.crowd) json["limits"]["sockets"] = kCrowdedSockets;
    nlohmann::json& settings = json["settings"];
    if (!record_.pushed) settings["membership_mode"] = "subscribe";
    settings["rules"]["ask_within_us"] = record_.ask_within.count();
    settings["rules"]["drain_grace_us"] = record_.grace.count();
    settings["siblings"] = siblings_;
    for (nlohmann::json& grade : settings["grades"]) grade["hard_limit_us"] = 2'000'000;
    config_.Write(json.dump());
  }

  // ---- The plan ----

  void At(double seconds, const std::string& what, std::function<void()> act) {
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
  // Half of the servers drain, one after another; most of these are gone some seconds later.
  void PlanDrains() {
    for (std::size_t i = 0; i < servers_.size() / 2; ++i) {
      RecordingServer& server = *servers_[i];
      const double at = Between(kFirstFault, kFaultsLast);
      const auto telling = DrawTelling();
      const bool declines = Unit() < 0.3;
      At(at, server.id() + " drains" + NameOf(telling), [this, &server, telling, declines] {
        if (declines) server.SetMode(RecordingServer::Mode::kDeclining);
        discovery_.Publish(Entry(server.id(), server.address(), "draining"), telling);
      });
      if (Unit() < 0.4) continue;
      const bool stops = Unit() < 0.5;
      At(at + Between(2.5, 5.0), server.id() + " is gone" + (stops ? ", and stops" : ""),
         [this, &server, stops] {
           discovery_.Publish(Entry(server.id(), server.address(), "removed"),
                              FaultyDiscovery::Telling::kWhole);
           if (stops) server.SetMode(RecordingServer::Mode::kStopped);
         });
    }
  }
  void PlanTroubles() {
    static constexpr std::pair<FaultyDiscovery::Mode, const char*> kModes[] = {
        {FaultyDiscovery::Mode::kOverloaded, "overloaded"},
        {FaultyDiscovery::Mode::kSlow, "slow"},
        {FaultyDiscovery::Mode::kRefusing, "refusing"},
        {FaultyDiscovery::Mode::kDown, "down"}};
    discovery_.SetServedShare(Between(0, 0.5));
    // Where lists are pushed nobody queues for them: discovery is never overloaded or refusing there.
    std::size_t drawn = static_cast<std::size_t>(4 * Unit()) % 4;
    if (record_.pushed) drawn |= 1;
    const auto& [mode, name] = kModes[drawn];
    const double from = Between(kFirstFault, kFaultsLast);
    const double most =
        mode == FaultyDiscovery::Mode::kOverloaded || mode == FaultyDiscovery::Mode::kDown ? 9.0 : 6.0;
    At(from, std::string("discovery is ") + name, [this, mode = mode] { discovery_.SetMode(mode); });
    At(from + Between(1.0, most), "discovery is healthy",
       [this] { discovery_.SetMode(FaultyDiscovery::Mode::kHealthy); });
    RecordingServer& hangs = *servers_.back();
    const double at = Between(kFirstFault, kFaultsLast);
    At(at, hangs.id() + " hangs", [&hangs] { hangs.SetMode(RecordingServer::Mode::kHanging); });
    At(at + Between(1.0, 8.0), hangs.id() + " works again",
       [&hangs] { hangs.SetMode(RecordingServer::Mode::kServing); });
    const int reloads = static_cast<int>(3 * Unit());
    for (int i = 0; i < reloads; ++i)
      At(Between(kFirstFault, kFaultsLast), "SIGHUP, another address of discovery", [this, i] {
        WriteConfig(1, static_cast<std::size_t>((i + 1) % 2));
        if (process_ == nullptr) return;
        process_->Signal(SIGHUP);
        process_->Signal(SIGHUP);
      });
  }
  // It comes back from nothing, with the list as it had it.
  void PlanRestart(std::uint64_t seed) {
    if (Unit() < 0.6) return;
    const double at = Between(kFirstFault, kFaultsLast);
    At(at, "SIGKILL, and a new start after a while", [this, seed] {
      WriteConfig(seed, 0);
      process_.reset();  // killed and waited for
      record_.restart = Restart{Clock::now(), Clock::now()};
    });
    At(at + Between(0.4, 1.3), "started again", [this] {
      Spawn();
      record_.restart->started = Clock::now();
    });
  }
  // SIGTERM, with other signals around it; callers go on until SIGKILL, at the page's earliest.
  void PlanEnd() {
    At(kTerminate, "SIGTERM", [this] {
      record_.terminated = Clock::now();
      process_->Signal(SIGTERM);
      process_->Signal(SIGHUP);
      process_->Signal(SIGTERM);
    });
    At(kTerminate + kNewConnections, "no more new connections", [this] {
      for (const auto& caller : callers_) caller->KeepConnection();
      process_->Signal(SIGHUP);
    });
    At(kTerminate + kKill, "SIGKILL", [this] {
      WaitForEnd();
      process_->Signal(SIGKILL);
      if (!record_.ended) timeline_.emplace_back("the sidecar had not ended by then");
      over_ = true;
    });
  }
  FaultyDiscovery::Telling DrawTelling() {
    const double draw = Unit();
    if (draw < 0.4) return FaultyDiscovery::Telling::kEndInstead;
    if (draw < 0.55) return FaultyDiscovery::Telling::kFallSilent;
    if (draw < 0.7) return FaultyDiscovery::Telling::kCutOff;
    return FaultyDiscovery::Telling::kWhole;
  }
  static const char* NameOf(FaultyDiscovery::Telling telling) {
    switch (telling) {
      case FaultyDiscovery::Telling::kWhole:
        return "";
      case FaultyDiscovery::Telling::kEndInstead:
        return ", the watch ends instead";
      case FaultyDiscovery::Telling::kFallSilent:
        return ", the watch falls silent";
      case FaultyDiscovery::Telling::kCutOff:
        return ", cut off half-way";
    }
    return "";
  }

  // ---- The run ----

  void Tick() {
    ticker_.expires_after(kTick);
    ticker_.async_wait([this](ErrorCode error) {
      if (error || over_) return;
      const auto now = Clock::now();
      const auto late = now - last_tick_ - kTick;
      if (late > kStall) record_.late.emplace_back(now, late);
      last_tick_ = now;
      WaitForEnd();
      Tick();
    });
  }
  void WaitForEnd() {
    if (process_ == nullptr) return;
    const auto status = process_->Ended();
    if (!status || record_.ended) return;
    record_.ended = Clock::now();
    if (!record_.terminated || !WIFEXITED(*status) || WEXITSTATUS(*status) != 0)
      crashes_.push_back("crash: wait status " + std::to_string(*status));
  }
  void AddCrowd() {
    for (int i = 0; i < kCrowd; ++i) {
      auto socket = std::make_unique<net::Tcp::socket>(io_);
      ErrorCode ignored;
      socket->connect(listen_, ignored);
      crowd_.push_back(std::move(socket));
    }
  }

  SoakResult Result(std::vector<std::string> breaches) {
    SoakResult result;
    result.breaches = std::move(breaches);
    result.breaches.insert(result.breaches.end(), crashes_.begin(), crashes_.end());
    result.timeline = timeline_;
    result.log = record_.log;
    result.requests = record_.requests.size();
    for (const Request& request : record_.requests) {
      result.answered += request.answered.has_value();
      result.served += request.status == 200;
    }
    result.arrivals = record_.arrivals.size();
    return result;
  }

  double Unit() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  double Between(double least, double most) { return least + (most - least) * Unit(); }

  asio::io_context io_;
  std::mt19937_64 random_;
  FaultyDiscovery discovery_;
  SoakRecord record_;
  std::vector<std::unique_ptr<RecordingServer>> servers_;
  std::vector<std::shared_ptr<Caller>> callers_;
  std::vector<std::unique_ptr<net::Tcp::socket>> crowd_;
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
  int siblings_ = std::array<int, 4>{1, 8, 41, 300}.at(random_() % 4);
  bool over_ = false;
};

}  // namespace

SoakResult PlaySoak(std::uint64_t seed, const std::string& program) {
  Run run(seed, program);
  return run.Play(seed);
}

}  // namespace merlinrun::faults
