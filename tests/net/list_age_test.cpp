// When missed changes of the list take effect, and how soon discovery is called again.
#include "net/list_age.hpp"

#include <gtest/gtest.h>

namespace merlinrun::net {
namespace {

using Result = ListAge::CallResult;
using std::chrono::milliseconds;
using std::chrono::seconds;

class ListAgeTest : public ::testing::Test {
 protected:
  static ListAge RequestedList() { return {ListAge::Timing{}, ListAge::Time(), 0}; }
  static ListAge PushedList() {
    ListAge::Timing timing;
    timing.pushed = true;
    return {timing, ListAge::Time(), 0};
  }

  static constexpr ListAge::Time kStart{};
};

TEST_F(ListAgeTest, MissedChangesTakeEffectSixSecondsAfterTheLastConfirmation) {
  ListAge age = RequestedList();
  EXPECT_EQ(age.missed_changes_take_effect_at(), kStart + seconds(6));
  age.ConfirmCurrent(kStart + seconds(10));
  EXPECT_EQ(age.missed_changes_take_effect_at(), kStart + seconds(16));
}

TEST_F(ListAgeTest, FailedCallsToALiveDiscoveryDoNotPostponeMissedChanges) {
  for (const Result result :
       {Result::kErrorStatus, Result::kAnswerTimeout, Result::kEnded, Result::kInvalidData}) {
    ListAge age = RequestedList();
    age.OnData();
    age.OnCallEnd(result, kStart + seconds(1), kStart + seconds(4));
    age.OnCallEnd(Result::kErrorStatus, kStart + seconds(5), kStart + seconds(5) + milliseconds(20));
    EXPECT_EQ(age.missed_changes_take_effect_at(), kStart + seconds(6)) << static_cast<int>(result);
  }
}

TEST_F(ListAgeTest, AnUnreachableDiscoveryPostponesMissedChanges) {
  ListAge refused = RequestedList();
  refused.OnCallEnd(Result::kUnreachable, kStart + seconds(3), kStart + seconds(3));
  EXPECT_EQ(refused.missed_changes_take_effect_at(), kStart + seconds(9));
  // The kernel tries to connect again after a second: discovery may have come up soon after that.
  ListAge silent = RequestedList();
  silent.OnCallEnd(Result::kUnreachable, kStart + seconds(3), kStart + seconds(5));
  EXPECT_EQ(silent.missed_changes_take_effect_at(), kStart + seconds(10));
}

// An error status after a wait is caused by an overload or an outage. The call before it shows which.
TEST_F(ListAgeTest, ALateErrorStatusIsAnOutageOnlyAfterABrokenConnection) {
  ListAge age = RequestedList();
  age.OnCallEnd(Result::kReset, kStart, kStart + seconds(2));
  EXPECT_EQ(age.missed_changes_take_effect_at(), kStart + seconds(6));  // it was reachable until then
  age.OnCallEnd(Result::kErrorStatus, kStart + seconds(3), kStart + seconds(6));
  EXPECT_EQ(age.missed_changes_take_effect_at(), kStart + seconds(9));
  age.OnCallEnd(Result::kErrorStatus, kStart + seconds(7),
                kStart + seconds(7));  // an immediate answer: it is alive
  age.OnCallEnd(Result::kErrorStatus, kStart + seconds(8), kStart + seconds(11));
  EXPECT_EQ(age.missed_changes_take_effect_at(), kStart + seconds(9));
}

// Discovery was reachable between the end of the watch and the outage, so the outage does not postpone what
// changed in that time.
TEST_F(ListAgeTest, AnOutageDoesNotPostponeWhatChangedUnwatchedBeforeIt) {
  ListAge age = RequestedList();
  age.OnCallEnd(Result::kEnded, kStart, kStart + seconds(1));
  age.OnCallEnd(Result::kUnreachable, kStart + seconds(2), kStart + seconds(2));
  age.OnCallEnd(Result::kUnreachable, kStart + seconds(3), kStart + seconds(3));
  EXPECT_EQ(age.missed_changes_take_effect_at(), kStart + seconds(6));
  // If the watch ends because discovery shuts down, there is no such time.
  ListAge down = RequestedList();
  down.OnCallEnd(Result::kEnded, kStart, kStart + seconds(1));
  down.OnCallEnd(Result::kUnreachable, kStart + milliseconds(1200), kStart + milliseconds(1200));
  EXPECT_EQ(down.missed_changes_take_effect_at(), kStart + milliseconds(7200));
  down.OnCallEnd(Result::kUnreachable, kStart + seconds(3), kStart + seconds(3));
  EXPECT_EQ(down.missed_changes_take_effect_at(), kStart + seconds(9));
}

TEST_F(ListAgeTest, AnOutageDoesNotPostponeAPartialObject) {
  for (ListAge age : {RequestedList(), PushedList()}) {
    age.ConfirmCurrent(kStart + seconds(10));
    age.OnPartialObject(kStart + seconds(11));
    age.OnCallEnd(Result::kReset, kStart, kStart + seconds(11));
    age.OnCallEnd(Result::kUnreachable, kStart + seconds(11), kStart + seconds(11));
    EXPECT_EQ(age.missed_changes_take_effect_at(), kStart + seconds(11));
    age.ConfirmCurrent(kStart + seconds(12));
    EXPECT_GE(age.missed_changes_take_effect_at(), kStart + seconds(12));
  }
}

TEST_F(ListAgeTest, APartialObjectTakesEffectFromItsFirstByteUntilTheListIsCurrent) {
  ListAge age = RequestedList();
  age.OnPartialObject(kStart + seconds(1));
  EXPECT_EQ(age.missed_changes_take_effect_at(), kStart + seconds(1));
  age.OnCallEnd(Result::kReset, kStart, kStart + seconds(1));
  age.OnCallEnd(Result::kUnreachable, kStart + seconds(20), kStart + seconds(20));
  age.OnPartialObject(kStart + seconds(20));
  EXPECT_EQ(age.missed_changes_take_effect_at(), kStart + seconds(1));
  age.ConfirmCurrent(kStart + seconds(21));
  EXPECT_EQ(age.missed_changes_take_effect_at(), kStart + seconds(27));
}

// A process that starts during an outage has had no connection whose break would show the outage. Until
// discovery gives a sign of life, an error status that comes late therefore counts as an outage, which
// postpones the effect of missed changes.
TEST_F(ListAgeTest, UntilTheFirstSignOfLifeALateErrorStatusIsAnOutage) {
  ListAge age = RequestedList();
  age.OnCallEnd(Result::kErrorStatus, kStart + seconds(1), kStart + seconds(4));
  EXPECT_EQ(age.missed_changes_take_effect_at(), kStart + seconds(7));
  age.OnCallEnd(Result::kErrorStatus, kStart + seconds(5), kStart + seconds(5));
  age.OnCallEnd(Result::kErrorStatus, kStart + seconds(6), kStart + seconds(9));
  EXPECT_EQ(age.missed_changes_take_effect_at(), kStart + seconds(7));
}

TEST_F(ListAgeTest, ChangesOfAPushedListTakeEffectAsSoonAsNoWatchIsOpen) {
  ListAge age = PushedList();
  age.ConfirmCurrent(kStart + seconds(10));
  age.OnCallEnd(Result::kEnded, kStart, kStart + seconds(11));
  EXPECT_EQ(age.missed_changes_take_effect_at(), kStart + seconds(11));
  const auto soon = kStart + seconds(11) + milliseconds(100);
  age.OnCallEnd(Result::kUnreachable, soon, soon);
  EXPECT_EQ(age.missed_changes_take_effect_at(),
            soon);  // it was unreachable and learned of no change until then
  age.OnCallEnd(Result::kUnreachable, kStart + seconds(14), kStart + seconds(14));
  EXPECT_EQ(age.missed_changes_take_effect_at(), kStart + seconds(14));
}

// A silent discovery that pushes its lists is down and learns of no change. If missed changes took effect
// meanwhile, all service would stop.
TEST_F(ListAgeTest, NoMissedChangeTakesEffectWhileADiscoveryThatPushesIsSilent) {
  ListAge age = PushedList();
  age.ConfirmCurrent(kStart + seconds(10));
  age.OnCallEnd(Result::kSilent, kStart, kStart + milliseconds(12700));
  EXPECT_EQ(age.missed_changes_take_effect_at(), std::nullopt);
  EXPECT_EQ(age.RetryWithin(kStart + seconds(13)), 200'000);
  age.OnCallEnd(Result::kAnswerTimeout, kStart + seconds(13), kStart + seconds(16));
  EXPECT_EQ(age.missed_changes_take_effect_at(), std::nullopt);
  // It is alive again and has announced nothing yet: changes since its last silent call take effect at once.
  age.OnData();
  age.OnCallEnd(Result::kEnded, kStart + seconds(16), kStart + seconds(17));
  EXPECT_EQ(age.missed_changes_take_effect_at(), kStart + seconds(16));
}

TEST_F(ListAgeTest, ANewProcessWithAPushedListCountsDiscoveryAsSilentUntilItsFirstCallEnds) {
  ListAge age = PushedList();
  EXPECT_EQ(age.missed_changes_take_effect_at(), std::nullopt);
  ListAge answered = age;
  age.OnCallEnd(Result::kErrorStatus, kStart, kStart + milliseconds(10));
  EXPECT_EQ(age.missed_changes_take_effect_at(), kStart);
  answered.ConfirmCurrent(kStart + seconds(1));
  EXPECT_EQ(answered.missed_changes_take_effect_at(), kStart + seconds(7));
}

TEST_F(ListAgeTest, SilenceAfterAPartialObjectPostponesNothing) {
  ListAge age = PushedList();
  age.ConfirmCurrent(kStart + seconds(10));
  age.OnPartialObject(kStart + seconds(11));
  age.OnCallEnd(Result::kSilent, kStart, kStart + seconds(13));
  age.OnCallEnd(Result::kAnswerTimeout, kStart + seconds(13), kStart + seconds(16));
  EXPECT_EQ(age.missed_changes_take_effect_at(), kStart + seconds(11));
}

// Where lists are requested, an unanswered call may be waiting in a queue, so its silence proves no outage.
TEST_F(ListAgeTest, SilenceWhereListsAreRequestedPostponesNothing) {
  ListAge age = RequestedList();
  age.ConfirmCurrent(kStart + seconds(10));
  age.OnCallEnd(Result::kSilent, kStart, kStart + milliseconds(12700));
  age.OnCallEnd(Result::kAnswerTimeout, kStart + seconds(13), kStart + seconds(16));
  EXPECT_EQ(age.missed_changes_take_effect_at(), kStart + seconds(16));
}

TEST_F(ListAgeTest, AfterASwitchMissedChangesTakeEffectInFourSecondsUnlessEarlier) {
  ListAge age = RequestedList();
  age.OnSwitch(kStart + seconds(1));
  EXPECT_EQ(age.missed_changes_take_effect_at(), kStart + seconds(5));
  age.OnSwitch(kStart + seconds(3));
  EXPECT_EQ(age.missed_changes_take_effect_at(), kStart + seconds(5));
}

// Guards against requests to drained servers after a reload during an outage: the new address counted as
// silent too, before it was called.
TEST_F(ListAgeTest, TheSilenceOfADiscoveryDoesNotCountForTheOneAfterASwitch) {
  ListAge age = PushedList();
  age.ConfirmCurrent(kStart + seconds(10));
  age.OnCallEnd(Result::kSilent, kStart, kStart + milliseconds(12700));
  age.OnSwitch(kStart + seconds(13));
  EXPECT_EQ(age.missed_changes_take_effect_at(), kStart + seconds(17));
}

TEST_F(ListAgeTest, RetriesWaitAThirdOfTheTimeLeftAndBackOffOnceItHasPassed) {
  ListAge age = RequestedList();
  EXPECT_EQ(age.RetryWithin(kStart), 2'000'000);
  EXPECT_EQ(age.RetryWithin(kStart + seconds(3)), 1'000'000);
  EXPECT_EQ(age.RetryWithin(kStart + milliseconds(5400)), 500'000);
  EXPECT_EQ(age.RetryWithin(kStart + seconds(7)), 500'000);
  for (const Micros expected : {1'000'000, 2'000'000, 2'000'000}) {
    age.OnCallEnd(Result::kErrorStatus, kStart + seconds(7), kStart + seconds(7));
    EXPECT_EQ(age.RetryWithin(kStart + seconds(7)), expected);
  }
  age.ConfirmCurrent(kStart + seconds(8));
  EXPECT_EQ(age.RetryWithin(kStart + seconds(8)), 2'000'000);
}

TEST_F(ListAgeTest, ACallIsGivenUpWhenMissedChangesTakeEffectButNotBeforeAQueueAnswers) {
  const ListAge age = RequestedList();
  EXPECT_EQ(age.AnswerTimeout(kStart, 4'500'000), 4'500'000);
  EXPECT_EQ(age.AnswerTimeout(kStart + seconds(2), 4'500'000), 4'000'000);
  EXPECT_EQ(age.AnswerTimeout(kStart + seconds(5), 4'500'000), 3'250'000);
  EXPECT_EQ(age.AnswerTimeout(kStart + seconds(9), 4'500'000), 3'250'000);
}

}  // namespace
}  // namespace merlinrun::net
