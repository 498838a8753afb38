// Tests when a Balancer pauses dispatch because its list of servers may be stale.
#include <gtest/gtest.h>

#include "harness.hpp"

namespace merlinrun {
namespace {

using testing::Action;
using testing::kMs;
using testing::kSec;
using Kind = Action::Kind;

class StaleListTest : public ::testing::Test {
 protected:
  StaleListTest() {
    std::string error;
    balancer = Balancer::Create(testing::MakeSettings(), 7, 0, sink, error);
    const auto servers = testing::MakeServers(4);
    balancer->OnServers(0, {ListUpdate::Kind::kFull, 1, servers});
    sink.Take();
  }
  // Delivers a new request and returns the immediate actions.
  std::vector<Action> Arrive(Micros now) {
    Request request;
    const std::string id = "r" + std::to_string(++arrived);
    request.id = id;
    request.budget = 4 * kSec;
    balancer->OnRequest(now, request);
    return sink.Take();
  }
  // Whether a new request is sent at once; DispatchPaused has to agree.
  bool Sends(Micros now) {
    const auto actions = Arrive(now);
    const bool sent = actions.at(0).kind == Kind::kSend;
    EXPECT_EQ(balancer->DispatchPaused(now), !sent);
    return sent;
  }

  testing::Recorder sink;
  std::unique_ptr<Balancer> balancer;
  int arrived = 0;
};

// The drain grace is 500 ms here. The guard reserves 205 ms of it for a delay between the decision and the
// write.
TEST_F(StaleListTest, PausesDispatchOnceTheGraceOfAPossiblyMissedDrainEnds) {
  balancer->OnListStaleness(10 * kSec, 12 * kSec);
  EXPECT_TRUE(Sends(12 * kSec + 290 * kMs));
  EXPECT_FALSE(Sends(12 * kSec + 300 * kMs));
  balancer->OnListStaleness(13 * kSec, std::nullopt);
  EXPECT_TRUE(Sends(13 * kSec));
}

TEST_F(StaleListTest, ALaterOutagePostponesThePause) {
  balancer->OnListStaleness(10 * kSec, 12 * kSec);
  balancer->OnListStaleness(12 * kSec, 16 * kSec);
  EXPECT_TRUE(Sends(15 * kSec));
  EXPECT_FALSE(Sends(17 * kSec));
}

// Guards against requests to drained servers while discovery stays overloaded: the pause ended after 5 s
// although the list was still stale.
TEST_F(StaleListTest, PausesUntilTheListIsCurrentHoweverLongThatTakes) {
  balancer->OnListStaleness(10 * kSec, 12 * kSec);
  EXPECT_FALSE(Sends(13 * kSec));
  EXPECT_FALSE(Sends(18 * kSec));
  balancer->OnListStaleness(19 * kSec, 12 * kSec);  // another failed call
  EXPECT_FALSE(Sends(20 * kSec));
  EXPECT_FALSE(Sends(100 * kSec));
  balancer->OnListStaleness(101 * kSec, std::nullopt);
  EXPECT_TRUE(Sends(101 * kSec));
  balancer->OnListStaleness(102 * kSec, 102 * kSec);
  EXPECT_FALSE(Sends(103 * kSec));
}

TEST_F(StaleListTest, APendingRequestIsSentWhenTheListIsCurrentOrRefusedBeforeItsDeadline) {
  balancer->OnListStaleness(10 * kSec, 10 * kSec);
  auto actions = Arrive(11 * kSec);
  ASSERT_EQ(actions.size(), 1U);
  ASSERT_EQ(actions[0].kind, Kind::kTimer);
  balancer->OnListStaleness(11 * kSec, std::nullopt);
  balancer->OnTimer(11 * kSec + actions[0].time, actions[0].token);
  EXPECT_EQ(sink.Take().at(0).kind, Kind::kSend);

  balancer->OnListStaleness(12 * kSec, 12 * kSec);
  Micros now = 13 * kSec;
  actions = Arrive(now);
  while (actions.at(0).kind == Kind::kTimer) {
    now += actions[0].time;
    balancer->OnTimer(now, actions[0].token);
    actions = sink.Take();
  }
  EXPECT_EQ(actions.at(0).kind, Kind::kRefuse);
  EXPECT_LT(now, 13 * kSec + 4 * kSec);
}

}  // namespace
}  // namespace merlinrun
