// Connection pool to the servers. Each connection carries one request at a time, and the most recently used
// idle connection is reused first. Performs each attempt exactly once and reports its result; never retries.
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
#include "validate.hpp"

namespace merlinrun::net {

// The result of one attempt, with the server's answer if there is one.
struct UpstreamAnswer {
  Result result = Result::kUnreachable;
  Message<false> message;  // relevant after a success; the part that is not buffered is still to be read
  MemoryReservation reservation;  // memory reserved for the answer's body
  LoadReport load;                // the server's load report, present with any result
};

// Sends attempts to the listed servers over pooled connections. All callbacks come from the event loop.
class Upstream {
 public:
  using AttemptId = std::uint64_t;
  using Done = std::function<void(UpstreamAnswer)>;
  struct Events {
    // Called with the result of the attempt; see Send.
    Done done;
    // Called when a newly dialled connection is established, just before the request is written: updates what
    // has changed in its header during the dial. If it returns false, nothing is written and the attempt ends
    // with Result::kNeverSent.
    std::function<bool(RequestHeader&)> prepare_send = nullptr;
    // For a request whose body is not fully buffered: called when its unbuffered part is first read, after
    // which it cannot be sent again ...
    std::function<void()> body_consumed = nullptr;
    // ... and when its last byte has been written.
    std::function<void()> request_written = nullptr;
  };
  struct Limits {
    Micros idle_timeout = 0;  // idle connections are closed after this time; 0 = only when the peer closes
    Micros dial_timeout = 0;  // 0 = as long as the attempt lasts
    // An idle connection is reused only after this time. By then any surplus data that the server sent after
    // its last answer has arrived, and shows that the connection must not be reused.
    Micros reuse_delay = 25'000;
    // A request's body that the server has not read any of for this time is aborted.
    Micros stall_timeout = 4'000'000;
    // The same for a streamed answer that the server has not written any of. It is longer than servers hang
    // before they go on. If memory or connections run short, or the process shuts down, stall_timeout
    // applies.
    Micros answer_stall_timeout = 30'000'000;
    std::size_t max_connections = 512;
    // With this many connections open, an idle one is closed before a new one is opened.
    std::size_t soft_limit = SIZE_MAX;
  };

  Upstream(asio::io_context& io, Limits limits, MemoryBudget& budget, Counters& counters);
  ~Upstream();
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  // Applies a list of servers. The idle connections of a server that is draining, gone, moved or restarted
  // are closed; requests in progress on its other connections are completed.
  void Apply(const EndpointList& list);

  // Takes a server administratively down, as if it were draining, whatever the list says, or up again.
  void SetAdminDown(const std::string& server, bool down);

  // Starts an attempt. `done` is called once, from the event loop and never from within Send, unless the
  // attempt is cancelled. For a streamed answer, `done` is called when the answer begins.
  AttemptId Send(const std::string& server, Message<true> request, Events events);
  // Aborts an attempt by closing its connection; its `done` is not called any more.
  void Cancel(AttemptId attempt);
  // Gives up an attempt whose request has not been written completely. `done` is called, here or soon after:
  // with kUnreachable, or with kReset if the last byte turns out to have been written. Does nothing if the
  // request is known to have been written.
  void AbortRequest(AttemptId attempt);

  // The process is about to end: from now on streamed answers are aborted after Limits::stall_timeout.
  void BeginShutdown() { limits_.answer_stall_timeout = limits_.stall_timeout; }

  // Changes Limits::soft_limit and closes idle connections above it.
  void SetSoftLimit(std::size_t connections);

  // Why an attempt ended without a valid answer; counted for the log.
  enum class FailureCause {
    kNotAvailable,      // the server is not listed, draining, gone or administratively down
    kConnectionLimit,   // all allowed connections are busy
    kDialRefused,       // the connection was refused or could not be opened
    kDialTimeout,       // the connection was not established within the dial timeout
    kDialOutdated,      // the list changed while dialling
    kRequestCutOff,     // the connection failed before the request's last byte
    kEarlyAnswer,       // data arrived before the request's last byte was written
    kResetNew,          // connection lost after the first request on it
    kResetReused,       // connection lost after a request on a reused connection
    kUnreadableAnswer,  // the answer is not valid in this protocol
    kOutOfMemory,       // the memory limit leaves no room for the answer
    kAnswerCutOff,      // connection lost while the answer was being streamed
    kCount
  };

  bool any_server() const { return !servers_.empty(); }
  std::size_t known_servers() const { return servers_.size(); }  // listed ones, including draining ones
  std::size_t open_connections() const { return open_connections_; }

 private:
  class Connection;
  struct Server;
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Update(Server& server, const Endpoint& endpoint) const;
  ConnectionPtr TakeIdle(Server& server);
  bool EvictIdle();
  // Aborts the streamed answer that has been stalled for longest, if for Limits::stall_timeout at least.
  bool AbortStalledAnswer();
  AttemptId FailLater(Done done);
  void Release(const ConnectionPtr& connection);
  void Remove(const Connection& connection);
  void ScheduleSweep();
  void Sweep();
  void CountFailure(FailureCause cause, const std::string& server);
  void LogFailures();

  asio::io_context& io_;
  Limits limits_;
  MemoryBudget& budget_;
  Counters& counters_;
  IdleLimit idle_limit_;
  asio::steady_timer sweep_timer_;
  bool sweep_scheduled_ = false;
  std::size_t open_connections_ = 0;
  AttemptId last_attempt_ = 0;
  std::unordered_map<std::string, std::shared_ptr<Server>> servers_;
  std::set<Connection*> streaming_;   // connections whose answer is being streamed
  std::set<std::string> admin_down_;  // servers
  asio::steady_timer log_timer_;
  // Counts since the last log line.
  std::array<int, static_cast<std::size_t>(FailureCause::kCount)> failures_by_cause_{};
  std::unordered_map<std::string, int> failures_by_server_;
  int attempts_started_ = 0;
  int connections_opened_ = 0;
  // Null for an attempt that has failed already and whose `done` is about to be called.
  std::unordered_map<AttemptId, ConnectionPtr> attempts_;
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_UPSTREAM_HPP_
