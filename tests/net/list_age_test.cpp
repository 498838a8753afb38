// When changes that were not heard bind, and how soon discovery is asked again.
#include "net/list_age.hpp"

#include <gtest/gtest.h>

namespace merlinrun::net {
namespace {

using End = ListAge::CallEnd;
using std::chrono::milliseconds;
using std::chrono::seconds;

class ListAgeTest : public ::testing::Test {
 protected:
  static ListAge Asked() { return {ListAge::Timing{}, ListAge::Time(), 0}; }
  static ListAge Pushed() {
    ListAge::Timing timing;
    timing.told_at_end = true;
    return {timing, ListAge::Time(), 0};
  }

  static constexpr ListAge::Time kStart{};
};

TEST_F(ListAgeTest, ChangesBindSixSecondsAfterTheLastWord) {
  ListAge age = Asked();
  EXPECT_EQ(age.binds(), kStart + seconds(6));
  age.Confirm(kStart + seconds(10));
  EXPECT_EQ(age.binds(), kStart + seconds(16));
}

TEST_F(ListAgeTest, NoFailedCallOfADiscoveryThatLivesPutsThemOff) {
  for (const End how : {End::kRefused, End::kUnanswered, End::kEnded, End::kBadInput}) {
    ListAge age = Asked();
    age.Heard();
    age.CallEnded(how, kStart + seconds(1), kStart + seconds(4));
    age.CallEnded(End::kRefused, kStart + seconds(5), kStart + seconds(5) + milliseconds(20));
    EXPECT_EQ(age.binds(), kStart + seconds(6)) << static_cast<int>(how);
  }
}

TEST_F(ListAgeTest, WhatADiscoveryOutOfReachMissesBindsAfterItsReturn) {
  ListAge refused = Asked();
  refused.CallEnded(End::kUnreachable, kStart + seconds(3), kStart + seconds(3));
  EXPECT_EQ(refused.binds(), kStart + seconds(9));
  // The kernel dials again after a second: it may have come up soon after that.
  ListAge silent = Asked();
  silent.CallEnded(End::kUnreachable, kStart + seconds(3), kStart + seconds(5));
  EXPECT_EQ(silent.binds(), kStart + seconds(10));
}

// A refusal after a wait comes of an overload or of an outage: what came before it tells which.
TEST_F(ListAgeTest, ALateRefusalIsAnOutageOnlyAfterABrokenConnection) {
  ListAge age = Asked();
  age.CallEnded(End::kReset, kStart, kStart + seconds(2));
  EXPECT_EQ(age.binds(), kStart + seconds(6));  // it was reached until then
  age.CallEnded(End::kRefused, kStart + seconds(3), kStart + seconds(6));
  EXPECT_EQ(age.binds(), kStart + seconds(9));
  age.CallEnded(End::kRefused, kStart + seconds(7), kStart + seconds(7));  // at once: it lives
  age.CallEnded(End::kRefused, kStart + seconds(8), kStart + seconds(11));
  EXPECT_EQ(age.binds(), kStart + seconds(9));
}

// What changed between the watch and the outage was in reach: no outage puts that off.
TEST_F(ListAgeTest, WhatChangedUnwatchedBeforeAnOutageBindsAllTheSame) {
  ListAge age = Asked();
  age.CallEnded(End::kEnded, kStart, kStart + seconds(1));
  age.CallEnded(End::kUnreachable, kStart + seconds(2), kStart + seconds(2));
  age.CallEnded(End::kUnreachable, kStart + seconds(3), kStart + seconds(3));
  EXPECT_EQ(age.binds(), kStart + seconds(6));
  // A watch that ends as discovery goes down leaves no such time.
  ListAge down = Asked();
  down.CallEnded(End::kEnded, kStart, kStart + seconds(1));
  down.CallEnded(End::kUnreachable, kStart + milliseconds(1200), kStart + milliseconds(1200));
  EXPECT_EQ(down.binds(), kStart + milliseconds(7200));
  down.CallEnded(End::kUnreachable, kStart + seconds(3), kStart + seconds(3));
  EXPECT_EQ(down.binds(), kStart + seconds(9));
}

TEST_F(ListAgeTest, NoOutagePutsOffWhatWasCutOff) {
  for (ListAge age : {Asked(), Pushed()}) {
    age.Confirm(kStart + seconds(10));
    age.CutOff(kStart + seconds(11));
    age.CallEnded(End::kReset, kStart, kStart + seconds(11));
    age.CallEnded(End::kUnreachable, kStart + seconds(11), kStart + seconds(11));
    EXPECT_EQ(age.binds(), kStart + seconds(11));
    age.Confirm(kStart + seconds(12));
    EXPECT_GE(age.binds(), kStart + seconds(12));
  }
}

TEST_F(ListAgeTest, WhatWasCutOffIsKnownToBeToldUntilItIsHeard) {
  ListAge age = Asked();
  EXPECT_EQ(age.unheard(), MissedChanges::kPossible);
  age.CutOff(kStart + seconds(1), MissedChanges::kPossible);  // it made no sense
  EXPECT_EQ(age.unheard(), MissedChanges::kPossible);
  age.CutOff(kStart + seconds(1));
  age.CallEnded(End::kReset, kStart, kStart + seconds(1));
  age.CallEnded(End::kUnreachable, kStart + seconds(20), kStart + seconds(20));
  EXPECT_EQ(age.unheard(), MissedChanges::kAnnounced);
  age.Confirm(kStart + seconds(21));
  EXPECT_EQ(age.unheard(), MissedChanges::kPossible);
}

// A process that starts during an outage has no connection that could break.
TEST_F(ListAgeTest, UntilTheFirstSignOfLifeALateRefusalIsAnOutage) {
  ListAge age = Asked();
  age.CallEnded(End::kRefused, kStart + seconds(1), kStart + seconds(4));
  EXPECT_EQ(age.binds(), kStart + seconds(7));
  age.CallEnded(End::kRefused, kStart + seconds(5), kStart + seconds(5));
  age.CallEnded(End::kRefused, kStart + seconds(6), kStart + seconds(9));
  EXPECT_EQ(age.binds(), kStart + seconds(7));
}

TEST_F(ListAgeTest, PushedListsBindAsSoonAsNoWatchIsOpen) {
  ListAge age = Pushed();
  age.Confirm(kStart + seconds(10));
  age.CallEnded(End::kEnded, kStart, kStart + seconds(11));
  EXPECT_EQ(age.binds(), kStart + seconds(11));
  const auto soon = kStart + seconds(11) + milliseconds(100);
  age.CallEnded(End::kUnreachable, soon, soon);
  EXPECT_EQ(age.binds(), soon);  // out of reach, it learnt nothing until then
  age.CallEnded(End::kUnreachable, kStart + seconds(14), kStart + seconds(14));
  EXPECT_EQ(age.binds(), kStart + seconds(14));
}

// Guards against a silent discovery that stops all service: it is down and learns nothing.
TEST_F(ListAgeTest, NothingBindsWhileADiscoveryThatPushesIsSilent) {
  ListAge age = Pushed();
  age.Confirm(kStart + seconds(10));
  age.CallEnded(End::kSilent, kStart, kStart + milliseconds(12700));
  EXPECT_EQ(age.binds(), std::nullopt);
  EXPECT_EQ(age.AskWithin(kStart + seconds(13)), 200'000);
  age.CallEnded(End::kUnanswered, kStart + seconds(13), kStart + seconds(16));
  EXPECT_EQ(age.binds(), std::nullopt);
  // It lives, and has told nothing yet: what it has learnt since it was last silent binds at once.
  age.Heard();
  age.CallEnded(End::kEnded, kStart + seconds(16), kStart + seconds(17));
  EXPECT_EQ(age.binds(), kStart + seconds(16));
}

TEST_F(ListAgeTest, ASilenceAfterHalfAnObjectPutsNothingOff) {
  ListAge age = Pushed();
  age.Confirm(kStart + seconds(10));
  age.CutOff(kStart + seconds(11));
  age.CallEnded(End::kSilent, kStart, kStart + seconds(13));
  age.CallEnded(End::kUnanswered, kStart + seconds(13), kStart + seconds(16));
  EXPECT_EQ(age.binds(), kStart + seconds(11));
}

// Where lists are asked for, a call that is kept waiting may be in a queue: what was missed binds all the
// same.
TEST_F(ListAgeTest, ASilenceOfADiscoveryThatIsAskedPutsNothingOff) {
  ListAge age = Asked();
  age.Confirm(kStart + seconds(10));
  age.CallEnded(End::kSilent, kStart, kStart + milliseconds(12700));
  age.CallEnded(End::kUnanswered, kStart + seconds(13), kStart + seconds(16));
  EXPECT_EQ(age.binds(), kStart + seconds(16));
}

TEST_F(ListAgeTest, ASwitchBindsInFourSecondsOrWhenItBoundBefore) {
  ListAge age = Asked();
  age.Switched(kStart + seconds(1));
  EXPECT_EQ(age.binds(), kStart + seconds(5));
  age.Switched(kStart + seconds(3));
  EXPECT_EQ(age.binds(), kStart + seconds(5));
}

TEST_F(ListAgeTest, WaitsAreAThirdOfWhatIsLeftAndDoubleOnceItBinds) {
  ListAge age = Asked();
  EXPECT_EQ(age.AskWithin(kStart), 2'000'000);
  EXPECT_EQ(age.AskWithin(kStart + seconds(3)), 1'000'000);
  EXPECT_EQ(age.AskWithin(kStart + milliseconds(5400)), 500'000);
  EXPECT_EQ(age.AskWithin(kStart + seconds(7)), 500'000);
  for (const Micros most : {1'000'000, 2'000'000, 2'000'000}) {
    age.CallEnded(End::kRefused, kStart + seconds(7), kStart + seconds(7));
    EXPECT_EQ(age.AskWithin(kStart + seconds(7)), most);
  }
  age.Confirm(kStart + seconds(8));
  EXPECT_EQ(age.AskWithin(kStart + seconds(8)), 2'000'000);
}

TEST_F(ListAgeTest, ACallHasUntilChangesBindAndNoLessThanAQueueTakes) {
  const ListAge age = Asked();
  EXPECT_EQ(age.AnswerWithin(kStart, 4'500'000), 4'500'000);
  EXPECT_EQ(age.AnswerWithin(kStart + seconds(2), 4'500'000), 4'000'000);
  EXPECT_EQ(age.AnswerWithin(kStart + seconds(5), 4'500'000), 3'250'000);
  EXPECT_EQ(age.AnswerWithin(kStart + seconds(9), 4'500'000), 3'250'000);
}

}  // namespace
}  // namespace merlinrun::net
