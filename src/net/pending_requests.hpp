// The requests that a sidecar has taken, each kept in memory until it is complete.
#ifndef MERLINRUN_NET_PENDING_REQUESTS_HPP_
#define MERLINRUN_NET_PENDING_REQUESTS_HPP_

#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "body.hpp"
#include "inbound.hpp"
#include "merlinrun/balancer.hpp"
#include "upstream.hpp"

namespace merlinrun::net {

// One attempt of a request. It is in flight until PendingRequests::EndAttempt sets its result.
struct RequestAttempt {
  Upstream::AttemptId upstream_id = 0;
  Micros sent_at = 0;
  // While the request's body is still being received, the attempt does not expire: its timeout starts when
  // the last byte is written. The deadline of the request ends it all the same.
  Micros expires_at = kNoExpiry;
  Micros timeout = 0;
  std::optional<Result> result = std::nullopt;

  bool in_flight() const { return !result; }

  static constexpr Micros kNoExpiry = std::numeric_limits<Micros>::max();
};

// A request, from its arrival until it has been answered, or its client has disconnected, and its last
// attempt has ended.
struct PendingRequest {
  Message<true> message;        // without its body once the session has been taken
  bool body_pending = false;    // the body is still being received
  bool body_consumed = false;   // part of the body was forwarded without being buffered: not replayable
  Inbound::SessionPtr session;  // null once PendingRequests::TakeSession has been called
  std::size_t request_class = 0;
  // The final answer must be sent before this time. While the body is still being received, it moves on with
  // what the client sends.
  Micros deadline = 0;
  std::vector<RequestAttempt> attempts;
  std::unique_ptr<asio::steady_timer> timer;

  bool HasAttemptInFlight() const;
  // Whether the client is known to wait for the answer; if not, no attempt is started. The socket is checked
  // too: the client may have disconnected while its request waited (in the accept queue, behind another
  // request, for a retry or for a connection) without the event loop having noticed yet.
  bool ClientIsWaiting() const;
  // When the first of its attempts in flight expires, or its deadline if that is earlier.
  Micros NextExpiry() const;
};

// Owns the pending requests. A request is freed here and nowhere else, as soon as it is complete, whatever
// completed it: an answer, a refusal, a timer, its client, or an event of another request.
class PendingRequests {
 public:
  // Adds a request. The id must not be in use.
  PendingRequest& Add(const std::string& id);
  bool Contains(const std::string& id) const { return requests_.count(id) > 0; }
  // Null if no request with this id is pending.
  PendingRequest* Find(const std::string& id);
  // Takes the session away from a pending request, because it is about to be answered or its client has
  // disconnected. Its body is freed, as no further attempt needs it, and so is the request if none of its
  // attempts is in flight. Returns null if the session has been taken before, or the id is unknown.
  Inbound::SessionPtr TakeSession(const std::string& id);
  // Ends an attempt in flight of a pending request. The request is freed if that was the last one and its
  // session has been taken.
  void EndAttempt(const std::string& id, std::size_t attempt, Result result);

  std::vector<std::string> ids() const;
  std::size_t size() const { return requests_.size(); }
  bool empty() const { return requests_.empty(); }

 private:
  using Requests = std::unordered_map<std::string, PendingRequest>;

  void FreeIfComplete(Requests::iterator request);

  Requests requests_;  // by request id
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_PENDING_REQUESTS_HPP_
