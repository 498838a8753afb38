// A server as PROTOCOL describes it: cores and a queue, a service time, a cold start, reports of its load,
// and "turned away" when it is full or drains. It may call onward, as a service within a chain does.
#ifndef MERLINRUN_SCALE_SERVER_STAND_IN_HPP_
#define MERLINRUN_SCALE_SERVER_STAND_IN_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "latency.hpp"
#include "net/protocol.hpp"

namespace merlinrun::scale {

struct ServerSettings {
  int cores = 4;            // requests served at a time
  std::size_t queue = 256;  // requests that may wait for a core
  std::chrono::microseconds service{1000};
  bool exponential = false;  // service times are drawn with that mean; else all are the same
  // What it is worth of its full speed at its start; grows evenly to 1 until it is warm.
  double cold_share = 1;
  std::chrono::microseconds warm_after{0};
  std::size_t body = 64;  // bytes of an answer
  std::uint64_t seed = 1;
  // Where a request goes once its own work is done, in turn; none = it is answered then.
  std::vector<net::Tcp::endpoint> onward = {};
  // Takes how late each end of a service was handled: the loop's own part of the time. May be null.
  std::shared_ptr<LatencyHistogram> lateness = nullptr;
};

struct ServerCounts {
  std::uint64_t taken = 0;     // whole requests read
  std::uint64_t served = 0;    // 200
  std::uint64_t declined = 0;  // turned away, never begun
  std::uint64_t failed = 0;    // begun, and the call onward had no good answer
  std::uint64_t invalid = 0;   // 404: no Req-Id

  ServerCounts& operator+=(const ServerCounts& other);
};

class ServerStandIn {
 public:
  // Listens on a loopback address and a free port. The loop outlives the server.
  ServerStandIn(net::asio::io_context& io, ServerSettings settings);
  // Closes everything at once, as the end of a process would.
  ~ServerStandIn();
  ServerStandIn(const ServerStandIn&) = delete;
  ServerStandIn& operator=(const ServerStandIn&) = delete;

  const net::Tcp::endpoint& address() const;
  void Drain();  // takes nothing new from here on, and finishes what it has
  const ServerCounts& counts() const;
  std::size_t held() const;  // requests in service, in the queue or waiting for the call onward

 private:
  struct State;
  class Session;

  std::shared_ptr<State> state_;
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_SERVER_STAND_IN_HPP_
