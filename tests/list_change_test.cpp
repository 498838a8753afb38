// Changes of the list, at the sizes that lists have: what they cost, and that they end where a walk over all
// servers would.
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

ServerInfo Numbered(int number) {
  ServerInfo info;
  info.id = "s" + std::to_string(100'000 + number);
  info.zone = number % 2;
  return info;
}

std::vector<ServerInfo> ManyServers(int count) {
  std::vector<ServerInfo> servers;
  for (int i = 0; i < count; ++i) servers.push_back(Numbered(i));
  return servers;
}

class ListSize : public ::testing::TestWithParam<int> {};

TEST_P(ListSize, DoesNotMakeASingleChangeAWalkOverAllServers) {
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
      ServerInfo changed = Numbered(i * 7 % listed);
      changed.state = state;
      balancer->OnServers(0, {ListUpdate::Kind::kDelta, ++generation, std::span(&changed, 1)});
    }
  }
  EXPECT_EQ(balancer->ring_rebuild_count(), 1U);
  balancer->OnServers(0, {ListUpdate::Kind::kDelta, ++generation, all});
  EXPECT_EQ(balancer->ring_rebuild_count(), listed > 100 ? 2U : 1U);
}

INSTANTIATE_TEST_SUITE_P(ListChanges, ListSize, ::testing::Values(3, 300, 14'000));

std::vector<std::tuple<int, std::string, std::string, Micros, std::uint64_t>> Told(Recorder& sink) {
  std::vector<std::tuple<int, std::string, std::string, Micros, std::uint64_t>> told;
  for (const Action& action : sink.Take())
    told.emplace_back(static_cast<int>(action.kind), action.request, action.server, action.time,
                      action.token);
  return told;
}

// One balancer is told each change as it is. The other is told its last entry again so often that it walks
// over all servers. Both have to do the same ever after.
TEST(ListChanges, EndWhereAWalkOverAllServersWould) {
  constexpr std::size_t kWalked = 101;
  const std::vector<ServerInfo> all = ManyServers(30);
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    std::mt19937_64 random(seed);
    const auto below = [&](int n) { return static_cast<int>(random() % static_cast<std::uint64_t>(n)); };
    Settings settings = MakeSettings();
    settings.sidecar_count = 5;
    settings.rank = 3;
    settings.cost_cross_zone =
        seed % 2 == 0 ? 0.2 : 0;  // a ring of its own for the other zone, or one for all
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
    std::deque<std::string> open;
    for (int step = 0; step < 300; ++step) {
      now += 20 * kMs;
      const int what = below(6);
      if (what < 2) {
        std::vector<ServerInfo> changes;
        for (int i = below(3); i >= 0; --i) {
          ServerInfo changed = Numbered(below(45));  // also such as were never listed
          changed.state = std::array{State::kHealthy, State::kDraining, State::kGone}[below(3)];
          changed.zone = below(2);
          changed.started = below(3) == 0 ? now : 0;
          changes.push_back(changed);
        }
        std::vector<ServerInfo> padded = changes;
        padded.resize(kWalked, changes.back());
        ++generation;
        balancers[0]->OnServers(now, {ListUpdate::Kind::kDelta, generation, changes});
        balancers[1]->OnServers(now, {ListUpdate::Kind::kDelta, generation, padded});
      } else if (what == 2 && below(4) == 0) {
        const std::string id = Numbered(below(45)).id;
        const bool out = below(2) == 0;
        for (const auto& balancer : balancers) balancer->SetAdminDown(now, id, out);
      } else if (what == 3 && !open.empty()) {
        const Result result = std::array{Result::kSuccess, Result::kReset, Result::kRefused}[below(3)];
        for (const auto& balancer : balancers)
          balancer->OnOutcome(now, {open.front(), 0, result, 10 * kMs, result == Result::kSuccess});
        open.pop_front();
      } else {
        open.push_back("r" + std::to_string(step));
        Request request;
        request.id = open.back();
        request.budget = 5 * kSec;
        for (const auto& balancer : balancers) balancer->OnRequest(now, request);
      }
      ASSERT_EQ(Told(sinks[0]), Told(sinks[1])) << "seed " << seed << ", step " << step;
      ASSERT_EQ(balancers[0]->servers_avoided(now), balancers[1]->servers_avoided(now));
    }
    EXPECT_LT(balancers[0]->ring_rebuild_count(), 30U);  // the whole list, and servers taken out by hand
    EXPECT_GT(balancers[1]->ring_rebuild_count(), 70U);
    EXPECT_EQ(balancers[0]->ExportLearnedState(), balancers[1]->ExportLearnedState());  // of the same servers
  }
}

}  // namespace
}  // namespace merlinrun::testing
