// Unit tests of Balancer, one event at a time: attempts and repeats, order by key, slow start,
// administratively down servers, learned state, admission, choice of servers, and when discovery is called.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <numeric>
#include <set>
#include <utility>

#include "harness.hpp"
#include "slow_start_scenario.hpp"

namespace merlinrun::testing {
namespace {

using Kind = Action::Kind;

// A Balancer with a list of servers and a clock that the test sets.
class BalancerTest : public ::testing::Test {
 protected:
  // Takes the actions since the last call, without the timer that follows each send to detect a late answer.
  std::vector<Action> TakeActions() {
    std::vector<Action> actions = sink_.Take();
    for (std::size_t i = 1; i < actions.size(); ++i)
      if (actions[i - 1].kind == Kind::kSend && actions[i].kind == Kind::kTimer)
        actions.erase(actions.begin() + static_cast<std::ptrdiff_t>(i));
    return actions;
  }
  void Start(const Settings& settings, int servers, std::uint64_t seed = 7) {
    std::string error;
    balancer_ = Balancer::Create(settings, seed, now_, sink_, error);
    ASSERT_NE(balancer_, nullptr) << error;
    List(ListUpdate::Kind::kStale, MakeServers(servers));
    sink_.Take();
  }
  void List(ListUpdate::Kind kind, const std::vector<ServerInfo>& servers) {
    balancer_->OnServers(now_, {kind, 1, servers});
  }
  void Deliver(const std::string& id, int request_class = 0, Micros budget = 5 * kSec,
               const std::string& key = "") {
    Request request;
    request.key = key;
    request.id = id;
    request.request_class = request_class;
    request.budget = budget;
    balancer_->OnRequest(now_, request);
  }
  std::vector<Action> Arrive(const std::string& id, int request_class = 0, Micros budget = 5 * kSec,
                             const std::string& key = "") {
    Deliver(id, request_class, budget, key);
    return TakeActions();
  }
  std::vector<Action> Resolve(const std::string& id, int attempt, Result result,
                              bool final_answer_sent = false) {
    balancer_->OnOutcome(now_, {id, attempt, result, 10 * kMs, final_answer_sent});
    return TakeActions();
  }
  std::vector<Action> Fire(const Action& timer) {
    now_ += timer.time;
    balancer_->OnTimer(now_, timer.token);
    return TakeActions();
  }

  Micros now_ = 100 * kSec;
  Recorder sink_;
  std::unique_ptr<Balancer> balancer_;
};

TEST_F(BalancerTest, SendsAtOnceAndDropsARequestOnceItIsServed) {
  Start(MakeSettings(), 20);
  const auto sent = Arrive("r1");
  ASSERT_EQ(sent.size(), 1u);
  EXPECT_EQ(sent[0].kind, Kind::kSend);
  EXPECT_TRUE(Resolve("r1", 0, Result::kSuccess, true).empty());
  EXPECT_EQ(balancer_->pending_request_count(), 0u);
}

TEST_F(BalancerTest, ARefusedRequestIsRetriedOnAnotherServerAfterADelay) {
  Start(MakeSettings(), 20);
  const std::string first = Arrive("r1")[0].server;
  const auto wait = Resolve("r1", 0, Result::kRefused);
  ASSERT_EQ(wait.size(), 1u);
  ASSERT_EQ(wait[0].kind, Kind::kTimer);
  const auto again = Fire(wait[0]);
  ASSERT_EQ(again.size(), 1u);
  ASSERT_EQ(again[0].kind, Kind::kSend);
  EXPECT_NE(again[0].server, first);
}

TEST_F(BalancerTest, RefusesWithARetryAfterOnceTheAttemptLimitIsReached) {
  Settings settings = MakeSettings();
  settings.max_attempts = 3;
  Start(settings, 20);
  auto actions = Arrive("r1");
  for (int attempt = 0;; ++attempt) {
    ASSERT_EQ(actions.size(), 1u);
    ASSERT_EQ(actions[0].kind, Kind::kSend);
    actions = Resolve("r1", attempt, Result::kRefused);
    ASSERT_EQ(actions.size(), 1u);
    if (attempt == 2) break;
    ASSERT_EQ(actions[0].kind, Kind::kTimer);
    actions = Fire(actions[0]);
  }
  EXPECT_EQ(actions[0].kind, Kind::kRefuse);
  EXPECT_GT(actions[0].time, 0);
  EXPECT_LE(actions[0].time, settings.max_retry_after);
  EXPECT_EQ(balancer_->pending_request_count(), 0u);
}

TEST_F(BalancerTest, RefusesWhenTheRetryDelayExceedsTheBudget) {
  Start(MakeSettings(), 20);
  Arrive("r1", 0, 6 * kMs);
  now_ += 5 * kMs;
  const auto end = Resolve("r1", 0, Result::kRefused);
  ASSERT_EQ(end.size(), 1u);
  EXPECT_EQ(end[0].kind, Kind::kRefuse);
}

TEST_F(BalancerTest, RefusesBeforeTheDeadlineWhenThereIsNoServer) {
  Start(MakeSettings(), 0);
  auto actions = Arrive("r1");
  while (actions.size() == 1 && actions[0].kind == Kind::kTimer) actions = Fire(actions[0]);
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_EQ(actions[0].kind, Kind::kRefuse);
  EXPECT_LT(now_, 105 * kSec);
  EXPECT_EQ(balancer_->pending_request_count(), 0u);
}

TEST_F(BalancerTest, RetriesAClassThatMustNotRepeatOnlyIfTheRequestDidNotRun) {
  for (const Result result : {Result::kReset, Result::kError, Result::kTimeout, Result::kCancelled}) {
    Start(MakeSettings(), 20);
    Arrive("r", 2);
    const auto end = Resolve("r", 0, result);
    ASSERT_EQ(end.size(), 1u);
    EXPECT_EQ(end[0].kind, Kind::kFail);
  }
  Arrive("r", 2);  // did not run, so it may be retried
  const auto wait = Resolve("r", 0, Result::kUnreachable);
  ASSERT_EQ(wait.size(), 1u);
  EXPECT_EQ(wait[0].kind, Kind::kTimer);
}

// Some servers refuse requests that they have already begun. A refusal is no proof there that the request did
// not run.
TEST_F(BalancerTest, FailsARefusedRequestThatMayHaveRunAndMustNotRepeat) {
  Settings settings = MakeSettings();
  settings.refused_may_have_run = true;
  Start(settings, 20);
  Arrive("unsafe", 2);
  const auto end = Resolve("unsafe", 0, Result::kRefused);
  ASSERT_EQ(end.size(), 1u);
  EXPECT_EQ(end[0].kind, Kind::kFail);
}

// The window may hold no other server of the deduplication group. The retry then has to use one outside the
// window.
TEST_F(BalancerTest, ARetryReachesItsDedupGroupOutsideTheWindow) {
  Settings settings = MakeSettings();
  settings.refused_may_have_run = true;
  settings.classes[1].dedup_group = DedupGroup::kCell;
  auto servers = MakeServers(20);
  for (std::size_t i = 0; i < servers.size(); ++i) servers[i].cell = static_cast<std::int64_t>(i % 10);
  Start(settings, 0);
  // The other server of the cell is 10 places on, and the window holds 4.
  List(ListUpdate::Kind::kFull, servers);
  const std::string first = Arrive("r", 1)[0].server;
  const auto wait = Resolve("r", 0, Result::kRefused);
  ASSERT_EQ(wait[0].kind, Kind::kTimer);
  const auto again = Fire(wait[0]);
  ASSERT_EQ(again[0].kind, Kind::kSend);
  EXPECT_EQ(std::abs(std::stoi(again[0].server.substr(1)) - std::stoi(first.substr(1))), 10);
}

TEST_F(BalancerTest, RequestsOfOneKeyAreSentOneAtATimeInOrder) {
  Settings settings = MakeSettings();
  settings.classes[0].sequential = true;
  settings.settle_after_doubt = 300 * kMs;
  Start(settings, 20);
  EXPECT_EQ(Arrive("a", 0, 5 * kSec, "k")[0].kind, Kind::kSend);
  EXPECT_EQ(Arrive("b", 0, 5 * kSec, "k")[0].kind, Kind::kTimer);
  EXPECT_EQ(Arrive("c", 0, 5 * kSec, "k")[0].kind, Kind::kTimer);
  EXPECT_EQ(Arrive("other", 0, 5 * kSec, "j")[0].kind, Kind::kSend);
  EXPECT_EQ(Arrive("free", 0)[0].kind, Kind::kSend);
  const auto next = Resolve("a", 0, Result::kSuccess, true);
  ASSERT_EQ(next.size(), 1u);
  EXPECT_EQ(next[0].kind, Kind::kSend);
  EXPECT_EQ(next[0].request, "b");
  // The client of the request in flight disconnects. Its attempt may be running and may go on after the
  // reset.
  balancer_->OnClientDisconnected(now_, "b");
  EXPECT_TRUE(sink_.Take().empty());
  const auto settle = Resolve("b", 0, Result::kReset, true);
  ASSERT_EQ(settle.size(), 1u);
  ASSERT_EQ(settle[0].kind, Kind::kTimer);
  EXPECT_EQ(settle[0].time, 300 * kMs);
  const auto last = Fire(settle[0]);
  ASSERT_EQ(last.size(), 1u);
  EXPECT_EQ(last[0].request, "c");
  Resolve("c", 0, Result::kSuccess, true);
  Resolve("other", 0, Result::kSuccess, true);
  Resolve("free", 0, Result::kSuccess, true);
  EXPECT_EQ(balancer_->pending_request_count(), 0u);
}

TEST_F(BalancerTest, ARequestThatWaitsForItsKeyIsRefusedBeforeItsDeadline) {
  Settings settings = MakeSettings();
  settings.classes[2].sequential = true;
  Start(settings, 20);
  Arrive("a", 2, 5 * kSec, "k");
  const auto wait = Arrive("b", 2, 1 * kSec, "k");
  ASSERT_EQ(wait[0].kind, Kind::kTimer);
  EXPECT_LT(wait[0].time, 1 * kSec);
  const auto end = Fire(wait[0]);
  ASSERT_EQ(end.size(), 1u);
  EXPECT_EQ(end[0].kind, Kind::kRefuse);  // it never ran
  EXPECT_EQ(end[0].request, "b");
}

TEST_F(BalancerTest, RepeatsADeduplicatedRequestOnlyInItsGroupAndWindow) {
  Start(MakeSettings(), 20);
  std::map<std::string, int> zone;
  for (const ServerInfo& info : MakeServers(20)) zone[info.id] = info.zone;
  for (int i = 0; i < 200; ++i) {
    const std::string id = "r" + std::to_string(i);
    const auto sent = Arrive(id, 1);
    ASSERT_EQ(sent[0].kind, Kind::kSend);
    const auto wait = Resolve(id, 0, Result::kReset);
    ASSERT_EQ(wait[0].kind, Kind::kTimer);
    const auto again = Fire(wait[0]);
    ASSERT_EQ(again[0].kind, Kind::kSend);
    EXPECT_EQ(zone[again[0].server], zone[sent[0].server]);
    now_ += 3 * kSec;  // past the deduplication window
    const auto end = Resolve(id, 1, Result::kReset);
    ASSERT_EQ(end.size(), 1u);
    EXPECT_EQ(end[0].kind, Kind::kFail);
  }
}

// A repeat may have to wait for a new connection. Servers drop only repeats that arrive within the
// deduplication window, so one whose first byte could leave after it must not be sent.
TEST_F(BalancerTest, RepeatsADeduplicatedRequestOnlyIfADialStillFitsTheWindow) {
  Settings settings = MakeSettings();
  settings.dial_timeout = 300 * kMs;
  for (const bool fits : {true, false}) {
    Start(settings, 20);
    ASSERT_EQ(Arrive("r", 1)[0].kind, Kind::kSend);
    now_ += settings.classes[1].dedup_window - settings.dial_timeout - (fits ? 150 * kMs : 0);
    const auto next = Resolve("r", 0, Result::kReset);
    ASSERT_EQ(next.size(), 1u);
    EXPECT_EQ(next[0].kind, fits ? Kind::kTimer : Kind::kFail);  // the first wait is 100 ms at most
    if (!fits) continue;
    EXPECT_EQ(Fire(next[0])[0].kind, Kind::kSend);
  }
}

TEST_F(BalancerTest, SendsNothingToADrainingOrRemovedServer) {
  Start(MakeSettings(), 4);
  Arrive("waits");
  const auto wait = Resolve("waits", 0, Result::kRefused);
  auto servers = MakeServers(4);
  servers[0].state = ServerInfo::State::kDraining;
  servers[1].state = ServerInfo::State::kGone;
  List(ListUpdate::Kind::kDelta, {servers[0], servers[1]});
  std::set<std::string> used;
  used.insert(Fire(wait[0])[0].server);
  for (int i = 0; i < 100; ++i) {
    const std::string id = "r" + std::to_string(i);
    const auto actions = Arrive(id);
    if (actions[0].kind == Kind::kSend) used.insert(actions[0].server);
    Resolve(id, 0, Result::kSuccess, true);
  }
  EXPECT_EQ(used, (std::set<std::string>{"s02", "s03"}));
}

// Under overload far more requests are sent than served. If a server in slow start got its share of the
// requests sent, it would be overloaded; its share has to follow from the requests served.
TEST_F(BalancerTest, AServerInSlowStartGetsAShareOfTheRequestsServedNotSent) {
  Start(MakeSettings(), 10);
  auto servers = MakeServers(10);
  servers[0].started = now_;
  List(ListUpdate::Kind::kDelta, {servers[0]});
  int to_starting = 0;
  int served = 0;
  for (int i = 0; i < 4000; ++i) {
    const std::string id = "r" + std::to_string(i);
    const auto sent = Arrive(id);
    if (sent.empty() || sent[0].kind != Kind::kSend) continue;
    if (sent[0].server == "s00") ++to_starting;
    const bool serve = i % 4 == 0;  // one request in four is served
    served += serve;
    Resolve(id, 0, serve ? Result::kSuccess : Result::kError, serve);
  }
  EXPECT_GT(to_starting, 0);
  // Half of the load that would overload it if the requests served were all that the three servers of the
  // window can do.
  EXPECT_LE(to_starting,
            1 + served / 3.0 * MakeSettings().slow_start_share * MakeSettings().overload_factor / 2);
}

// When many servers restart at once (six in ten, for example), the remaining ones are overloaded and serve
// little. If slow start credit came only from requests served, or was lost whenever another server was
// chosen, the new servers would stay idle meanwhile: four new servers of nine got no requests for six
// seconds.
TEST_F(BalancerTest, AServerInSlowStartGetsItsShareWhenTheOthersAreOverloaded) {
  Start(MakeSettings(), 3);
  int requests = 0;
  const auto run = [&](int count, Micros interval, const std::string& healthy) {
    int sent_there = 0;
    for (int i = 0; i < count; ++i) {
      const std::string id = "r" + std::to_string(requests++);
      now_ += interval;
      const auto sent = Arrive(id);
      if (sent.empty() || sent[0].kind != Kind::kSend) continue;
      sent_there += sent[0].server == "s00";
      const bool served = healthy.empty() || sent[0].server == healthy;
      Resolve(id, 0, served ? Result::kSuccess : Result::kTimeout, served);
    }
    return sent_there;
  };
  run(3000, 10 * kMs, "");  // a hundred requests per second, all served
  auto servers = MakeServers(3);
  servers[0].started = now_;
  List(ListUpdate::Kind::kDelta, {servers[0]});
  const int to_starting = run(400, 10 * kMs, "s00");
  // A third of the normal traffic for four seconds, times half of the overload factor; the slow start share
  // is applied below.
  const double normal = 4 * 100 / 3.0 * MakeSettings().overload_factor / 2;
  EXPECT_GT(to_starting, 0.5 * normal * MakeSettings().slow_start_share);
  EXPECT_LE(to_starting, 1 + normal * (MakeSettings().slow_start_share + 1) / 2);
}

TEST_F(BalancerTest, TheShareOfAServerInSlowStartFollowsItsWeight) {
  const auto sent_to_starting = [&](double weight) {
    Start(MakeSettings(), 3);
    auto servers = MakeServers(3);
    servers[0].started = now_;
    servers[0].weight = weight;
    List(ListUpdate::Kind::kFull, servers);
    int to_starting = 0;
    for (int i = 0; i < 4000; ++i) {
      const std::string id = "r" + std::to_string(i);
      const auto sent = Arrive(id);
      EXPECT_EQ(sent[0].kind, Kind::kSend);
      to_starting += sent[0].server == "s00";
      Resolve(id, 0, Result::kSuccess, true);
    }
    return to_starting;
  };
  const double share = MakeSettings().slow_start_share * MakeSettings().overload_factor / 2;
  EXPECT_NEAR(sent_to_starting(1), 4000 / 3.0 * share, 100);
  EXPECT_NEAR(sent_to_starting(0.25), 4000 / 9.0 * share, 50);
}

// Neither the choice of a server, nor an update of the list, nor a pending retry may send it a request.
TEST_F(BalancerTest, AnAdministrativelyDownServerGetsNothingUntilItIsPutBack) {
  Start(MakeSettings(), 3);
  const auto send_many = [&](int from, const std::string& except) {
    for (int i = from; i < from + 100; ++i) {
      const std::string id = "r" + std::to_string(i);
      const auto sent = Arrive(id);
      ASSERT_EQ(sent.size(), 1u);
      EXPECT_NE(sent[0].server, except);
      Resolve(id, 0, Result::kSuccess, true);
    }
  };
  Deliver("w1");
  const std::string first = TakeActions()[0].server;
  const auto wait = Resolve("w1", 0, Result::kUnreachable);
  const std::string down = first == "s00" ? "s01" : "s00";
  balancer_->SetAdminDown(now_, down, true);
  balancer_->SetAdminDown(now_, down, true);
  EXPECT_EQ(balancer_->servers_avoided(now_), 2u);  // the other one could not be reached
  const auto again = Fire(wait[0]);
  ASSERT_EQ(again.size(), 1u);
  EXPECT_NE(again[0].server, down);
  send_many(0, down);
  List(ListUpdate::Kind::kFull, MakeServers(3));
  send_many(100, down);
  auto gone = MakeServers(3);
  for (auto& server : gone) server.state = ServerInfo::State::kGone;
  List(ListUpdate::Kind::kDelta, gone);
  List(ListUpdate::Kind::kFull, MakeServers(3));
  send_many(200, down);
  balancer_->SetAdminDown(now_, down, false);
  balancer_->SetAdminDown(now_, down, false);
  EXPECT_EQ(balancer_->servers_avoided(now_), 0u);
  now_ += MakeSettings().slow_start_duration;
  int back = 0;
  for (int i = 300; i < 400; ++i) {
    const std::string id = "r" + std::to_string(i);
    back += Arrive(id)[0].server == down;
    Resolve(id, 0, Result::kSuccess, true);
  }
  EXPECT_GT(back, 10);
}

// An operator may have restarted the server while it was administratively down, and the list may report that
// late.
TEST_F(BalancerTest, AServerPutBackIsInSlowStartUntilTheListStatesItsStart) {
  const auto share = [&](bool listed_as_started_long_ago) {
    now_ = 100 * kSec;
    Start(MakeSettings(), 3);
    balancer_->SetAdminDown(now_, "s00", true);
    balancer_->SetAdminDown(now_, "s00", false);
    if (listed_as_started_long_ago) {
      auto servers = MakeServers(3);
      servers[0].started = now_ - 50 * kSec;
      List(ListUpdate::Kind::kDelta, {servers[0]});
    }
    int back = 0;
    for (int i = 0; i < 300; ++i) {
      const std::string id = "r" + std::to_string(i);
      back += Arrive(id)[0].server == "s00";
      Resolve(id, 0, Result::kSuccess, true);
    }
    return back;
  };
  const double slow_start_limit =
      300 / 3.0 * MakeSettings().slow_start_share * MakeSettings().overload_factor / 2;
  EXPECT_GT(share(false), 0);
  EXPECT_LE(share(false), 1 + slow_start_limit);
  EXPECT_GT(share(true), 1 + slow_start_limit);
}

// A body that arrives slowly from the client must not count as a slow answer of the server: the latency
// target and the budget start with its last byte.
TEST_F(BalancerTest, ARequestWithAPendingBodyIsTimedFromItsLastByte) {
  Start(MakeSettings(), 3);
  Request request;
  request.id = "r1";
  request.request_class = 0;
  request.budget = 5 * kSec;
  request.body_pending = true;
  balancer_->OnRequest(now_, request);
  auto actions = sink_.Take();
  ASSERT_EQ(actions.size(), 1u);  // and no timer
  EXPECT_EQ(actions[0].time, MakeSettings().classes[0].latency_target);
  now_ += 20 * kSec;
  balancer_->OnRequestBodyComplete(now_, "r1", 5 * kSec);
  balancer_->OnRequestBodyComplete(now_, "r1", 5 * kSec);
  actions = sink_.Take();
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_EQ(actions[0].kind, Kind::kTimer);
  EXPECT_EQ(actions[0].time, MakeSettings().classes[0].latency_target);
  const auto wait = Resolve("r1", 0, Result::kRefused);  // there is time for another attempt
  ASSERT_EQ(wait.size(), 1u);
  EXPECT_EQ(wait[0].kind, Kind::kTimer);
}

TEST_F(BalancerTest, ARequestWhoseBodyIsConsumedIsNotSentAgain) {
  Start(MakeSettings(), 3);
  Arrive("r1");
  Outcome outcome{"r1", 0, Result::kUnreachable, 10 * kMs};
  outcome.body_consumed = true;
  balancer_->OnOutcome(now_, outcome);
  const auto end = TakeActions();
  ASSERT_EQ(end.size(), 1u);
  EXPECT_EQ(end[0].kind, Kind::kRefuse);
  EXPECT_EQ(balancer_->pending_request_count(), 0u);
}

// A new process that restores the learned state avoids a failing server from its first request on.
TEST_F(BalancerTest, LearnedStateIsHandedOverToTheNextProcess) {
  const auto sent_to_failing = [&](int count) {
    int sent_there = 0;
    for (int i = 0; i < count; ++i) {
      const std::string id = "r" + std::to_string(i);
      const auto sent = Arrive(id);
      if (sent.empty() || sent[0].kind != Kind::kSend) continue;
      sent_there += sent[0].server == "s00";
      Resolve(id, 0, sent[0].server == "s00" ? Result::kError : Result::kSuccess, true);
    }
    return sent_there;
  };
  Start(MakeSettings(), 3);
  sent_to_failing(500);
  const std::string learned = balancer_->ExportLearnedState();
  int without_state = 0;
  int with_state = 0;
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    Start(MakeSettings(), 3, seed);
    without_state += sent_to_failing(5);
    Start(MakeSettings(), 3, seed);
    EXPECT_TRUE(balancer_->RestoreLearnedState(now_, learned));
    with_state += sent_to_failing(5);
  }
  EXPECT_GT(without_state, 40);
  EXPECT_LT(with_state, without_state / 2);
}

TEST_F(BalancerTest, InvalidLearnedStateIsRejectedAndChangesNothing) {
  Start(MakeSettings(), 3);
  const std::string before = balancer_->ExportLearnedState();
  const std::string truncated = before.substr(0, before.size() - 2);
  const std::string first_line = before.substr(0, before.find('\n') + 1);
  const std::string rest = before.substr(first_line.size());
  for (const std::string& text :
       {std::string(), std::string("."), truncated, first_line, first_line + ".", first_line + "x " + rest,
        first_line + "-1 " + rest, first_line + "nan " + rest, first_line + "1 2 3\n.\n" + rest,
        "x " + before, rest})
    EXPECT_FALSE(balancer_->RestoreLearnedState(now_, text)) << text;
  EXPECT_EQ(balancer_->ExportLearnedState(), before);
  EXPECT_TRUE(balancer_->RestoreLearnedState(now_, before));
  EXPECT_EQ(balancer_->ExportLearnedState(), before);
}

// Learned state from a configuration with other classes, deadlines or tenants does not apply.
TEST_F(BalancerTest, LearnedStateOfOtherSettingsIsRejected) {
  Start(MakeSettings(), 3);
  const std::string learned = balancer_->ExportLearnedState();
  std::vector<Settings> others(4, MakeSettings());
  others[0].classes[1].name = "d";
  others[1].classes[2].deadline += 1;
  others[2].tenants.push_back({"x", 1, 0});
  std::swap(others[3].classes[0].name, others[3].classes[1].name = "cc");
  for (const Settings& other : others) {
    Start(other, 3);
    const std::string own = balancer_->ExportLearnedState();
    EXPECT_FALSE(balancer_->RestoreLearnedState(now_, learned));
    EXPECT_EQ(balancer_->ExportLearnedState(), own);
  }
  Start(MakeSettings(), 3);
  EXPECT_TRUE(balancer_->RestoreLearnedState(now_, learned));
}

// Two servers whose zones or cells are unknown may not deduplicate each other's requests.
TEST_F(BalancerTest, DoesNotRepeatARequestWhoseDedupGroupIsUnknown) {
  for (const auto group : {DedupGroup::kZone, DedupGroup::kCell}) {
    Settings settings = MakeSettings();
    settings.classes[1].dedup_group = group;
    Start(settings, 0);
    auto servers = MakeServers(6);
    for (ServerInfo& info : servers) info.zone = -1, info.cell = -1;
    List(ListUpdate::Kind::kFull, servers);
    ASSERT_EQ(Arrive("r", 1)[0].kind, Kind::kSend);
    const auto wait = Resolve("r", 0, Result::kReset);
    ASSERT_EQ(wait[0].kind, Kind::kTimer);
    Action next = wait[0];
    for (int i = 0; i < 10 && next.kind == Kind::kTimer; ++i) next = Fire(next).at(0);
    EXPECT_EQ(next.kind, Kind::kFail);
  }
}

// A restarted sidecar has no statistics, only its last list, in which many servers may be in slow start at
// once.
TEST_F(BalancerTest, ARestartedSidecarDoesNotFloodServersInSlowStart) {
  auto servers = MakeServers(4);
  servers[0].started = servers[1].started = now_ - 100 * kMs;
  std::string error;
  balancer_ = Balancer::Create(MakeSettings(), 3, now_, sink_, error);
  List(ListUpdate::Kind::kStale, servers);
  std::map<std::string, int> sent;
  for (int i = 0; i < 300; ++i) {
    const auto actions = Arrive("r" + std::to_string(i), 2);
    if (actions[0].kind == Kind::kSend) ++sent[actions[0].server];
  }
  EXPECT_LE(sent["s00"], 1);
  EXPECT_LE(sent["s01"], 1);
  EXPECT_GT(sent["s02"] + sent["s03"], 200);
}

// The choice is then random, in proportion to the shares of the servers.
TEST_F(BalancerTest, KeepsSendingWhenAllServersAreInSlowStart) {
  Start(MakeSettings(), 4);
  auto servers = MakeServers(4);
  for (auto& server : servers) server.started = now_;
  List(ListUpdate::Kind::kDelta, servers);
  int sent = 0;
  for (int i = 0; i < 400; ++i) sent += Arrive("r" + std::to_string(i))[0].kind == Kind::kSend;
  EXPECT_GT(sent, 100);
}

// If too much is admitted under overload, all answers are late and clients retry every request on top.
TEST_F(BalancerTest, UnderOverloadTheRequestsOfLowestValueAreRefusedFirst) {
  Settings settings = MakeSettings();
  settings.classes[3].value = 10;
  Start(settings, 10);
  std::map<int, int> refused;
  for (int i = 0; i < 600; ++i) {
    const int request_class = i % 2 == 0 ? 0 : 3;
    const std::string id = "r" + std::to_string(i);
    const auto actions = Arrive(id, request_class);
    if (actions[0].kind == Kind::kRefuse) {
      EXPECT_GT(actions[0].time, 0);
      ++refused[request_class];
      continue;
    }
    // The servers can carry half the load: answers are fast if more than that is refused, and slow otherwise.
    const Micros elapsed = refused[0] * 2 < i / 2 ? 900 * kMs : 200 * kMs;
    balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, elapsed, true});
  }
  EXPECT_GT(refused[0], 100);
  EXPECT_LT(refused[3], refused[0] / 5);
  // After the overload, everything is admitted again.
  for (int i = 0; i < 400; ++i) {
    const std::string id = "q" + std::to_string(i);
    if (Arrive(id)[0].kind == Kind::kSend)
      balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, 50 * kMs, true});
  }
  for (int i = 0; i < 20; ++i) EXPECT_EQ(Arrive("z" + std::to_string(i))[0].kind, Kind::kSend);
}

// Idle servers may already need a fifth of the latency target. Taking that for overload would refuse the
// requests of low value all the time on an idle fleet.
TEST_F(BalancerTest, TheLatencyOfIdleServersIsNoOverloadSignal) {
  Settings settings = MakeSettings();
  settings.classes[3].value = 10;
  Start(settings, 10);
  int refused = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string id = "r" + std::to_string(i);
    if (Arrive(id, i % 2 == 0 ? 0 : 3)[0].kind != Kind::kSend) {
      ++refused;
      continue;
    }
    balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, 200 * kMs, true});
  }
  EXPECT_LT(refused, 4);
}

// On a sidecar with little traffic, a single heavy request must not cause the refusal of the next ones.
TEST_F(BalancerTest, ASingleLateAnswerCausesNoRefusals) {
  Start(MakeSettings(), 10);
  for (int i = 0; i < 50; ++i) {
    const std::string id = "r" + std::to_string(i);
    ASSERT_EQ(Arrive(id)[0].kind, Kind::kSend);
    balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, (i == 45 ? 3000 : 50) * kMs, true});
  }
}

// Where requests to other zones cost money, a choice that ignored the cost would send two thirds of the
// requests to another zone for no benefit.
TEST_F(BalancerTest, PrefersTheOwnZoneWhereCrossingCostsAndSpillsOverUnderOverload) {
  Settings settings = MakeSettings();
  settings.zone = 0;
  settings.cost_cross_zone = 0.2;
  settings.classes[0].value = 0.1;  // less than a request to another zone costs; the mean value is near 1
  Start(settings, 20);
  std::map<std::string, int> zone;
  for (const ServerInfo& info : MakeServers(20)) zone[info.id] = info.zone;
  int own_zone = 0;
  int other_zone = 0;
  for (int i = 0; i < 600; ++i) {
    const std::string id = "r" + std::to_string(i);
    const int request_class = i % 6 == 0 ? 0 : 2;
    const auto actions = Arrive(id, request_class);
    if (actions[0].kind != Kind::kSend) continue;
    const bool crossed = zone[actions[0].server] == 1;
    if (i < 100) {
      EXPECT_FALSE(crossed);
    } else if (crossed) {
      EXPECT_NE(request_class, 0) << "worth less than the crossing";
    }
    ++(crossed ? other_zone : own_zone);
    const Micros elapsed = !crossed && i >= 100 ? 2000 * kMs : 50 * kMs;  // the own zone becomes slow
    balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, elapsed, true});
  }
  EXPECT_GT(own_zone, 100);
  EXPECT_GT(other_zone, 200);
}

// Some servers limit the rate of one class and refuse what exceeds it, while they have capacity for other
// classes.
TEST_F(BalancerTest, ARefusalOfOneClassDoesNotAffectOtherClassesOnTheServer) {
  Start(MakeSettings(), 4);
  int refused = 0;
  int others = 0;
  for (int i = 0; i < 800; ++i) {
    now_ += 50 * kMs;
    const std::string id = "r" + std::to_string(i);
    const int request_class = i % 2 == 0 ? 2 : 0;
    const auto sent = Arrive(id, request_class);
    ASSERT_EQ(sent[0].kind, Kind::kSend);
    if (request_class == 2 && sent[0].server == "s01") {
      ++refused;
      Resolve(id, 0, Result::kRefused);
      balancer_->OnClientDisconnected(now_, id);
    } else {
      others += sent[0].server == "s01";
      Resolve(id, 0, Result::kSuccess, true);
    }
  }
  EXPECT_LT(refused, 25);  // 100 without learning
  EXPECT_GT(refused, 2);   // enough to notice when the limit ends
  EXPECT_GT(others, 60);   // 100 of the other class are expected
}

// Where requests of one key are sequential, the key of a disconnected client would otherwise stay in use
// until the attempt timed out.
TEST_F(BalancerTest, CancelsTheAttemptOfADisconnectedClient) {
  Settings settings = MakeSettings();
  settings.cancel = true;
  Start(settings, 4);
  Arrive("r1");
  balancer_->OnClientDisconnected(now_, "r1");
  const auto actions = sink_.Take();
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_EQ(actions[0].kind, Kind::kCancel);
  balancer_->OnClientDisconnected(now_, "r1");
  EXPECT_TRUE(sink_.Take().empty());  // cancelled only once
  EXPECT_TRUE(Resolve("r1", 0, Result::kCancelled, true).empty());
  EXPECT_EQ(balancer_->pending_request_count(), 0u);
}

// After a crash the list still contains the dead server for seconds, and every attempt there is lost.
TEST_F(BalancerTest, ADeadServerIsEjectedWithExponentialBackoff) {
  Start(MakeSettings(), 4);
  int attempts_there = 0;
  for (int i = 0; i < 400; ++i) {
    now_ += 50 * kMs;
    const std::string id = "r" + std::to_string(i);
    const std::string server = Arrive(id)[0].server;
    if (server == "s01") {
      ++attempts_there;
      Resolve(id, 0, Result::kUnreachable);
      balancer_->OnClientDisconnected(now_, id);
    } else {
      Resolve(id, 0, Result::kSuccess, true);
    }
  }
  EXPECT_LT(attempts_there, 25);  // 100 without ejection
  EXPECT_GT(attempts_there, 2);
  int back = 0;
  for (int i = 0; i < 4000; ++i) {  // the server is back: one success ends the ejection
    now_ += 50 * kMs;
    const std::string id = "q" + std::to_string(i);
    back += Arrive(id)[0].server == "s01";
    Resolve(id, 0, Result::kSuccess, true);
  }
  EXPECT_GT(back, 100);
}

TEST_F(BalancerTest, AFailureOfAllServersDoesNotEmptyTheWindow) {
  Start(MakeSettings(), 4);
  for (int i = 0; i < 100; ++i) {
    now_ += 10 * kMs;
    const std::string id = "r" + std::to_string(i);
    const auto actions = Arrive(id, 2);
    ASSERT_EQ(actions[0].kind, Kind::kSend);
    Resolve(id, 0, Result::kReset);  // fails at once, which is no sign of load
  }
}

TEST_F(BalancerTest, TimesOutAtTheLatencyTargetOnlyIfALateAnswerHasNoValue) {
  Settings settings = MakeSettings();
  settings.classes[3].late_value = 0.25;
  Start(settings, 4);
  EXPECT_EQ(Arrive("r1", 0)[0].time, settings.classes[0].latency_target);
  EXPECT_EQ(Arrive("r2", 3)[0].time, 0);
}

// In a large fleet small servers are in as many windows as large ones. Without weights they would get as many
// requests.
TEST_F(BalancerTest, AServerIsChosenInProportionToItsWeight) {
  Start(MakeSettings(), 3);
  auto servers = MakeServers(3);
  servers[1].weight = servers[2].weight = 4;
  List(ListUpdate::Kind::kFull, servers);
  int small = 0;
  for (int i = 0; i < 3000; ++i) {
    const std::string id = "r" + std::to_string(i);
    small += Arrive(id)[0].server == "s00";
    Resolve(id, 0, Result::kSuccess, true);
  }
  EXPECT_GT(small, 200);
  EXPECT_LT(small, 500);
}

// In a large fleet a sidecar sends little to each server. Without statistics by machine type it would have to
// learn separately for each server that it is slow.
TEST_F(BalancerTest, ANewServerIsJudgedByTheLatencyOfItsMachineType) {
  Start(MakeSettings(), 3);
  const auto list = [&](int first) {
    std::vector<ServerInfo> servers = MakeServers(first + 3);
    servers.erase(servers.begin(), servers.begin() + first);
    servers[0].machine = 1;
    List(ListUpdate::Kind::kFull, servers);
  };
  const auto sent_to_kind_1 = [&](int count, const std::string& id_of_1, Result result) {
    int n = 0;
    for (int i = 0; i < count; ++i) {
      const std::string id = id_of_1 + "-" + std::to_string(i);
      const bool of_1 = Arrive(id, 2)[0].server == id_of_1;
      n += of_1;
      const bool served = result == Result::kSuccess;
      balancer_->OnOutcome(now_, {id, 0, result, (of_1 ? 400 : 100) * kMs, served, {}});
      sink_.Take();
    }
    return n;
  };
  list(0);
  sent_to_kind_1(200, "s00", Result::kSuccess);
  list(10);
  EXPECT_LT(sent_to_kind_1(300, "s10", Result::kCancelled), 60);
}

// An expensive request, known by its cost hint, loses more time on a slow server than in a queue.
TEST_F(BalancerTest, AnExpensiveRequestGoesToTheFasterServerEvenIfThatIsBusier) {
  Start(MakeSettings(), 2);
  int round = 0;
  const auto arrive = [&](Micros cost) {
    Request request;
    const std::string id = "r" + std::to_string(++round);
    request.id = id;
    request.request_class = 2;
    request.budget = 5 * kSec;
    request.cost = cost;
    balancer_->OnRequest(now_, request);
    return std::pair{id, TakeActions()[0].server};
  };
  for (int i = 0; i < 400; ++i) {
    const auto [id, server] = arrive(50 * kMs);
    balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, (server == "s00" ? 200 : 100) * kMs, true, {}});
  }
  bool at_s01 = false;  // one request stays in flight at s01
  for (int i = 0; i < 50 && !at_s01; ++i) {
    const auto [id, server] = arrive(50 * kMs);
    at_s01 = server == "s01";
    if (!at_s01) balancer_->OnOutcome(now_, {id, 0, Result::kCancelled, 0, false, {}});
    sink_.Take();
  }
  ASSERT_TRUE(at_s01);
  const auto to_s01 = [&](Micros cost) {
    int n = 0;
    for (int i = 0; i < 20; ++i) {
      const auto [id, server] = arrive(cost);
      n += server == "s01";
      balancer_->OnOutcome(now_, {id, 0, Result::kCancelled, 0, false, {}});
      sink_.Take();
    }
    return n;
  };
  EXPECT_GT(to_s01(800 * kMs), 14);
  EXPECT_LT(to_s01(5 * kMs), 14);
}

// A request that is too expensive for every server to answer within the latency target would be sent
// nevertheless and its work thrown away. In a large fleet that was a large share of all work.
TEST_F(BalancerTest, AnInfeasibleRequestIsRefusedAtOnceWhereWasteHasACost) {
  Settings settings = MakeSettings();
  for (const double cost_waste : {0.0, 0.3}) {
    settings.cost_waste = cost_waste;
    Start(settings, 3);
    int round = 0;
    const auto arrive = [&](Micros cost) {
      Request request;
      const std::string id = "r" + std::to_string(++round);
      request.id = id;
      request.budget = 5 * kSec;
      request.cost = cost;
      balancer_->OnRequest(now_, request);
      const Action action = TakeActions()[0];
      balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, 100 * kMs, true, {}});
      sink_.Take();
      return action;
    };
    for (int i = 0; i < 50; ++i) EXPECT_EQ(arrive(10 * kMs).kind, Kind::kSend);
    EXPECT_EQ(arrive(100 * kMs).kind, Kind::kSend);  // about the latency target: still sent
    const Action infeasible = arrive(1000 * kMs);    // ten times that
    EXPECT_EQ(infeasible.kind, cost_waste > 0 ? Kind::kRefuse : Kind::kSend);
    EXPECT_GT(infeasible.time, 0);  // the retry-after, or the timeout of the attempt
  }
}

TEST_F(BalancerTest, ABusySidecarHasALargerWindow) {
  Settings settings = MakeSettings();
  settings.cost_connection = 0.05;
  Start(settings, 40);
  std::set<std::string> used;
  for (int i = 0; i < 12; ++i) used.insert(Arrive("r" + std::to_string(i))[0].server);
  EXPECT_LE(used.size(), 4u);
  for (int i = 12; i < 120; ++i) used.insert(Arrive("r" + std::to_string(i))[0].server);
  EXPECT_GT(used.size(), 10u);
  EXPECT_LE(used.size(), 31u);
}

// With servers of one core, a sidecar with much traffic would overload the few servers of a window of fixed
// size.
TEST_F(BalancerTest, UsesAServerPerAttemptInFlightWhereConnectionsCostNothing) {
  Start(MakeSettings(), 40);
  std::set<std::string> used;
  for (int i = 0; i < 20; ++i) used.insert(Arrive("r" + std::to_string(i))[0].server);
  EXPECT_GT(used.size(), 8u);
}

// Late answers arrive seconds after they became late. In three incidents, waiting for them delayed the
// reaction to an overload, so an attempt counts as late as soon as it exceeds the latency target.
TEST_F(BalancerTest, AnAttemptInFlightPastItsLatencyTargetIsAnOverloadSignalAtOnce) {
  Settings settings = MakeSettings();
  settings.classes[2].late_value = 0.5;
  Start(settings, 10);
  std::vector<std::uint64_t> late_timers;
  for (int i = 0; i < 12; ++i) {
    Deliver("r" + std::to_string(i), 2);
    for (const Action& action : sink_.Take())
      if (action.kind == Kind::kTimer) {
        EXPECT_EQ(action.time, settings.classes[2].latency_target);
        late_timers.push_back(action.token);
      }
  }
  ASSERT_EQ(late_timers.size(), 12u);
  now_ += settings.classes[2].latency_target;
  for (const std::uint64_t token : late_timers) {
    balancer_->OnTimer(now_, token);
    balancer_->OnTimer(now_, token);  // counted only once
  }
  EXPECT_TRUE(sink_.Take().empty());  // the attempts themselves continue
  int refused = 0;
  for (int i = 0; i < 20; ++i) refused += Arrive("q" + std::to_string(i), 2)[0].kind == Kind::kRefuse;
  EXPECT_GT(refused, 10);  // none of the twelve has been answered yet
}

// In six incidents, servers were overloaded within seconds, before admission had fallen. Consecutive late
// answers therefore have to lower it faster.
TEST_F(BalancerTest, ConsecutiveLateAnswersLowerAdmissionFasterThanScatteredOnes) {
  std::map<bool, int> sent;
  for (const bool in_a_row : {false, true}) {
    Start(MakeSettings(), 10);
    for (int i = 0; i < 8; ++i) {
      const std::string id = "r" + std::to_string(i);
      if (Arrive(id, 2)[0].kind != Kind::kSend) continue;
      const bool late = in_a_row ? i >= 4 : i % 2 == 1;
      balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, (late ? 1500 : 200) * kMs, true, {}});
    }
    for (int i = 0; i < 100; ++i) sent[in_a_row] += Arrive("z" + std::to_string(i), 2)[0].kind == Kind::kSend;
  }
  EXPECT_GT(sent[false], 50);
  EXPECT_LT(sent[true], 30);
}

// Guards against refusals of other clients' requests while one client sends many with hardly any time left:
// each attempt that timed out at once counted as a sign of overload.
TEST_F(BalancerTest, AttemptsWithTooLittleTimeForAnAnswerDoNotLowerAdmission) {
  Start(MakeSettings(), 10);
  for (int i = 0; i < 30; ++i) {
    const std::string id = "r" + std::to_string(i);
    Deliver(id, 2);
    balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, 200 * kMs, true, {}});
  }
  sink_.Take();
  for (int i = 0; i < 300; ++i) {
    const std::string id = "short" + std::to_string(i);
    if (Arrive(id, 3, 1 * kMs)[0].kind == Kind::kSend)
      balancer_->OnOutcome(now_, {id, 0, Result::kTimeout, 1 * kMs, false, {}});
  }
  sink_.Take();
  int sent = 0;
  for (int i = 0; i < 100; ++i) sent += Arrive("z" + std::to_string(i), 2)[0].kind == Kind::kSend;
  EXPECT_EQ(sent, 100);
}

// When nearly everything is refused, a single fast answer proves little. Admitting everything after it would
// overload servers that still have to recover.
TEST_F(BalancerTest, OneFastAnswerDoesNotRestoreFullAdmission) {
  Start(MakeSettings(), 10);
  for (int i = 0; i < 300; ++i) {
    const std::string id = "r" + std::to_string(i);
    if (Arrive(id, 2)[0].kind == Kind::kSend)
      balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, 4 * kSec, true, {}});
  }
  std::string id;
  for (int i = 0; i < 1000; ++i) {
    id = "q" + std::to_string(i);
    if (Arrive(id, 2)[0].kind == Kind::kSend) break;
  }
  balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, 10 * kMs, true, {}});
  int sent = 0;
  for (int i = 0; i < 100; ++i) sent += Arrive("z" + std::to_string(i), 2)[0].kind == Kind::kSend;
  EXPECT_GT(sent, 10);
  EXPECT_LT(sent, 70);
}

// A server that becomes slow but does answer in the end would otherwise keep getting its full share at once.
TEST_F(BalancerTest, AServerThatExceedsTheLatencyTargetIsEjectedThenTriedOneRequestAtATime) {
  Settings settings = MakeSettings();
  settings.classes[0].late_value = 0.5;
  Start(settings, 3);
  std::string id;
  std::uint64_t late_timer = 0;
  for (int i = 0; late_timer == 0; ++i) {
    id = "r" + std::to_string(i);
    Deliver(id);
    const auto actions = sink_.Take();
    if (actions[0].server == "s01") late_timer = actions[1].token;
    if (late_timer == 0) Resolve(id, 0, Result::kSuccess, true);
  }
  balancer_->OnTimer(now_ += 1 * kSec, late_timer);
  const auto count_at = [&](const std::string& server, const std::string& prefix) {
    int n = 0;
    for (int i = 0; i < 40; ++i) n += Arrive(prefix + std::to_string(i))[0].server == server;
    return n;
  };
  // A late answer does not end the ejection.
  balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, 1100 * kMs, true, {}});
  EXPECT_EQ(count_at("s01", "a"), 0);
  now_ += 500 * kMs;  // the ejection ends
  EXPECT_EQ(count_at("s01", "b"), 1);
}

// Counts how many of the last 100 requests are admitted when answers take `then` ms after having taken `idle`
// ms.
class AdmissionTarget : public BalancerTest {
 protected:
  int CountAdmitted(Settings::Reports reports, int idle, int then) {
    Settings settings = MakeSettings();
    settings.reports = reports;
    Start(settings, 10);
    int sent = 0;
    for (int i = 0; i < 300; ++i) {
      const std::string id = "r" + std::to_string(i);
      if (Arrive(id, 2)[0].kind != Kind::kSend) continue;
      sent += i >= 200;
      balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, (i < 60 ? idle : then) * kMs, true, {}});
    }
    return sent;
  }
};

TEST_F(AdmissionTarget, IsHigherIfServersReportTheirLoad) {
  EXPECT_EQ(CountAdmitted(Settings::Reports::kInAnswers, 200, 350), 100);
  EXPECT_LT(CountAdmitted(Settings::Reports::kNone, 150, 350), 60);
}

TEST_F(AdmissionTarget, StaysNearTheLatencyOfIdleServers) {
  EXPECT_LT(CountAdmitted(Settings::Reports::kInAnswers, 50, 400), 60);
  EXPECT_EQ(CountAdmitted(Settings::Reports::kInAnswers, 250, 400), 100);
}

// On a network with losses, answers are slow although the servers are idle. Taking that for overload made a
// sidecar refuse two in five requests while no server used half of its cores.
TEST_F(BalancerTest, SlowAnswersOfServersThatReportIdleCoresAreNoOverloadSignal) {
  const auto count_admitted = [&](double cpu) {
    Start(MakeSettings(), 10);
    int sent = 0;
    for (int i = 0; i < 300; ++i) {
      const std::string id = "r" + std::to_string(i);
      if (Arrive(id, 2)[0].kind != Kind::kSend) continue;
      sent += i >= 200;
      const Result result = i % 10 == 0 ? Result::kTimeout : Result::kSuccess;
      LoadReport load;
      load.cpu = cpu;
      balancer_->OnOutcome(now_, {id, 0, result, (i < 60 ? 50 : 400) * kMs, true, load});
    }
    return sent;
  };
  EXPECT_EQ(count_admitted(0.5), 100);
  EXPECT_LT(count_admitted(0.95), 60);
}

// A server that fails at once has the fewest attempts in flight and would get most of the requests. With
// faulty configurations on some servers, a fifth of all requests ended in errors.
TEST_F(BalancerTest, AServerThatFailsFastIsAvoidedAndUsedAgainWhenItRecovers) {
  Start(MakeSettings(), 2);
  bool broken = true;
  const auto served_by_s00 = [&](const std::string& round, int count) {
    int n = 0;
    for (int i = 0; i < count; ++i) {
      const std::string id = round + std::to_string(i);
      const auto actions = Arrive(id);
      if (actions[0].kind != Kind::kSend) continue;
      const bool error = broken && actions[0].server == "s00";
      n += actions[0].server == "s00";
      balancer_->OnOutcome(
          now_, {id, 0, error ? Result::kError : Result::kSuccess, (error ? 1 : 100) * kMs, !error, {}});
    }
    return n;
  };
  served_by_s00("a", 100);
  EXPECT_LT(served_by_s00("b", 200), 40);
  broken = false;
  served_by_s00("c", 800);
  EXPECT_GT(served_by_s00("d", 200), 60);
}

// After a faulty release a server may fail one class alone and serve the others well enough to look healthy,
// as five of nine servers did once.
TEST_F(BalancerTest, AServerThatFailsOneClassIsAvoidedForThatClassAlone) {
  Start(MakeSettings(), 3);
  const auto sent_to_s00 = [&](int request_class, const std::string& round) {
    int n = 0;
    for (int i = 0; i < 600; ++i) {
      const std::string id = round + std::to_string(i);
      const int own = i % 4 == 0 ? request_class : 2 - request_class;
      const auto actions = Arrive(id, own);
      if (actions[0].kind != Kind::kSend) continue;
      const bool at_s00 = actions[0].server == "s00";
      n += at_s00 && own == request_class && i >= 200;
      const bool error = at_s00 && own == 2;
      balancer_->OnOutcome(now_, {id, 0, error ? Result::kError : Result::kSuccess, 50 * kMs, !error, {}});
      sink_.Take();
    }
    return n;
  };
  EXPECT_LT(sent_to_s00(2, "a"), 16);  // of 100; its equal share would be a third
  EXPECT_GT(sent_to_s00(0, "b"), 20);
}

// On a network where each server lost a tenth of its requests, ejection after every reset kept half of the
// servers ejected all the time.
TEST_F(BalancerTest, AResetDoesNotEjectAServerThatServedWithinTheLastLatencyTarget) {
  const auto sent_after_reset = [&](Micros quiet) {
    Start(MakeSettings(), 3);
    int round = 0;
    std::map<std::string, int> sent;
    const auto serve = [&](int count, const std::string& broken) {
      sent.clear();
      for (int i = 0; i < count; ++i) {
        const std::string id = "r" + std::to_string(++round);
        const std::string server = Arrive(id, 2)[0].server;
        ++sent[server];
        const bool reset = server == broken;
        balancer_->OnOutcome(now_, {id, 0, reset ? Result::kReset : Result::kSuccess, 0, !reset, {}});
        sink_.Take();
        if (reset) return;
      }
    };
    serve(60, "");
    now_ += quiet;
    serve(60, "s00");
    serve(60, "");
    return sent["s00"];
  };
  EXPECT_GT(sent_after_reset(900 * kMs), 0);
  EXPECT_EQ(sent_after_reset(1100 * kMs), 0);
}

// With all healthy servers ejected, the requests of a class would go to the servers that fail that class.
TEST_F(BalancerTest, AnEjectedServerIsPreferredToOneThatFailsTheClass) {
  Start(MakeSettings(), 3);
  int round = 0;
  const auto arrive = [&](Result at_s02) {
    const std::string id = "r" + std::to_string(++round);
    const bool s02 = Arrive(id, 2)[0].server == "s02";
    const Result result = s02 ? at_s02 : Result::kError;
    balancer_->OnOutcome(now_, {id, 0, result, 0, result == Result::kSuccess, {}});
    sink_.Take();
    return s02;
  };
  for (int i = 0; i < 200; ++i) arrive(Result::kSuccess);
  now_ += 1100 * kMs;
  while (!arrive(Result::kReset)) {  // it is ejected from here on
  }
  int n = 0;
  for (int i = 0; i < 200; ++i) n += arrive(Result::kSuccess);
  EXPECT_GT(n, 100);
}

// If the network loses a part of the requests to a server (two in five, for a third of the servers), the
// answers to the others keep the server from being ejected. It has to get fewer requests nevertheless.
TEST_F(BalancerTest, AServerThatLosesAPartOfItsRequestsIsAvoided) {
  const auto sent_to_s00 = [&](Result failure) {
    Start(MakeSettings(), 3);
    LoadReport idle;
    idle.cpu = 0.3;
    int sent = 0;
    int counted = 0;
    for (int round = 0; round < 200; ++round) {
      // The requests of this round, and whether each is lost.
      std::vector<std::pair<std::string, bool>> in_flight;
      for (int i = 0; i < 30; ++i) {
        const std::string id = std::to_string(round) + "-" + std::to_string(i);
        const auto actions = Arrive(id, 2);
        if (actions[0].kind != Kind::kSend) continue;
        const bool at_s00 = actions[0].server == "s00";
        counted += at_s00 && round >= 100;
        in_flight.emplace_back(id, at_s00 && ++sent % 5 < 2);
      }
      now_ += 50 * kMs;
      for (const auto& [id, lost] : in_flight)
        if (!lost) balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, 50 * kMs, true, idle});
      now_ += 50 * kMs;
      for (const auto& [id, lost] : in_flight)
        if (lost) balancer_->OnOutcome(now_, {id, 0, failure, 100 * kMs, failure == Result::kSuccess, idle});
      sink_.Take();
    }
    return counted;
  };
  const int healthy = sent_to_s00(Result::kSuccess);
  EXPECT_GT(healthy, 700);  // of 3000
  EXPECT_LT(sent_to_s00(Result::kTimeout), healthy * 4 / 10);
  EXPECT_LT(sent_to_s00(Result::kReset), healthy * 4 / 10);
}

// Busy servers answer at a quarter of the latency target all the time. At 300 requests per second that made a
// sidecar refuse a tenth of the requests of low value. A sidecar with many attempts in flight notices a real
// overload soon enough, so it can tolerate higher latency.
TEST_F(BalancerTest, ABusySidecarAdmitsAtALatencyAtWhichAQuietOneRefuses) {
  const auto count_admitted = [&](int in_flight_limit) {
    Start(MakeSettings(), 10);
    int sent = 0;
    std::vector<std::string> in_flight;
    for (int i = 0; i < 600; ++i) {
      const std::string id = "r" + std::to_string(i);
      if (Arrive(id, 0)[0].kind == Kind::kSend) {
        sent += i >= 300;
        in_flight.push_back(id);
      }
      if (static_cast<int>(in_flight.size()) < in_flight_limit) continue;
      balancer_->OnOutcome(now_,
                           {in_flight.front(), 0, Result::kSuccess, (i < 200 ? 150 : 295) * kMs, true, {}});
      in_flight.erase(in_flight.begin());
    }
    return sent;
  };
  EXPECT_EQ(count_admitted(60), 300);
  EXPECT_LT(count_admitted(5), 285);
}

// When half of the servers are drained at once, the rest would be overloaded before the first late answers
// lowered admission.
TEST_F(BalancerTest, AdmissionFallsAtOnceWhenServersAreRemoved) {
  const auto count_admitted = [&](int left) {
    Settings settings = MakeSettings();
    settings.classes[3].value = 10;
    Start(settings, 8);
    for (int i = 0; i < 100; ++i) {
      const std::string id = "a" + std::to_string(i);
      if (Arrive(id, i % 2 == 0 ? 0 : 3)[0].kind == Kind::kSend)
        balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, 100 * kMs, true, {}});
    }
    List(ListUpdate::Kind::kFull, MakeServers(left));
    int sent = 0;
    for (int i = 0; i < 200; ++i)
      sent += Arrive("b" + std::to_string(i), i % 2 == 0 ? 0 : 3)[0].kind == Kind::kSend;
    return sent;
  };
  EXPECT_EQ(count_admitted(8), 200);
  EXPECT_LT(count_admitted(4), 150);
}

// Refusals of one class among several mean a rate limit on that class. Only refusals of all classes mean
// overload.
TEST_F(BalancerTest, RefusalsOfOneClassAreNoOverloadSignal) {
  for (const bool all : {false, true}) {
    Start(MakeSettings(), 4, 9);
    int refused = 0;
    for (int i = 0; i < 400; ++i) {
      now_ += 20 * kMs;
      const std::string id = (all ? "a" : "r") + std::to_string(i);
      const auto actions = Arrive(id, i % 2 == 0 ? 2 : 0);
      if (actions[0].kind != Kind::kSend) {
        ++refused;
        continue;
      }
      const bool full = all || i % 2 == 0;
      balancer_->OnOutcome(now_, {id, 0, full ? Result::kRefused : Result::kSuccess, 10 * kMs, !full, {}});
      if (full) balancer_->OnClientDisconnected(now_, id);
      sink_.Take();
    }
    if (all) {
      EXPECT_GT(refused, 100);
    } else {
      EXPECT_EQ(refused, 0);
    }
  }
}

// Under overload, requests whose clients have already waited longer than the latency target must not take
// capacity from new requests, which can still be answered in time.
TEST_F(BalancerTest, UnderOverloadRequestsThatAreNotYetLateAreAdmittedFirst) {
  Settings settings = MakeSettings();
  settings.classes[0].late_value = 0.25;
  Start(settings, 10);
  int in_time = 0;
  int late = 0;
  for (int i = 0; i < 900; ++i) {
    const std::string id = "r" + std::to_string(i);
    // Clients give an attempt 3 s of the deadline of 5 s. With 1 s left the client has waited for 4 s
    // already, longer than the latency target of 1 s.
    const bool is_late = i % 3 == 0;
    const auto actions = Arrive(id, 0, is_late && i > 3 ? 1 * kSec : 3 * kSec);
    if (actions[0].kind != Kind::kSend) continue;
    ++(is_late ? late : in_time);
    // The servers can carry half the load.
    const Micros elapsed = (late + in_time) * 2 > i ? 900 * kMs : 100 * kMs;
    balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, elapsed, true});
  }
  EXPECT_GT(in_time, 250);
  // Half as many late requests arrive.
  EXPECT_LT(late * 2, in_time / 2) << late << " late, " << in_time << " in time";
}

TEST_F(BalancerTest, PrefersTheServerWithFewerOfItsAttemptsInFlight) {
  Start(MakeSettings(), 2);
  std::map<std::string, int> sent;
  for (int i = 0; i < 400; ++i) ++sent[Arrive("r" + std::to_string(i))[0].server];
  EXPECT_NEAR(sent["s00"], 200, 20);
}

TEST_F(BalancerTest, TheWindowsOfAllRanksCoverTheServersEvenly) {
  std::map<std::string, int> windows_by_server;
  for (std::uint32_t rank = 0; rank < 40; ++rank) {
    Settings settings = MakeSettings();
    settings.rank = rank;
    settings.sidecar_count = 40;
    Start(settings, 20, rank);
    std::set<std::string> used;
    for (int i = 0; i < 300; ++i) used.insert(Arrive("r" + std::to_string(i))[0].server);
    for (const std::string& server : used) ++windows_by_server[server];
  }
  ASSERT_EQ(windows_by_server.size(), 20u);
  for (const auto& [server, n] : windows_by_server) EXPECT_EQ(n, windows_by_server["s00"]) << server;
}

// Changes of the list that the previous process received take effect for the process that takes over from it.
TEST_F(BalancerTest, AProcessThatTakesOverCallsDiscoveryAtOnce) {
  Settings settings = MakeSettings();
  settings.must_subscribe = true;
  settings.takes_over = true;
  std::string error;
  balancer_ = Balancer::Create(settings, 7, now_, sink_, error);
  List(ListUpdate::Kind::kStale, MakeServers(4));
  const auto actions = sink_.Take();
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_EQ(actions[0].kind, Kind::kTimer);
  EXPECT_EQ(actions[0].time, 0);
}

// If a large fleet loses discovery, its sidecars must not all call it again at the same time.
TEST_F(BalancerTest, TheFirstRetryOfDiscoveryIsSpreadByTheSizeOfTheFleet) {
  const auto longest_wait = [&](std::uint32_t sidecar_count) {
    Settings settings = MakeSettings();
    settings.must_subscribe = true;
    settings.sidecar_count = sidecar_count;
    Micros most = 0;
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
      std::string error;
      balancer_ = Balancer::Create(settings, seed, now_, sink_, error);
      List(ListUpdate::Kind::kStale, MakeServers(4));
      Fire(sink_.Take().at(0));
      List(ListUpdate::Kind::kFailed, {});
      most = std::max(most, sink_.Take().at(0).time);
    }
    return most;
  };
  EXPECT_NEAR(static_cast<double>(longest_wait(3)), 1 * kSec, 0.1 * kSec);
  EXPECT_NEAR(static_cast<double>(longest_wait(48)), 6 * kSec, 0.6 * kSec);
  EXPECT_NEAR(static_cast<double>(longest_wait(300)), 10 * kSec, 1 * kSec);  // no more than ask_within
}

// The delay after a failed call grows with the size of the fleet, but never exceeds the time after which a
// missed change takes effect. If every call is refused at once, a fleet of 14,000 makes about 5,500 calls in
// the first second and 9,300 in every later one; a fleet of 300 makes 120 and 200.
TEST_F(BalancerTest, AFleetOfAnySizeCallsDiscoveryAgainBeforeAMissedChangeTakesEffect) {
  constexpr Micros kWithin = 3 * kSec;
  for (const std::uint32_t sidecar_count : {3U, 300U, 14'000U}) {
    Settings settings = MakeSettings();
    settings.must_subscribe = true;
    settings.sidecar_count = sidecar_count;
    std::map<Micros, int> calls_in_second;  // calls of the whole fleet, by second since the common failure
    for (std::uint32_t rank = 0; rank < sidecar_count; ++rank) {
      settings.rank = rank;
      std::string error;
      now_ = 0;
      balancer_ = Balancer::Create(settings, rank, now_, sink_, error);
      List(ListUpdate::Kind::kStale, MakeServers(1));
      Fire(sink_.Take().at(0));
      const Micros failed_at = now_;
      while (now_ < failed_at + 12 * kSec) {
        ListUpdate failed{ListUpdate::Kind::kFailed, 0, {}};
        failed.ask_within = kWithin;
        balancer_->OnServers(now_, failed);
        for (const auto& action : sink_.Take()) {
          ASSERT_EQ(action.kind, Kind::kTimer);
          ASSERT_LE(action.time, kWithin);
          Fire(action);
        }
        ++calls_in_second[(now_ - failed_at) / kSec];
      }
    }
    const auto share = [&](Micros second) {
      return static_cast<double>(calls_in_second[second]) / static_cast<double>(sidecar_count);
    };
    if (sidecar_count >= 300) {  // spread over the whole period, without a peak
      const double chance = 3 / std::sqrt(sidecar_count);
      // Repeated calls within a third of the longest delay.
      EXPECT_NEAR(share(0), std::exp(1.0 / 3) - 1, chance);
      EXPECT_NEAR(share(10), 2.0 / 3, chance);
    }
  }
}

// At least forty fleets of each size start without a list. A call to discovery takes 3 s, every fifth call
// fails, and `src/net` asks for a repetition within 1.5 s. A sidecar is ready once it has its first list.
TEST_F(BalancerTest, AFleetThatStartsWithoutAListIsReadyInTime) {
  constexpr Micros kCall = 3 * kSec;
  constexpr std::uint64_t kSidecars = 12'000;  // in all fleets of one size
  for (const std::uint32_t sidecar_count : {3U, 40U, 300U}) {
    Settings settings = MakeSettings();
    settings.must_subscribe = true;
    settings.sidecar_count = sidecar_count;
    int ready_in_5s = 0;
    int ready_in_10s = 0;
    std::vector<int> late(kSidecars / sidecar_count);  // by fleet: sidecars not ready within 10 s
    for (std::uint64_t sidecar = 0; sidecar < kSidecars; ++sidecar) {
      settings.rank = static_cast<std::uint32_t>(sidecar % sidecar_count);
      RandomSource random(sidecar);
      std::string error;
      now_ = 0;
      balancer_ = Balancer::Create(settings, sidecar, now_, sink_, error);
      List(ListUpdate::Kind::kStale, {});
      for (bool ready = false; !ready;) {
        const auto ask = Fire(sink_.Take().at(0));
        ASSERT_EQ(ask.size(), 1u);
        ASSERT_EQ(ask[0].kind, Kind::kSubscribe);
        now_ += kCall;
        ready = random.Uniform() >= 0.2;
        ListUpdate failed{ListUpdate::Kind::kFailed, 0, {}};
        failed.ask_within = kCall / 2;
        if (!ready) balancer_->OnServers(now_, failed);
      }
      ready_in_5s += now_ <= 5 * kSec;
      ready_in_10s += now_ <= 10 * kSec;
      late[sidecar / sidecar_count] += now_ > 10 * kSec;
    }
    EXPECT_GT(ready_in_5s, kSidecars * 3 / 4) << sidecar_count;
    EXPECT_GT(ready_in_10s, kSidecars * 19 / 20) << sidecar_count;
    if (sidecar_count < 40) continue;
    const auto many = [&](int n) { return n > static_cast<int>(sidecar_count) / 10; };
    EXPECT_LE(std::count_if(late.begin(), late.end(), many), static_cast<int>(late.size()) / 20)
        << sidecar_count;
  }
}

// In its first second a fleet without a usable server makes all of its first calls to discovery, spread over
// that second; a fleet that knows a server makes a fifth of them. A list with draining servers alone counts
// as no usable server.
TEST_F(BalancerTest, TheFirstCallToDiscoveryIsSoonerIfNoServerIsUsable) {
  const auto draining = [] {
    auto servers = MakeServers(2);
    for (ServerInfo& server : servers) server.state = ServerInfo::State::kDraining;
    return servers;
  }();
  for (const std::uint32_t sidecar_count : {3U, 40U, 300U, 14'000U}) {
    const auto calls = [&](const std::vector<ServerInfo>& known) {
      Settings settings = MakeSettings();
      settings.must_subscribe = true;
      settings.sidecar_count = sidecar_count;
      std::array<int, 50> by_tenth{};  // calls by tenth of a second
      for (std::uint64_t seed = 0; seed < 3000; ++seed) {
        std::string error;
        balancer_ = Balancer::Create(settings, seed, now_, sink_, error);
        List(ListUpdate::Kind::kStale, known);
        ++by_tenth.at(static_cast<std::size_t>(sink_.Take().at(0).time / (100 * kMs)));
      }
      return by_tenth;
    };
    for (const auto& known : {std::vector<ServerInfo>(), draining}) {
      const auto soon = calls(known);
      EXPECT_EQ(std::accumulate(soon.begin(), soon.begin() + 10, 0), 3000) << sidecar_count;
      // No burst at one instant.
      EXPECT_LT(*std::max_element(soon.begin(), soon.end()), 400) << sidecar_count;
    }
    const auto spread = calls(MakeServers(2));
    EXPECT_NEAR(std::accumulate(spread.begin(), spread.begin() + 10, 0), 600, 80) << sidecar_count;
  }
}

TEST_F(BalancerTest, CallsDiscoveryAgainWithinTheTimeStatedAfterAFailure) {
  Settings settings = MakeSettings();
  settings.must_subscribe = true;
  std::string error;
  balancer_ = Balancer::Create(settings, 7, now_, sink_, error);
  List(ListUpdate::Kind::kStale, MakeServers(4));
  auto actions = sink_.Take();
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_LT(actions[0].time, settings.ask_within);
  for (int i = 0; i < 20; ++i) {
    ASSERT_EQ(actions[0].kind, Kind::kTimer);
    const auto ask = Fire(actions[0]);
    ASSERT_EQ(ask.size(), 1u);
    EXPECT_EQ(ask[0].kind, Kind::kSubscribe);
    List(ListUpdate::Kind::kFailed, {});
    actions = sink_.Take();
    ASSERT_EQ(actions.size(), 1u);
    EXPECT_LE(actions[0].time, settings.ask_within);
  }
}

// If missed changes may take effect soon, the call is made neither after the usual spread nor at the time
// already scheduled, but within the time stated.
TEST_F(BalancerTest, CallsDiscoveryOnceAndWithinTheTimeStatedWhenMissedChangesTakeEffectSoon) {
  Settings settings = MakeSettings();
  settings.must_subscribe = true;
  settings.sidecar_count = 300;
  std::string error;
  balancer_ = Balancer::Create(settings, 7, now_, sink_, error);
  List(ListUpdate::Kind::kStale, MakeServers(4));
  const auto planned = sink_.Take();
  ASSERT_EQ(planned.size(), 1u);
  ASSERT_GT(planned[0].time, 1);
  ListUpdate failed{ListUpdate::Kind::kFailed, 0, {}};
  failed.ask_within = 1;
  balancer_->OnServers(now_, failed);
  const auto expedited = sink_.Take();
  ASSERT_EQ(expedited.size(), 1u);
  EXPECT_EQ(expedited[0].kind, Kind::kTimer);
  EXPECT_LE(expedited[0].time, 1);
  const auto ask = Fire(expedited[0]);
  ASSERT_EQ(ask.size(), 1u);
  EXPECT_EQ(ask[0].kind, Kind::kSubscribe);
  EXPECT_TRUE(Fire(planned[0]).empty());  // the call has already been made
}

TEST_F(BalancerTest, IgnoresEventsForUnknownRequestsAndAttempts) {
  Start(MakeSettings(), 4);
  EXPECT_TRUE(Resolve("nobody", 0, Result::kRefused).empty());
  Arrive("r1");
  EXPECT_TRUE(Resolve("r1", 3, Result::kRefused).empty());
  EXPECT_TRUE(Resolve("r1", -1, Result::kRefused).empty());
  EXPECT_TRUE(Arrive("r1").empty());
  balancer_->OnTimer(now_, 999);
  balancer_->OnClientDisconnected(now_, "nobody");
  balancer_->OnResponseStarted(now_, "nobody", 0);
  EXPECT_TRUE(sink_.Take().empty());
  EXPECT_EQ(Arrive("r2", 99)[0].kind, Kind::kFail);
  EXPECT_EQ(Resolve("r1", 0, Result::kRefused).size(), 1u);
  EXPECT_TRUE(Resolve("r1", 0, Result::kRefused).empty());  // delivered a second time
}

TEST_F(BalancerTest, DropsARequestOfADisconnectedClientOnceItsAttemptIsResolved) {
  Start(MakeSettings(), 4);
  Arrive("r1");
  balancer_->OnClientDisconnected(now_, "r1");
  EXPECT_EQ(balancer_->pending_request_count(), 1u);
  EXPECT_TRUE(Resolve("r1", 0, Result::kReset).empty());
  EXPECT_EQ(balancer_->pending_request_count(), 0u);
}

TEST(BalancerSettings, RejectsInvalidSettings) {
  const std::vector<std::pair<std::string, void (*)(Settings&)>> cases = {
      {"no request classes", [](Settings& s) { s.classes.clear(); }},
      {"negative time in class c", [](Settings& s) { s.classes[1].deadline = -1; }},
      {"unknown repeat kind in class c", [](Settings& s) { s.classes[0].repeat = static_cast<Repeat>(9); }},
      {"max_attempts under 1", [](Settings& s) { s.max_attempts = 0; }},
      {"rank outside the number of sidecars", [](Settings& s) { s.rank = s.sidecar_count; }},
      {"slow_start_share outside (0, 1]", [](Settings& s) { s.slow_start_share = 0; }},
      {"negative time", [](Settings& s) { s.slow_start_duration = -1; }},
  };
  for (const auto& [expected, make_invalid] : cases) {
    Settings settings = MakeSettings();
    make_invalid(settings);
    Recorder sink;
    std::string error;
    EXPECT_EQ(Balancer::Create(settings, 1, 0, sink, error), nullptr);
    EXPECT_EQ(error, expected);
  }
}

}  // namespace
}  // namespace merlinrun::testing
