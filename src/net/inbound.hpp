// The sidecar's HTTP server for the application: accepts connections, reads requests and writes answers.
#ifndef MERLINRUN_NET_INBOUND_HPP_
#define MERLINRUN_NET_INBOUND_HPP_

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
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

// Accepts the application's connections and reads one request at a time from each. Timeouts and limits keep
// slow or silent clients from taking the connections and the memory that other clients need. All callbacks
// come from the event loop.
class Inbound {
 public:
  // A client's connection, with at most one request in progress.
  class Session;
  using SessionPtr = std::shared_ptr<Session>;

  struct Limits {
    // Maximum number of connections; a few more exist briefly while they are answered with 503.
    std::size_t max_sessions = 256;
    // Above this number a new connection closes an idle one, if there is one.
    std::size_t soft_max_sessions = SIZE_MAX;
    // Timeouts, in microseconds. Each runs from a point that the client cannot move, so a client that sends
    // or reads a few bytes at a time does not extend it.
    // For the header of a request: from the start of its connection, or from the request's first byte on a
    // connection that has already served one.
    Micros request_timeout = 2'500'000;
    // For the client to read its answer, or the next chunk of a streamed one.
    Micros answer_timeout = 5'000'000;
    // For a persistent connection between requests.
    Micros idle_timeout = 6'000'000;
    // When connections run short, those that have been idle for less are closed last.
    Micros min_idle = 2'000'000;
    // For the client to read the answer after which its connection is closed; answer_timeout while the kernel
    // still has some of that answer.
    Micros linger_timeout = 1'000'000;
    // Interval between two checks of the timeouts.
    Micros sweep_interval = 200'000;
    // Minimum rate of a request's body, in bytes per second. What has arrived extends request_timeout, but
    // not to more than request_timeout from now.
    std::size_t min_body_rate = 48'000;
  };
  struct Events {
    // A request has arrived, with its body buffered completely or still to be read from its source. It must
    // be answered by one call of Respond or Reject, in this callback or later.
    std::function<void(const SessionPtr&, Message<true>)> on_request;
    // The client disconnected while its request was in progress, or the rest of its body was invalid or late.
    // `request` is the request's id.
    std::function<void(const std::string& request)> on_client_disconnected;
    // A valid request has been answered with 503 because the memory limit leaves no room for its body.
    std::function<void(const RequestHeader&)> on_memory_exhausted;
    // A request, or a connection above the limit, has been rejected without on_request, for this reason. May
    // be empty, like on_memory_exhausted.
    std::function<void(const char* reason)> on_invalid_input;
    // Whether GET /ready is answered with 200.
    std::function<bool()> ready;
  };

  // Starts to accept connections. Throws boost::system::system_error if it cannot listen on the address.
  // `inherited` is a listening descriptor that other processes may share. If set, it is used in place of the
  // address, and closed by StopAccepting or the destructor.
  Inbound(asio::io_context& io, const Tcp::endpoint& address, std::optional<int> inherited, Limits limits,
          MemoryBudget& budget, Events events);
  ~Inbound();
  Inbound(const Inbound&) = delete;
  Inbound& operator=(const Inbound&) = delete;

  // How the delivery of an answer ended: written completely, cut short because its source failed, or not
  // delivered because the client disconnected.
  enum class Delivery { kComplete, kTruncated, kClientDisconnected };
  struct Reply {
    Message<false> message;
    MemoryReservation reservation;       // memory of the answer, released once it is written
    std::function<void(Delivery)> done;  // called when the answer is written or has failed; may be empty
  };
  // A reply whose body is buffered completely.
  static Reply MakeReply(HttpResponse response);
  // Answers the session's request, with keep-alive where possible.
  static void Respond(const SessionPtr& session, Reply reply);
  // Answers an invalid request and closes its connection: the bytes behind it cannot be parsed reliably.
  static void Reject(const SessionPtr& session, const Rejection& rejection);
  // Whether the client of the session's request has closed its connection. If so, on_client_disconnected is
  // called soon after.
  static bool ClientDisconnected(const SessionPtr& session);
  // Whether the client of the session's request may have closed its connection without a way to notice it,
  // because so much of what it has sent behind the request is unread. Never so for a client that sends one
  // request at a time.
  static bool ClientMayHaveLeft(const SessionPtr& session);
  // The latest time, as far as it is known, at which the client of the session's request cannot have sent its
  // last byte yet; once that is read, when it arrived. The client's time runs from then on at the earliest:
  // the rest of the request may have been in the buffers of the kernel since.
  static std::chrono::steady_clock::time_point RequestIncompleteAt(const SessionPtr& session);

  // From now on each connection is closed after its next answer.
  void Drain();
  // Accepts the connections that are waiting in the backlog, then closes the listener. An inherited listener
  // is closed at once: the processes that share it accept what waits.
  void StopAccepting();
  // Closes connections that have been idle since their last answer for at least `reused`, and those that have
  // sent nothing since they were accepted for at least `unused`. Those whose client is still receiving its
  // answer are left open.
  void CloseIdle(Micros reused, Micros unused);
  // Sets the number of connections above which idle ones are closed, at once and on each new connection.
  void SetSoftLimit(std::size_t sessions);

  // Open connections, including those that are being rejected or closed.
  std::size_t sessions() const { return sessions_.size(); }
  // Connections whose client has sent a request, or part of one, and has not received its complete answer.
  std::size_t unanswered_requests() const;
  Tcp::endpoint address() const { return address_; }

 private:
  void Accept();
  void OnAccepted(ErrorCode error, Tcp::socket socket);
  void AcceptWaiting(int max);
  // Accepts one connection that waits in the backlog. Returns false if there is none.
  bool AcceptOne();
  void Add(Tcp::socket socket);
  // Whether there is room for a new connection without closing another.
  bool BelowLimits() const;
  // Whether a new connection would be below the limits, or one could be closed for it.
  bool HasRoom() const;
  SessionPtr LeastUsefulSession() const;
  bool EvictLeastUseful();
  void Remove(const Session& session);
  void CloseListener();
  void ScheduleSweep();
  void Sweep();

  asio::io_context& io_;
  Limits limits_;
  MemoryBudget& budget_;
  const Events events_;
  const bool inherited_;
  Tcp::acceptor acceptor_;
  Tcp::endpoint address_;
  asio::steady_timer accept_pause_;
  asio::steady_timer sweep_timer_;
  bool sweep_scheduled_ = false;
  bool draining_ = false;
  // Read buffer that all sessions share; it is empty between two handlers.
  std::array<char, kChunkSize> input_{};
  std::list<SessionPtr> sessions_;  // in the order of their last answer (or start), oldest first
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_INBOUND_HPP_
