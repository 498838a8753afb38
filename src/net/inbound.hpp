// The application's side: accepts its connections, reads requests, writes answers.
#ifndef MERLINRUN_NET_INBOUND_HPP_
#define MERLINRUN_NET_INBOUND_HPP_

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "body.hpp"
#include "budget.hpp"
#include "merlinrun/balancer.hpp"
#include "protocol.hpp"
#include "validate.hpp"

namespace merlinrun::net {

class Inbound {
 public:
  // One connection of the application, with at most one request at a time.
  class Session;
  using SessionPtr = std::shared_ptr<Session>;

  struct Limits {
    std::size_t sessions = 256;   // and a few more for as long as it takes to turn them away
    std::size_t kept = SIZE_MAX;  // beyond so many, idle ones make room for new ones
    // Times, in microseconds. Each counts from a beginning that the client cannot move: what trickles in
    // extends none of them.
    Micros request = 2'500'000;  // from its connection, or on a kept one its first byte, to its head's last
    Micros answer = 5'000'000;   // for the client to read its answer, or the next piece of a long one
    Micros idle = 6'000'000;     // for a kept connection between requests
    Micros idle_least = 2'000'000;  // where room is short, one that has been idle for less is closed last
    Micros linger = 1'000'000;      // for the client to read the answer that closes its connection
    Micros sweep = 200'000;         // how often the times are looked at
    std::size_t body_rate =
        48'000;  // bytes a second that a body has to come in at, beyond the time of a head
  };
  struct Events {
    // The request is answered by one call of Respond or Reject, from in here or later. Its body is held whole
    // or comes in as it is asked for.
    std::function<void(const SessionPtr&, Message<true>)> on_request;
    // The client left during its request, or spoilt what was still to come of it.
    std::function<void(const std::string& request)> on_gone;
    // A request that would be in order, but that there is no memory for: it has been refused.
    std::function<void(const RequestHeader&)> on_turned_away;
    std::function<bool()> ready;
  };

  // Throws boost::system::system_error if the address cannot be listened on. `inherited` is a listener that
  // other processes may hold too; it is taken in place of the address, and closed at the end.
  Inbound(asio::io_context& io, const Tcp::endpoint& address, std::optional<int> inherited, Limits limits,
          Budget& budget, Events events);
  ~Inbound();
  Inbound(const Inbound&) = delete;
  Inbound& operator=(const Inbound&) = delete;

  enum class Sent { kWhole, kBroken, kClientGone };
  struct Reply {
    Message<false> message;
    Charge charge;                   // held until it is written
    std::function<void(Sent)> done;  // what became of it
  };
  static Reply Whole(HttpResponse response);
  // Answers the session's request.
  static void Respond(const SessionPtr& session, Reply reply);
  // The same for a request that is wrong: its connection is closed, as what is behind it cannot be trusted.
  static void Reject(const SessionPtr& session, const Rejection& rejection);
  // Whether the client of the session's request has left by now; if so, on_gone tells of it soon.
  static bool ClientLeft(const SessionPtr& session);

  // From now on each answer closes its connection.
  void Drain();
  // Accepts what has connected already, then no more; of an inherited listener nothing more at once.
  void StopAccepting();
  // Closes the connections that have been between requests for so long, and those that have said nothing
  // since they came for so long.
  void CloseIdle(Micros kept, Micros fresh);
  // From now on idle connections are kept only where there are no more than so many in all.
  void KeepAtMost(std::size_t sessions);

  std::size_t sessions() const { return sessions_.size(); }
  Tcp::endpoint address() const { return address_; }

 private:
  void Accept();
  void OnAccepted(ErrorCode error, Tcp::socket socket);
  void Add(Tcp::socket socket);
  bool MakeRoom();
  void Remove(const Session& session);
  void CloseListener();
  void SweepLater();
  void Sweep();

  asio::io_context& io_;
  Limits limits_;
  Budget& budget_;
  const Events events_;
  const bool inherited_;
  Tcp::acceptor acceptor_;
  Tcp::endpoint address_;
  asio::steady_timer pause_;
  asio::steady_timer sweep_;
  bool sweeping_ = false;
  bool draining_ = false;
  std::array<char, kPiece> input_{};  // one for all: it holds nothing from one handler to the next
  std::list<SessionPtr> sessions_;    // the one whose last answer is oldest first
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_INBOUND_HPP_
