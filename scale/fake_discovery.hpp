// A fake discovery server that implements the protocol: full lists, and watches with changes and heartbeats
// (empty lines). Handles calls one after another. Can crash and restart, fall silent, and be partitioned from
// regions.
#ifndef MERLINRUN_SCALE_FAKE_DISCOVERY_HPP_
#define MERLINRUN_SCALE_FAKE_DISCOVERY_HPP_

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

class FakeDiscovery {
 public:
  struct Options {
    Micros service_time = 0;                // of a call, plus ...
    Micros service_time_per_entry = 0;      // ... this for each entry in its response
    std::size_t queue = 100'000;            // calls that may wait; further calls get 503 at once
    Micros max_wait = 4'000'000;            // in the queue; after it a call gets 503
    std::size_t history = 4096;             // past changes kept, to start watches without the full list
    Micros heartbeat_interval = 2'000'000;  // between heartbeats on a watch
  };
  // Totals since the start, except `watches`.
  struct Counts {
    std::uint64_t connections = 0;  // accepted
    std::uint64_t calls = 0;        // read, including refused ones
    std::uint64_t refused = 0;      // answered with 503
    std::uint64_t full_lists = 0;   // written, in responses and on watches
    std::uint64_t watches = 0;      // open now, including silent ones
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t objects = 0;
    std::uint64_t entries = 0;  // in these objects
    std::uint64_t heartbeats = 0;
    std::uint64_t max_calls_in_a_second = 0;  // maximum over the seconds since the last reset
  };

  // Listens on each of the addresses; the n-th serves region n. Port 0 selects a free port.
  FakeDiscovery(asio::io_context& io, std::vector<Tcp::endpoint> listen, Options options);
  ~FakeDiscovery();
  FakeDiscovery(const FakeDiscovery&) = delete;
  FakeDiscovery& operator=(const FakeDiscovery&) = delete;

  // Replaces the list and sends the new one to open watches.
  void SetList(const std::vector<Entry>& list);
  // Applies the entries and sends them to all watches in one object. Returns the new generation.
  std::int64_t Change(const std::vector<Entry>& entries);

  // Crash() acts like the end of the process: connections are reset and new ones refused. Restart() listens
  // on the same addresses with the same list; generations and history continue, or are reset.
  void Crash();
  void Restart(bool reset_generations = false);
  // While silent, connections stay open and new ones are accepted, but nothing is sent on them. These stay
  // silent for good: after SetSilent(false) only new connections are served.
  void SetSilent(bool silent);
  // Cuts the region off from discovery, or heals it. Connections that were open fall silent for good, and new
  // ones cannot be established until the region is healed.
  void SetPartitioned(std::size_t region, bool partitioned);

  std::int64_t generation() const { return list_.generation(); }
  const Counts& counts() const { return counts_; }
  void ResetMaxCallRate() { counts_.max_calls_in_a_second = calls_in_second_ = 0; }
  // Counts an object once, however many watches it is sent to.
  std::uint64_t objects_serialized() const { return list_.objects_serialized(); }
  const std::vector<Tcp::endpoint>& addresses() const { return addresses_; }

 private:
  using Clock = std::chrono::steady_clock;
  class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  struct Region {
    explicit Region(asio::io_context& io) : acceptor(io) {}
    Tcp::acceptor acceptor;
    std::unordered_set<ConnectionPtr> connections;
    std::vector<Tcp::socket> fillers;  // keep the backlog full while partitioned
    bool partitioned = false;
  };
  struct Call {
    std::weak_ptr<Connection> from;
    bool watch = false;
    std::int64_t index = -1;     // generation of the client's list; -1 = no list
    Clock::time_point deadline;  // for waiting in the queue
  };
  void Listen(std::size_t region);
  void Accept(std::size_t region);
  void OnCall(const ConnectionPtr& from, const std::string& target);
  void ServeNext();
  void Serve(const Call& call);
  void Refuse(const Call& call);
  void ScheduleQueueTimeout();
  std::size_t EntryCount(const Call& call) const;
  void SendToWatches(const FramePtr& frame);
  void ScheduleHeartbeats();
  void ResetConnections();
  void CloseAll();

  asio::io_context& io_;
  const Options options_;
  std::vector<Tcp::endpoint> addresses_;
  std::deque<Region> regions_;
  DiscoveryList list_;
  // Watches by the part of the interval in which their heartbeats are sent.
  std::vector<std::unordered_set<Connection*>> heartbeat_slots_;
  std::size_t current_slot_ = 0;
  const FramePtr heartbeat_ = HeartbeatFrame();
  std::deque<Call> queue_;
  std::optional<Call> serving_;
  Clock::time_point service_ends_at_;  // when the call in service is finished
  asio::steady_timer service_timer_;
  asio::steady_timer queue_timer_;
  asio::steady_timer heartbeat_timer_;
  // Lets handlers detect that the object has been destroyed, or has crashed since; replaced at a crash.
  std::shared_ptr<const char> lifetime_ = std::make_shared<const char>();
  bool down_ = false;
  bool silent_ = false;
  Counts counts_;
  std::int64_t current_second_ = 0;  // the second in which calls are being counted
  std::uint64_t calls_in_second_ = 0;
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_FAKE_DISCOVERY_HPP_
