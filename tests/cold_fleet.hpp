// A play of a fleet in virtual time: many Balancers before servers of which some come cold, and a count of
// what each cold server gets. Deterministic by its seed. The count goes by the rule's words and the true
// servers alone: it knows nothing of what the module reckons.
#ifndef MERLINRUN_TESTS_COLD_FLEET_HPP_
#define MERLINRUN_TESTS_COLD_FLEET_HPP_

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

#include "cold_scene.hpp"

namespace merlinrun::testing {

class Fleet {
 public:
  // The Balancers are told `untrue` in place of the scene's settings, if that is given; the count is not.
  Fleet(const Scene& scene, std::uint64_t seed, const Settings* untrue = nullptr)
      : scene_(scene), settings_(untrue != nullptr ? *untrue : scene.rules), dice_(seed) {
    for (int i = 0; i < scene.servers; ++i) AddServer(0);
    double all = 0;
    for (int i = 0; i < scene.sidecars; ++i) {
      sidecars_.push_back(std::make_unique<Sidecar>(*this, i));
      all += dice_.Chance(0.1) ? dice_.Between(2, 6)
                               : dice_.Between(0.5, 1.5);  // some see several times the mean
      shares_.push_back(all);
    }
    for (const Server& server : servers_) total_ += Capacity(server);
    for (int i = 0; i < scene.sidecars; ++i) Start(i);
    PlanMoment();
    Push({.at = kBegin + NextArrival(), .kind = Event::kArrival});
  }

  Count Play() {
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = std::max(now_, event.at);
      if (now_ > kBegin + scene_.end) break;
      Happen(event);
    }
    return std::move(count_);
  }

 private:
  static constexpr Micros kBegin = 1000 * kSec;
  static constexpr double kQueuePerCore = 10;
  static constexpr double kLull = 0.03;     // share of the usual traffic that arrives in a lull
  static constexpr double kErrors = 0.005;  // share of the requests that fail anywhere

  using Event = FleetEvent;
  using Server = FleetServer;
  using Call = FleetCall;
  struct Sidecar : ActionSink {
    Sidecar(Fleet& f, int n) : fleet(f), number(n) {}
    void Send(std::string_view request, const std::string& server, Micros timeout) override {
      fleet.OnSend(*this, request, server, timeout);
    }
    void Cancel(std::string_view, int) override {}
    void Refuse(std::string_view request, Micros retry_after) override {
      fleet.OnEnd(request, true, retry_after);
    }
    void Fail(std::string_view request) override { fleet.OnEnd(request, false, 0); }
    void SetTimer(Micros delay, std::uint64_t token) override {
      fleet.Push(
          {.at = fleet.now_ + delay, .kind = Event::kTimer, .sidecar = number, .life = life, .token = token});
    }
    void Subscribe() override {}
    void Log(std::string_view) override {}

    Fleet& fleet;
    int number;
    int life = 0;
    std::unique_ptr<Balancer> balancer;
    std::vector<Micros> told;  // by server: the start that it was last told of
  };

  void Push(Event event) {
    event.order = order_++;
    events_.push(event);
  }

  int AddServer(Micros started) {
    Server server;
    server.info.id = "s" + std::to_string(servers_.size());
    server.info.zone = static_cast<int>(servers_.size() % 2);
    server.size = scene_.sizes ? std::exp(dice_.Between(std::log(0.5), std::log(2))) : 1;
    const bool rough = scene_.rules.weights == Settings::Weights::kRough;
    server.info.weight = server.size * (rough ? dice_.Between(0.8, 1.25) : 1);
    server.info.started = started;
    server.up = started == 0;
    server.free_at.assign(static_cast<std::size_t>(scene_.cores), 0);
    servers_.push_back(std::move(server));
    return static_cast<int>(servers_.size()) - 1;
  }

  double Capacity(const Server& server) const { return scene_.capacity * server.size; }
  double Warmth(const Server& server) const {
    const Settings& s = scene_.rules;
    const Micros age = now_ - server.info.started;
    if (server.info.started == 0 || age >= s.slow_start_duration) return 1;
    return s.slow_start_share +
           (1 - s.slow_start_share) * static_cast<double>(age) / static_cast<double>(s.slow_start_duration);
  }

  void PlanMoment() {
    const Micros moment = kBegin + scene_.moment;
    std::vector<int> cold;
    const auto plan = [&](int server, Micros at) {
      cold.push_back(server);
      Push({.at = at, .kind = Event::kUp, .server = server});
      if (server >= scene_.servers) return;
      if (dice_.Chance(0.5)) Push({.at = at - 2 * kSec, .kind = Event::kDrain, .server = server});
      Push({.at = at - dice_.Upto(500 * kMs), .kind = Event::kDown, .server = server});
    };
    const bool together = dice_.Chance(0.5);
    if (scene_.trouble == Trouble::kZoneCold) {
      for (int i = 0; i < scene_.servers; i += 2) plan(i, moment + (together ? 0 : dice_.Upto(500 * kMs)));
    } else if (scene_.trouble == Trouble::kRolling) {
      const Micros step =
          std::min(scene_.rules.slow_start_duration, scene_.end - scene_.moment) / scene_.servers;
      for (int i = 0; i < scene_.servers; ++i) plan(i, moment + i * step);
    } else {
      for (int i = 0; i < scene_.cold; ++i) {
        const Micros at = moment + (together ? 0 : dice_.Upto(2 * kSec));
        plan(dice_.Chance(0.5) ? AddServer(at) : i, at);
      }
    }
    const auto others = [&](Event::Kind kind, double share) {
      for (int i = 0; i < scene_.servers; ++i)
        if (std::find(cold.begin(), cold.end(), i) == cold.end() && dice_.Chance(share))
          Push({.at = moment + dice_.Upto(500 * kMs), .kind = kind, .server = i});
    };
    if (scene_.trouble == Trouble::kOthersSlow) others(Event::kSlow, 1);
    if (scene_.trouble == Trouble::kOthersDrain) others(Event::kDrain, 0.5);
    if (scene_.trouble == Trouble::kOnlyColdLeft) others(Event::kDrain, 1);
    const Micros restarts_within =
        scene_.trouble == Trouble::kRolling ? scene_.end - scene_.moment : 2 * kSec;
    if (scene_.trouble == Trouble::kSidecarsRestart || scene_.trouble == Trouble::kRolling)
      for (int i = 0; i < scene_.sidecars; ++i)
        if (dice_.Chance(0.7))
          Push({.at = moment + dice_.Upto(restarts_within), .kind = Event::kRestart, .sidecar = i});
  }

  // Exponential, at the rate of each span of time in turn.
  Micros NextArrival() {
    const Micros lull = kBegin + scene_.moment;
    const Micros burst = lull + scene_.lull_time;
    const Micros usual = burst + scene_.burst_time;
    const double left = dice_.Exponential();
    double spent = 0;
    for (Micros at = now_;;) {
      const bool resting = at >= lull && at < burst;
      const bool bursting = at >= burst && at < usual;
      const double rate = scene_.load * total_ * (resting ? kLull : bursting ? scene_.burst : 1) / kSec;
      const Micros until = at < lull ? lull : resting ? burst : bursting ? usual : kBegin + 10 * scene_.end;
      const double all = rate * static_cast<double>(until - at);
      if (spent + all >= left || until > kBegin + scene_.end)
        return at - now_ + 1 + static_cast<Micros>((left - spent) / rate);
      spent += all;
      at = until;
    }
  }

  void Happen(const Event& event) {
    Server* server = event.server < static_cast<int>(servers_.size())
                         ? &servers_[static_cast<std::size_t>(event.server)]
                         : nullptr;
    Sidecar& sidecar = *sidecars_[static_cast<std::size_t>(event.sidecar)];
    switch (event.kind) {
      case Event::kArrival: {
        Push({.at = now_ + NextArrival(), .kind = Event::kArrival});
        const double at = dice_.Unit() * shares_.back();
        const auto i = std::upper_bound(shares_.begin(), shares_.end(), at) - shares_.begin();
        return Arrive(static_cast<int>(i), dice_.Below(4), 0.4 * dice_.Exponential() + 0.6, 0);
      }
      case Event::kRetry: {
        const Call call = calls_[static_cast<std::size_t>(event.subject)];
        return Arrive(call.sidecar, call.request_class, call.work, call.tries + 1);
      }
      case Event::kOutcome:
        return Resolve(event, sidecar);
      case Event::kTimer:
        if (event.life == sidecar.life) sidecar.balancer->OnTimer(now_, event.token);
        return;
      case Event::kTell:
        sidecar.told[static_cast<std::size_t>(event.server)] = server->info.started;
        return sidecar.balancer->OnServers(
            now_, {ListUpdate::Kind::kDelta, ++version_, std::span(&server->info, 1)});
      case Event::kDrain:
        server->info.state = ServerInfo::State::kDraining;
        return TellAll(event.server);
      case Event::kDown:
        server->up = false;
        ++server->starts;
        return;
      case Event::kUp: {
        Server fresh;
        fresh.info = server->info;
        fresh.size = server->size;
        fresh.starts = server->starts + 1;
        *server = fresh;
        server->free_at.assign(static_cast<std::size_t>(scene_.cores), now_);
        server->info.started = now_;
        server->info.state = ServerInfo::State::kHealthy;
        server->counted = count_.starts.size();
        count_.starts.emplace_back();
        return TellAll(event.server);
      }
      case Event::kSlow:
        server->speed = 0.3;
        return;
      case Event::kRestart:
        ++sidecar.life;
        return Start(event.sidecar);
    }
  }

  void TellAll(int server) {
    for (int i = 0; i < scene_.sidecars; ++i)
      Push({.at = now_ + dice_.Upto(scene_.told_within),
            .kind = Event::kTell,
            .sidecar = i,
            .server = server});
  }

  // A new process: its first list is what discovery has now.
  void Start(int number) {
    Sidecar& sidecar = *sidecars_[static_cast<std::size_t>(number)];
    Settings settings = settings_;
    settings.rank = static_cast<std::uint32_t>(number);
    settings.zone = number % 2;
    std::string error;
    sidecar.balancer = Balancer::Create(settings, dice_.Upto(1LL << 50), now_, sidecar, error);
    sidecar.told.assign(servers_.size() + static_cast<std::size_t>(scene_.cold), 0);
    std::vector<ServerInfo> list;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      if (servers_[i].info.started > now_) continue;  // yet to come
      list.push_back(servers_[i].info);
      sidecar.told[i] = servers_[i].info.started;
    }
    sidecar.balancer->OnServers(now_, {ListUpdate::Kind::kStale, ++version_, list});
  }

  void Arrive(int number, int request_class, double work, int tries) {
    Sidecar& sidecar = *sidecars_[static_cast<std::size_t>(number)];
    const RequestClass& c = scene_.rules.classes[static_cast<std::size_t>(request_class)];
    const Micros budget = c.deadline;
    calls_.push_back({number, sidecar.life, now_ + budget, work, request_class, tries});
    ++count_.requests;
    const std::string id = "r" + std::to_string(calls_.size() - 1);
    Request request;
    request.id = id;
    request.request_class = request_class;
    request.budget = budget;
    request.repeated = tries > 0;
    if (scene_.hinted) request.cost = 1 + static_cast<Micros>(work * 1000 * dice_.Between(0.8, 1.25));
    sidecar.balancer->OnRequest(now_, request);
  }

  Call& CallOf(std::string_view id) {
    std::size_t i = 0;
    std::from_chars(id.data() + 1, id.data() + id.size(), i);
    return calls_.at(i);
  }

  void OnEnd(std::string_view id, bool refused, Micros retry_after) {
    Call& call = CallOf(id);
    call.ended = true;
    if (refused && call.tries < 2 && dice_.Chance(0.5))
      Push({.at = now_ + retry_after + dice_.Upto(500 * kMs),
            .kind = Event::kRetry,
            .subject = static_cast<int>(&call - calls_.data())});
  }

  void OnSend(Sidecar& sidecar, std::string_view id, const std::string& name, Micros timeout) {
    ++count_.sends;
    Call& call = CallOf(id);
    std::size_t which = 0;
    std::from_chars(name.data() + 1, name.data() + name.size(), which);
    Server& server = servers_.at(which);
    Event event{.at = now_ + 1 * kMs,
                .kind = Event::kOutcome,
                .sidecar = sidecar.number,
                .life = sidecar.life,
                .subject = static_cast<int>(&call - calls_.data()),
                .attempt = call.attempts++,
                .server = static_cast<int>(which),
                .sent = now_};
    if (server.up) CountCold(server, call.work, sidecar.told[which] == server.info.started);
    event.start = server.starts;
    while (!server.finish.empty() && server.finish.front() <= now_) server.finish.pop_front();
    if (!server.up) {
      event.result = Result::kUnreachable;
    } else if (static_cast<double>(server.finish.size()) > kQueuePerCore * scene_.cores) {
      event.result = Result::kRefused;
    } else if (dice_.Chance(kErrors)) {
      event.result = Result::kError;
    } else {
      Micros& core = *std::min_element(server.free_at.begin(), server.free_at.end());
      const double rate = Capacity(server) * server.speed * Warmth(server) / scene_.cores;
      const double noise = dice_.Between(0.8, 1.2);
      core = std::max(core, now_) + static_cast<Micros>(call.work * noise / rate * kSec);
      server.finish.insert(std::upper_bound(server.finish.begin(), server.finish.end(), core), core);
      const Micros given_up = timeout > 0 ? std::min(now_ + timeout, call.deadline) : call.deadline;
      event.at = std::min(core, given_up);
      if (core > given_up) event.result = Result::kTimeout;
    }
    Push(event);
  }

  void Resolve(const Event& event, Sidecar& sidecar) {
    if (event.life != sidecar.life) return;
    const Server& server = servers_[static_cast<std::size_t>(event.server)];
    Call& call = calls_[static_cast<std::size_t>(event.subject)];
    Outcome outcome;
    const std::string id = "r" + std::to_string(event.subject);
    outcome.request = id;
    outcome.attempt = event.attempt;
    outcome.result = event.result;
    if (event.result == Result::kSuccess && event.start != server.starts) outcome.result = Result::kReset;
    if (outcome.result == Result::kSuccess) call.ended = true, ++count_.served;
    outcome.elapsed = now_ - event.sent;
    outcome.final_answer_sent = call.ended;
    if (scene_.rules.reports == Settings::Reports::kInAnswers && outcome.result == Result::kSuccess)
      outcome.load.cpu = std::min(1.0, static_cast<double>(server.finish.size()) / scene_.cores);
    sidecar.balancer->OnOutcome(now_, outcome);
  }

  // The rule, word for word: more than N + 2 x root of N + 2 requests of mean work within the window, N being
  // what the settings allow it now; all that arrives counts. What falls stays down.
  void CountCold(Server& server, double work, bool told) {
    const Settings& s = scene_.rules;
    if (server.info.started == 0 || now_ - server.info.started >= s.slow_start_duration) return;
    ++count_.cold_sends;
    server.window.push_back({now_, work, told});
    server.sent += work;
    if (told) server.sent_told += work;
    while (server.window.front().at <= now_ - s.overload_window) {
      server.sent -= server.window.front().work;
      if (server.window.front().told) server.sent_told -= server.window.front().work;
      server.window.pop_front();
    }
    ColdCount next;
    next.n =
        s.overload_factor * Warmth(server) * Capacity(server) * static_cast<double>(s.overload_window) / kSec;
    next.sent = server.sent;
    next.told = server.sent_told;
    next.fell = next.sent > next.most();
    ColdCount& worst = count_.starts.at(server.counted);
    if (!worst.fell && next.fill() > worst.fill()) worst = next;
    if (next.fell) server.up = false;
  }

  const Scene scene_;
  const Settings settings_;
  Dice dice_;
  Micros now_ = kBegin;
  std::int64_t order_ = 0;
  std::int64_t version_ = 0;
  double total_ = 0;            // capacity of all servers at the start
  std::vector<double> shares_;  // of the traffic, by sidecar, added up
  std::vector<Server> servers_;
  std::vector<std::unique_ptr<Sidecar>> sidecars_;
  std::vector<Call> calls_;
  std::priority_queue<Event> events_;
  Count count_;
};

}  // namespace merlinrun::testing

#endif  // MERLINRUN_TESTS_COLD_FLEET_HPP_
