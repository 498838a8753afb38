// The steps of a sidecar's graceful shutdown after SIGTERM.
#ifndef MERLINRUN_NET_GRACEFUL_SHUTDOWN_HPP_
#define MERLINRUN_NET_GRACEFUL_SHUTDOWN_HPP_

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>

#include "inbound.hpp"
#include "merlinrun/balancer.hpp"
#include "protocol.hpp"

namespace merlinrun::net {

// Accepts new connections for a short while, or none on a listener that is shared with the next process, and
// closes idle ones. Requests that have no answer soon after the longest deadline are failed, as the process
// may be killed from then on. The shutdown is over when no request is without its complete answer, however
// long an answer takes: the end of the process would cut it off. A server that stops sending and a client
// that stops reading are ended by their own timeouts. All callbacks come from the event loop.
class GracefulShutdown {
 public:
  using Clock = std::chrono::steady_clock;

  // The requests that have no answer yet or still have an attempt in flight.
  struct PendingRequests {
    std::function<bool()> empty;   // whether there are none
    std::function<void()> expire;  // fails them; called repeatedly, as further requests may arrive
  };
  struct Settings {
    bool shared_listener = false;  // the next process accepts the new connections
    Micros longest_deadline = 0;   // of all classes; 0 if none has a deadline
  };

  // Begins the shutdown. `inbound` must outlive this object; `done` is called once, at the end.
  GracefulShutdown(asio::io_context& io, Inbound& inbound, Settings settings, PendingRequests requests,
                   std::function<void()> done);

  // When requests without an answer are failed.
  Clock::time_point requests_end() const { return requests_end_; }

 private:
  // Calls `next` after `delay`, unless this object is destroyed before.
  void After(std::chrono::microseconds delay, void (GracefulShutdown::*next)());
  void StopAccepting();
  void Poll();

  Inbound& inbound_;
  const Settings settings_;
  const PendingRequests requests_;
  std::function<void()> done_;
  const Clock::time_point requests_end_;
  Clock::time_point answers_read_end_;  // clients may read the answers written last until then
  asio::steady_timer timer_;
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_GRACEFUL_SHUTDOWN_HPP_
