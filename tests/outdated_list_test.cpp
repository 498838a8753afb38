// What is sent while the list of servers is out of date.
#include <gtest/gtest.h>

#include "harness.hpp"

namespace merlinrun {
namespace {

using testing::Action;
using testing::kMs;
using testing::kSec;
using Kind = Action::Kind;

class OutdatedListTest : public ::testing::Test {
 protected:
  OutdatedListTest() {
    std::string error;
    balancer = Balancer::Create(testing::MakeSettings(), 7, 0, sink, error);
    const auto servers = testing::MakeServers(4);
    balancer->OnServers(0, {ListUpdate::Kind::kFull, 1, servers});
    sink.Take();
  }
  // What becomes of a new request at once.
  std::vector<Action> Arrive(Micros now) {
    Request request;
    const std::string id = "r" + std::to_string(++arrived);
    request.id = id;
    request.budget = 4 * kSec;
    balancer->OnRequest(now, request);
    return sink.Take();
  }
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

// The grace of a drain is 500 ms here, of which 205 ms are left for being held up after the decision.
TEST_F(OutdatedListTest, NothingIsSentPastTheGraceOfADrainThatMayHaveBeenMissed) {
  balancer->OnListStaleness(10 * kSec, 12 * kSec);
  EXPECT_TRUE(Sends(12 * kSec + 290 * kMs));
  EXPECT_FALSE(Sends(12 * kSec + 300 * kMs));
  balancer->OnListStaleness(13 * kSec, std::nullopt);
  EXPECT_TRUE(Sends(13 * kSec));
}

TEST_F(OutdatedListTest, AnOutageLaterOnPutsOffTheHold) {
  balancer->OnListStaleness(10 * kSec, 12 * kSec);
  balancer->OnListStaleness(12 * kSec, 16 * kSec);
  EXPECT_TRUE(Sends(15 * kSec));
  EXPECT_FALSE(Sends(17 * kSec));
}

// A discovery that stays overloaded must not stop all service.
TEST_F(OutdatedListTest, RequestsAreHeldForFiveSecondsAtMostUntilTheListIsCurrentAgain) {
  balancer->OnListStaleness(10 * kSec, 12 * kSec);
  EXPECT_FALSE(Sends(13 * kSec));
  EXPECT_FALSE(Sends(18 * kSec - 1 * kMs));
  EXPECT_TRUE(Sends(18 * kSec));
  balancer->OnListStaleness(19 * kSec, 19 * kSec);  // another failed call
  EXPECT_TRUE(Sends(20 * kSec));
  balancer->OnListStaleness(21 * kSec, std::nullopt);
  balancer->OnListStaleness(22 * kSec, 22 * kSec);
  EXPECT_FALSE(Sends(23 * kSec));
}

// Guards against requests to a drained server once the hold is over and the outage is not: its drain was told
// by half.
TEST_F(OutdatedListTest, WhatWasToldByHalfIsHeldForUntilTheListIsCurrentAgain) {
  balancer->OnListStaleness(10 * kSec, 10 * kSec, MissedChanges::kAnnounced);
  EXPECT_FALSE(Sends(11 * kSec));
  EXPECT_FALSE(Sends(100 * kSec));
  balancer->OnListStaleness(101 * kSec, std::nullopt);
  EXPECT_TRUE(Sends(101 * kSec));
}

TEST_F(OutdatedListTest, AHeldRequestIsSentWhenTheListIsCurrentOrRefusedInTime) {
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
