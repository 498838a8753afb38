// A fake discovery service with injected faults. It serves full lists and watches of the list of servers, and
// can be overloaded, down or silent, or end a watch instead of sending a change. It records when it first
// wrote each change, so that a test can check the sidecar against the changes that it had been sent.
#ifndef MERLINRUN_TESTS_FAULTS_FAULTY_DISCOVERY_HPP_
#define MERLINRUN_TESTS_FAULTS_FAULTY_DISCOVERY_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "net/protocol.hpp"

namespace merlinrun::faults {

using Clock = std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;

class FaultyDiscovery {
 public:
  enum class Mode {
    kHealthy,     // answers at once
    kSlow,        // answers after 0.3 s to 1.5 s
    kOverloaded,  // calls wait; some are answered late, the others end with 503
    kRefusing,    // calls end with 503 at once; all watches are closed when this mode begins
    kDown,        // connections are refused; all watches are reset when this mode begins
    kSilent,      // nothing is sent on any connection; calls are answered when this mode ends
  };
  // How a change is delivered on the open watches.
  enum class Delivery {
    kComplete,      // the change is sent
    kEndWatch,      // the watch is closed instead
    kSilenceWatch,  // the watch stays open, and nothing more is sent on it
    kCutOff,        // half of the change is sent, then the watch is closed
    kStopInside     // half of the change is sent, and nothing more on this watch
  };

  struct Change {
    std::int64_t generation = 0;
    std::string server;
    std::string lifecycle;
    Clock::time_point made_at;
    std::optional<Clock::time_point> written_at;  // when it was first sent, completely or in part
  };

  FaultyDiscovery(net::asio::io_context& io, std::uint64_t seed);
  ~FaultyDiscovery();
  FaultyDiscovery(const FaultyDiscovery&) = delete;
  FaultyDiscovery& operator=(const FaultyDiscovery&) = delete;

  // Two addresses serve the same list, so that a reload can switch the sidecar from one to the other.
  net::Tcp::endpoint address(std::size_t index) const { return addresses_.at(index); }

  void SetMode(Mode mode);
  // The share of the calls that are answered in mode kOverloaded.
  void SetServedShare(double share) { served_share_ = share; }
  // Adds a server or changes its entry.
  void Publish(const nlohmann::json& entry, Delivery delivery);
  nlohmann::json FullList() const;
  // The full list of the last generation that has been written to any connection.
  nlohmann::json WrittenList() const;

  const std::vector<Change>& changes() const { return changes_; }
  // The earliest time at or after `time` at which discovery was reachable; none if it is still down.
  std::optional<Clock::time_point> ReachableFrom(Clock::time_point time) const;
  // Since when a watch had been silent at `time` because of Delivery::kSilenceWatch; none if no watch was.
  std::optional<Clock::time_point> SilentSince(Clock::time_point time) const;
  const std::vector<Clock::time_point>& failed_calls() const { return failed_calls_; }
  int calls() const { return calls_; }

 private:
  class Session;
  struct Interval {
    Clock::time_point from;
    std::optional<Clock::time_point> to;
  };

  void Listen(std::size_t index);
  void Accept(std::size_t index);
  // Sends the changes after the generation that the watch has, or the full list instead.
  void SendChanges(Session& session, Delivery delivery = Delivery::kComplete);
  void SilenceWatch(Session& session);
  void EndSilence();
  // Records that the changes after this generation have been written now.
  void MarkWritten(std::int64_t after);
  void ScheduleHeartbeat();
  // Returns a random number, uniform in [0, 1).
  double Unit() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  net::asio::io_context& io_;
  std::mt19937_64 random_;
  Mode mode_ = Mode::kHealthy;
  double served_share_ = 0;
  std::vector<net::Tcp::endpoint> addresses_;
  std::vector<std::unique_ptr<net::Tcp::acceptor>> acceptors_;
  std::vector<std::shared_ptr<Session>> sessions_;
  std::map<std::string, nlohmann::json> entries_;
  // `entries_` as of the last list or change that was written to any connection.
  std::map<std::string, nlohmann::json> written_;
  std::int64_t written_generation_ = 0;  // the generation of `written_`; 0 = none has been written yet
  std::int64_t generation_ = 1;
  std::vector<Change> changes_;
  std::vector<Interval> outages_;
  std::vector<Interval> silences_;  // of watches, because of Delivery::kSilenceWatch
  std::vector<Clock::time_point> failed_calls_;
  int calls_ = 0;
  net::asio::steady_timer heartbeat_timer_;
};

}  // namespace merlinrun::faults

#endif  // MERLINRUN_TESTS_FAULTS_FAULTY_DISCOVERY_HPP_
