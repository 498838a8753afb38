// The decisions of merlinrun. Interface: include/merlinrun/balancer.hpp. Why it is so: docs/design.md.
//
// Order of this file: state, the list of servers and the window, a request's life (arrival, choice
// of a server, outcome, wait, end), discovery.
#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <deque>
#include <map>
#include <sstream>
#include <unordered_map>
#include <utility>

#include "bans.hpp"
#include "merlinrun/balancer.hpp"
#include "outdated_list.hpp"
#include "records.hpp"
#include "tunables.hpp"

namespace merlinrun {
namespace {

// The one place that says which outcomes prove that the attempt never ran. Some servers also turn away what
// they had begun: their refusal proves nothing.
bool ProvesNeverRan(Result result, bool refused_may_have_run) {
  return (result == Result::kRefused && !refused_may_have_run) || result == Result::kUnreachable ||
         result == Result::kNeverSent;
}

bool Answered(Result result) {
  return result == Result::kSuccess || result == Result::kError || result == Result::kRefused;
}

Micros Doubled(Micros base, int n, Micros cap) {
  return std::min(cap, base << std::min(n, 20));  // 20: far past any cap, short of overflow
}

// The window is of fixed size for all but the busiest sidecars. One that has more attempts out than window
// servers takes a longer run of the ring, by its own traffic and never by the fleet's size: else a few busy
// callers choke the servers of their windows while others idle.
std::size_t Width(const Pool& pool, const Settings& set) {
  const double per_out = set.cost_connection > 0 ? kServersPerOut : kServersPerOutFree;
  return std::min(std::max(kWindowWidth, static_cast<std::size_t>(per_out * pool.out_peak)),
                  pool.ring.size());
}

}  // namespace

class Balancer::State {
 public:
  State(const Settings& settings, std::uint64_t seed, Micros now, ActionSink& sink)
      : set_(settings),
        sink_(sink),
        random_(seed),
        now_(now),
        outdated_(settings),
        load_(settings.classes.size()),
        served_at_(now) {}

  State& At(Micros now) { return now_ = std::max(now_, now), *this; }

  // ---- The list of servers and the window on its ring ----

  void OnServers(const ListUpdate& update) {
    if (update.kind == ListUpdate::Kind::kFailed) {
      const Micros most = Doubled(std::max(kAskBase, kSecond * set_.sidecar_count / kAsksPerSecond),
                                  asks_failed_++, set_.ask_within);
      return AskLater(std::min(most, update.ask_within.value_or(most)));
    }
    if (update.kind != ListUpdate::Kind::kDelta)
      for (auto& [id, server] : servers_) server.listed = false;
    const bool walk = update.kind != ListUpdate::Kind::kDelta || update.servers.size() > kMostPlaced;
    for (const ServerInfo& info : update.servers) {
      Server& server = servers_[info.id];
      if (!walk) pools_[server.pool].Drop(server);
      if (info.started != server.info.started)  // new here, or its process is: chance decides who starts it
        server.credit = {random_.Unit(), served_, now_};
      server.info = info;
      bans_.OnListed(info.id, info.started);
      server.pool = set_.cost_cross_zone >= kCrossingPriced && info.zone != set_.zone ? 1 : 0;
      server.listed = info.state != ServerInfo::State::kGone;
      if (!walk) Place(server);
    }
    if (walk) PlaceAll();
    Settle();
    if (update.kind != ListUpdate::Kind::kStale) return void(asks_failed_ = 0);
    // A fresh start: spread, as all sidecars may have started together; soon where nobody is served until the
    // answer. One that takes over starts alone, and news that its predecessor has been told binds it too.
    const Micros spread = set_.ask_within / 2;
    AskLater(set_.takes_over ? 0 : NoServer() ? std::min(kAskBase, spread) : spread);
  }

  // What was not heard of the list binds from then on; empty while the list is current.
  void OnListStaleness(std::optional<Micros> effective_from, MissedChanges missed) {
    if (effective_from) return outdated_.BindsFrom(*effective_from, missed);
    if (outdated_.held_since()) LogHeld("in use again", *outdated_.held_since());
    outdated_.Current();
  }

  // Guards against sending to a server whose drain was never heard of.
  bool DispatchPaused() {
    const bool held_before = outdated_.held_since().has_value();
    const bool holds = outdated_.Holds(now_);
    if (holds && !held_before) LogHeld("out of date", now_);
    return holds;
  }

  void LogHeld(const char* state, Micros since) {
    char text[80];
    std::snprintf(text, sizeof text, "list: %s; requests held back since %.3f s ago", state,
                  static_cast<double>(now_ - since) / kSecond);
    sink_.Log(text);
  }

  bool NoServer() const { return pools_[0].ring.empty() && pools_[1].ring.empty(); }

  // ---- Servers out by hand ----

  void SetAdminDown(std::string_view id, bool down) {
    const auto server = servers_.find(std::string(id));
    const bool known = server != servers_.end();
    if (down) {
      if (!bans_.TakeOut(id, known ? std::optional(server->second.info.started) : std::nullopt)) return;
    } else {
      if (!bans_.PutBack(id, now_)) return;
      if (known) Renew(server->second);
    }
    PlaceAll();
    Settle();
  }

  // Its process is another one: what was seen of the old one says nothing of it.
  void Renew(Server& server) {
    Server fresh;
    fresh.info = server.info;
    fresh.pool = server.pool;
    fresh.listed = server.listed;
    fresh.out = server.out;
    fresh.credit = {random_.Unit(), served_, now_};
    server = fresh;
  }

  bool Banned(const Server& server) const { return bans_.IsOut(server.info.id); }

  // On the ring, if it may be sent to. One that is gone is kept while attempts at it are out.
  void Place(Server& server) {
    if (!server.listed) leaving_.push_back(server.info.id);
    if (server.listed && server.info.state == ServerInfo::State::kHealthy && !Banned(server))
      pools_[server.pool].Put(server);
  }

  void PlaceAll() {
    ++walks_;
    leaving_.clear();
    for (Pool& pool : pools_) pool.ring.clear();
    for (auto& [id, server] : servers_) Place(server);
  }

  void Settle() {
    std::erase_if(leaving_, [this](const std::string& id) {
      const auto it = servers_.find(id);
      if (it == servers_.end() || it->second.listed) return true;
      return it->second.out == 0 && servers_.erase(id) > 0;
    });
    for (Pool& pool : pools_) {
      Rescale(pool, std::exchange(pool.settled, pool.ring.size()));
      // Ranks are spread evenly over the ring; a server that comes or goes shifts each window by one at most.
      pool.offset = static_cast<std::size_t>(static_cast<std::uint64_t>(set_.rank) * pool.ring.size() /
                                             set_.sidecar_count);
    }
  }

  // ---- What is handed over to the next process ----

  // Guards against a successor that takes an overload for what is usual, as it begins in the middle of it.
  std::string ExportLearnedState() {
    std::string text = MarkOf(set_) + "\n";
    const auto write = [&](double value) {
      char digits[32];
      std::snprintf(digits, sizeof digits, "%.9g ", value);
      text += digits;
    };
    EachLearnt(write);
    for (auto& [id, server] : servers_) {
      if (id.find_first_of(" \n") != std::string::npos) continue;
      text += "\n" + id + " ";
      EachLearnt(server, write);
    }
    return text + "\n.\n";
  }

  // All or nothing: it is read twice, and taken the second time.
  bool RestoreLearnedState(std::string_view learned) {
    const std::string mark = MarkOf(set_) + "\n";
    if (learned.substr(0, mark.size()) != mark) return false;
    learned.remove_prefix(mark.size());
    for (const bool take : {false, true}) {
      std::istringstream in{std::string(learned)};
      const auto read = [&](double& value) {
        double next = -1;
        if (!(in >> next) || !(next >= 0)) in.setstate(std::ios::failbit);
        if (take) value = next;
      };
      EachLearnt(read);
      std::string id;
      while (in >> id && id != ".") {
        const auto server = servers_.find(id);
        Server other;
        EachLearnt(server == servers_.end() ? other : server->second, read);
      }
      if (!in || id != ".") return false;
    }
    for (Pool& pool : pools_) pool.limited = KnowsOut(pool);
    return true;
  }

  template <typename Visit>
  void EachLearnt(Visit visit) {
    for (Pool& pool : pools_)
      for (double* value : {&pool.admit, &pool.out_each, &pool.outs, &pool.usual, &pool.unloaded,
                            &pool.answers, &pool.elapsed.value, &pool.elapsed.seen})
        visit(*value);
    for (ClassLoad& load : load_)
      for (double* value :
           {&load.work.value, &load.work.seen, &load.answer.value, &load.answer.seen, &load.arriving})
        visit(*value);
    for (Mean* mean : {&mean_worth_, &mean_density_, &served_by_size_}) visit(mean->value), visit(mean->seen);
  }
  template <typename Visit>
  void EachLearnt(Server& server, Visit visit) {
    visit(server.pace.taken), visit(server.pace.usual);
    server.failing.resize(load_.size());
    server.refuses.resize(load_.size());
    for (double& share : server.failing) visit(share);
    for (double& share : server.refuses) visit(share);
  }

  // ---- A request's life ----

  void OnRequest(const Request& in) {
    if (in.request_class < 0 || static_cast<std::size_t>(in.request_class) >= load_.size())
      return sink_.Fail(in.id);
    auto [it, fresh] = held_.try_emplace(std::string(in.id));
    if (!fresh) return;
    Held& held = it->second;
    held.request_class = static_cast<std::size_t>(in.request_class);
    held.arrived = now_;
    held.deadline = now_ + in.budget;
    held.partial = in.body_pending;
    ClassLoad& load = load_[held.request_class];
    load.longest_budget = std::max(load.longest_budget, in.budget);
    held.late = in.budget < load.longest_budget - set_.tick &&
                ClassOf(held).deadline - in.budget >= ClassOf(held).latency_target;
    CountArrival(held, in.cost);
    if (ClassOf(held).sequential && !in.key.empty()) lines_[held.key = in.key].push_back(it->first);
    const bool hopeless = Hopeless(held);
    hopeless_ += hopeless;
    const bool let_in = !hopeless && LetIn(held);
    LogAdmission(held, let_in);
    if (!let_in) return End(it);
    SendOrWait(it);
  }

  void OnOutcome(const Outcome& outcome) {
    auto it = held_.find(std::string(outcome.request));
    if (it == held_.end()) return;
    Held& held = it->second;
    if (outcome.attempt < 0 || static_cast<std::size_t>(outcome.attempt) >= held.attempts.size()) return;
    Attempt& attempt = held.attempts[static_cast<std::size_t>(outcome.attempt)];
    if (!attempt.out) return;
    attempt.out = false;
    attempt.may_have_run = !ProvesNeverRan(outcome.result, set_.refused_may_have_run);
    --attempt.server->out;
    --pools_[attempt.server->pool].out;
    const bool stays = attempt.server->listed && attempt.server->info.state == ServerInfo::State::kHealthy;
    if (outcome.result == Result::kSuccess && stays) LearnServed(pools_[attempt.server->pool]);
    if (Answered(outcome.result)) attempt.server->heard_at = now_;
    if (outcome.load.cpu) attempt.server->busy = *outcome.load.cpu >= kCoresBusy;
    Judge(held, *attempt.server, attempt.sent, outcome);
    if (!attempt.felt) Feel(held, *attempt.server, outcome);
    if (outcome.result == Result::kTimeout || outcome.result == Result::kReset ||
        outcome.result == Result::kCancelled)
      held.settled_at = now_ + set_.settle_after_doubt;
    if (outcome.final_answer_sent) held.ended = true;
    if (held.ended || held.AnyOut()) return Release(it);
    if (outcome.body_consumed) return End(it);
    switch (outcome.result) {
      case Result::kRefused:
      case Result::kUnreachable:
      case Result::kReset:
        return Wait(it);
      case Result::kSuccess:  // unsettled: not legal, and an end is owed all the same
      case Result::kError:
      case Result::kTimeout:
      case Result::kCancelled:
      case Result::kNeverSent:
        return End(it);
    }
  }

  // A request is timed from its last byte, and so is its attempt.
  void OnRequestBodyComplete(std::string_view request, Micros budget) {
    auto it = held_.find(std::string(request));
    if (it == held_.end() || !std::exchange(it->second.partial, false)) return;
    it->second.arrived = now_;
    it->second.deadline = now_ + budget;
    if (it->second.AnyOut()) Alarm(it, ClassOf(it->second).latency_target);
  }

  void OnClientDisconnected(std::string_view request) {
    auto it = held_.find(std::string(request));
    if (it == held_.end()) return;
    it->second.ended = true;
    Release(it);
  }

  void OnTimer(std::uint64_t token) {
    if (token == kAskToken) {
      if (!ask_at_ || now_ < *ask_at_) return;  // asked already, or planned anew
      ask_at_.reset();
      return sink_.Subscribe();
    }
    auto timer = timers_.find(token);
    if (timer == timers_.end()) return;
    auto it = held_.find(timer->second);
    timers_.erase(timer);
    if (it == held_.end() || it->second.timer != token) return;
    if (it->second.ended) return Release(it);
    if (it->second.AnyOut()) return FeelLate(it->second);
    if (!HasTurn(it)) return End(it);  // it has waited for its turn as long as its client waits
    SendOrWait(it);
  }

  std::size_t size() const { return held_.size(); }
  std::uint64_t walks() const { return walks_; }

  std::size_t Avoided() const {
    return static_cast<std::size_t>(
        std::count_if(servers_.begin(), servers_.end(), [this](const auto& entry) {
          return entry.second.listed && (Banned(entry.second) || Away(entry.second));
        }));
  }

 private:
  using HeldIt = std::unordered_map<std::string, Held>::iterator;
  static constexpr std::uint64_t kAskToken = 0;

  const RequestClass& ClassOf(const Held& held) const { return set_.classes[held.request_class]; }

  // Requests with one key go in order of arrival: only the first in line may be sent.
  bool HasTurn(HeldIt it) const {
    return it->second.key.empty() || lines_.at(it->second.key).front() == it->first;
  }

  void SendOrWait(HeldIt it) {
    Held& held = it->second;
    held.timer = 0;  // a turn may come before the alarm that was set for its failing to come
    if (!HasTurn(it)) return Alarm(it, std::max<Micros>(held.deadline - now_ - 2 * set_.tick, 0));
    Server* server = held.deadline > now_ && !DispatchPaused() ? Choose(held) : nullptr;
    if (server == nullptr) return Wait(it);
    // Spent where it is sent to, not where it is drawn: a draw that another server wins must cost it nothing.
    server->credit.left = std::max(server->credit.left - 1, 0.0);
    if (server->out++ == 0) server->heard_at = now_;
    Pool& pool = pools_[server->pool];
    pool.out_peak = std::max(static_cast<double>(++pool.out), pool.out_peak * (1 - 1 / kMixMemory));
    held.attempts.push_back({server, server->info.zone, server->info.cell, now_});
    sink_.Send(it->first, server->info.id, TimeOut(held));
    const Micros late = held.arrived + ClassOf(held).latency_target - now_;
    if (late > 0 && !held.partial) Alarm(it, late);
  }

  // An attempt is given up when its answer would be worth nothing. Guards against servers kept busy with what
  // comes late, and tells early of those that hang.
  Micros TimeOut(const Held& held) const {
    const RequestClass& c = ClassOf(held);
    if (c.latency_target <= 0 || c.late_value > 0 || c.latency_target_stretch > 0) return 0;
    return held.partial ? c.latency_target
                        : std::max<Micros>(held.arrived + c.latency_target - now_, set_.tick);
  }

  // ---- Overload: which work is let in ----

  // Under pressure the work of least worth is refused first, before it fills a queue. Guards against servers
  // that choke and against answers that all come late, each retried by its client on top of the load.
  bool LetIn(Held& held) {
    const std::size_t own = held.request_class;
    for (held.pool = 0; held.pool < pools_.size(); ++held.pool) {
      Pool& pool = pools_[held.pool];
      // All that was let in has ended since: no pressure is known. Guards against chains of sidecars that
      // each refuse a part, so that nothing reaches the last ones and none of them ever learns better.
      if (now_ - pool.felt_at > load_[own].longest_budget) pool.admit = std::max(pool.admit, 1.0);
      // A crossing has to be worth its price: requests of least worth stay at home or are refused.
      if (held.pool > 0 && Worth(own) < set_.cost_cross_zone * mean_worth_.value) break;
      if (!pool.ring.empty() && Admits(pool, own, held.late)) return true;
    }
    held.pool = 0;
    return NoServer();  // one may yet be listed while it waits
  }

  // Work that the fastest server of the window would not do in time serves nobody, and what it takes there is
  // paid for. The dearer the work, the longer the odds that are taken.
  bool Hopeless(const Held& held) const {
    const RequestClass& c = ClassOf(held);
    const ClassLoad& load = load_[held.request_class];
    if (TimeOut(held) == 0 || set_.cost_waste <= 0 || load.answer.seen < kHopeLearnt ||
        mean_density_.value <= 0)
      return false;
    const Pool& pool = pools_[pools_[0].ring.empty() ? 1 : 0];
    const std::size_t width = Width(pool, set_);
    if (width == 0) return false;
    double best = Slow(pool.InWindow(0));
    for (std::size_t i = 1; i < width; ++i) best = std::min(best, Slow(pool.InWindow(i)));
    const double odds = 1 + Density(held.request_class) / mean_density_.value;
    return load.answer.value * held.size * best > odds * static_cast<double>(c.latency_target);
  }

  // Says what is refused on arrival and why; at most once a second and nothing while all is let in.
  void LogAdmission(const Held& held, bool let_in) {
    ++arrived_;
    if (!let_in) ++refused_;
    if (refused_ == 0 || now_ < logged_at_ + kSecond) return;
    const Pool& pool = pools_[held.pool];
    char text[240];
    std::snprintf(
        text, sizeof text,
        "admission: %d of %d requests refused, %d as hopeless; admit %.2f, room %.2f; pressure %.2f aims, "
        "least %.2f, target %.2f; %d out at %zu servers",
        std::exchange(refused_, 0), std::exchange(arrived_, 0), std::exchange(hopeless_, 0), pool.admit,
        Room(pool), pool.usual, pool.unloaded, std::max(Target(pool), LeastTarget(pool)), pool.out,
        pool.ring.size());
    logged_at_ = now_;
    sink_.Log(text);
  }

  // What was fit for all of them is too much for those that are left, and they choke before it shows; what
  // comes is given back. Guards against half of the servers going at once. Squared: what good answers have
  // saved makes up for one server of eight, so that one that is replaced refuses nobody, and not for half of
  // them. By the plain share of min(admit, 1) each replacement refused for a quarter second; the plain share
  // of all that was saved would let in three quarters for half. It could harm where those that go were doing
  // nothing; good answers mend that within a second.
  static void Rescale(Pool& pool, std::size_t before) {
    if (before == 0 || pool.ring.empty()) return;
    const double share = static_cast<double>(pool.ring.size()) / static_cast<double>(before);
    pool.admit = std::clamp(pool.admit * share * share, kAdmitLeast, std::max(pool.admit, 1.0));
  }

  void CountArrival(Held& held, std::optional<Micros> cost) {
    const std::size_t own = held.request_class;
    hinted_ = hinted_ || cost.has_value();
    if (cost) {
      const double work = static_cast<double>(std::max<Micros>(*cost, 1));
      load_[own].work.Add(work, kMixMemory);
      held.size = std::max(work / load_[own].work.value, kLeastSize);
    }
    for (ClassLoad& load : load_) load.arriving *= 1 - 1 / kMixMemory;
    load_[own].arriving += load_[own].work.value;
    mean_worth_.Add(Worth(own), kMixMemory);
    mean_density_.Add(Density(own), kMixMemory);
  }

  // The share that the attempts that are out leave room for. Answers tell of an overload late and make it
  // look small, as the quick ones come first: with a third more out than servers keep up with, admission
  // stood at its most while the answers that came were as usual, and four of nine choked. What is out shows
  // it at once, whatever the cause: a burst, servers that go, slow down or choke. It could harm where more
  // work comes for good within seconds; as long as answers stay good the limit follows.
  double Room(const Pool& pool) const {
    if (!pool.limited) return 1;
    const double over = pool.out / (pool.out_each * static_cast<double>(pool.ring.size()));
    return std::clamp((kOutFull - over) / (kOutFull - kOutFrom), kAdmitLeast, 1.0);
  }

  static bool KnowsOut(const Pool& pool) {
    return pool.outs >= kOutLearnt && pool.out_each * static_cast<double>(pool.ring.size()) >= kSteadyOut;
  }

  static void LearnOut(Pool& pool) {
    if (pool.admit < 1 || pool.ring.empty()) return;
    const double servers = static_cast<double>(pool.ring.size());
    pool.outs = std::min(pool.outs + 1, kOutMemory);
    pool.out_each += (pool.out / servers - pool.out_each) / pool.outs;
    pool.limited = KnowsOut(pool);
  }

  bool Admits(const Pool& pool, std::size_t own, bool late) {
    const double admit = std::min(pool.admit, Room(pool));
    if (admit >= 1) return true;
    return random_.Unit() * load_[own].arriving <
           admit * Arriving(0) - Arriving(Density(own) * (late ? set_.classes[own].late_value : 1));
  }

  // Work that arrived lately and is worth more than `density`.
  double Arriving(double density) const {
    double sum = 0;
    for (std::size_t i = 0; i < load_.size(); ++i)
      if (Density(i) > density) sum += load_[i].arriving;
    return sum;
  }

  double AdmitTarget(const Pool& pool) const {
    return set_.reports == Settings::Reports::kNone ? kAdmitTarget
                                                    : std::min(kAdmitTargetReported, pool.unloaded + kRoom);
  }

  // The target goes no lower than some way above the least pressure that was usual.
  double LeastTarget(const Pool& pool) const {
    const double busy = std::clamp((pool.out_peak - kBusyFrom) / (kBusyFull - kBusyFrom), 0.0, 1.0);
    const double headroom = kHeadroom + busy * (kHeadroomBusy - kHeadroom);
    const double most = AdmitTarget(pool) + busy * std::max(kAdmitTargetBusy - AdmitTarget(pool), 0.0);
    return std::min(headroom * pool.unloaded, most);
  }

  // The pressure, in aims, at which no more is to be let in. It follows the worth of the work at the margin,
  // the least that is still let in: cheap work goes while servers are far from choking, dear work only when
  // answers come late.
  double Target(const Pool& pool) const {
    const double total = Arriving(0);
    if (total <= 0) return AdmitTarget(pool);
    double margin = 0;
    double mean = 0;
    for (std::size_t i = 0; i < load_.size(); ++i) {
      const double density = Density(i);
      mean += density * load_[i].arriving / total;
      if (load_[i].arriving > 0 && Arriving(density) < pool.admit * total &&
          (margin <= 0 || density < margin))
        margin = density;
    }
    return AdmitTarget(pool) * std::sqrt(std::min(margin / mean, 1.0));
  }

  double Worth(std::size_t i) const {
    return set_.classes[i].value * (set_.value_by_work ? load_[i].work.value : 1);
  }
  double Density(std::size_t i) const { return Worth(i) / load_[i].work.value; }

  // An attempt that is still out when its request's aim has passed is pressure at once. Guards against
  // hearing of an overload only when the answers come, seconds after they were late.
  void FeelLate(Held& held) {
    Attempt& attempt = held.attempts.back();
    if (!attempt.out || std::exchange(attempt.felt, true)) return;
    Feel(held, *attempt.server, {.request = {}, .result = Result::kTimeout});
    Strike(*attempt.server, attempt.sent);
  }

  // What an outcome tells of the pressure on the servers.
  void Feel(const Held& held, const Server& server, const Outcome& outcome) {
    Pool& pool = pools_[server.pool];
    // Requests that get no answer say nothing of load where the concurrency limit tells it: they are few
    // servers' that stall, or lost on the way; nor do they where the server has lately had idle cores. As
    // pressure they kept more than half of the work from servers that stood idle, for ten seconds; each one
    // outweighs ten good answers. It could harm where servers choke without more attempts out than usual;
    // what they answer still tells it.
    if (outcome.result == Result::kTimeout && (pool.limited || !server.busy)) return;
    const double aim = static_cast<double>(std::max<Micros>(ClassOf(held).latency_target, 1));
    double aims = std::min(static_cast<double>(outcome.elapsed) / aim, kAdmitWorst);
    if (outcome.result == Result::kSuccess) {
      ClassLoad& load = load_[held.request_class];
      pool.elapsed.Add(static_cast<double>(outcome.elapsed), kMixMemory);
      if (!hinted_) load.work.Add(static_cast<double>(std::max<Micros>(outcome.elapsed, 1)), kMixMemory);
    } else if (outcome.result == Result::kTimeout ||
               (outcome.result == Result::kRefused && !RefusesOneClass(server))) {
      aims = kAdmitWorst;
    } else {
      return;  // says nothing of load
    }
    LearnOut(pool);
    pool.felt_at = now_;
    pool.answers = std::min(pool.answers + 1, kUsualMemory);
    pool.usual += (aims - pool.usual) / pool.answers;
    if (pool.answers >= kUsualMemory / 2) pool.unloaded = std::min(pool.unloaded, pool.usual);
    // Guards against refusing work while servers have room: a dear request, a slow core or a far zone takes
    // as long as an overload does. It could harm where reports lag far behind a sudden one.
    if (!server.busy) aims = std::min(aims, pool.unloaded);
    pool.lates = aims < 1 ? 0 : std::min(pool.lates + 1, kLatesMost);
    const double least = pool.unloaded < kAdmitWorst ? LeastTarget(pool) : 0;
    const double gain = kAdmitStep * std::min(1.0, kSteadyOut / std::max(pool.out_peak, 1.0));
    const double step = gain * (std::max(Target(pool), least) - aims * std::max(pool.lates, 1.0));
    // The less is let in, the fewer outcomes there are to recover by: each counts for more then.
    pool.admit = std::clamp(pool.admit + (step > 0 ? step / std::max(pool.admit, kRecoverAt) : step),
                            kAdmitLeast, kAdmitMost);
  }

  static double SlowMemory(const Pool& pool) {
    return std::clamp(kSlowMemoryBusy * pool.out_peak / kSteadyOut, kSlowMemory, kSlowMemoryBusy);
  }

  // What an outcome tells of the server.
  void Judge(const Held& held, Server& server, Micros sent, const Outcome& outcome) {
    ClassLoad& load = load_[held.request_class];
    const double elapsed = static_cast<double>(outcome.elapsed);
    if (outcome.result == Result::kSuccess) {
      load.answer.Add(elapsed, kMixMemory);
    } else if (outcome.result == Result::kCancelled || outcome.result == Result::kNeverSent) {
      return;
    }
    const bool unanswered = outcome.result == Result::kTimeout || outcome.result == Result::kReset;
    server.failing.resize(load_.size());
    double& failing = server.failing[held.request_class];
    if (outcome.result == Result::kError || unanswered) failing += (kRefusalMost - failing) / kErrorMemory;
    if (outcome.result == Result::kSuccess) failing -= failing / kServedMemory;
    if (outcome.result == Result::kError) return;
    server.refuses.resize(load_.size());
    double& refuses = server.refuses[held.request_class];
    if (outcome.result == Result::kRefused) refuses += (kRefusalMost - refuses) / kRefusalMemory;
    if (outcome.result == Result::kSuccess) refuses -= refuses / kServedMemory;
    const double usual = load.answer.value * held.size;
    if (outcome.result != Result::kRefused && usual > 0) {
      const double most = kSlowMost * usual;
      const double taken = outcome.result == Result::kSuccess ? std::min(elapsed, most) : most;
      server.pace.Add(taken, usual, SlowMemory(pools_[server.pool]));
      machines_[server.info.machine].Add(taken, usual, kMixMemory);
    }
    if (outcome.result == Result::kSuccess) {
      if (outcome.elapsed >= ClassOf(held).latency_target) return;
      server.strikes = 0;
      server.good_at = now_;
    } else if (outcome.result != Result::kRefused) {
      // At once broken, it says less: the network resets some of any server's requests. Guards against
      // leaving half of the servers alone all the time; one that is dead has served nothing for an aim soon
      // enough.
      Strike(server, std::min(sent, now_ - ClassOf(held).latency_target));
    }
  }

  // Outlier ejection: leaves a server alone for a while. Guards against dead, stuck and choking servers. A
  // server on trial with an attempt out counts among those left alone, so that lateness ejects it from a
  // narrow window once and not again: one that answers in the end is not given up (round 27).
  // One that has served others well since the attempt was sent stays in: the request was dear, or its answer
  // alone was spoilt. Guards against leaving healthy servers alone by chance: at 300 requests a second, a
  // hundredth of them late, a sidecar left up to five of nine alone at once, and the rest choked. It could
  // harm where a server hangs on one kind of request only.
  void Strike(Server& server, Micros sent) {
    if (now_ < server.away_until || server.good_at > sent) return;
    const Pool& pool = pools_[server.pool];
    const std::size_t width = Width(pool, set_);
    std::size_t away = 0;
    for (std::size_t i = 0; i < width; ++i) away += Away(pool.InWindow(i));
    if (static_cast<double>(away + 1) > kMostAway * static_cast<double>(width)) return;
    server.away_until = now_ + random_.Upto(Doubled(kServerBase, server.strikes++, kRetryCap));
  }

  // A server in its wait, or with its one trial attempt out.
  bool Away(const Server& server) const {
    return now_ < server.away_until || (server.strikes > 0 && server.out > 0);
  }

  // One class turned away of several is a limit on it and no pressure.
  static bool RefusesOneClass(const Server& server) {
    const auto some = [](double share) { return share > kRefusesSome; };
    return server.refuses.size() > 1 &&
           std::count_if(server.refuses.begin(), server.refuses.end(), some) == 1;
  }

  // A server that lately turned away this class is passed over as often as it did. Guards against limits on
  // one class, which say nothing of room for the others, and against full servers. It could harm where all
  // refuse by chance; the search from end to end then takes any.
  bool Refuses(const Held& held, const Server& server) {
    const double share = server.refuses.empty() ? 0 : server.refuses[held.request_class];
    return share > 0 && random_.Unit() < share;
  }

  // A server that answers with errors is passed over by how often it did. Guards against one that fails fast:
  // it has few attempts out and looks the least busy, so that it drew the more requests the faster it failed.
  // The same for one that lets requests time out or resets them while it serves others well, which keeps it
  // from being left alone.
  // By class: servers that fail one kind of request alone serve the others well, and that hid it.
  bool Fails(const Held& held, const Server& server) {
    const double share = server.failing.empty() ? 0 : server.failing[held.request_class];
    return share > 0 && random_.Unit() < std::min(2 * share, kRefusalMost);
  }

  // ---- The choice of a server ----

  // How busy a server is by own attempts out, counted in the time that it takes for each. Own counts alone do
  // not see a slow server that answers in the end, nor do they tell idle servers apart. One that has attempts
  // out and has said nothing for longer than they explain looks the busier the longer it is silent: guards
  // against servers that stall, hang or vanish, long before their requests are late. It could harm a server
  // that has dear requests alone; two of them count no more than a few others.
  double Busy(const Held& held, const Server& server) const {
    const double usual = pools_[server.pool].elapsed.value;
    const double silent = usual > 0 ? static_cast<double>(now_ - server.heard_at) * server.out / usual : 0;
    return (server.out + held.size) * Slow(server) * std::max(1.0, silent / kSilence);
  }

  // How long a server takes for the same work, as a multiple of what is usual. What it has answered is
  // weighed against what others of its kind of machine did. Guards against learning too late: in a large
  // fleet a sidecar meets each server seldom, and its first answers say little by themselves.
  double Slow(const Server& server) const {
    const double weight = kSlowPrior * std::max(pools_[server.pool].elapsed.value, 1.0);
    const auto among = machines_.find(server.info.machine);
    const double kind =
        among == machines_.end() ? 1 : (among->second.taken + weight) / (among->second.usual + weight);
    return (server.pace.taken + weight * kind) / (server.pace.usual + weight);
  }

  // The less busy of two random window servers. Null if the window holds none that may be used.
  Server* Choose(const Held& held) {
    const Pool& pool = pools_[pools_[held.pool].ring.empty() ? 1 - held.pool : held.pool];
    const std::size_t width = Width(pool, set_);
    if (width == 0) return nullptr;
    // A young server whose turn has come by its credit, and that does not cost the request its aim: left to
    // the draws, others win most turns and newcomers stand idle while those that stay are overloaded.
    if (held.size <= 1) {
      const std::size_t first = static_cast<std::size_t>(served_) % width;
      for (std::size_t i = 0; i < width; ++i) {
        Server& server = pool.InWindow((first + i) % width);
        if (Warmth(server) < 1 && server.out == 0 && !Away(server) && MayUse(held, server) &&
            AcceptYoung(server) && !Refuses(held, server) && !Fails(held, server))
          return &server;
      }
    }
    Server* best = nullptr;
    double room = 0;
    for (std::size_t i = 0; i < width; ++i) room += Pull(pool.InWindow(i));
    int found = 0;
    for (int draw = 0; draw < kDraws && found < 2; ++draw) {
      Server& server = Draw(pool, width, room);
      if (Away(server) || Refuses(held, server) || Fails(held, server) || !MayUse(held, server) ||
          !AcceptYoung(server))
        continue;
      ++found;
      if (best == nullptr || Busy(held, server) < Busy(held, *best)) best = &server;
    }
    if (best != nullptr) return best;
    bool none_warm = served_by_size_.seen < 1;  // and nothing known to earn credit by: chance has to do
    for (std::size_t i = 0; i < width; ++i) none_warm = none_warm && Warmth(pool.InWindow(i)) < 1;
    const std::size_t start = random_.Below(width);
    // Twice round: what is left alone for a while may serve, and what fails this class hardly ever does.
    for (std::size_t i = 0; i < 2 * width; ++i) {
      Server& server = pool.InWindow((start + i) % width);
      if (!MayUse(held, server) || (i < width && Fails(held, server))) continue;
      if (AcceptYoung(server) || (none_warm && random_.Unit() < Warmth(server))) return &server;
    }
    return held.MayHaveRun() == nullptr ? nullptr : OutsideWindow(held);
  }

  // How much of the work a server should draw: its size, as far as it is told, by how fast it takes work.
  double Pull(const Server& server) const { return Size(server) / std::max(Slow(server), kLeastWeight); }
  static double Size(const Server& server) { return std::max(server.info.weight, kLeastWeight); }

  // Chance by size and pace. Guards against small servers that get as much as large ones: two draws alike for
  // all send the smallest of three still a ninth, which is more than they can do.
  Server& Draw(const Pool& pool, std::size_t width, double room) {
    double at = random_.Unit() * room;
    std::size_t i = 0;
    while (i + 1 < width && (at -= Pull(pool.InWindow(i))) >= 0) ++i;
    return pool.InWindow(i);
  }

  // The exception to the window: what may have run can be repeated only in its group, and the window may hold
  // no other server of it. Then any listed server of the group will do, for as long as repeats are dropped.
  Server* OutsideWindow(const Held& held) {
    for (Pool& pool : pools_) {
      const std::size_t start = random_.Below(pool.ring.size());
      for (std::size_t i = 0; i < pool.ring.size(); ++i) {
        Server& server = *pool.ring[(start + i) % pool.ring.size()];
        if (!Away(server) && MayUse(held, server) && AcceptYoung(server)) return &server;
      }
    }
    return nullptr;
  }

  // After a refusal another server is tried; after an attempt that may have run, only what drops the repeat.
  bool MayUse(const Held& held, const Server& server) const {
    if (!held.attempts.empty() && held.attempts.back().server == &server &&
        Width(pools_[server.pool], set_) > 1)
      return false;
    const Attempt* ran = held.MayHaveRun();
    const RequestClass& c = ClassOf(held);
    if (!MayRepeat(held)) return false;
    if (ran == nullptr || c.repeat == Repeat::kSafe) return true;
    // Where it ran may be unknown: that is nobody's group.
    if (c.dedup_group == DedupGroup::kZone) return ran->zone >= 0 && ran->zone == server.info.zone;
    if (c.dedup_group == DedupGroup::kCell) return ran->cell >= 0 && ran->cell == server.info.cell;
    return true;
  }

  // The share of its full capacity that a server certainly has: it grows from the cold share over the
  // warm-up.
  double Warmth(const Server& server) const {
    const Micros started = bans_.Started(server.info.id, server.info.started);
    const Micros age = now_ - started;
    if (started == 0 || age >= set_.slow_start_duration) return 1;
    const double grown =
        static_cast<double>(std::max<Micros>(age, 0)) / static_cast<double>(set_.slow_start_duration);
    return set_.slow_start_share + (1 - set_.slow_start_share) * grown;
  }

  // The share of the servers that the window holds, and so of the sidecars whose windows hold a server.
  double Covered(const Pool& pool) const {
    return static_cast<double>(Width(pool, set_)) / static_cast<double>(pool.ring.size());
  }

  // What the servers of the window usually serve of this sidecar's requests, by size, while nothing presses.
  void LearnServed(const Pool& pool) {
    ++served_;
    const double seconds = static_cast<double>(now_ - served_at_) / kSecond;
    if (seconds < 1) return;
    double all = 0;
    for (std::size_t i = 0; i < Width(pool, set_); ++i) all += Size(pool.InWindow(i));
    const double rate = static_cast<double>(served_ - served_before_) / seconds;
    served_at_ = now_;
    served_before_ = served_;
    if ((pool.admit >= 1 || served_by_size_.seen < 1) && all > 0)
      served_by_size_.Add(rate / all * Covered(pool), kServedSeconds);
  }

  // A young server is sent its share by size of what this sidecar is *served*, as far as it is warm, times
  // half of what would push it over: a server that is served well takes its share and more, and the other
  // half is for chance and for what other sidecars do. Counting answers and not sends guards against an
  // overload, where sends and retries together exceed what a server can do many times, and against an idle
  // newcomer that every sidecar prefers at once. What it is usually served in that time counts as well: in an
  // overload of the others little is served, and newcomers stood idle for as long as that lasted.
  bool AcceptYoung(Server& server) {
    const double warmth = Warmth(server);
    if (warmth >= 1) return true;
    const Pool& pool = pools_[server.pool];
    const std::size_t width = Width(pool, set_);
    double all = 0;
    for (std::size_t i = 0; i < width; ++i) all += Size(pool.InWindow(i));
    const double share = set_.overload_factor / 2 * warmth * Size(server);
    const double seconds = static_cast<double>(now_ - server.credit.then) / kSecond;
    server.credit.Earn(share * static_cast<double>(served_ - server.credit.served_then) / all,
                       share * served_by_size_.value / Covered(pool) * seconds);
    server.credit.served_then = served_;
    server.credit.then = now_;
    return server.credit.left >= 1;
  }

  // The design's wait: full jitter, doubling. Ends the request when nothing more can come of it.
  void Wait(HeldIt it) {
    Held& held = it->second;
    const int n = held.refusals++;
    const Micros wait = random_.Upto(Doubled(kRetryBase, n, kRetryCap));
    const int limit = std::min(kMaxAttempts, set_.max_attempts);
    if (held.refusals >= limit || now_ + wait + set_.tick >= held.deadline || !MayRepeat(held))
      return End(it);
    Alarm(it, wait);
  }

  void Alarm(HeldIt it, Micros wait) {
    it->second.timer = ++last_timer_;
    timers_.emplace(last_timer_, it->first);
    sink_.SetTimer(wait, last_timer_);
  }

  // A repeat that has to dial leaves as late as the dial may come up, and has to leave within the window.
  bool MayRepeat(const Held& held) const {
    const Attempt* ran = held.MayHaveRun();
    const RequestClass& c = ClassOf(held);
    return ran == nullptr || c.repeat == Repeat::kSafe ||
           (c.repeat == Repeat::kDeduplicated && now_ + set_.dial_timeout < ran->sent + c.dedup_window);
  }

  // The final answer. A refusal promises that a further try does no harm; where that is not certain it fails.
  void End(HeldIt it) {
    const RequestClass& c = ClassOf(it->second);
    const bool harmless = it->second.MayHaveRun() == nullptr || c.repeat == Repeat::kSafe ||
                          (c.dedup_group == DedupGroup::kAll && MayRepeat(it->second));
    it->second.ended = true;
    if (harmless) {
      // Advice beyond half the aim would bring the client back too late to be served in time.
      const Micros most = std::min(set_.max_retry_after, c.latency_target / 2);
      sink_.Refuse(it->first, most > 0 ? 1 + random_.Upto(most) : 0);
    } else {
      sink_.Fail(it->first);
    }
    Release(it);
  }

  // What is still out of a request that is over serves nobody, and keeps the turn of its key.
  void CancelRest(HeldIt it) {
    if (!set_.cancel || std::exchange(it->second.cancelled, true)) return;
    for (std::size_t i = 0; i < it->second.attempts.size(); ++i)
      if (it->second.attempts[i].out) sink_.Cancel(it->first, static_cast<int>(i));
  }

  // Forgets a request that is over; the next in its line has the turn then. Guards the order of a key: the
  // turn is kept while an attempt is unresolved, even if the client is gone, and for the settle time after
  // doubt.
  void Release(HeldIt it) {
    Held& held = it->second;
    if (!held.ended) return;
    if (held.AnyOut()) return CancelRest(it);
    auto line = lines_.find(held.key);
    if (line == lines_.end()) return void(held_.erase(it));
    if (now_ < held.settled_at) return Alarm(it, held.settled_at - now_);
    auto& ids = line->second;
    const bool first = ids.front() == it->first;
    ids.erase(std::find(ids.begin(), ids.end(), it->first));
    held_.erase(it);
    if (ids.empty()) return void(lines_.erase(line));
    if (first) SendOrWait(held_.find(ids.front()));
  }

  // ---- Discovery ----

  void AskLater(Micros most) {
    if (!set_.must_subscribe) return;
    const Micros wait = random_.Upto(most);
    if (ask_at_ && *ask_at_ <= now_ + wait) return;
    ask_at_ = now_ + wait;
    sink_.SetTimer(wait, kAskToken);
  }

  const Settings set_;
  ActionSink& sink_;
  Random random_;
  Micros now_;
  OutdatedList outdated_;
  std::map<std::string, Server> servers_;  // sorted: the ring's order; nodes stay put
  std::vector<std::string> leaving_;       // no longer listed, and kept while attempts are out
  std::uint64_t walks_ = 0;
  Bans bans_;
  std::array<Pool, 2> pools_;
  std::unordered_map<std::string, Held> held_;  // looked up, never walked
  std::unordered_map<std::uint64_t, std::string> timers_;
  std::uint64_t last_timer_ = kAskToken;
  std::unordered_map<std::string, std::deque<std::string>>
      lines_;                       // request ids by key; looked up, never walked
  std::vector<ClassLoad> load_;     // by class
  std::map<int, Pace> machines_;    // by kind of machine
  Mean mean_worth_;                 // of an arriving request
  Mean mean_density_;               // the same by unit of its work
  bool hinted_ = false;             // requests carry their expected work
  std::int64_t served_ = 0;         // attempts that succeeded
  std::int64_t served_before_ = 0;  // the same at served_at_
  Micros served_at_ = 0;
  Mean served_by_size_;  // usually served in a second by a server of size 1
  int arrived_ = 0;      // requests since the last line of the log ...
  int refused_ = 0;      // ... and what of them was refused on arrival
  int hopeless_ = 0;     // ... for its own size, not for pressure
  Micros logged_at_ = 0;
  int asks_failed_ = 0;
  std::optional<Micros> ask_at_;  // when discovery is asked next, if that is planned
};

// ---- The outside ----

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
    if (!(c.value >= 0)) error = "negative worth in class " + c.name;
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

void Balancer::OnServers(Micros now, const ListUpdate& update) { state_->At(now).OnServers(update); }
void Balancer::OnListStaleness(Micros now, std::optional<Micros> effective_from, MissedChanges missed) {
  state_->At(now).OnListStaleness(effective_from, missed);
}
bool Balancer::DispatchPaused(Micros now) { return state_->At(now).DispatchPaused(); }
void Balancer::SetAdminDown(Micros now, std::string_view server, bool down) {
  state_->At(now).SetAdminDown(server, down);
}
std::string Balancer::ExportLearnedState() const { return state_->ExportLearnedState(); }
bool Balancer::RestoreLearnedState(Micros now, std::string_view learned) {
  return state_->At(now).RestoreLearnedState(learned);
}
void Balancer::OnRequest(Micros now, const Request& request) { state_->At(now).OnRequest(request); }
void Balancer::OnRequestBodyComplete(Micros now, std::string_view request, Micros budget) {
  state_->At(now).OnRequestBodyComplete(request, budget);
}
void Balancer::OnResponseStarted(Micros now, std::string_view, int) {
  state_->At(now);  // the attempt is the client's now; its outcome still comes
}
void Balancer::OnOutcome(Micros now, const Outcome& outcome) { state_->At(now).OnOutcome(outcome); }
void Balancer::OnClientDisconnected(Micros now, std::string_view request) {
  state_->At(now).OnClientDisconnected(request);
}
void Balancer::OnTimer(Micros now, std::uint64_t token) { state_->At(now).OnTimer(token); }
void Balancer::OnProbed(Micros now, const ProbeResult&) { state_->At(now); }
void Balancer::OnPeerMessage(Micros now, std::uint32_t, std::string_view) { state_->At(now); }
std::size_t Balancer::servers_avoided(Micros now) { return state_->At(now).Avoided(); }
std::size_t Balancer::pending_request_count() const { return state_->size(); }
std::uint64_t Balancer::ring_rebuild_count() const { return state_->walks(); }

}  // namespace merlinrun
