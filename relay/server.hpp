// The server of the relay: accepts connections, sends heartbeats, enforces timeouts and keeps counters.
#ifndef MERLINRUN_RELAY_SERVER_HPP_
#define MERLINRUN_RELAY_SERVER_HPP_

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/protocol.hpp"
#include "relay/admission.hpp"
#include "relay/feed.hpp"
#include "relay/session.hpp"

namespace merlinrun::relay {

class Server {
 public:
  using Clock = std::chrono::steady_clock;

  struct Limits {
    std::size_t max_connections = 1024;                // further ones are closed at once
    std::chrono::milliseconds head_timeout{2500};      // from accept to the end of the call's header
    std::chrono::milliseconds linger_timeout{500};     // for the peer to read the answer and close
    std::chrono::milliseconds stall_timeout{10'000};   // for a peer that reads nothing during a write
    std::chrono::milliseconds max_write_time{30'000};  // for one write, however slowly the peer reads
    int send_buffer = 256 * 1024;                      // bytes, in the kernel, for each connection
    Admission::Limits admission;
  };
  struct Counts {
    std::uint64_t calls = 0;
    std::uint64_t refused = 0;               // answers with status 503
    std::uint64_t rejected_connections = 0;  // closed because of `max_connections`
    std::uint64_t watches_begun = 0;
    std::uint64_t full_lists = 0;  // sent as answers and on watches
    std::uint64_t objects = 0;     // deltas sent on open watches
    std::uint64_t bytes_out = 0;
  };
  struct Callbacks {
    std::function<std::string()> status;       // returns JSON
    std::function<bool()> upstream_caught_up;  // whether the upstream's current list has been received
  };

  // Throws boost::system::system_error if an address cannot be listened on.
  Server(net::asio::io_context& io, const std::vector<net::Tcp::endpoint>& listen, Limits limits, Feed& feed,
         Callbacks callbacks);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Sends new changes on all watches.
  void SendUpdatesToAll();

  const std::vector<net::Tcp::endpoint>& addresses() const { return addresses_; }
  const Counts& counts() const { return counts_; }
  std::size_t connections() const { return connections_; }
  std::size_t watches() const;  // open now; iterates over all connections

  // For sessions:
  const Limits& limits() const { return limits_; }
  Feed& feed() { return feed_; }
  Admission& admission() { return admission_; }
  std::string Status() const { return callbacks_.status(); }
  bool upstream_caught_up() const { return callbacks_.upstream_caught_up(); }
  // `was_admitted`: the session occupies a slot of Admission. `was_waiting_call`: it is a call in its queue.
  void Remove(Session& session, bool was_admitted, bool was_waiting_call);
  void ReleaseAdmission();
  void StartLingerTimeout(const Session::Ptr& session);
  void CountCall() { ++counts_.calls; }
  void CountRefused() { ++counts_.refused; }
  void CountWatch() { ++counts_.watches_begun; }
  void CountFullList() { ++counts_.full_lists; }
  void CountObject() { ++counts_.objects; }
  void CountBytes(std::size_t bytes) { counts_.bytes_out += bytes; }

 private:
  // Each watch gets a heartbeat every 2 s. To spread the load, each tick handles one of 20 slots of sessions.
  static constexpr std::chrono::milliseconds kHeartbeatInterval{2000};
  static constexpr std::chrono::milliseconds kTickInterval{100};
  static constexpr std::size_t kTickSlots = 20;
  static_assert(kHeartbeatInterval / kTickInterval == kTickSlots);

  struct Listener;
  struct Deadline {
    Clock::time_point at;
    std::weak_ptr<Session> session;
  };
  using Deadlines = std::deque<Deadline>;

  void Accept(const std::shared_ptr<Listener>& listener);
  void Add(net::Tcp::socket socket);
  void ScheduleTick();
  void Tick();
  static void CloseOverdue(Deadlines& deadlines, Session::Phase phase);

  net::asio::io_context& io_;
  const Limits limits_;
  Feed& feed_;
  const Callbacks callbacks_;
  Admission admission_;
  Counts counts_;
  std::vector<std::shared_ptr<Listener>> listeners_;
  std::vector<net::Tcp::endpoint> addresses_;
  std::array<std::list<Session::Ptr>, kTickSlots> tick_slots_;
  std::size_t connections_ = 0;
  std::size_t next_tick_slot_ = 0;  // handled by the next tick
  Clock::time_point next_tick_;
  net::asio::steady_timer timer_;
  Deadlines head_deadlines_;
  Deadlines linger_deadlines_;
  std::shared_ptr<Server*> lifetime_;  // asynchronous handlers hold a weak pointer to it
};

}  // namespace merlinrun::relay

#endif  // MERLINRUN_RELAY_SERVER_HPP_
