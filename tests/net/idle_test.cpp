// The limit on the idle time of reused connections.
#include "net/idle.hpp"

#include <gtest/gtest.h>

namespace merlinrun::net {
namespace {

constexpr Micros kMs = 1000;
constexpr Micros kSecond = 1000 * kMs;

TEST(IdleLimit, AllowsAnyIdleTimeWhileNoRequestIsLost) {
  IdleLimit limit;
  for (int i = 0; i < 1000; ++i) limit.Record(40 * kSecond, /*lost=*/false, i);
  EXPECT_TRUE(limit.Allows(40 * kSecond, 1000));
}

TEST(IdleLimit, LearnsFromWhichIdleTimeOnRequestsAreLost) {
  IdleLimit limit;
  for (int i = 0; i < 400; ++i) {
    limit.Record(30 * kMs, /*lost=*/false, i);
    limit.Record(60 * kMs, /*lost=*/false, i);
    limit.Record(300 * kMs, /*lost=*/i % 3 == 0, i);
  }
  EXPECT_FALSE(limit.Allows(300 * kMs, 400));
  EXPECT_TRUE(limit.Allows(60 * kMs, 400));
}

TEST(IdleLimit, IgnoresLossesThatNewConnectionsHaveToo) {
  IdleLimit limit;
  for (int i = 0; i < 400; ++i) {
    limit.Record(0, /*lost=*/i % 3 == 0, i);
    limit.Record(300 * kMs, /*lost=*/i % 3 == 0, i);
  }
  EXPECT_TRUE(limit.Allows(300 * kMs, 400));
}

TEST(IdleLimit, AllowsLongIdleTimesAgainAfterAMinute) {
  IdleLimit limit;
  for (int i = 0; i < 100; ++i) limit.Record(300 * kMs, /*lost=*/true, 0);
  EXPECT_FALSE(limit.Allows(300 * kMs, 59 * kSecond));
  EXPECT_TRUE(limit.Allows(300 * kMs, 61 * kSecond));
  limit.Record(300 * kMs, /*lost=*/false, 61 * kSecond);
  EXPECT_TRUE(limit.Allows(300 * kMs, 62 * kSecond));
}

}  // namespace
}  // namespace merlinrun::net
