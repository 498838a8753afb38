#include "scale/caller.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <string>
#include <thread>

#include "net/loopback.hpp"
#include "net/validate.hpp"
#include "scale/fake_server.hpp"

namespace merlinrun::scale {
namespace {

using namespace net::testing;  // NOLINT(google-build-using-namespace)
namespace asio = net::asio;

// Settings with evenly spaced calls.
CallerSettings EvenlySpaced(double calls_per_s) {
  CallerSettings settings;
  settings.calls_per_s = calls_per_s;
  settings.poisson = false;
  settings.deadline = 10min;  // longer than any test runs
  return settings;
}

class CallerTest : public ::testing::Test {
 protected:
  asio::io_context io;
};

TEST_F(CallerTest, SendsCallsOnScheduleWhileNoneIsAnswered) {
  FakeServer stalled(io, {.cores = 1, .queue = 1000, .service_time = std::chrono::hours(1)});
  Caller caller(io, {stalled.address()}, EvenlySpaced(200));
  caller.Start(500ms);
  ASSERT_TRUE(RunUntil(io, [&] { return stalled.open_requests() == 99; }));
  EXPECT_EQ(caller.results().counts.sent, 99u);  // at 5, 10, ... 495 ms
  EXPECT_EQ(caller.results().counts.ended(), 0u);
  EXPECT_EQ(caller.connections(), 99u);
  EXPECT_EQ(caller.results().lateness.count(), 99u);
  EXPECT_FALSE(caller.done());
}

// If the event loop stalls, the latency of each call that was due meanwhile includes the delay.
TEST_F(CallerTest, LatencyOfEachCallDueDuringAStallIncludesTheStall) {
  FakeServer server(io, {.service_time = std::chrono::microseconds(0)});
  Caller caller(io, {server.address()}, EvenlySpaced(100));
  caller.Start(400ms);
  std::this_thread::sleep_for(800ms);
  ASSERT_TRUE(RunUntil(io, [&] { return caller.done(); }));
  const CallResults results = caller.TakeResults();
  EXPECT_EQ(results.counts.served, 39u);
  EXPECT_EQ(results.latency.count(), 39u);
  EXPECT_GT(results.latency.QuantileMs(0), 395);
  EXPECT_GT(results.lateness.QuantileMs(0), 395);
  EXPECT_EQ(caller.results().counts.sent, 0u);
}

TEST_F(CallerTest, CountsEachCallOnceByItsOutcome) {
  FakeServer serving(io, {.service_time = std::chrono::microseconds(0)});
  FakeServer draining(io, {});
  draining.Drain();
  FakeServer failing(io, {.onward = {draining.address()}});
  ScriptedServer resetting(io, [](Peer& peer) { peer.Reset(); });
  Caller caller(io, {serving.address(), draining.address(), failing.address(), resetting.address},
                EvenlySpaced(500));
  caller.Start(202ms);
  ASSERT_TRUE(RunUntil(io, [&] { return caller.done(); }));
  const CallCounts& counts = caller.results().counts;
  EXPECT_EQ(counts.sent, 100u);
  EXPECT_EQ(counts.served, 25u);
  EXPECT_EQ(counts.refused, 25u);
  EXPECT_EQ(counts.failed, 25u);
  EXPECT_EQ(counts.unanswered, 25u);
}

TEST_F(CallerTest, ReusesConnectionsAndResendsARequestThatCrossesAClose) {
  ScriptedServer server(io);
  server.on_data = [&](Peer& peer) {  // answers the first request of each connection, closes it at the second
    if (peer.requests() > 1) return peer.Close();
    peer.Write(Reply("200 OK", "ok"));
  };
  CallerSettings settings = EvenlySpaced(20);
  settings.classes = {{"read", true}};
  Caller caller(io, {server.address}, settings);
  caller.Start(520ms);
  ASSERT_TRUE(RunUntil(io, [&] { return caller.done(); }));
  EXPECT_EQ(caller.results().counts.served, 10u);
  EXPECT_GE(server.requests(), 10);
}

TEST_F(CallerTest, SendsNoMoreCallsAfterStopAndCompletesTheOpenOnes) {
  FakeServer server(io, {});
  Caller caller(io, {server.address()}, EvenlySpaced(200));
  caller.Start(1h);
  ASSERT_TRUE(RunUntil(io, [&] { return caller.results().counts.sent == 20; }));
  caller.Stop();
  ASSERT_TRUE(RunUntil(io, [&] { return caller.done(); }));
  EXPECT_EQ(caller.results().counts.sent, 20u);
  EXPECT_EQ(caller.results().counts.served, 20u);
}

TEST_F(CallerTest, RequestsPassTheValidationOfTheSidecar) {
  std::mt19937_64 random(7);
  const HttpRequest get = NewRequest({"read", true}, "acme", 480ms, 200, random);
  const HttpRequest post = NewRequest({"write", false}, "", 480ms, 200, random);
  for (const HttpRequest* request : {&get, &post}) EXPECT_FALSE(net::CheckRequest(*request));
  EXPECT_FALSE(net::CheckAgainstClass(get, Repeat::kSafe));
  EXPECT_FALSE(net::CheckAgainstClass(post, Repeat::kDeduplicated));
  EXPECT_EQ(net::ParseDecimal(net::ToStringView(get[net::kDeadlineHeader])), 0.48);
  EXPECT_EQ(get[net::kTenantHeader], "acme");
  EXPECT_EQ(post.count(net::kTenantHeader), 0u);
  EXPECT_NE(get[net::kIdHeader], post[net::kIdHeader]);
  EXPECT_EQ(post.body().size(), 200u);
}

TEST(LatencyHistogramTest, QuantilesAreExactToHalfAPercent) {
  LatencyHistogram histogram;
  EXPECT_TRUE(std::isnan(histogram.QuantileMs(0.5)));
  EXPECT_TRUE(std::isnan(histogram.MeanMs()));
  for (int ms = 1; ms <= 1000; ++ms) histogram.Add(std::chrono::milliseconds(ms));
  histogram += histogram;
  EXPECT_EQ(histogram.count(), 2000u);
  EXPECT_DOUBLE_EQ(histogram.MeanMs(), 500.5);
  EXPECT_NEAR(histogram.QuantileMs(0.5), 500, 2.5);
  EXPECT_NEAR(histogram.QuantileMs(0.99), 990, 5);
  EXPECT_NEAR(histogram.QuantileMs(0.999), 999, 5);
}

}  // namespace
}  // namespace merlinrun::scale
