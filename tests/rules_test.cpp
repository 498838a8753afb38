// Property tests: runs a Balancer through random but valid sequences of events and checks that it obeys the
// rules that a single sidecar has to obey: no new requests to a draining server, no repeat of a request
// that must not run twice, order among requests with the same key, and one answer in time to each request.
// The checker sees only events and actions and shares no code with the balancer.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <utility>

#include "harness.hpp"

namespace merlinrun::testing {
namespace {

using Kind = Action::Kind;

// Follows the events and actions of one balancer and records each rule violation as a text.
class RuleChecker {
 public:
  RuleChecker(Settings settings, Micros slack) : settings_(std::move(settings)), deadline_slack_(slack) {}

  void OnListed(Micros now, const ServerInfo& info) {
    ServerRecord& server = servers_[info.id];
    const bool usable = info.state == ServerInfo::State::kHealthy;
    if (!usable && (server.usable || !server.listed)) server.unusable_since = now;
    server = {info, server.unusable_since, usable, true};
  }
  void OnUnlisted(Micros now, const std::string& id) {
    ServerRecord& server = servers_[id];
    if (server.usable) server.unusable_since = now;
    server.usable = false;
  }
  void OnArrival(Micros now, const std::string& id, int request_class, Micros budget,
                 const std::string& key) {
    requests_[id] = {request_class, now + budget, false, {}};
    if (settings_.classes[static_cast<std::size_t>(request_class)].sequential && !key.empty()) {
      requests_[id].key = key;
      requests_by_key_[key].push_back(id);
    }
  }
  void OnResolved(Micros now, const std::string& id, int attempt, Result result, bool final_answer_sent) {
    RequestRecord& request = requests_.at(id);
    Attempt& resolved = request.attempts.at(static_cast<std::size_t>(attempt));
    resolved.in_flight = false;
    resolved.may_have_run = (result != Result::kRefused || settings_.refused_may_have_run) &&
                            result != Result::kUnreachable && result != Result::kNeverSent;
    if (result == Result::kTimeout || result == Result::kReset || result == Result::kCancelled)
      request.key_free_at = now + settings_.settle_after_doubt;
    if (final_answer_sent) request.ended = true;
  }
  void OnDisconnected(const std::string& id) { requests_.at(id).ended = true; }

  void OnAction(Micros now, const Action& action) {
    if (action.kind == Kind::kTimer || action.kind == Kind::kSubscribe || action.kind == Kind::kCancel)
      return;
    const auto it = requests_.find(action.request);
    if (it == requests_.end()) return Report("action for an unknown request");
    RequestRecord& request = it->second;
    if (request.ended) return Report("action for a request that has ended");
    const RequestClass& c = settings_.classes[static_cast<std::size_t>(request.request_class)];
    const Attempt* prior_run = nullptr;
    for (const Attempt& earlier_attempt : request.attempts)
      if (prior_run == nullptr && earlier_attempt.may_have_run) prior_run = &earlier_attempt;
    if (action.kind == Kind::kSend) {
      const ServerRecord& server = servers_[action.server];
      if (!server.listed) Report("sent to a server that was never listed");
      if (server.listed && !server.usable && now > server.unusable_since + settings_.drain_grace)
        Report("sent to a draining server");
      for (const Attempt& earlier_attempt : request.attempts)
        if (earlier_attempt.in_flight && !settings_.parallel_attempts)
          Report("two attempts in flight at once");
      if (static_cast<int>(request.attempts.size()) >= settings_.max_attempts) Report("too many attempts");
      if (now > request.deadline) Report("sent after the deadline");
      for (const std::string& id : requests_by_key_[request.key]) {
        if (id == action.request) break;
        const RequestRecord& earlier = requests_.at(id);
        for (const Attempt& earlier_attempt : earlier.attempts)
          if (earlier_attempt.in_flight) Report("sent while an earlier request of the key was in flight");
        if (!earlier.ended) Report("sent before an earlier request of the key had ended");
        if (now < earlier.key_free_at) Report("sent before the wait after a doubtful outcome was over");
      }
      if (prior_run != nullptr && c.repeat == Repeat::kNever)
        Report("request that must not be repeated was sent again");
      if (prior_run != nullptr && c.repeat == Repeat::kDeduplicated) {
        if (now >= prior_run->sent + c.dedup_window) Report("repeated after the deduplication window");
        if (c.dedup_group == DedupGroup::kZone && prior_run->zone != server.info.zone)
          Report("repeated outside the deduplication group");
        if (c.dedup_group == DedupGroup::kCell && prior_run->cell != server.info.cell)
          Report("repeated outside the deduplication group");
      }
      request.attempts.push_back({now, server.info.zone, server.info.cell, true, true});
      return;
    }
    if (now > request.deadline + deadline_slack_) Report("answered after the deadline");
    if (action.kind == Kind::kRefuse && prior_run != nullptr && c.repeat != Repeat::kSafe &&
        !(c.repeat == Repeat::kDeduplicated && c.dedup_group == DedupGroup::kAll))
      Report("refused a request that may have run");
    request.ended = true;
  }
  void Finish() {
    for (const auto& [id, request] : requests_)
      if (!request.ended) Report("request without an answer");
  }
  const std::set<std::string>& violations() const { return violations_; }

 private:
  struct ServerRecord {
    ServerInfo info;
    Micros unusable_since = 0;  // when the balancer received the change
    bool usable = false;
    bool listed = false;
  };
  struct Attempt {
    Micros sent;
    int zone;
    std::int64_t cell;
    bool in_flight;
    bool may_have_run;
  };
  struct RequestRecord {
    int request_class;
    Micros deadline;
    bool ended;
    std::vector<Attempt> attempts;
    std::string key = {};
    Micros key_free_at = 0;  // no request of the key may be sent before
  };
  void Report(const std::string& violation) { violations_.insert(violation); }

  Settings settings_;
  Micros deadline_slack_;
  std::map<std::string, ServerRecord> servers_;
  std::map<std::string, RequestRecord> requests_;
  std::map<std::string, std::vector<std::string>> requests_by_key_;
  std::set<std::string> violations_;
};

// Alters an action between the balancer and the checker, to inject a fault that the checker has to find.
using AlterAction = std::function<void(Action&)>;

struct RunResult {
  std::set<std::string> violations;
  int sends = 0, repeats = 0, refusals = 0, failures = 0;
  std::size_t pending = 0;  // requests still pending in the balancer at the end
};

// Runs one random sequence of events: arrivals, outcomes of every kind, changes of the list, clients that
// disconnect, timers. The checker applies `rules` if given, otherwise the balancer's own `settings`.
RunResult RunRandomEvents(std::uint64_t seed, const Settings& settings, const AlterAction& alter,
                          const Settings* rules = nullptr) {
  std::mt19937_64 random(seed);
  const auto below = [&](int n) { return static_cast<int>(random() % static_cast<std::uint64_t>(n)); };
  struct Scheduled {
    Micros at;
    int order;
    Action action;
    int attempt;
    bool operator<(const Scheduled& o) const { return std::pair(at, order) < std::pair(o.at, o.order); }
  };
  RunResult run;
  Recorder sink;
  std::string error;
  Micros now = 50 * kSec;
  auto balancer = Balancer::Create(settings, seed, now, sink, error);
  RuleChecker checker(rules != nullptr ? *rules : settings, 20 * kMs);
  std::set<Scheduled> scheduled;
  std::map<std::string, Micros> deadline;
  std::map<std::string, int> attempts;
  std::set<std::string> ended;
  int order = 0;
  const auto collect = [&] {
    for (Action action : sink.Take()) {
      if (alter) alter(action);
      checker.OnAction(now, action);
      if (action.kind == Kind::kSend) {
        ++run.sends;
        const int attempt = attempts[action.request]++;
        run.repeats += attempt > 0;
        Micros at = now + 1 * kMs + below(3000) * kMs;
        if (action.time > 0) at = std::min(at, now + action.time);
        scheduled.insert({std::min(at, deadline[action.request]), order++, action, attempt});
      } else if (action.kind == Kind::kTimer) {
        scheduled.insert({now + action.time + 5 * kMs, order++, action, 0});
      } else if (action.kind == Kind::kRefuse || action.kind == Kind::kFail) {
        ++(action.kind == Kind::kRefuse ? run.refusals : run.failures);
        ended.insert(action.request);
      }
    }
  };
  std::vector<ServerInfo> servers = MakeServers(12);
  const auto list = [&](ListUpdate::Kind kind, const std::vector<ServerInfo>& entries) {
    for (const ServerInfo& info : entries) checker.OnListed(now, info);
    balancer->OnServers(now, {kind, 1, entries});
    collect();
  };
  list(ListUpdate::Kind::kStale, servers);
  std::vector<std::string> request_ids;
  for (int i = 0; i < 600; ++i) {
    now += below(20) * kMs;
    while (!scheduled.empty() && scheduled.begin()->at <= now) {
      const Scheduled next = *scheduled.begin();
      scheduled.erase(scheduled.begin());
      const Micros resume = now;
      now = std::max(next.at, now);
      if (next.action.kind == Kind::kTimer) {
        balancer->OnTimer(now, next.action.token);
      } else {
        static constexpr Result kResults[] = {
            Result::kSuccess, Result::kSuccess, Result::kSuccess,     Result::kRefused, Result::kRefused,
            Result::kError,   Result::kReset,   Result::kUnreachable, Result::kTimeout, Result::kCancelled};
        const std::string& id = next.action.request;
        const Result result = next.at >= deadline[id] ? Result::kTimeout : kResults[below(10)];
        if (result == Result::kSuccess) ended.insert(id);
        const bool has_ended = ended.count(id) > 0;
        checker.OnResolved(now, id, next.attempt, result, has_ended);
        balancer->OnOutcome(now, {id, next.attempt, result, 10 * kMs, has_ended});
      }
      collect();
      now = std::max(now, resume);
    }
    const int choice = below(20);
    if (choice == 0) {  // a server starts to drain, goes away, or starts and is in slow start
      ServerInfo& info = servers[static_cast<std::size_t>(below(12))];
      info.state = static_cast<ServerInfo::State>(below(3));
      if (info.state == ServerInfo::State::kHealthy) info.started = now - below(3000) * kMs;
      list(ListUpdate::Kind::kDelta, {info});
    } else if (choice == 1) {  // the full list, without the servers that are gone
      std::vector<ServerInfo> present;
      for (const ServerInfo& info : servers) {
        if (info.state == ServerInfo::State::kGone) {
          checker.OnUnlisted(now, info.id);
        } else {
          present.push_back(info);
        }
      }
      list(ListUpdate::Kind::kFull, present);
    } else if (choice == 2) {
      balancer->OnServers(now, {ListUpdate::Kind::kFailed, 0, {}});
      collect();
    } else if (choice == 3 && !request_ids.empty()) {
      const std::string& id =
          request_ids[static_cast<std::size_t>(below(static_cast<int>(request_ids.size())))];
      if (ended.insert(id).second) {
        checker.OnDisconnected(id);
        balancer->OnClientDisconnected(now, id);
        collect();
      }
    } else {
      const std::string id = "r" + std::to_string(i);
      Request request;
      request.id = id;
      request.request_class = below(4);
      request.budget = (1 + below(4000)) * kMs;
      deadline[id] = now + request.budget;
      request_ids.push_back(id);
      const std::string key = below(4) == 0 ? "" : "k" + std::to_string(below(6));
      request.key = key;
      checker.OnArrival(now, id, request.request_class, request.budget, key);
      balancer->OnRequest(now, request);
      collect();
    }
  }
  while (!scheduled.empty()) {  // deliver the remaining timers and outcomes
    const Scheduled next = *scheduled.begin();
    scheduled.erase(scheduled.begin());
    now = std::max(now, next.at);
    if (next.action.kind == Kind::kTimer) {
      balancer->OnTimer(now, next.action.token);
    } else {
      const std::string& id = next.action.request;
      const bool has_ended = ended.count(id) > 0;
      checker.OnResolved(now, id, next.attempt, Result::kTimeout, has_ended);
      balancer->OnOutcome(now, {id, next.attempt, Result::kTimeout, 10 * kMs, has_ended});
    }
    collect();
  }
  checker.Finish();
  run.violations = checker.violations();
  run.pending = balancer->pending_request_count();
  return run;
}

// The kinds of deployment that the rules are checked for.
std::vector<Settings> SettingsVariants() {
  Settings base = MakeSettings();
  Settings subscribing = MakeSettings();
  subscribing.must_subscribe = true;
  subscribing.zone = 0;
  subscribing.cost_cross_zone = 0.2;
  for (RequestClass& c : subscribing.classes) c.value = 3;
  Settings cell_dedup = MakeSettings();
  cell_dedup.classes[1].dedup_group = DedupGroup::kCell;
  cell_dedup.max_attempts = 2;
  cell_dedup.max_retry_after = 0;
  Settings refused_may_run = MakeSettings();
  refused_may_run.refused_may_have_run = true;
  Settings sequential_keys = MakeSettings();
  sequential_keys.settle_after_doubt = 40 * kMs;
  sequential_keys.classes[0].sequential = sequential_keys.classes[1].sequential =
      sequential_keys.classes[2].sequential = true;
  Settings sequential_refused_may_run = sequential_keys;
  sequential_refused_may_run.refused_may_have_run = true;
  sequential_refused_may_run.classes[1].dedup_group = DedupGroup::kCell;
  sequential_refused_may_run.settle_after_doubt = 0;
  sequential_refused_may_run.must_subscribe = true;
  return {base, subscribing, cell_dedup, refused_may_run, sequential_keys, sequential_refused_may_run};
}

TEST(Rules, HoldInRandomEventSequences) {
  RunResult sum;
  for (const Settings& settings : SettingsVariants()) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
      const RunResult run = RunRandomEvents(seed, settings, nullptr);
      ASSERT_TRUE(run.violations.empty()) << "seed " << seed << ": " << *run.violations.begin();
      ASSERT_EQ(run.pending, 0u) << "seed " << seed;
      sum.sends += run.sends;
      sum.repeats += run.repeats;
      sum.refusals += run.refusals;
      sum.failures += run.failures;
    }
  }
  // Make sure that the random sequences covered these cases.
  EXPECT_GT(sum.sends, 10000);
  EXPECT_GT(sum.repeats, 1000);
  EXPECT_GT(sum.refusals, 1000);
  EXPECT_GT(sum.failures, 1000);
}

// All violations found in sixty random sequences.
std::set<std::string> FindViolations(const Settings& settings, const AlterAction& alter,
                                     const Settings* rules = nullptr) {
  std::set<std::string> all;
  for (std::uint64_t seed = 1; seed <= 60; ++seed)
    all.merge(RunRandomEvents(seed, settings, alter, rules).violations);
  return all;
}

// Tests the checker itself: each fault breaks one rule on purpose and has to be reported.
TEST(Rules, CheckerReportsEachInjectedFault) {
  const auto violations = [](const AlterAction& alter) { return FindViolations(MakeSettings(), alter); };
  EXPECT_TRUE(violations([](Action& a) {
                if (a.kind == Kind::kFail) a.kind = Kind::kRefuse;
              }).count("refused a request that may have run"));
  EXPECT_TRUE(violations([](Action& a) {
                if (a.kind == Kind::kSend) a.server = "s03";
              }).count("sent to a draining server"));
  EXPECT_TRUE(violations([n = 0](Action& a) mutable {
                if (a.kind == Kind::kSend) a.server = n++ % 2 == 0 ? "s02" : "s03";
              }).count("repeated outside the deduplication group"));
  EXPECT_TRUE(violations([](Action& a) {
                if (a.kind == Kind::kFail) a.kind = Kind::kCancel;
              }).count("request without an answer"));
  EXPECT_TRUE(violations([](Action& a) {
                if (a.kind == Kind::kFail) {
                  a.kind = Kind::kSend;
                  a.server = "s01";
                }
              }).count("request that must not be repeated was sent again"));
}

// Tests the checker on the optional rules (a refused request may have run, order by key, the wait after a
// doubtful outcome, one that does not show whether the request ran): a balancer whose settings leave them out
// breaks each of them, and the checker has to report it.
TEST(Rules, CheckerReportsABalancerWithoutTheOptionalRules) {
  Settings complete = SettingsVariants().back();
  complete.settle_after_doubt = 500 * kMs;
  Settings incomplete = complete;
  incomplete.refused_may_have_run = false;
  incomplete.settle_after_doubt = 0;
  std::set<std::string> all = FindViolations(incomplete, nullptr, &complete);
  EXPECT_TRUE(all.count("refused a request that may have run"));
  EXPECT_TRUE(all.count("request that must not be repeated was sent again"));
  EXPECT_TRUE(all.count("repeated outside the deduplication group"));
  EXPECT_TRUE(all.count("sent before the wait after a doubtful outcome was over"));
  for (RequestClass& c : incomplete.classes) c.sequential = false;
  all.merge(FindViolations(incomplete, nullptr, &complete));
  EXPECT_TRUE(all.count("sent while an earlier request of the key was in flight"));
  EXPECT_TRUE(all.count("sent before an earlier request of the key had ended"));
}

TEST(Rules, SameEventsGiveTheSameActions) {
  const RunResult one = RunRandomEvents(5, MakeSettings(), nullptr);
  const RunResult two = RunRandomEvents(5, MakeSettings(), nullptr);
  EXPECT_EQ(one.sends, two.sends);
  EXPECT_EQ(one.refusals, two.refusals);
  EXPECT_EQ(one.failures, two.failures);
}

}  // namespace
}  // namespace merlinrun::testing
