// Tests a chain of services: each server calls the next service through its own sidecar, and answers with a
// refusal when that sidecar refuses the call.
#include <gtest/gtest.h>

#include <map>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

#include "harness.hpp"

namespace merlinrun::testing {
namespace {

// A chain of Balancers under a constant rate of calls, in simulated time.
class ServiceChain {
 public:
  ServiceChain(std::size_t depth, std::uint64_t seed) {
    for (std::size_t i = 0; i < depth; ++i) {
      hops_.push_back(std::make_unique<Hop>(*this, i));
      Settings settings = MakeSettings();
      settings.max_attempts = 1;  // retries would multiply along the chain
      std::string error;
      hops_[i]->balancer = Balancer::Create(settings, seed + i, 0, *hops_[i], error);
      const std::vector<ServerInfo> servers = MakeServers(2);
      hops_[i]->balancer->OnServers(0, {ListUpdate::Kind::kFull, 1, servers});
    }
  }

  // Runs until `until`: a call arrives every `interval`, and the last service answers after `service_time`.
  void Run(Micros until, Micros interval, Micros service_time) {
    service_time_ = service_time;
    for (Micros at = now_; at < until; at += interval)
      Schedule(at, {Event::kArrival, 0, "r" + std::to_string(calls_++)});
    while (!events_.empty() && std::get<0>(events_.top()) < until) {
      const auto [at, order, event] = events_.top();
      events_.pop();
      now_ = at;
      Handle(event);
    }
    now_ = until;
  }

  // Returns and resets the number of calls answered with success.
  int TakeServed() { return std::exchange(served_, 0); }

 private:
  struct Event {
    enum Kind { kArrival, kOutcome, kTimer } kind;
    std::size_t hop;
    std::string request;
    Result result = Result::kSuccess;
    std::uint64_t token = 0;
  };

  struct Hop : ActionSink {
    Hop(ServiceChain& owner, std::size_t index) : chain(owner), number(index) {}
    void Send(std::string_view request, const std::string&, Micros timeout) override {
      const std::string id(request);
      sent[id] = chain.now_;
      if (timeout > 0) chain.Schedule(chain.now_ + timeout, {Event::kOutcome, number, id, Result::kTimeout});
      if (number + 1 < chain.hops_.size()) {
        chain.Schedule(chain.now_, {Event::kArrival, number + 1, id});
      } else {
        chain.Schedule(chain.now_ + chain.service_time_, {Event::kOutcome, number, id, Result::kSuccess});
      }
    }
    void Cancel(std::string_view, int) override {}
    void Refuse(std::string_view request, Micros) override { ReportToCaller(request, Result::kRefused); }
    void Fail(std::string_view request) override { ReportToCaller(request, Result::kError); }
    void SetTimer(Micros delay, std::uint64_t token) override {
      chain.Schedule(chain.now_ + delay, {Event::kTimer, number, {}, Result::kSuccess, token});
    }
    void Subscribe() override {}
    void Log(std::string_view) override {}

    void ReportToCaller(std::string_view request, Result result) const {
      if (number > 0) chain.Schedule(chain.now_, {Event::kOutcome, number - 1, std::string(request), result});
    }

    ServiceChain& chain;
    const std::size_t number;
    std::unique_ptr<Balancer> balancer;
    std::map<std::string, Micros> sent;  // by request, of the attempts in flight
  };

  void Schedule(Micros at, Event event) { events_.emplace(at, order_++, std::move(event)); }

  void Handle(const Event& event) {
    Hop& hop = *hops_[event.hop];
    if (event.kind == Event::kTimer) return hop.balancer->OnTimer(now_, event.token);
    if (event.kind == Event::kArrival) {
      Request request;
      request.id = event.request;
      request.budget = 5 * kSec;
      return hop.balancer->OnRequest(now_, request);
    }
    const auto sent = hop.sent.find(event.request);
    if (sent == hop.sent.end()) return;  // already timed out or answered
    const Micros elapsed = now_ - sent->second;
    hop.sent.erase(sent);
    const bool served = event.result == Result::kSuccess;
    hop.balancer->OnOutcome(now_, {event.request, 0, event.result, elapsed, served});
    if (!served) return;
    hop.ReportToCaller(event.request, event.result);
    if (event.hop == 0) ++served_;
  }

  struct Later {
    bool operator()(const auto& a, const auto& b) const {
      return std::tie(std::get<0>(a), std::get<1>(a)) > std::tie(std::get<0>(b), std::get<1>(b));
    }
  };

  std::vector<std::unique_ptr<Hop>> hops_;
  std::priority_queue<std::tuple<Micros, std::uint64_t, Event>,
                      std::vector<std::tuple<Micros, std::uint64_t, Event>>, Later>
      events_;
  std::uint64_t order_ = 0;
  Micros now_ = 0;
  Micros service_time_ = 0;
  int calls_ = 0;
  int served_ = 0;
};

class ChainDepth : public ::testing::TestWithParam<std::size_t> {};

// During a stall of the last service every sidecar refuses a share of its calls. In a deep chain so few calls
// then reach the last sidecars that they could fail to notice the end of the stall and go on refusing.
TEST_P(ChainDepth, RecoversAfterTheLastServiceStalls) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    ServiceChain chain(GetParam(), 100 * seed);
    chain.Run(5 * kSec, 10 * kMs, 50 * kMs);
    EXPECT_GT(chain.TakeServed(), 480) << seed;  // of 500
    chain.Run(8 * kSec, 10 * kMs, 4 * kSec);
    chain.Run(40 * kSec, 10 * kMs, 50 * kMs);
    chain.TakeServed();
    chain.Run(50 * kSec, 10 * kMs, 50 * kMs);
    EXPECT_GT(chain.TakeServed(), 950) << seed;  // of 1,000
  }
}

INSTANTIATE_TEST_SUITE_P(DeepChains, ChainDepth, ::testing::Values(1, 4, 12, 29));

}  // namespace
}  // namespace merlinrun::testing
