// The decisions of the balancer. The interface is include/merlinrun/balancer.hpp, the constants are in
// tunables.hpp.
//
// Order of this file: the list of servers and the window, learned state, the life of a request, admission,
// server statistics, the choice of a server, retries and the end of a request, discovery.
#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <deque>
#include <map>
#include <sstream>
#include <unordered_map>
#include <utility>

#include "admin_down_servers.hpp"
#include "merlinrun/balancer.hpp"
#include "records.hpp"
#include "stale_list_guard.hpp"
#include "tunables.hpp"

namespace merlinrun {
namespace {

bool Answered(Result result) {
  return result == Result::kSuccess || result == Result::kError || result == Result::kRefused;
}

Micros ExponentialBackoff(Micros base, int exponent, Micros cap) {
  return std::min(cap, base << std::min(exponent, 20));  // 20 doublings exceed any cap and do not overflow
}

// The number of servers in the window. A sidecar with many attempts in flight gets a larger window, in
// proportion to its own traffic and independent of the fleet's size; with a fixed size a few busy callers
// overload the servers of their windows while others are idle.
std::size_t WindowSize(const Pool& pool, const Settings& settings) {
  const double per_in_flight =
      settings.cost_connection > 0 ? kWindowServersPerInFlight : kWindowServersPerInFlightAtNoCost;
  return std::min(std::max(kMinWindowServers, static_cast<std::size_t>(per_in_flight * pool.in_flight_peak)),
                  pool.ring.size());
}

}  // namespace

// The implementation of Balancer, with the time of the event in now_.
class Balancer::State {
 public:
  State(const Settings& settings, std::uint64_t seed, Micros now, ActionSink& sink)
      : settings_(settings),
        sink_(sink),
        random_(seed),
        now_(now),
        stale_list_guard_(settings),
        class_loads_(settings.classes.size()),
        rate_updated_at_(now) {}

  // Time never runs backwards: an event with an earlier time is taken as simultaneous with the last one.
  State& AdvanceTo(Micros now) { return now_ = std::max(now_, now), *this; }

  // ---- The list of servers and the window on its ring ----

  void OnServers(const ListUpdate& update) {
    if (update.kind == ListUpdate::Kind::kFailed) {
      const Micros max_delay = ExponentialBackoff(
          std::max(kSubscribeRetryBase, kSecond * settings_.sidecar_count / kSubscribesPerSecond),
          failed_subscribes_++, settings_.ask_within);
      return ScheduleSubscribe(std::min(max_delay, update.ask_within.value_or(max_delay)));
    }
    if (update.kind != ListUpdate::Kind::kDelta)
      for (auto& [id, server] : servers_) server.listed = false;
    const bool rebuild =
        update.kind != ListUpdate::Kind::kDelta || update.servers.size() > kMaxIncrementalChanges;
    for (const ServerInfo& info : update.servers) {
      Server& server = servers_[info.id];
      if (!rebuild) pools_[server.pool].Remove(server);
      // A new process: the credit is random, so that not all sidecars send to it at once.
      if (info.started != server.info.started)
        server.slow_start_credit = {random_.Unit(), served_count_, now_};
      server.info = info;
      admin_down_.OnListed(info.id, info.started);
      server.pool = settings_.cost_cross_zone >= kMinCrossZoneCost && info.zone != settings_.zone ? 1 : 0;
      server.listed = info.state != ServerInfo::State::kGone;
      if (!rebuild) AddToRingIfEligible(server);
    }
    if (rebuild) RebuildRings();
    UpdateWindows();
    if (update.kind != ListUpdate::Kind::kStale) return void(failed_subscribes_ = 0);
    // The list is a stored one from before the start. The first Subscribe is delayed at random, as all
    // sidecars may have started together; the delay is short where no server is available until the answer. A
    // sidecar that takes over from another process starts alone, and changes that its predecessor received
    // take effect for it too, so it subscribes at once.
    const Micros max_spread = settings_.ask_within / 2;
    ScheduleSubscribe(settings_.takes_over ? 0
                      : NoServerListed()   ? std::min(kSubscribeRetryBase, max_spread)
                                           : max_spread);
  }

  void OnListStaleness(std::optional<Micros> effective_from) {
    const auto ended_pause = stale_list_guard_.SetEffectiveFrom(now_, effective_from);
    if (ended_pause) LogDispatchPause("usable again", *ended_pause);
  }

  // Whether nothing may be sent because a server may have drained without this sidecar knowing it.
  bool DispatchPaused() {
    const bool was_paused = stale_list_guard_.paused_since().has_value();
    const bool paused = stale_list_guard_.DispatchPaused(now_);
    if (paused && !was_paused) LogDispatchPause("stale", now_);
    return paused;
  }

  void LogDispatchPause(const char* state, Micros since) {
    char text[80];
    std::snprintf(text, sizeof text, "list: %s; dispatch paused %.3f s ago", state,
                  static_cast<double>(now_ - since) / kSecond);
    sink_.Log(text);
  }

  bool NoServerListed() const { return pools_[0].ring.empty() && pools_[1].ring.empty(); }

  // ---- Administratively down servers ----

  void SetAdminDown(std::string_view id, bool down) {
    const auto server = servers_.find(std::string(id));
    const bool known = server != servers_.end();
    if (down) {
      if (!admin_down_.SetDown(id, known ? std::optional(server->second.info.started) : std::nullopt)) return;
    } else {
      if (!admin_down_.SetUp(id, now_)) return;
      if (known) DiscardStatistics(server->second);
    }
    RebuildRings();
    UpdateWindows();
  }

  // Called when a server is put up again: its process may be a new one, and what was learned of the old one
  // does not hold for it.
  void DiscardStatistics(Server& server) {
    Server fresh;
    fresh.info = server.info;
    fresh.pool = server.pool;
    fresh.listed = server.listed;
    fresh.in_flight = server.in_flight;
    fresh.slow_start_credit = {random_.Unit(), served_count_, now_};
    server = fresh;
  }

  bool IsAdminDown(const Server& server) const { return admin_down_.IsDown(server.info.id); }

  // Adds a server to its ring if it may be sent to. An unlisted one is kept on record while attempts at it
  // are in flight.
  void AddToRingIfEligible(Server& server) {
    if (!server.listed) unlisted_.push_back(server.info.id);
    if (server.listed && server.info.state == ServerInfo::State::kHealthy && !IsAdminDown(server))
      pools_[server.pool].Add(server);
  }

  void RebuildRings() {
    ++ring_rebuilds_;
    unlisted_.clear();
    for (Pool& pool : pools_) pool.ring.clear();
    for (auto& [id, server] : servers_) AddToRingIfEligible(server);
  }

  // Removes unlisted servers without attempts in flight, and adapts the pools to the sizes of their rings.
  void UpdateWindows() {
    std::erase_if(unlisted_, [this](const std::string& id) {
      const auto it = servers_.find(id);
      if (it == servers_.end() || it->second.listed) return true;
      return it->second.in_flight == 0 && servers_.erase(id) > 0;
    });
    for (Pool& pool : pools_) {
      ScaleAdmission(pool, std::exchange(pool.ring_size_before, pool.ring.size()));
      // Ranks are spread evenly over the ring: a server that is added or removed shifts each window by at
      // most one.
      pool.window_offset = static_cast<std::size_t>(static_cast<std::uint64_t>(settings_.rank) *
                                                    pool.ring.size() / settings_.sidecar_count);
    }
  }

  // ---- Learned state for the next process ----

  // A successor that starts during an overload would otherwise take the overload for the usual state.
  std::string ExportLearnedState() {
    std::string text = LearnedStateHeader(settings_) + "\n";
    const auto write = [&](double value) {
      char digits[32];
      std::snprintf(digits, sizeof digits, "%.9g ", value);
      text += digits;
    };
    VisitLearnedState(write);
    for (auto& [id, server] : servers_) {
      if (id.find_first_of(" \n") != std::string::npos) continue;
      text += "\n" + id + " ";
      VisitLearnedState(server, write);
    }
    return text + "\n.\n";
  }

  // The text is read twice, to restore all of it or nothing: the first pass only validates it.
  bool RestoreLearnedState(std::string_view learned) {
    const std::string header = LearnedStateHeader(settings_) + "\n";
    if (learned.substr(0, header.size()) != header) return false;
    learned.remove_prefix(header.size());
    for (const bool commit : {false, true}) {
      std::istringstream in{std::string(learned)};
      const auto read = [&](double& value) {
        double next = -1;
        if (!(in >> next) || !(next >= 0)) in.setstate(std::ios::failbit);
        if (commit) value = next;
      };
      VisitLearnedState(read);
      std::string id;
      while (in >> id && id != ".") {
        const auto server = servers_.find(id);
        Server discarded;
        VisitLearnedState(server == servers_.end() ? discarded : server->second, read);
      }
      if (!in || id != ".") return false;
    }
    for (Pool& pool : pools_) pool.concurrency_limited = HasConcurrencyLimit(pool);
    return true;
  }

  // Visits the learned figures in the order in which they are stored.
  template <typename Visit>
  void VisitLearnedState(Visit visit) {
    for (Pool& pool : pools_)
      for (double* value : {&pool.admission, &pool.in_flight_per_server, &pool.in_flight_samples,
                            &pool.latency_ratio, &pool.unloaded_latency_ratio, &pool.latency_samples,
                            &pool.answer_time.value, &pool.answer_time.samples})
        visit(*value);
    for (ClassLoad& load : class_loads_)
      for (double* value : {&load.mean_work.value, &load.mean_work.samples, &load.answer_time.value,
                            &load.answer_time.samples, &load.arriving_work})
        visit(*value);
    for (FadingMean* mean : {&mean_value_, &mean_value_density_, &served_rate_per_weight_})
      visit(mean->value), visit(mean->samples);
  }
  template <typename Visit>
  void VisitLearnedState(Server& server, Visit visit) {
    visit(server.relative_latency.measured), visit(server.relative_latency.expected);
    server.failure_rates.resize(class_loads_.size());
    server.refusal_rates.resize(class_loads_.size());
    for (double& share : server.failure_rates) visit(share);
    for (double& share : server.refusal_rates) visit(share);
  }

  // ---- The life of a request ----

  void OnRequest(const Request& in) {
    if (in.request_class < 0 || static_cast<std::size_t>(in.request_class) >= class_loads_.size())
      return sink_.Fail(in.id);
    auto [it, inserted] = pending_.try_emplace(std::string(in.id));
    if (!inserted) return;
    PendingRequest& request = it->second;
    request.request_class = static_cast<std::size_t>(in.request_class);
    request.arrived = now_;
    request.deadline = now_ + in.budget;
    request.body_pending = in.body_pending;
    ClassLoad& load = class_loads_[request.request_class];
    load.max_budget = std::max(load.max_budget, in.budget);
    request.already_late = in.budget < load.max_budget - settings_.tick &&
                           ClassOf(request).deadline - in.budget >= ClassOf(request).latency_target;
    CountArrival(request, in.cost);
    if (ClassOf(request).sequential && !in.key.empty())
      key_queues_[request.key = in.key].push_back(it->first);
    const bool infeasible = IsInfeasible(request);
    infeasible_count_ += infeasible;
    const bool admitted = !infeasible && Admit(request);
    LogAdmission(request, admitted);
    if (!admitted) return Finish(it);
    SendOrRetryLater(it);
  }

  void OnOutcome(const Outcome& outcome) {
    auto it = pending_.find(std::string(outcome.request));
    if (it == pending_.end()) return;
    PendingRequest& request = it->second;
    if (outcome.attempt < 0 || static_cast<std::size_t>(outcome.attempt) >= request.attempts.size()) return;
    Attempt& attempt = request.attempts[static_cast<std::size_t>(outcome.attempt)];
    if (!attempt.in_flight) return;
    attempt.in_flight = false;
    attempt.may_have_run = !ProvesNeverRan(outcome.result, settings_.refused_may_have_run);
    --attempt.server->in_flight;
    --pools_[attempt.server->pool].in_flight;
    const bool still_listed =
        attempt.server->listed && attempt.server->info.state == ServerInfo::State::kHealthy;
    if (outcome.result == Result::kSuccess && still_listed) CountServed(pools_[attempt.server->pool]);
    if (Answered(outcome.result)) attempt.server->last_answer_at = now_;
    if (outcome.load.cpu) attempt.server->cores_busy = *outcome.load.cpu >= kBusyCpuShare;
    if (!EndedTooEarlyToTell(request, outcome)) {
      UpdateServerStatistics(request, *attempt.server, attempt.sent, outcome);
      if (!attempt.overload_counted) UpdateAdmission(request, *attempt.server, outcome);
    }
    if (outcome.result == Result::kTimeout || outcome.result == Result::kReset ||
        outcome.result == Result::kCancelled)
      request.key_blocked_until = now_ + settings_.settle_after_doubt;
    if (outcome.final_answer_sent) request.ended = true;
    if (request.ended || request.HasAttemptInFlight()) return RemoveIfDone(it);
    if (outcome.body_consumed) return Finish(it);
    switch (outcome.result) {
      case Result::kRefused:
      case Result::kUnreachable:
      case Result::kReset:
        return RetryLaterOrFinish(it);
      case Result::kSuccess:  // without a final answer: invalid, but the request has to end
      case Result::kError:
      case Result::kTimeout:
      case Result::kCancelled:
      case Result::kNeverSent:
        return Finish(it);
    }
  }

  // The times of a request and of its attempt start with the last byte of its body.
  void OnRequestBodyComplete(std::string_view request, Micros budget) {
    auto it = pending_.find(std::string(request));
    if (it == pending_.end() || !std::exchange(it->second.body_pending, false)) return;
    it->second.arrived = now_;
    it->second.deadline = now_ + budget;
    if (it->second.HasAttemptInFlight()) SetRequestTimer(it, ClassOf(it->second).latency_target);
  }

  void OnClientDisconnected(std::string_view request) {
    auto it = pending_.find(std::string(request));
    if (it == pending_.end()) return;
    it->second.ended = true;
    RemoveIfDone(it);
  }

  void OnTimer(std::uint64_t token) {
    if (token == kSubscribeToken) {
      if (!next_subscribe_at_ || now_ < *next_subscribe_at_) return;  // already done, or rescheduled
      next_subscribe_at_.reset();
      return sink_.Subscribe();
    }
    auto timer = timers_.find(token);
    if (timer == timers_.end()) return;
    auto it = pending_.find(timer->second);
    timers_.erase(timer);
    if (it == pending_.end() || it->second.timer_token != token) return;
    if (it->second.ended) return RemoveIfDone(it);
    if (it->second.HasAttemptInFlight()) return OnLatencyTargetMissed(it->second);
    if (!IsNextForKey(it)) return Finish(it);  // its key was blocked until its deadline
    SendOrRetryLater(it);
  }

  std::size_t pending_request_count() const { return pending_.size(); }
  std::uint64_t ring_rebuild_count() const { return ring_rebuilds_; }

  std::size_t ServersAvoided() const {
    return static_cast<std::size_t>(
        std::count_if(servers_.begin(), servers_.end(), [this](const auto& entry) {
          return entry.second.listed && (IsAdminDown(entry.second) || IsEjected(entry.second));
        }));
  }

 private:
  using PendingIt = std::unordered_map<std::string, PendingRequest>::iterator;
  static constexpr std::uint64_t kSubscribeToken = 0;

  const RequestClass& ClassOf(const PendingRequest& request) const {
    return settings_.classes[request.request_class];
  }

  // Requests with the same key run in order of arrival: only the first in the queue may be sent.
  bool IsNextForKey(PendingIt it) const {
    return it->second.key.empty() || key_queues_.at(it->second.key).front() == it->first;
  }

  void SendOrRetryLater(PendingIt it) {
    PendingRequest& request = it->second;
    request.timer_token = 0;  // the timer for the end of the wait in the queue may still be set
    if (!IsNextForKey(it))
      return SetRequestTimer(it, std::max<Micros>(request.deadline - now_ - 2 * settings_.tick, 0));
    Server* server = request.deadline > now_ && !DispatchPaused() ? ChooseServer(request) : nullptr;
    if (server == nullptr) return RetryLaterOrFinish(it);
    // The credit is consumed only here: a server that was drawn but not chosen must not lose any.
    server->slow_start_credit.available = std::max(server->slow_start_credit.available - 1, 0.0);
    if (server->in_flight++ == 0) server->last_answer_at = now_;
    Pool& pool = pools_[server->pool];
    pool.in_flight_peak =
        std::max(static_cast<double>(++pool.in_flight), pool.in_flight_peak * (1 - 1 / kArrivalMemory));
    request.attempts.push_back({server, server->info.zone, server->info.cell, now_});
    sink_.Send(it->first, server->info.id, AttemptTimeout(request));
    const Micros time_to_target = request.arrived + ClassOf(request).latency_target - now_;
    if (time_to_target > 0 && !request.body_pending) SetRequestTimer(it, time_to_target);
  }

  // The timeout of an attempt; 0 = none. It ends when its answer would have no value: servers do not stay
  // busy with late work, and one that hangs is noticed early.
  Micros AttemptTimeout(const PendingRequest& request) const {
    const RequestClass& c = ClassOf(request);
    if (c.latency_target <= 0 || c.late_value > 0 || c.latency_target_stretch > 0) return 0;
    return request.body_pending ? c.latency_target
                                : std::max<Micros>(request.arrived + c.latency_target - now_, settings_.tick);
  }

  // ---- Admission ----

  // Under overload the work of the lowest value is refused first, before it fills a queue. Otherwise servers
  // become overloaded and all answers come late, each of them retried by its client on top of the load.
  bool Admit(PendingRequest& request) {
    const std::size_t class_index = request.request_class;
    for (request.pool = 0; request.pool < pools_.size(); ++request.pool) {
      Pool& pool = pools_[request.pool];
      // Everything that was admitted has ended since the last signal, so nothing is known of an overload.
      // Without this, in a chain of sidecars that each refuse a part, the last ones get no requests and never
      // learn that the overload is over.
      if (now_ - pool.last_signal_at > class_loads_[class_index].max_budget)
        pool.admission = std::max(pool.admission, 1.0);
      // The value of a cross-zone request has to exceed its cost: requests of low value stay in the own zone
      // or are refused.
      if (request.pool > 0 && ValueOf(class_index) < settings_.cost_cross_zone * mean_value_.value) break;
      if (!pool.ring.empty() && PoolAdmits(pool, class_index, request.already_late)) return true;
    }
    request.pool = 0;
    return NoServerListed();  // a server may be listed while the request waits
  }

  // Whether not even the fastest server of the window can be expected to meet the latency target. Such work
  // has no value and still costs server time. The higher its value per unit of work, the longer the expected
  // time that is accepted.
  bool IsInfeasible(const PendingRequest& request) const {
    const RequestClass& c = ClassOf(request);
    const ClassLoad& load = class_loads_[request.request_class];
    if (AttemptTimeout(request) == 0 || settings_.cost_waste <= 0 ||
        load.answer_time.samples < kInfeasibleMinAnswers || mean_value_density_.value <= 0)
      return false;
    const Pool& pool = pools_[pools_[0].ring.empty() ? 1 : 0];
    const std::size_t window_size = WindowSize(pool, settings_);
    if (window_size == 0) return false;
    double fastest = LatencyFactor(pool.InWindow(0));
    for (std::size_t i = 1; i < window_size; ++i)
      fastest = std::min(fastest, LatencyFactor(pool.InWindow(i)));
    const double tolerance = 1 + ValueDensity(request.request_class) / mean_value_density_.value;
    return load.answer_time.value * request.relative_work * fastest >
           tolerance * static_cast<double>(c.latency_target);
  }

  // Logs what is refused on arrival and why: at most once a second, and nothing while all requests are
  // admitted.
  void LogAdmission(const PendingRequest& request, bool admitted) {
    ++arrived_count_;
    if (!admitted) ++refused_count_;
    if (refused_count_ == 0 || now_ < admission_logged_at_ + kSecond) return;
    const Pool& pool = pools_[request.pool];
    char text[240];
    std::snprintf(
        text, sizeof text,
        "admission: %d of %d requests refused, %d as infeasible; admission %.2f, by concurrency %.2f; "
        "latency ratio %.2f, unloaded %.2f, target %.2f; %d attempts in flight at %zu servers",
        std::exchange(refused_count_, 0), std::exchange(arrived_count_, 0),
        std::exchange(infeasible_count_, 0), pool.admission, ConcurrencyAdmission(pool), pool.latency_ratio,
        pool.unloaded_latency_ratio, std::max(MarginalTarget(pool), MinTarget(pool)), pool.in_flight,
        pool.ring.size());
    admission_logged_at_ = now_;
    sink_.Log(text);
  }

  // Adapts the admission when the number of servers changes: load that all of them could take overloads the
  // remaining ones before answers show it, as when half of the servers are removed at once; added servers
  // raise it again. The share is squared: an admission that good answers have raised to its maximum makes up
  // for one server of eight, so that the replacement of one refuses nothing, but not for half of them. The
  // plain share of min(admission, 1) refused requests for a quarter of a second at each replacement; the
  // plain share of the unclamped admission would admit three quarters for half of the servers. If the removed
  // servers were idle this refuses too much, until good answers correct it within a second.
  static void ScaleAdmission(Pool& pool, std::size_t ring_size_before) {
    if (ring_size_before == 0 || pool.ring.empty()) return;
    const double share = static_cast<double>(pool.ring.size()) / static_cast<double>(ring_size_before);
    pool.admission = std::clamp(pool.admission * share * share, kMinAdmission, std::max(pool.admission, 1.0));
  }

  // Updates the mix of the arriving work, and the relative work of the request.
  void CountArrival(PendingRequest& request, std::optional<Micros> cost) {
    const std::size_t class_index = request.request_class;
    requests_carry_cost_ = requests_carry_cost_ || cost.has_value();
    if (cost) {
      const double work = static_cast<double>(std::max<Micros>(*cost, 1));
      class_loads_[class_index].mean_work.Add(work, kArrivalMemory);
      request.relative_work = std::max(work / class_loads_[class_index].mean_work.value, kMinRelativeWork);
    }
    for (ClassLoad& load : class_loads_) load.arriving_work *= 1 - 1 / kArrivalMemory;
    class_loads_[class_index].arriving_work += class_loads_[class_index].mean_work.value;
    mean_value_.Add(ValueOf(class_index), kArrivalMemory);
    mean_value_density_.Add(ValueDensity(class_index), kArrivalMemory);
  }

  // The admission that the concurrency limit allows. Answers show an overload late and understate it, as the
  // fast ones arrive first: with a third more in flight than the servers could handle, the admission stayed
  // at its maximum, while the answers that arrived were as usual, and four of nine servers became overloaded.
  // The number in flight shows it at once, whatever the cause: a burst, or servers that are removed, slow
  // down or are overloaded. A lasting increase of the load within seconds is limited too; the limit follows
  // as long as answers stay good.
  double ConcurrencyAdmission(const Pool& pool) const {
    if (!pool.concurrency_limited) return 1;
    const double relative_in_flight =
        pool.in_flight / (pool.in_flight_per_server * static_cast<double>(pool.ring.size()));
    return std::clamp(
        (kConcurrencyLimitFull - relative_in_flight) / (kConcurrencyLimitFull - kConcurrencyLimitStart),
        kMinAdmission, 1.0);
  }

  // Whether the usual number of attempts in flight is known and large enough to limit it.
  static bool HasConcurrencyLimit(const Pool& pool) {
    return pool.in_flight_samples >= kInFlightMinSamples &&
           pool.in_flight_per_server * static_cast<double>(pool.ring.size()) >= kHighInFlight;
  }

  // Averages the attempts in flight per server while nothing is refused.
  static void LearnInFlight(Pool& pool) {
    if (pool.admission < 1 || pool.ring.empty()) return;
    const double servers = static_cast<double>(pool.ring.size());
    pool.in_flight_samples = std::min(pool.in_flight_samples + 1, kInFlightMemory);
    pool.in_flight_per_server +=
        (pool.in_flight / servers - pool.in_flight_per_server) / pool.in_flight_samples;
    pool.concurrency_limited = HasConcurrencyLimit(pool);
  }

  // Admits the classes in the order of their value per unit of work, until the pool's admitted share of the
  // arriving work is used up. Of the class that reaches this limit a random part is admitted.
  bool PoolAdmits(const Pool& pool, std::size_t class_index, bool already_late) {
    const double admission = std::min(pool.admission, ConcurrencyAdmission(pool));
    if (admission >= 1) return true;
    return random_.Unit() * class_loads_[class_index].arriving_work <
           admission * ArrivingWorkAbove(0) -
               ArrivingWorkAbove(ValueDensity(class_index) *
                                 (already_late ? settings_.classes[class_index].late_value : 1));
  }

  // Work of classes that arrived recently and have more value per unit than `density`.
  double ArrivingWorkAbove(double density) const {
    double sum = 0;
    for (std::size_t i = 0; i < class_loads_.size(); ++i)
      if (ValueDensity(i) > density) sum += class_loads_[i].arriving_work;
    return sum;
  }

  // The target latency ratio before the value of the work is considered.
  double BaseTarget(const Pool& pool) const {
    return settings_.reports == Settings::Reports::kNone
               ? kLatencyRatioTarget
               : std::min(kLatencyRatioTargetWithReports, pool.unloaded_latency_ratio + kUnloadedRatioMargin);
  }

  // The minimum of the target: a multiple of the lowest mean latency ratio seen, up to a maximum.
  double MinTarget(const Pool& pool) const {
    const double busy_fraction = std::clamp(
        (pool.in_flight_peak - kBusyStartInFlight) / (kBusyFullInFlight - kBusyStartInFlight), 0.0, 1.0);
    const double factor =
        kUnloadedRatioFactor + busy_fraction * (kUnloadedRatioFactorBusy - kUnloadedRatioFactor);
    const double max_target =
        BaseTarget(pool) + busy_fraction * std::max(kLatencyRatioTargetBusy - BaseTarget(pool), 0.0);
    return std::min(factor * pool.unloaded_latency_ratio, max_target);
  }

  // The latency ratio above which the admission falls. It depends on the value of the least valuable work
  // that is still admitted: cheap work is refused while servers are far from overload, valuable work only
  // when answers come late.
  double MarginalTarget(const Pool& pool) const {
    const double total = ArrivingWorkAbove(0);
    if (total <= 0) return BaseTarget(pool);
    double marginal_density = 0;
    double mean_density = 0;
    for (std::size_t i = 0; i < class_loads_.size(); ++i) {
      const double density = ValueDensity(i);
      mean_density += density * class_loads_[i].arriving_work / total;
      if (class_loads_[i].arriving_work > 0 && ArrivingWorkAbove(density) < pool.admission * total &&
          (marginal_density <= 0 || density < marginal_density))
        marginal_density = density;
    }
    return BaseTarget(pool) * std::sqrt(std::min(marginal_density / mean_density, 1.0));
  }

  // The value of one request of a class.
  double ValueOf(std::size_t i) const {
    return settings_.classes[i].value * (settings_.value_by_work ? class_loads_[i].mean_work.value : 1);
  }
  // The value per unit of work of a class.
  double ValueDensity(std::size_t i) const { return ValueOf(i) / class_loads_[i].mean_work.value; }

  // Called when the latency target of a request passes with an attempt still in flight, which counts as
  // overload at once. Otherwise an overload would show only with the answers, seconds after they were late.
  void OnLatencyTargetMissed(PendingRequest& request) {
    Attempt& attempt = request.attempts.back();
    if (!attempt.in_flight || std::exchange(attempt.overload_counted, true)) return;
    UpdateAdmission(request, *attempt.server, {.request = {}, .result = Result::kTimeout});
    MaybeEject(*attempt.server, attempt.sent);
  }

  // The latency target of a request's class, in microseconds, at least 1.
  double LatencyTarget(const PendingRequest& request) const {
    return static_cast<double>(std::max<Micros>(ClassOf(request).latency_target, 1));
  }

  // Whether an attempt timed out before an answer was to be expected. It shows that its client left it little
  // time, and nothing of the server or of the load: a client with many such requests must not have those of
  // others refused.
  bool EndedTooEarlyToTell(const PendingRequest& request, const Outcome& outcome) const {
    if (outcome.result != Result::kTimeout) return false;
    const FadingMean& of_class = class_loads_[request.request_class].answer_time;
    const Pool& pool = pools_[request.attempts[static_cast<std::size_t>(outcome.attempt)].server->pool];
    const double usual = of_class.value > 0 ? of_class.value * request.relative_work : pool.answer_time.value;
    return static_cast<double>(outcome.elapsed) < std::min(usual, LatencyTarget(request));
  }

  // Updates the admission of the pool by an outcome.
  void UpdateAdmission(const PendingRequest& request, const Server& server, const Outcome& outcome) {
    Pool& pool = pools_[server.pool];
    // Attempts without an answer are no overload signal where the concurrency limit detects overload, as they
    // are then due to a few stalled servers or to loss on the network; nor where the server recently had idle
    // cores. Counted as overload, they kept more than half of the work from idle servers for ten seconds, as
    // each one outweighs ten good answers. An overload without more attempts in flight than usual still shows
    // in the other answers.
    if (outcome.result == Result::kTimeout && (pool.concurrency_limited || !server.cores_busy)) return;
    double latency_ratio =
        std::min(static_cast<double>(outcome.elapsed) / LatencyTarget(request), kMaxLatencyRatio);
    if (outcome.result == Result::kSuccess) {
      ClassLoad& load = class_loads_[request.request_class];
      pool.answer_time.Add(static_cast<double>(outcome.elapsed), kArrivalMemory);
      if (!requests_carry_cost_)
        load.mean_work.Add(static_cast<double>(std::max<Micros>(outcome.elapsed, 1)), kArrivalMemory);
    } else if (outcome.result == Result::kTimeout ||
               (outcome.result == Result::kRefused && !RefusesSingleClass(server))) {
      latency_ratio = kMaxLatencyRatio;
    } else {
      return;  // no load signal
    }
    LearnInFlight(pool);
    pool.last_signal_at = now_;
    pool.latency_samples = std::min(pool.latency_samples + 1, kLatencyRatioMemory);
    pool.latency_ratio += (latency_ratio - pool.latency_ratio) / pool.latency_samples;
    if (pool.latency_samples >= kLatencyRatioMemory / 2)
      pool.unloaded_latency_ratio = std::min(pool.unloaded_latency_ratio, pool.latency_ratio);
    // An expensive request, a slow core or a distant zone takes as long as an overload does: while the server
    // reports idle cores, its answer counts no higher than an unloaded one. A sudden overload counts less
    // until reports, which lag, show it.
    if (!server.cores_busy) latency_ratio = std::min(latency_ratio, pool.unloaded_latency_ratio);
    pool.consecutive_late = latency_ratio < 1 ? 0 : std::min(pool.consecutive_late + 1, kMaxLateFactor);
    const double min_target = pool.unloaded_latency_ratio < kMaxLatencyRatio ? MinTarget(pool) : 0;
    const double gain = kAdmissionStep * std::min(1.0, kHighInFlight / std::max(pool.in_flight_peak, 1.0));
    const double step = gain * (std::max(MarginalTarget(pool), min_target) -
                                latency_ratio * std::max(pool.consecutive_late, 1.0));
    // The less is admitted, the fewer outcomes there are to recover by, so each of them counts for more.
    pool.admission = std::clamp(
        pool.admission + (step > 0 ? step / std::max(pool.admission, kMinRecoveryAdmission) : step),
        kMinAdmission, kMaxAdmission);
  }

  // The memory of a server's relative latency: longer for sidecars with more answers.
  static double ServerLatencyMemory(const Pool& pool) {
    return std::clamp(kServerLatencyMemoryBusy * pool.in_flight_peak / kHighInFlight, kServerLatencyMemory,
                      kServerLatencyMemoryBusy);
  }

  // ---- Server statistics ----

  // Updates the statistics of the server by an outcome, and ejects the server after a failure.
  void UpdateServerStatistics(const PendingRequest& request, Server& server, Micros sent,
                              const Outcome& outcome) {
    ClassLoad& load = class_loads_[request.request_class];
    const double elapsed = static_cast<double>(outcome.elapsed);
    if (outcome.result == Result::kSuccess) {
      load.answer_time.Add(elapsed, kArrivalMemory);
    } else if (outcome.result == Result::kCancelled || outcome.result == Result::kNeverSent) {
      return;
    }
    const bool unanswered = outcome.result == Result::kTimeout || outcome.result == Result::kReset;
    server.failure_rates.resize(class_loads_.size());
    double& failure_rate = server.failure_rates[request.request_class];
    if (outcome.result == Result::kError || unanswered)
      failure_rate += (kMaxSkipShare - failure_rate) / kFailureMemory;
    if (outcome.result == Result::kSuccess) failure_rate -= failure_rate / kSuccessMemory;
    if (outcome.result == Result::kError) return;
    server.refusal_rates.resize(class_loads_.size());
    double& refusal_rate = server.refusal_rates[request.request_class];
    if (outcome.result == Result::kRefused) refusal_rate += (kMaxSkipShare - refusal_rate) / kRefusalMemory;
    if (outcome.result == Result::kSuccess) refusal_rate -= refusal_rate / kSuccessMemory;
    const double expected = load.answer_time.value * request.relative_work;
    if (outcome.result != Result::kRefused && expected > 0) {
      const double max_time = kMaxServerLatencyFactor * expected;
      const double measured = outcome.result == Result::kSuccess ? std::min(elapsed, max_time) : max_time;
      server.relative_latency.Add(measured, expected, ServerLatencyMemory(pools_[server.pool]));
      machine_latencies_[server.info.machine].Add(measured, expected, kArrivalMemory);
    }
    if (outcome.result == Result::kSuccess) {
      if (outcome.elapsed >= ClassOf(request).latency_target) return;
      server.consecutive_failures = 0;
      server.last_timely_answer_at = now_;
    } else if (outcome.result != Result::kRefused) {
      // A failure that comes faster than the latency target counts only if the server has not served others
      // well for that long: the network resets some requests at any server, and half of the servers would be
      // ejected all the time. A dead server meets this condition soon.
      MaybeEject(server, std::min(sent, now_ - ClassOf(request).latency_target));
    }
  }

  // Outlier ejection: a dead, hanging or overloaded server gets no requests for a while. A server with its
  // trial attempt in flight counts towards the limit on ejected servers, itself included. In a small window
  // late answers therefore eject it once and not again, and one that answers in the end stays in use. A
  // server that has served others well since the attempt was sent stays in: the request was expensive, or
  // only its answer was affected. Without this, healthy servers are ejected by chance: at 300 requests a
  // second with one in a hundred late, a sidecar ejected up to five of nine servers at once and the rest
  // became overloaded. A server that hangs on one kind of request only is not ejected.
  void MaybeEject(Server& server, Micros sent_at) {
    if (now_ < server.ejected_until || server.last_timely_answer_at > sent_at) return;
    const Pool& pool = pools_[server.pool];
    const std::size_t window_size = WindowSize(pool, settings_);
    std::size_t ejected = 0;
    for (std::size_t i = 0; i < window_size; ++i) ejected += IsEjected(pool.InWindow(i));
    if (static_cast<double>(ejected + 1) > kMaxEjectedShare * static_cast<double>(window_size)) return;
    server.ejected_until =
        now_ + random_.UpTo(ExponentialBackoff(kEjectionBase, server.consecutive_failures++, kRetryCap));
  }

  // Whether a server is within its ejection time, or has its one trial attempt after it in flight.
  bool IsEjected(const Server& server) const {
    return now_ < server.ejected_until || (server.consecutive_failures > 0 && server.in_flight > 0);
  }

  // A server that refuses one class out of several has a limit on that class; this is no overload signal.
  static bool RefusesSingleClass(const Server& server) {
    const auto refuses = [](double share) { return share > kMinRefusalShare; };
    return server.refusal_rates.size() > 1 &&
           std::count_if(server.refusal_rates.begin(), server.refusal_rates.end(), refuses) == 1;
  }

  // Skips a server as often as it recently refused this class. This covers limits on one class, which leave
  // capacity for the others, and full servers. Where all servers refuse by chance, the search of the whole
  // window still takes one.
  bool SkipForRefusals(const PendingRequest& request, const Server& server) {
    const double share = server.refusal_rates.empty() ? 0 : server.refusal_rates[request.request_class];
    return share > 0 && random_.Unit() < share;
  }

  // Skips a server twice as often as it recently failed this class. A server that fails fast has few attempts
  // in flight and looks the least loaded, so it would get more requests the faster it fails. The same holds
  // for one that lets requests time out or resets them while it serves others well, which keeps it from being
  // ejected. Rates are kept by class, as a server that fails only one kind of request serves the others well,
  // which would hide it.
  bool SkipForFailures(const PendingRequest& request, const Server& server) {
    const double share = server.failure_rates.empty() ? 0 : server.failure_rates[request.request_class];
    return share > 0 && random_.Unit() < std::min(2 * share, kMaxSkipShare);
  }

  // ---- The choice of a server ----

  // The load of a server: the attempts of this sidecar in flight, times how long the server takes for each.
  // The number alone neither shows a slow server that answers in the end nor distinguishes idle servers. A
  // server with attempts in flight that has not answered for longer than they explain looks the more loaded
  // the longer it is silent, so servers that stall, hang or vanish are avoided long before their requests are
  // late. The load of a server that has only expensive requests is overestimated; two such requests count no
  // more than a few others.
  double LoadScore(const PendingRequest& request, const Server& server) const {
    const double mean_answer_time = pools_[server.pool].answer_time.value;
    const double silence = mean_answer_time > 0 ? static_cast<double>(now_ - server.last_answer_at) *
                                                      server.in_flight / mean_answer_time
                                                : 0;
    return (server.in_flight + request.relative_work) * LatencyFactor(server) *
           std::max(1.0, silence / kSilenceFactor);
  }

  // How long a server takes for the same work, as a multiple of what is usual. Its own answers are weighed
  // against those of all servers of its machine type, since in a large fleet a sidecar meets each server
  // rarely and its first answers are not representative.
  double LatencyFactor(const Server& server) const {
    const double prior_weight = kMachineLatencyWeight * std::max(pools_[server.pool].answer_time.value, 1.0);
    const auto machine = machine_latencies_.find(server.info.machine);
    const double machine_factor =
        machine == machine_latencies_.end()
            ? 1
            : (machine->second.measured + prior_weight) / (machine->second.expected + prior_weight);
    return (server.relative_latency.measured + prior_weight * machine_factor) /
           (server.relative_latency.expected + prior_weight);
  }

  // Chooses the less loaded of two random servers of the window. Null if the window has no server that may be
  // used.
  Server* ChooseServer(const PendingRequest& request) {
    const Pool& pool = pools_[pools_[request.pool].ring.empty() ? 1 - request.pool : request.pool];
    const std::size_t window_size = WindowSize(pool, settings_);
    if (window_size == 0) return nullptr;
    // A server in slow start goes first when it has credit, for requests that are no larger than usual and so
    // do not miss their latency target there. Otherwise others win most draws, and new servers are idle while
    // the rest are overloaded.
    if (request.relative_work <= 1) {
      const std::size_t first = static_cast<std::size_t>(served_count_) % window_size;
      for (std::size_t i = 0; i < window_size; ++i) {
        Server& server = pool.InWindow((first + i) % window_size);
        if (WarmupFraction(server) < 1 && server.in_flight == 0 && !IsEjected(server) &&
            MayUse(request, server) && HasSlowStartCredit(server) && !SkipForRefusals(request, server) &&
            !SkipForFailures(request, server))
          return &server;
      }
    }
    Server* best = nullptr;
    double total_weight = 0;
    for (std::size_t i = 0; i < window_size; ++i) total_weight += DrawWeight(pool.InWindow(i));
    int found = 0;
    for (int draw = 0; draw < kMaxDraws && found < 2; ++draw) {
      Server& server = DrawServer(pool, window_size, total_weight);
      if (IsEjected(server) || SkipForRefusals(request, server) || SkipForFailures(request, server) ||
          !MayUse(request, server) || !HasSlowStartCredit(server))
        continue;
      ++found;
      if (best == nullptr || LoadScore(request, server) < LoadScore(request, *best)) best = &server;
    }
    if (best != nullptr) return best;
    // While no rate of served requests is known, servers in slow start cannot earn credit by it: chance
    // decides.
    bool all_in_slow_start = served_rate_per_weight_.samples < 1;
    for (std::size_t i = 0; i < window_size; ++i)
      all_in_slow_start = all_in_slow_start && WarmupFraction(pool.InWindow(i)) < 1;
    const std::size_t start = random_.Below(window_size);
    // Two passes: ejected servers may be chosen in both; servers that fail this class are skipped in the
    // first one only.
    for (std::size_t i = 0; i < 2 * window_size; ++i) {
      Server& server = pool.InWindow((start + i) % window_size);
      if (!MayUse(request, server) || (i < window_size && SkipForFailures(request, server))) continue;
      if (HasSlowStartCredit(server) || (all_in_slow_start && random_.Unit() < WarmupFraction(server)))
        return &server;
    }
    return request.FirstThatMayHaveRun() == nullptr ? nullptr : ChooseOutsideWindow(request);
  }

  // The probability weight of a server in a draw: its listed weight divided by its relative latency.
  double DrawWeight(const Server& server) const {
    return ListedWeight(server) / std::max(LatencyFactor(server), kMinWeight);
  }
  static double ListedWeight(const Server& server) { return std::max(server.info.weight, kMinWeight); }

  // Draws a server at random by weight. With equal probabilities two draws send the smallest of three servers
  // still a ninth of the work, which can be more than it can handle.
  Server& DrawServer(const Pool& pool, std::size_t window_size, double total_weight) {
    double remaining = random_.Unit() * total_weight;
    std::size_t i = 0;
    while (i + 1 < window_size && (remaining -= DrawWeight(pool.InWindow(i))) >= 0) ++i;
    return pool.InWindow(i);
  }

  // The exception to the window: a request that may have run can be repeated only in its deduplication group,
  // and the window may have no other server of it. Then any listed server of the group is used, for as long
  // as repeats are dropped.
  Server* ChooseOutsideWindow(const PendingRequest& request) {
    for (Pool& pool : pools_) {
      const std::size_t start = random_.Below(pool.ring.size());
      for (std::size_t i = 0; i < pool.ring.size(); ++i) {
        Server& server = *pool.ring[(start + i) % pool.ring.size()];
        if (!IsEjected(server) && MayUse(request, server) && HasSlowStartCredit(server)) return &server;
      }
    }
    return nullptr;
  }

  // Whether a request may go to this server: not to the one of its last attempt, if the window has others,
  // and after an attempt that may have run only to servers that drop the repeat.
  bool MayUse(const PendingRequest& request, const Server& server) const {
    if (!request.attempts.empty() && request.attempts.back().server == &server &&
        WindowSize(pools_[server.pool], settings_) > 1)
      return false;
    const Attempt* ran = request.FirstThatMayHaveRun();
    const RequestClass& c = ClassOf(request);
    if (!MayRepeat(request)) return false;
    if (ran == nullptr || c.repeat == Repeat::kSafe) return true;
    // An unknown zone or cell is no group.
    if (c.dedup_group == DedupGroup::kZone) return ran->zone >= 0 && ran->zone == server.info.zone;
    if (c.dedup_group == DedupGroup::kCell) return ran->cell >= 0 && ran->cell == server.info.cell;
    return true;
  }

  // The share of its full capacity that a server is sure to have. It grows linearly from slow_start_share to
  // 1 over slow_start_duration.
  double WarmupFraction(const Server& server) const {
    const Micros started = admin_down_.StartTime(server.info.id, server.info.started);
    const Micros age = now_ - started;
    if (started == 0 || age >= settings_.slow_start_duration) return 1;
    const double elapsed_fraction =
        static_cast<double>(std::max<Micros>(age, 0)) / static_cast<double>(settings_.slow_start_duration);
    return settings_.slow_start_share + (1 - settings_.slow_start_share) * elapsed_fraction;
  }

  // The share of the pool's servers that are in the window, which is also the share of sidecars that have a
  // given server in their window.
  double WindowShare(const Pool& pool) const {
    return static_cast<double>(WindowSize(pool, settings_)) / static_cast<double>(pool.ring.size());
  }

  // Counts a served request, and averages the rate per listed weight at which the window usually serves this
  // sidecar, while all work is admitted.
  void CountServed(const Pool& pool) {
    ++served_count_;
    const double seconds = static_cast<double>(now_ - rate_updated_at_) / kSecond;
    if (seconds < 1) return;
    double total_weight = 0;
    for (std::size_t i = 0; i < WindowSize(pool, settings_); ++i)
      total_weight += ListedWeight(pool.InWindow(i));
    const double rate = static_cast<double>(served_count_ - rate_served_count_) / seconds;
    rate_updated_at_ = now_;
    rate_served_count_ = served_count_;
    if ((pool.admission >= 1 || served_rate_per_weight_.samples < 1) && total_weight > 0)
      served_rate_per_weight_.Add(rate / total_weight * WindowShare(pool), kServedRateMemory);
  }

  // Whether a server in slow start may be sent a request; its credit is updated first. Its share is its part
  // by weight of the requests served to this sidecar, times its warm-up fraction, times half of the overload
  // factor: a server that works well gets its share and more, and the other half is reserve for random
  // variation and for other sidecars. Answers are counted, not sends: in an overload, sends and retries
  // exceed many times what a server can handle, and an idle new server would be preferred by every sidecar at
  // once. The usual rate of served requests earns credit as well: when the other servers are overloaded
  // little is served, and new servers would be idle for as long as that lasts.
  bool HasSlowStartCredit(Server& server) {
    const double warmup_fraction = WarmupFraction(server);
    if (warmup_fraction >= 1) return true;
    const Pool& pool = pools_[server.pool];
    const std::size_t window_size = WindowSize(pool, settings_);
    double total_weight = 0;
    for (std::size_t i = 0; i < window_size; ++i) total_weight += ListedWeight(pool.InWindow(i));
    const double share = settings_.overload_factor / 2 * warmup_fraction * ListedWeight(server);
    const double seconds = static_cast<double>(now_ - server.slow_start_credit.updated_at) / kSecond;
    server.slow_start_credit.Earn(
        share * static_cast<double>(served_count_ - server.slow_start_credit.served_count_then) /
            total_weight,
        share * served_rate_per_weight_.value / WindowShare(pool) * seconds);
    server.slow_start_credit.served_count_then = served_count_;
    server.slow_start_credit.updated_at = now_;
    return server.slow_start_credit.available >= 1;
  }

  // Retries after an exponential backoff with full jitter. Ends the request when no further attempt is
  // possible in time.
  void RetryLaterOrFinish(PendingIt it) {
    PendingRequest& request = it->second;
    const int exponent = request.retries++;
    const Micros wait = random_.UpTo(ExponentialBackoff(kRetryBase, exponent, kRetryCap));
    const int max_attempts = std::min(kMaxAttempts, settings_.max_attempts);
    if (request.retries >= max_attempts || now_ + wait + settings_.tick >= request.deadline ||
        !MayRepeat(request))
      return Finish(it);
    SetRequestTimer(it, wait);
  }

  void SetRequestTimer(PendingIt it, Micros wait) {
    it->second.timer_token = ++last_timer_token_;
    timers_.emplace(last_timer_token_, it->first);
    sink_.SetTimer(wait, last_timer_token_);
  }

  // Whether a further attempt is safe. A repeat may be sent as late as the end of a dial, and has to be sent
  // within the deduplication window.
  bool MayRepeat(const PendingRequest& request) const {
    const Attempt* ran = request.FirstThatMayHaveRun();
    const RequestClass& c = ClassOf(request);
    return ran == nullptr || c.repeat == Repeat::kSafe ||
           (c.repeat == Repeat::kDeduplicated && now_ + settings_.dial_timeout < ran->sent + c.dedup_window);
  }

  // Ends a request: with a refusal where a further try by the client is safe, otherwise with a failure.
  void Finish(PendingIt it) {
    const RequestClass& c = ClassOf(it->second);
    const bool safe_to_retry = it->second.FirstThatMayHaveRun() == nullptr || c.repeat == Repeat::kSafe ||
                               (c.dedup_group == DedupGroup::kAll && MayRepeat(it->second));
    it->second.ended = true;
    if (safe_to_retry) {
      // A retry-after beyond half of the latency target would bring the client back too late to be served in
      // time.
      const Micros max_delay = std::min(settings_.max_retry_after, c.latency_target / 2);
      sink_.Refuse(it->first, max_delay > 0 ? 1 + random_.UpTo(max_delay) : 0);
    } else {
      sink_.Fail(it->first);
    }
    RemoveIfDone(it);
  }

  // Cancels the attempts of an ended request: their answers have no use, and they block its key.
  void CancelRemaining(PendingIt it) {
    if (!settings_.cancel || std::exchange(it->second.cancelled, true)) return;
    for (std::size_t i = 0; i < it->second.attempts.size(); ++i)
      if (it->second.attempts[i].in_flight) sink_.Cancel(it->first, static_cast<int>(i));
  }

  // Removes an ended request; the next one in the queue of its key is sent then. To keep the order of a key,
  // it stays blocked while an attempt is unresolved, even if the client has disconnected, and for
  // settle_after_doubt after an outcome that leaves open whether the attempt still runs.
  void RemoveIfDone(PendingIt it) {
    PendingRequest& request = it->second;
    if (!request.ended) return;
    if (request.HasAttemptInFlight()) return CancelRemaining(it);
    auto queue = key_queues_.find(request.key);
    if (queue == key_queues_.end()) return void(pending_.erase(it));
    if (now_ < request.key_blocked_until) return SetRequestTimer(it, request.key_blocked_until - now_);
    auto& queued_ids = queue->second;
    const bool was_next = queued_ids.front() == it->first;
    queued_ids.erase(std::find(queued_ids.begin(), queued_ids.end(), it->first));
    pending_.erase(it);
    if (queued_ids.empty()) return void(key_queues_.erase(queue));
    if (was_next) SendOrRetryLater(pending_.find(queued_ids.front()));
  }

  // ---- Discovery ----

  // Schedules the next Subscribe after a random delay of up to `max_delay`, unless an earlier one is
  // scheduled.
  void ScheduleSubscribe(Micros max_delay) {
    if (!settings_.must_subscribe) return;
    const Micros delay = random_.UpTo(max_delay);
    if (next_subscribe_at_ && *next_subscribe_at_ <= now_ + delay) return;
    next_subscribe_at_ = now_ + delay;
    sink_.SetTimer(delay, kSubscribeToken);
  }

  const Settings settings_;
  ActionSink& sink_;
  Random random_;
  Micros now_;
  StaleListGuard stale_list_guard_;
  std::map<std::string, Server> servers_;  // in the order of the rings; pointers to servers stay valid
  std::vector<std::string> unlisted_;      // kept while attempts at them are in flight
  std::uint64_t ring_rebuilds_ = 0;
  AdminDownServers admin_down_;
  std::array<Pool, 2> pools_;
  std::unordered_map<std::string, PendingRequest> pending_;  // by id; never iterated
  std::unordered_map<std::uint64_t, std::string> timers_;
  std::uint64_t last_timer_token_ = kSubscribeToken;
  std::unordered_map<std::string, std::deque<std::string>> key_queues_;  // request ids by key; never iterated
  std::vector<ClassLoad> class_loads_;                                   // by class
  std::map<int, RelativeLatency> machine_latencies_;                     // by machine type
  FadingMean mean_value_;                                                // of an arriving request
  FadingMean mean_value_density_;                                        // the same per unit of work
  bool requests_carry_cost_ = false;    // at least one request had an expected cost
  std::int64_t served_count_ = 0;       // attempts that succeeded
  std::int64_t rate_served_count_ = 0;  // served_count_ at rate_updated_at_
  Micros rate_updated_at_ = 0;
  FadingMean served_rate_per_weight_;  // requests served per second by a server of weight 1
  int arrived_count_ = 0;              // requests since the last admission log line ...
  int refused_count_ = 0;              // ... those of them that were refused on arrival
  int infeasible_count_ = 0;           // ... and those that were infeasible
  Micros admission_logged_at_ = 0;
  int failed_subscribes_ = 0;
  std::optional<Micros> next_subscribe_at_;  // empty: none is scheduled
};

// ---- The interface ----

std::unique_ptr<Balancer> Balancer::Create(const Settings& s, std::uint64_t seed, Micros now,
                                           ActionSink& sink, std::string& error) {
  error.clear();
  if (s.classes.empty()) error = "no request classes";
  for (const RequestClass& c : s.classes) {
    if (c.latency_target < 0 || c.deadline < 0 || c.dedup_window < 0)
      error = "negative time in class " + c.name;
    if (c.repeat < Repeat::kSafe || c.repeat > Repeat::kNever)
      error = "unknown repeat kind in class " + c.name;
    if (c.dedup_group < DedupGroup::kAll || c.dedup_group > DedupGroup::kCell)
      error = "unknown group in class " + c.name;
    if (!(c.value >= 0)) error = "negative value in class " + c.name;
  }
  if (s.max_attempts < 1) error = "max_attempts under 1";
  if (s.sidecar_count < 1 || s.rank >= s.sidecar_count) error = "rank outside the number of sidecars";
  if (!(s.slow_start_share > 0 && s.slow_start_share <= 1)) error = "slow_start_share outside (0, 1]";
  if (!(s.overload_factor > 0)) error = "overload_factor not above 0";
  if (s.slow_start_duration < 0 || s.drain_grace < 0 || s.overload_window < 0 || s.tick < 0 ||
      s.ask_within < 0 || s.max_retry_after < 0 || s.settle_after_doubt < 0)
    error = "negative time";
  if (!error.empty()) return nullptr;
  return std::unique_ptr<Balancer>(new Balancer(std::make_unique<State>(s, seed, now, sink)));
}

Balancer::Balancer(std::unique_ptr<State> state) : state_(std::move(state)) {}
Balancer::~Balancer() = default;

void Balancer::OnServers(Micros now, const ListUpdate& update) { state_->AdvanceTo(now).OnServers(update); }
void Balancer::OnListStaleness(Micros now, std::optional<Micros> effective_from) {
  state_->AdvanceTo(now).OnListStaleness(effective_from);
}
bool Balancer::DispatchPaused(Micros now) { return state_->AdvanceTo(now).DispatchPaused(); }
void Balancer::SetAdminDown(Micros now, std::string_view server, bool down) {
  state_->AdvanceTo(now).SetAdminDown(server, down);
}
std::string Balancer::ExportLearnedState() const { return state_->ExportLearnedState(); }
bool Balancer::RestoreLearnedState(Micros now, std::string_view learned) {
  return state_->AdvanceTo(now).RestoreLearnedState(learned);
}
void Balancer::OnRequest(Micros now, const Request& request) { state_->AdvanceTo(now).OnRequest(request); }
void Balancer::OnRequestBodyComplete(Micros now, std::string_view request, Micros budget) {
  state_->AdvanceTo(now).OnRequestBodyComplete(request, budget);
}
void Balancer::OnResponseStarted(Micros now, std::string_view, int) {
  state_->AdvanceTo(now);  // no decision: the outcome still follows
}
void Balancer::OnOutcome(Micros now, const Outcome& outcome) { state_->AdvanceTo(now).OnOutcome(outcome); }
void Balancer::OnClientDisconnected(Micros now, std::string_view request) {
  state_->AdvanceTo(now).OnClientDisconnected(request);
}
void Balancer::OnTimer(Micros now, std::uint64_t token) { state_->AdvanceTo(now).OnTimer(token); }
void Balancer::OnProbed(Micros now, const ProbeResult&) { state_->AdvanceTo(now); }
void Balancer::OnPeerMessage(Micros now, std::uint32_t, std::string_view) { state_->AdvanceTo(now); }
std::size_t Balancer::servers_avoided(Micros now) { return state_->AdvanceTo(now).ServersAvoided(); }
std::size_t Balancer::pending_request_count() const { return state_->pending_request_count(); }
std::uint64_t Balancer::ring_rebuild_count() const { return state_->ring_rebuild_count(); }

}  // namespace merlinrun
