// Tests incremental updates of the list of servers: a single change must not cost a full rebuild of the
// rings, and the result must be the same as that of a full rebuild.
#include <gtest/gtest.h>

#include <array>
#include <deque>
#include <random>
#include <span>
#include <tuple>

#include "harness.hpp"

namespace merlinrun::testing {
namespace {

using State = ServerInfo::State;

ServerInfo MakeServer(int number) {
  ServerInfo info;
  info.id = "s" + std::to_string(100'000 + number);
  info.zone = number % 2;
  return info;
}

std::vector<ServerInfo> ManyServers(int count) {
  std::vector<ServerInfo> servers;
  for (int i = 0; i < count; ++i) servers.push_back(MakeServer(i));
  return servers;
}

class ListSize : public ::testing::TestWithParam<int> {};

// A rebuild for each change would take too much CPU with thousands of servers.
TEST_P(ListSize, ASingleChangeDoesNotRebuildAllRings) {
  const int listed = GetParam();
  Recorder sink;
  std::string error;
  const auto balancer = Balancer::Create(MakeSettings(), 1, 0, sink, error);
  ASSERT_NE(balancer, nullptr) << error;
  const std::vector<ServerInfo> all = ManyServers(listed);
  balancer->OnServers(0, {ListUpdate::Kind::kFull, 1, all});
  EXPECT_EQ(balancer->ring_rebuild_count(), 1U);
  std::int64_t generation = 1;
  for (int i = 0; i < 50; ++i) {
    for (const State state : {State::kDraining, State::kGone, State::kHealthy}) {
      ServerInfo changed = MakeServer(i * 7 % listed);
      changed.state = state;
      balancer->OnServers(0, {ListUpdate::Kind::kDelta, ++generation, std::span(&changed, 1)});
    }
  }
  EXPECT_EQ(balancer->ring_rebuild_count(), 1U);
  balancer->OnServers(0, {ListUpdate::Kind::kDelta, ++generation, all});
  EXPECT_EQ(balancer->ring_rebuild_count(), listed > 100 ? 2U : 1U);
}

INSTANTIATE_TEST_SUITE_P(ListChanges, ListSize, ::testing::Values(3, 300, 14'000));

// Takes the recorded actions in a form that can be compared.
std::vector<std::tuple<int, std::string, std::string, Micros, std::uint64_t>> TakeActions(Recorder& sink) {
  std::vector<std::tuple<int, std::string, std::string, Micros, std::uint64_t>> actions;
  for (const Action& action : sink.Take())
    actions.emplace_back(static_cast<int>(action.kind), action.request, action.server, action.time,
                         action.token);
  return actions;
}

// Gives the same changes to two balancers: to one as they are, to the other with the last entry repeated so
// often that the balancer does a full rebuild. Both have to take the same actions from then on.
TEST(ListChanges, IncrementalUpdatesGiveTheSameResultAsFullRebuilds) {
  constexpr std::size_t kChangesForRebuild = 101;
  const std::vector<ServerInfo> all = ManyServers(30);
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    std::mt19937_64 random(seed);
    const auto below = [&](int n) { return static_cast<int>(random() % static_cast<std::uint64_t>(n)); };
    Settings settings = MakeSettings();
    settings.sidecar_count = 5;
    settings.rank = 3;
    settings.cost_cross_zone = seed % 2 == 0 ? 0.2 : 0;  // one ring per zone, or one ring for all
    Recorder sinks[2];
    std::unique_ptr<Balancer> balancers[2];
    std::string error;
    for (int i = 0; i < 2; ++i) {
      balancers[i] = Balancer::Create(settings, seed, 0, sinks[i], error);
      ASSERT_NE(balancers[i], nullptr) << error;
      balancers[i]->OnServers(0, {ListUpdate::Kind::kFull, 1, all});
    }
    Micros now = 0;
    std::int64_t generation = 1;
    std::deque<std::string> in_flight;
    for (int step = 0; step < 300; ++step) {
      now += 20 * kMs;
      const int choice = below(6);
      if (choice < 2) {
        std::vector<ServerInfo> changes;
        for (int i = below(3); i >= 0; --i) {
          ServerInfo changed = MakeServer(below(45));  // includes servers that were never listed
          changed.state = std::array{State::kHealthy, State::kDraining, State::kGone}[below(3)];
          changed.zone = below(2);
          changed.started = below(3) == 0 ? now : 0;
          changes.push_back(changed);
        }
        std::vector<ServerInfo> padded = changes;
        padded.resize(kChangesForRebuild, changes.back());
        ++generation;
        balancers[0]->OnServers(now, {ListUpdate::Kind::kDelta, generation, changes});
        balancers[1]->OnServers(now, {ListUpdate::Kind::kDelta, generation, padded});
      } else if (choice == 2 && below(4) == 0) {
        const std::string id = MakeServer(below(45)).id;
        const bool down = below(2) == 0;
        for (const auto& balancer : balancers) balancer->SetAdminDown(now, id, down);
      } else if (choice == 3 && !in_flight.empty()) {
        const Result result = std::array{Result::kSuccess, Result::kReset, Result::kRefused}[below(3)];
        for (const auto& balancer : balancers)
          balancer->OnOutcome(now, {in_flight.front(), 0, result, 10 * kMs, result == Result::kSuccess});
        in_flight.pop_front();
      } else {
        in_flight.push_back("r" + std::to_string(step));
        Request request;
        request.id = in_flight.back();
        request.budget = 5 * kSec;
        for (const auto& balancer : balancers) balancer->OnRequest(now, request);
      }
      ASSERT_EQ(TakeActions(sinks[0]), TakeActions(sinks[1])) << "seed " << seed << ", step " << step;
      ASSERT_EQ(balancers[0]->servers_avoided(now), balancers[1]->servers_avoided(now));
    }
    // The full list and servers that are set administratively down cause rebuilds in both.
    EXPECT_LT(balancers[0]->ring_rebuild_count(), 30U);
    EXPECT_GT(balancers[1]->ring_rebuild_count(), 70U);
    // Both have learned about the same servers.
    EXPECT_EQ(balancers[0]->ExportLearnedState(), balancers[1]->ExportLearnedState());
  }
}

}  // namespace
}  // namespace merlinrun::testing
