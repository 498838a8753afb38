// Tests of when the pending requests and their bodies are freed.
#include "net/pending_requests.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace merlinrun::net {
namespace {

class PendingRequestsTest : public ::testing::Test {
 protected:
  // Adds a request with a body and this many attempts in flight; returns a reference to its body.
  std::weak_ptr<const std::string> AddWithBody(const std::string& id, std::size_t attempts) {
    PendingRequest& request = requests.Add(id);
    request.message.buffered = std::make_shared<const std::string>("body");
    request.attempts.resize(attempts);
    return request.message.buffered;
  }

  PendingRequests requests;
};

TEST_F(PendingRequestsTest, ARequestWithoutAttemptsIsFreedWithItsSession) {
  const auto body = AddWithBody("a", 0);
  requests.TakeSession("a");
  EXPECT_TRUE(requests.empty());
  EXPECT_TRUE(body.expired());
}

TEST_F(PendingRequestsTest, ARequestIsFreedWithTheLastOfItsAttempts) {
  AddWithBody("a", 2);
  AddWithBody("b", 1);
  requests.TakeSession("a");
  requests.EndAttempt("a", 1, Result::kCancelled);
  EXPECT_TRUE(requests.Contains("a"));
  requests.EndAttempt("a", 0, Result::kTimeout);
  EXPECT_FALSE(requests.Contains("a"));
  EXPECT_EQ(requests.size(), 1U);
}

// Guards against bodies that stay in memory, outside the memory limit, while the attempts of disconnected
// clients are in flight because they may not be cancelled.
TEST_F(PendingRequestsTest, TheBodyIsFreedWithTheSessionWhileAnAttemptIsInFlight) {
  const auto body = AddWithBody("a", 1);
  requests.TakeSession("a");
  EXPECT_TRUE(requests.Contains("a"));
  EXPECT_TRUE(body.expired());
}

TEST_F(PendingRequestsTest, CallsForUnknownRequestsDoNothing) {
  AddWithBody("a", 1);
  EXPECT_EQ(requests.TakeSession("b"), nullptr);
  requests.EndAttempt("b", 0, Result::kTimeout);
  EXPECT_EQ(requests.Find("b"), nullptr);
  EXPECT_EQ(requests.size(), 1U);
}

}  // namespace
}  // namespace merlinrun::net
