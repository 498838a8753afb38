// The relay's door: connections, the clock of blank lines and of what is late, and the figures.
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
    std::size_t connections = 1024;                   // more are closed as they come
    std::chrono::milliseconds head{2500};             // from the connection to the end of the call
    std::chrono::milliseconds linger{500};            // for the caller to read its answer and close
    std::chrono::milliseconds stalled{10'000};        // a peer that takes nothing of what is written
    std::chrono::milliseconds longest_write{30'000};  // and one that takes it in drops
    int send_buffer = 256 * 1024;                     // bytes that the kernel holds for a connection
    Admission::Limits whole_lists;
  };
  struct Counts {
    std::uint64_t calls = 0;
    std::uint64_t refused = 0;      // 503
    std::uint64_t turned_away = 0;  // over the limit of connections
    std::uint64_t watches = 0;      // begun
    std::uint64_t whole_lists = 0;  // sent, in answers and on watches
    std::uint64_t objects = 0;      // changes told on watches that were open
    std::uint64_t bytes_out = 0;
  };
  struct Asks {
    std::function<std::string()> status;   // JSON
    std::function<bool()> upstream_heard;  // whether the upstream has been heard out: what it has is here
  };

  // Throws boost::system::system_error if an address cannot be listened on.
  Server(net::asio::io_context& io, const std::vector<net::Tcp::endpoint>& listen, Limits limits, Feed& feed,
         Asks asks);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  void TellAll();

  const std::vector<net::Tcp::endpoint>& addresses() const { return addresses_; }
  const Counts& counts() const { return counts_; }
  std::size_t connections() const { return connections_; }
  std::size_t watches() const;  // open now: takes a walk over all connections

  // For sessions.
  const Limits& limits() const { return limits_; }
  Feed& feed() { return feed_; }
  Admission& admission() { return admission_; }
  std::string Status() const { return asks_.status(); }
  bool upstream_heard() const { return asks_.upstream_heard(); }
  void Remove(Session& session, bool held_slot, bool waited);
  void FreeSlot();
  void ExpectEnd(const Session::Ptr& session);
  void CountCall() { ++counts_.calls; }
  void CountRefused() { ++counts_.refused; }
  void CountWatch() { ++counts_.watches; }
  void CountWhole() { ++counts_.whole_lists; }
  void CountObject() { ++counts_.objects; }
  void CountBytes(std::size_t bytes) { counts_.bytes_out += bytes; }

 private:
  // Blank lines are due every 2 s, a twentieth of the watches at a time.
  static constexpr std::chrono::milliseconds kRound{2000};
  static constexpr std::chrono::milliseconds kTick{100};
  static constexpr std::size_t kSlots = 20;
  static_assert(kRound / kTick == kSlots);

  struct Door;
  struct Deadline {
    Clock::time_point at;
    std::weak_ptr<Session> session;
  };
  using Deadlines = std::deque<Deadline>;

  void Accept(const std::shared_ptr<Door>& door);
  void Add(net::Tcp::socket socket);
  void ScheduleTick();
  void Tick();
  static void CloseLate(Deadlines& deadlines, Session::Phase phase);

  net::asio::io_context& io_;
  const Limits limits_;
  Feed& feed_;
  const Asks asks_;
  Admission admission_;
  Counts counts_;
  std::vector<std::shared_ptr<Door>> doors_;
  std::vector<net::Tcp::endpoint> addresses_;
  std::array<std::list<Session::Ptr>, kSlots> slots_;
  std::size_t connections_ = 0;
  std::size_t slot_ = 0;  // whose turn it is
  Clock::time_point next_tick_;
  net::asio::steady_timer timer_;
  Deadlines heads_;
  Deadlines lingers_;
  std::shared_ptr<Server*> life_;  // handlers hold it weakly
};

}  // namespace merlinrun::relay

#endif  // MERLINRUN_RELAY_SERVER_HPP_
