// A discovery service that fails on request: it keeps the list of servers and its versions, serves whole
// lists and watches, and can be overloaded, down, silent, or end a watch instead of telling a change. It
// records when it wrote each version, so that a run can be checked against what the sidecar had been told.
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
    kSlow,        // answers after a while
    kOverloaded,  // keeps calls waiting; some are answered late, the others end in 503
    kRefusing,    // ends calls in 503 at once, and ends all watches when it begins
    kDown,        // connections are refused; watches are reset when it begins
    kSilent,      // says nothing on any connection; what it was asked meanwhile is answered at its end
  };
  // What becomes of the open watches at the next change.
  enum class Telling { kWhole, kEndInstead, kFallSilent, kCutOff };

  struct Change {
    std::int64_t version = 0;
    std::string server;
    std::string lifecycle;
    Clock::time_point made;
    std::optional<Clock::time_point> written;  // when the sidecar was first sent it, whole or not
  };

  FaultyDiscovery(net::asio::io_context& io, std::uint64_t seed);
  ~FaultyDiscovery();
  FaultyDiscovery(const FaultyDiscovery&) = delete;
  FaultyDiscovery& operator=(const FaultyDiscovery&) = delete;

  // Two addresses serve the same list, so that a reload can move the sidecar from one to the other.
  net::Tcp::endpoint address(std::size_t index) const { return addresses_.at(index); }

  void SetMode(Mode mode);
  // Share of the calls that an overloaded discovery answers in the end.
  void SetServedShare(double share) { served_share_ = share; }
  void Publish(const nlohmann::json& entry, Telling telling);
  nlohmann::json WholeList() const;
  // The same as far as the sidecar has been sent it.
  nlohmann::json WrittenList() const;

  const std::vector<Change>& changes() const { return changes_; }
  // When discovery could next be reached at or after that time; none if it still cannot.
  std::optional<Clock::time_point> ReachableFrom(Clock::time_point time) const;
  // Since when the watch that was open at that time had been silent; none if it was not.
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
  void Tell(Session& session, bool cut_off);
  void EndSilence();
  void MarkWritten(std::int64_t after);
  void BlankLines();
  double Unit() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  net::asio::io_context& io_;
  std::mt19937_64 random_;
  Mode mode_ = Mode::kHealthy;
  double served_share_ = 0;
  std::vector<net::Tcp::endpoint> addresses_;
  std::vector<std::unique_ptr<net::Tcp::acceptor>> acceptors_;
  std::vector<std::shared_ptr<Session>> sessions_;
  std::map<std::string, nlohmann::json> entries_;
  std::map<std::string, nlohmann::json> written_;  // as the sidecar was last sent them
  std::int64_t written_version_ = 0;
  std::int64_t version_ = 1;
  std::vector<Change> changes_;
  std::vector<Interval> outages_;
  std::vector<Interval> silences_;  // of watches
  std::vector<Clock::time_point> failed_calls_;
  int calls_ = 0;
  net::asio::steady_timer blank_;
};

}  // namespace merlinrun::faults

#endif  // MERLINRUN_TESTS_FAULTS_FAULTY_DISCOVERY_HPP_
