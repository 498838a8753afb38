// Connections to the servers: one request on each at a time, the most recently used first. Carries out an
// attempt exactly once and says what became of it; never sends one again by itself.
#ifndef MERLINRUN_NET_UPSTREAM_HPP_
#define MERLINRUN_NET_UPSTREAM_HPP_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "body.hpp"
#include "budget.hpp"
#include "counters.hpp"
#include "discovery.hpp"
#include "idle.hpp"
#include "merlinrun/balancer.hpp"
#include "protocol.hpp"

namespace merlinrun::net {

struct UpstreamAnswer {
  Result result = Result::kUnreachable;
  Message<false> message;  // of interest after a success; what is not held of it is still to come
  Charge charge;           // for its body
  LoadReport load;         // what the server said of itself, whatever the result
};

class Upstream {
 public:
  using AttemptId = std::uint64_t;
  using Done = std::function<void(UpstreamAnswer)>;
  struct Events {
    Done done;
    // Asked when a connection that had to be dialled has come up: if false, nothing is written to it, and the
    // attempt is done as one that was never sent.
    std::function<bool()> wanted = nullptr;
    // Of a request that is not held whole: what follows is being asked for, so that it cannot be sent again;
    // and its last byte has been written.
    std::function<void()> drawn = nullptr;
    std::function<void()> sent = nullptr;
  };
  struct Limits {
    Micros keep_idle = 0;     // an idle connection is closed after so long; 0 = only when its peer does
    Micros dial_timeout = 0;  // 0 = as long as the attempt lasts
    // An idle connection is used again after so long: what its server sent beyond its last answer has come by
    // then and shows that it is of no further use.
    Micros rest = 25'000;
    Micros silence =
        4'000'000;  // a body that has not moved for so long through the server's fault is given up
    std::size_t connections = 512;
    std::size_t kept = SIZE_MAX;  // beyond so many, idle ones make room for new ones
  };

  Upstream(asio::io_context& io, Limits limits, Budget& budget, Counters& counters);
  ~Upstream();
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  // Takes a list. A server that drains, is gone, has moved or has restarted loses its idle connections; what
  // is under way on the others finishes.
  void Apply(const EndpointList& list);

  // Takes a server out by hand, as if it drained, whatever the list says, or puts it back.
  void SetOut(const std::string& server, bool out);

  // Starts an attempt. `done` is called once, from the loop and never from in here, unless it is given up. An
  // answer that is passed on in pieces is done when it begins.
  AttemptId Send(const std::string& server, Message<true> request, Events events);
  // Ends an attempt by closing its connection; its `done` is not called any more.
  void GiveUp(AttemptId attempt);

  // From now on idle connections are kept only where there are no more than so many in all.
  void KeepAtMost(std::size_t connections);

  // Why attempts ended without an answer that could be read; counted for the log.
  enum class Trouble {
    kNotListed,     // the server drains or is gone
    kNoRoom,        // every connection that may be open is at work
    kRefusedDial,   // the server's machine said no
    kSlowDial,      // nothing came within the dial timeout
    kStaleDial,     // the list changed while it was dialling
    kCutRequest,    // the connection broke before the request's last byte
    kEarlyAnswer,   // something came before the request's last byte
    kResetFresh,    // it broke after the request, the first on its connection
    kResetReused,   // the same on a connection that had served before
    kUnreadable,    // what came was no answer that the protocol knows
    kBrokenAnswer,  // it broke while it was passed on
    kCount
  };

  bool any_server() const { return !servers_.empty(); }
  std::size_t known_servers() const { return servers_.size(); }  // listed ones, those that drain included
  std::size_t open_connections() const { return open_; }

 private:
  class Connection;
  struct Server;
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Update(Server& server, const Endpoint& endpoint) const;
  ConnectionPtr TakeIdle(Server& server);
  bool MakeRoom();
  AttemptId FailLater(Done done);
  void Release(const ConnectionPtr& connection);
  void Forget(const Connection& connection);
  void SweepLater();
  void Sweep();
  void Note(Trouble trouble, const std::string& server);
  void LogTroubles();

  asio::io_context& io_;
  Limits limits_;
  Budget& budget_;
  Counters& counters_;
  IdleLimit idle_limit_;
  asio::steady_timer sweep_;
  bool sweeping_ = false;
  std::size_t open_ = 0;
  AttemptId last_attempt_ = 0;
  std::unordered_map<std::string, std::shared_ptr<Server>> servers_;
  std::set<std::string> out_;  // servers out by hand
  asio::steady_timer log_;
  std::array<int, static_cast<std::size_t>(Trouble::kCount)> troubles_{};  // since the last line of the log
  std::unordered_map<std::string, int> troubled_;                          // the same by server
  int sent_ = 0;                                                           // attempts since then
  int opened_ = 0;                                                         // connections since then
  std::unordered_map<AttemptId, ConnectionPtr> attempts_;  // null: it has failed, which is about to be told
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_UPSTREAM_HPP_
