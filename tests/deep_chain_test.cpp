// Sidecars behind one another: each server calls the next service through a sidecar of its own, and what that
// one refuses, its server turns away.
#include <gtest/gtest.h>

#include <map>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

#include "harness.hpp"

namespace merlinrun::testing {
namespace {

// A chain of balancers under a steady rate of calls, in simulated time.
class DeepChain {
 public:
  DeepChain(std::size_t depth, std::uint64_t seed) {
    for (std::size_t i = 0; i < depth; ++i) {
      hops_.push_back(std::make_unique<Hop>(*this, i));
      Settings settings = MakeSettings();
      settings.max_attempts = 1;  // so that retries do not multiply along the chain
      std::string error;
      hops_[i]->balancer = Balancer::Create(settings, seed + i, 0, *hops_[i], error);
      const std::vector<ServerInfo> servers = MakeServers(2);
      hops_[i]->balancer->OnServers(0, {ListUpdate::Kind::kFull, 1, servers});
    }
  }

  // Calls so far apart arrive until then, to be answered by the last service after so long.
  void Play(Micros until, Micros apart, Micros service) {
    service_ = service;
    for (Micros at = now_; at < until; at += apart)
      Plan(at, {Event::kArrival, 0, "r" + std::to_string(calls_++)});
    while (!events_.empty() && std::get<0>(events_.top()) < until) {
      const auto [at, order, event] = events_.top();
      events_.pop();
      now_ = at;
      Handle(event);
    }
    now_ = until;
  }

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
    Hop(DeepChain& owner, std::size_t own) : chain(owner), number(own) {}
    void Send(std::string_view request, const std::string&, Micros timeout) override {
      const std::string id(request);
      sent[id] = chain.now_;
      if (timeout > 0) chain.Plan(chain.now_ + timeout, {Event::kOutcome, number, id, Result::kTimeout});
      if (number + 1 < chain.hops_.size()) {
        chain.Plan(chain.now_, {Event::kArrival, number + 1, id});
      } else {
        chain.Plan(chain.now_ + chain.service_, {Event::kOutcome, number, id, Result::kSuccess});
      }
    }
    void Cancel(std::string_view, int) override {}
    void Refuse(std::string_view request, Micros) override { TellBack(request, Result::kRefused); }
    void Fail(std::string_view request) override { TellBack(request, Result::kError); }
    void SetTimer(Micros delay, std::uint64_t token) override {
      chain.Plan(chain.now_ + delay, {Event::kTimer, number, {}, Result::kSuccess, token});
    }
    void Subscribe() override {}
    void Log(std::string_view) override {}

    void TellBack(std::string_view request, Result result) const {
      if (number > 0) chain.Plan(chain.now_, {Event::kOutcome, number - 1, std::string(request), result});
    }

    DeepChain& chain;
    const std::size_t number;
    std::unique_ptr<Balancer> balancer;
    std::map<std::string, Micros> sent;  // attempts that are out
  };

  void Plan(Micros at, Event event) { events_.emplace(at, order_++, std::move(event)); }

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
    if (sent == hop.sent.end()) return;  // given up, or answered, before
    const Micros elapsed = now_ - sent->second;
    hop.sent.erase(sent);
    const bool served = event.result == Result::kSuccess;
    hop.balancer->OnOutcome(now_, {event.request, 0, event.result, elapsed, served});
    if (!served) return;
    hop.TellBack(event.request, event.result);
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
  Micros service_ = 0;
  int calls_ = 0;
  int served_ = 0;
};

class ChainDepth : public ::testing::TestWithParam<std::size_t> {};

// Each refuses a part of what it gets, so that hardly anything reaches the last ones, which then never learn
// that the stall is over.
TEST_P(ChainDepth, ServesAgainAfterAStallAtItsEnd) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    DeepChain chain(GetParam(), 100 * seed);
    chain.Play(5 * kSec, 10 * kMs, 50 * kMs);
    EXPECT_GT(chain.TakeServed(), 480) << seed;  // of 500
    chain.Play(8 * kSec, 10 * kMs, 4 * kSec);
    chain.Play(40 * kSec, 10 * kMs, 50 * kMs);
    chain.TakeServed();
    chain.Play(50 * kSec, 10 * kMs, 50 * kMs);
    EXPECT_GT(chain.TakeServed(), 950) << seed;  // of 1,000
  }
}

INSTANTIATE_TEST_SUITE_P(DeepChains, ChainDepth, ::testing::Values(1, 4, 12, 29));

}  // namespace
}  // namespace merlinrun::testing
