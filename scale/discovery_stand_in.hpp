// Stands in for discovery, as the protocol has it: the whole list, watches with changes and blank lines,
// calls handled one after another. Can die and come back, fall silent, and be cut off from regions.
#ifndef MERLINRUN_SCALE_DISCOVERY_STAND_IN_HPP_
#define MERLINRUN_SCALE_DISCOVERY_STAND_IN_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "discovery_list.hpp"
#include "merlinrun/balancer.hpp"
#include "net/protocol.hpp"

namespace merlinrun::scale {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

class DiscoveryStandIn {
 public:
  struct Options {
    Micros service_time = 0;           // of a call ...
    Micros service_time_per_line = 0;  // ... and of each entry in its answer, on top
    std::size_t queue = 100'000;       // calls that may wait; further ones get 503 at once
    Micros longest_wait = 4'000'000;   // in the queue; then a call gets 503
    std::size_t history = 4096;        // changes that a watch may begin behind the present
    Micros blank_line = 2'000'000;     // between blank lines on a watch
  };
  // Since the start, but for `watches`.
  struct Counts {
    std::uint64_t connections = 0;  // accepted
    std::uint64_t calls = 0;        // read, refused ones included
    std::uint64_t refused = 0;      // answered with 503
    std::uint64_t whole_lists = 0;  // written, on watches too
    std::uint64_t watches = 0;      // open now, silent ones included
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t objects = 0;
    std::uint64_t entries = 0;  // in these objects
    std::uint64_t blank_lines = 0;
    std::uint64_t most_calls_in_a_second = 0;  // by the second in which they were read
  };

  // Listens at each of the addresses: the n-th is that of region n. Port 0 takes a free one.
  DiscoveryStandIn(asio::io_context& io, std::vector<Tcp::endpoint> listen, Options options);
  ~DiscoveryStandIn();
  DiscoveryStandIn(const DiscoveryStandIn&) = delete;
  DiscoveryStandIn& operator=(const DiscoveryStandIn&) = delete;

  // Puts another list in place of the one before; open watches get it whole.
  void SetList(const std::vector<Entry>& list);
  // Applies the entries and tells all watches of them in one object. Returns the new generation.
  std::int64_t Change(const std::vector<Entry>& entries);

  // As when its process dies: connections are reset, new ones refused. It returns at the same addresses with
  // its list, counting its generations and its history on, or anew.
  void Die();
  void Return(bool anew = false);
  // Connections stay open and quiet and new ones come up, unanswered. Those fall silent for good: what is
  // answered again, after SetSilent(false), are new ones.
  void SetSilent(bool silent);
  // A region that is cut off has silent connections, for good, and new ones do not come up until it is
  // healed.
  void Cut(std::size_t region, bool cut);

  std::int64_t generation() const { return list_.generation(); }
  const Counts& counts() const { return counts_; }
  void CountSecondsAnew() { counts_.most_calls_in_a_second = calls_in_second_ = 0; }
  std::uint64_t serialized() const { return list_.serialized(); }  // objects; one serves all that get it
  const std::vector<Tcp::endpoint>& addresses() const { return addresses_; }

 private:
  using Clock = std::chrono::steady_clock;
  class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  struct Region {
    explicit Region(asio::io_context& io) : acceptor(io) {}
    Tcp::acceptor acceptor;
    std::unordered_set<ConnectionPtr> connections;
    std::vector<Tcp::socket> fillers;  // keep the backlog full while it is cut off
    bool cut = false;
  };
  struct Call {
    std::weak_ptr<Connection> from;
    bool watch = false;
    std::int64_t index = -1;  // what a watch has; -1 = nothing
    Clock::time_point until;  // it waits no longer
  };
  void Listen(std::size_t region);
  void Accept(std::size_t region);
  void OnCall(const ConnectionPtr& from, const std::string& target);
  void ServeNext();
  void Serve(const Call& call);
  void Refuse(const Call& call);
  void ExpectLongestWait();
  std::size_t Lines(const Call& call) const;
  void Tell(const FramePtr& frame);
  void TickBlankLines();
  void ResetConnections();
  void CloseAll();

  asio::io_context& io_;
  const Options options_;
  std::vector<Tcp::endpoint> addresses_;
  std::deque<Region> regions_;
  DiscoveryList list_;
  // Watches by when in the interval their blank lines are due.
  std::vector<std::unordered_set<Connection*>> slots_;
  std::size_t slot_ = 0;
  const FramePtr blank_ = BlankLine();
  std::deque<Call> queue_;
  std::optional<Call> serving_;
  Clock::time_point free_at_;  // when what is being served is done
  asio::steady_timer service_;
  asio::steady_timer longest_wait_;
  asio::steady_timer blank_timer_;
  // Replaced when it dies. Guards against handlers of a life before, and of none.
  std::shared_ptr<const char> life_ = std::make_shared<const char>();
  bool down_ = false;
  bool silent_ = false;
  Counts counts_;
  std::int64_t second_ = 0;  // the one that calls are counted in
  std::uint64_t calls_in_second_ = 0;
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_DISCOVERY_STAND_IN_HPP_
