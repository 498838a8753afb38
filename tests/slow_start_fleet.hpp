// Simulates a fleet in virtual time: many Balancers in front of shared servers, some of which start and go
// through slow start, and measures the load that each starting server gets. A run depends on its seed alone.
// The measurement uses only the rule for slow start and the true state of the servers, nothing of the
// balancer's own estimates.
#ifndef MERLINRUN_TESTS_SLOW_START_FLEET_HPP_
#define MERLINRUN_TESTS_SLOW_START_FLEET_HPP_

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <deque>
#include <memory>
#include <queue>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "slow_start_scenario.hpp"

namespace merlinrun::testing {

// A fleet of sidecars and servers in simulated time.
class Fleet {
 public:
  // The Balancers get `balancer_settings` if given, otherwise the scenario's settings. The measurement always
  // uses the scenario's settings.
  Fleet(const Scenario& scenario, std::uint64_t seed, const Settings* balancer_settings = nullptr)
      : scenario_(scenario),
        balancer_settings_(balancer_settings != nullptr ? *balancer_settings : scenario.settings),
        random_(seed) {
    for (int i = 0; i < scenario.servers; ++i) AddServer(0);
    double total_share = 0;
    for (int i = 0; i < scenario.sidecars; ++i) {
      sidecars_.push_back(std::make_unique<Sidecar>(*this, i));
      total_share += random_.Chance(0.1) ? random_.Between(2, 6)
                                         : random_.Between(0.5, 1.5);  // some get several times the mean
      cumulative_shares_.push_back(total_share);
    }
    for (const Server& server : servers_) total_capacity_ += Capacity(server);
    for (int i = 0; i < scenario.sidecars; ++i) StartSidecar(i);
    ScheduleStarts();
    Push({.at = kBegin + NextArrival(), .kind = Event::kArrival});
  }

  // Runs the scenario to its end.
  FleetResult Run() {
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = std::max(now_, event.at);
      if (now_ > kBegin + scenario_.end) break;
      Handle(event);
    }
    return std::move(result_);
  }

 private:
  static constexpr Micros kBegin = 1000 * kSec;
  static constexpr double kMaxUnfinishedPerCore = 10;  // a server with more refuses new requests
  static constexpr double kLullTraffic = 0.03;         // traffic in a lull, as a share of the normal traffic
  static constexpr double kErrorRate = 0.005;          // share of the requests that fail at random

  using Event = FleetEvent;
  using Server = FleetServer;
  using Call = FleetCall;
  struct Sidecar : ActionSink {
    Sidecar(Fleet& owner, int index) : fleet(owner), number(index) {}
    void Send(std::string_view request, const std::string& server, Micros timeout) override {
      fleet.OnSend(*this, request, server, timeout);
    }
    void Cancel(std::string_view, int) override {}
    void Refuse(std::string_view request, Micros retry_after) override {
      fleet.OnAnswer(request, true, retry_after);
    }
    void Fail(std::string_view request) override { fleet.OnAnswer(request, false, 0); }
    void SetTimer(Micros delay, std::uint64_t token) override {
      fleet.Push({.at = fleet.now_ + delay,
                  .kind = Event::kTimer,
                  .sidecar = number,
                  .incarnation = incarnation,
                  .token = token});
    }
    void Subscribe() override {}
    void Log(std::string_view) override {}

    Fleet& fleet;
    int number;
    int incarnation = 0;
    std::unique_ptr<Balancer> balancer;
    std::vector<Micros> known_starts;  // by server: the start time that it knows
  };

  void Push(Event event) {
    event.order = order_++;
    events_.push(event);
  }

  int AddServer(Micros started) {
    Server server;
    server.info.id = "s" + std::to_string(servers_.size());
    server.info.zone = static_cast<int>(servers_.size() % 2);
    server.size = scenario_.sizes_differ ? std::exp(random_.Between(std::log(0.5), std::log(2))) : 1;
    const bool rough = scenario_.settings.weights == Settings::Weights::kRough;
    server.info.weight = server.size * (rough ? random_.Between(0.8, 1.25) : 1);
    server.info.started = started;
    server.up = started == 0;
    server.core_free_at.assign(static_cast<std::size_t>(scenario_.cores), 0);
    servers_.push_back(std::move(server));
    return static_cast<int>(servers_.size()) - 1;
  }

  double Capacity(const Server& server) const { return scenario_.capacity * server.size; }
  double WarmupFraction(const Server& server) const {
    const Settings& s = scenario_.settings;
    const Micros age = now_ - server.info.started;
    if (server.info.started == 0 || age >= s.slow_start_duration) return 1;
    return s.slow_start_share +
           (1 - s.slow_start_share) * static_cast<double>(age) / static_cast<double>(s.slow_start_duration);
  }

  void ScheduleStarts() {
    const Micros start_time = kBegin + scenario_.start_time;
    std::vector<int> starting;
    const auto plan = [&](int server, Micros at) {
      starting.push_back(server);
      Push({.at = at, .kind = Event::kStart, .server = server});
      if (server >= scenario_.servers) return;
      if (random_.Chance(0.5)) Push({.at = at - 2 * kSec, .kind = Event::kDrain, .server = server});
      Push({.at = at - random_.UpTo(500 * kMs), .kind = Event::kStop, .server = server});
    };
    const bool together = random_.Chance(0.5);
    if (scenario_.disturbance == Disturbance::kZoneRestarts) {
      for (int i = 0; i < scenario_.servers; i += 2)
        plan(i, start_time + (together ? 0 : random_.UpTo(500 * kMs)));
    } else if (scenario_.disturbance == Disturbance::kRollingRestart) {
      const Micros step =
          std::min(scenario_.settings.slow_start_duration, scenario_.end - scenario_.start_time) /
          scenario_.servers;
      for (int i = 0; i < scenario_.servers; ++i) plan(i, start_time + i * step);
    } else {
      for (int i = 0; i < scenario_.starting_servers; ++i) {
        const Micros at = start_time + (together ? 0 : random_.UpTo(2 * kSec));
        plan(random_.Chance(0.5) ? AddServer(at) : i, at);
      }
    }
    const auto others = [&](Event::Kind kind, double share) {
      for (int i = 0; i < scenario_.servers; ++i)
        if (std::find(starting.begin(), starting.end(), i) == starting.end() && random_.Chance(share))
          Push({.at = start_time + random_.UpTo(500 * kMs), .kind = kind, .server = i});
    };
    if (scenario_.disturbance == Disturbance::kOthersSlowDown) others(Event::kSlowDown, 1);
    if (scenario_.disturbance == Disturbance::kOthersDrain) others(Event::kDrain, 0.5);
    if (scenario_.disturbance == Disturbance::kAllOthersDrain) others(Event::kDrain, 1);
    const Micros restarts_within = scenario_.disturbance == Disturbance::kRollingRestart
                                       ? scenario_.end - scenario_.start_time
                                       : 2 * kSec;
    if (scenario_.disturbance == Disturbance::kSidecarsRestart ||
        scenario_.disturbance == Disturbance::kRollingRestart)
      for (int i = 0; i < scenario_.sidecars; ++i)
        if (random_.Chance(0.7))
          Push({.at = start_time + random_.UpTo(restarts_within),
                .kind = Event::kSidecarRestart,
                .sidecar = i});
  }

  // Time to the next arrival: exponentially distributed, with the rate of each period (normal, lull, burst)
  // in turn.
  Micros NextArrival() {
    const Micros lull = kBegin + scenario_.start_time;
    const Micros burst = lull + scenario_.lull_duration;
    const Micros normal = burst + scenario_.burst_duration;
    const double remaining = random_.Exponential();
    double used = 0;
    for (Micros at = now_;;) {
      const bool in_lull = at >= lull && at < burst;
      const bool in_burst = at >= burst && at < normal;
      const double rate = scenario_.load * total_capacity_ *
                          (in_lull    ? kLullTraffic
                           : in_burst ? scenario_.burst
                                      : 1) /
                          kSec;
      const Micros until = at < lull  ? lull
                           : in_lull  ? burst
                           : in_burst ? normal
                                      : kBegin + 10 * scenario_.end;
      const double arrivals = rate * static_cast<double>(until - at);
      if (used + arrivals >= remaining || until > kBegin + scenario_.end)
        return at - now_ + 1 + static_cast<Micros>((remaining - used) / rate);
      used += arrivals;
      at = until;
    }
  }

  void Handle(const Event& event) {
    Server* server = event.server < static_cast<int>(servers_.size())
                         ? &servers_[static_cast<std::size_t>(event.server)]
                         : nullptr;
    Sidecar& sidecar = *sidecars_[static_cast<std::size_t>(event.sidecar)];
    switch (event.kind) {
      case Event::kArrival: {
        Push({.at = now_ + NextArrival(), .kind = Event::kArrival});
        const double at = random_.Uniform() * cumulative_shares_.back();
        const auto i = std::upper_bound(cumulative_shares_.begin(), cumulative_shares_.end(), at) -
                       cumulative_shares_.begin();
        // Drawn in statements of their own: the order in which arguments are evaluated is not defined.
        const int request_class = random_.Below(4);
        const double work = 0.4 * random_.Exponential() + 0.6;
        return Arrive(static_cast<int>(i), request_class, work, 0);
      }
      case Event::kRetry: {
        const Call call = calls_[static_cast<std::size_t>(event.call)];
        return Arrive(call.sidecar, call.request_class, call.work, call.client_retries + 1);
      }
      case Event::kOutcome:
        return Resolve(event, sidecar);
      case Event::kTimer:
        if (event.incarnation == sidecar.incarnation) sidecar.balancer->OnTimer(now_, event.token);
        return;
      case Event::kNotify:
        sidecar.known_starts[static_cast<std::size_t>(event.server)] = server->info.started;
        return sidecar.balancer->OnServers(
            now_, {ListUpdate::Kind::kDelta, ++version_, std::span(&server->info, 1)});
      case Event::kDrain:
        server->info.state = ServerInfo::State::kDraining;
        return NotifyAll(event.server);
      case Event::kStop:
        server->up = false;
        ++server->starts;
        return;
      case Event::kStart: {
        Server restarted;
        restarted.info = server->info;
        restarted.size = server->size;
        restarted.starts = server->starts + 1;
        *server = restarted;
        server->core_free_at.assign(static_cast<std::size_t>(scenario_.cores), now_);
        server->info.started = now_;
        server->info.state = ServerInfo::State::kHealthy;
        server->start_index = result_.starts.size();
        result_.starts.emplace_back();
        return NotifyAll(event.server);
      }
      case Event::kSlowDown:
        server->speed = 0.3;
        return;
      case Event::kSidecarRestart:
        ++sidecar.incarnation;
        return StartSidecar(event.sidecar);
    }
  }

  void NotifyAll(int server) {
    for (int i = 0; i < scenario_.sidecars; ++i)
      Push({.at = now_ + random_.UpTo(scenario_.notify_within),
            .kind = Event::kNotify,
            .sidecar = i,
            .server = server});
  }

  // Starts a sidecar process. Its first list is the current list of discovery.
  void StartSidecar(int number) {
    Sidecar& sidecar = *sidecars_[static_cast<std::size_t>(number)];
    Settings settings = balancer_settings_;
    settings.rank = static_cast<std::uint32_t>(number);
    settings.zone = number % 2;
    std::string error;
    sidecar.balancer = Balancer::Create(settings, random_.UpTo(1LL << 50), now_, sidecar, error);
    sidecar.known_starts.assign(servers_.size() + static_cast<std::size_t>(scenario_.starting_servers), 0);
    std::vector<ServerInfo> list;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      if (servers_[i].info.started > now_) continue;  // not started yet
      list.push_back(servers_[i].info);
      sidecar.known_starts[i] = servers_[i].info.started;
    }
    sidecar.balancer->OnServers(now_, {ListUpdate::Kind::kStale, ++version_, list});
  }

  void Arrive(int number, int request_class, double work, int client_retries) {
    Sidecar& sidecar = *sidecars_[static_cast<std::size_t>(number)];
    const RequestClass& c = scenario_.settings.classes[static_cast<std::size_t>(request_class)];
    const Micros budget = c.deadline;
    calls_.push_back({number, sidecar.incarnation, now_ + budget, work, request_class, client_retries});
    ++result_.requests;
    const std::string id = "r" + std::to_string(calls_.size() - 1);
    Request request;
    request.id = id;
    request.request_class = request_class;
    request.budget = budget;
    request.repeated = client_retries > 0;
    if (scenario_.cost_hints)
      request.cost = 1 + static_cast<Micros>(work * 1000 * random_.Between(0.8, 1.25));
    sidecar.balancer->OnRequest(now_, request);
  }

  Call& FindCall(std::string_view id) {
    std::size_t i = 0;
    std::from_chars(id.data() + 1, id.data() + id.size(), i);
    return calls_.at(i);
  }

  void OnAnswer(std::string_view id, bool refused, Micros retry_after) {
    Call& call = FindCall(id);
    call.ended = true;
    if (refused && call.client_retries < 2 && random_.Chance(0.5))
      Push({.at = now_ + retry_after + random_.UpTo(500 * kMs),
            .kind = Event::kRetry,
            .call = static_cast<int>(&call - calls_.data())});
  }

  void OnSend(Sidecar& sidecar, std::string_view id, const std::string& name, Micros timeout) {
    ++result_.sends;
    Call& call = FindCall(id);
    std::size_t index = 0;
    std::from_chars(name.data() + 1, name.data() + name.size(), index);
    Server& server = servers_.at(index);
    Event event{.at = now_ + 1 * kMs,
                .kind = Event::kOutcome,
                .sidecar = sidecar.number,
                .incarnation = sidecar.incarnation,
                .call = static_cast<int>(&call - calls_.data()),
                .attempt = call.attempts++,
                .server = static_cast<int>(index),
                .sent = now_};
    if (server.up) CountSlowStartSend(server, call.work, sidecar.known_starts[index] == server.info.started);
    event.server_start = server.starts;
    while (!server.finish_times.empty() && server.finish_times.front() <= now_)
      server.finish_times.pop_front();
    if (!server.up) {
      event.result = Result::kUnreachable;
    } else if (static_cast<double>(server.finish_times.size()) > kMaxUnfinishedPerCore * scenario_.cores) {
      event.result = Result::kRefused;
    } else if (random_.Chance(kErrorRate)) {
      event.result = Result::kError;
    } else {
      Micros& core = *std::min_element(server.core_free_at.begin(), server.core_free_at.end());
      const double rate = Capacity(server) * server.speed * WarmupFraction(server) / scenario_.cores;
      const double noise = random_.Between(0.8, 1.2);
      core = std::max(core, now_) + static_cast<Micros>(call.work * noise / rate * kSec);
      server.finish_times.insert(
          std::upper_bound(server.finish_times.begin(), server.finish_times.end(), core), core);
      const Micros timeout_at = timeout > 0 ? std::min(now_ + timeout, call.deadline) : call.deadline;
      event.at = std::min(core, timeout_at);
      if (core > timeout_at) event.result = Result::kTimeout;
    }
    Push(event);
  }

  void Resolve(const Event& event, Sidecar& sidecar) {
    if (event.incarnation != sidecar.incarnation) return;
    const Server& server = servers_[static_cast<std::size_t>(event.server)];
    Call& call = calls_[static_cast<std::size_t>(event.call)];
    Outcome outcome;
    const std::string id = "r" + std::to_string(event.call);
    outcome.request = id;
    outcome.attempt = event.attempt;
    outcome.result = event.result;
    if (event.result == Result::kSuccess && event.server_start != server.starts)
      outcome.result = Result::kReset;
    if (outcome.result == Result::kSuccess) call.ended = true, ++result_.served;
    outcome.elapsed = now_ - event.sent;
    outcome.final_answer_sent = call.ended;
    if (scenario_.settings.reports == Settings::Reports::kInAnswers && outcome.result == Result::kSuccess)
      outcome.load.cpu = std::min(1.0, static_cast<double>(server.finish_times.size()) / scenario_.cores);
    sidecar.balancer->OnOutcome(now_, outcome);
  }

  // Applies the rule for slow start: a server is overloaded by more than N + 2 * sqrt(N) + 2 requests of mean
  // work within the overload window, where N is what the settings allow it at its present warm-up. Every
  // request that arrives counts. An overloaded server stays down.
  void CountSlowStartSend(Server& server, double work, bool informed) {
    const Settings& s = scenario_.settings;
    if (server.info.started == 0 || now_ - server.info.started >= s.slow_start_duration) return;
    ++result_.slow_start_sends;
    server.window.push_back({now_, work, informed});
    server.sent += work;
    if (informed) server.sent_informed += work;
    while (server.window.front().at <= now_ - s.overload_window) {
      server.sent -= server.window.front().work;
      if (server.window.front().informed) server.sent_informed -= server.window.front().work;
      server.window.pop_front();
    }
    StartLoad next;
    next.allowed = s.overload_factor * WarmupFraction(server) * Capacity(server) *
                   static_cast<double>(s.overload_window) / kSec;
    next.sent = server.sent;
    next.informed = server.sent_informed;
    next.overloaded = next.sent > next.max_allowed();
    StartLoad& peak = result_.starts.at(server.start_index);
    if (!peak.overloaded && next.used_share() > peak.used_share()) peak = next;
    if (next.overloaded) server.up = false;
  }

  const Scenario scenario_;
  const Settings balancer_settings_;
  RandomSource random_;
  Micros now_ = kBegin;
  std::int64_t order_ = 0;
  std::int64_t version_ = 0;
  double total_capacity_ = 0;              // capacity of the initial servers
  std::vector<double> cumulative_shares_;  // cumulative shares of the traffic, by sidecar
  std::vector<Server> servers_;
  std::vector<std::unique_ptr<Sidecar>> sidecars_;
  std::vector<Call> calls_;
  std::priority_queue<Event> events_;
  FleetResult result_;
};

}  // namespace merlinrun::testing

#endif  // MERLINRUN_TESTS_SLOW_START_FLEET_HPP_
