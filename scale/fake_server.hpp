// Fake HTTP server that behaves as the protocol describes servers: it has a number of cores, a queue, a
// service time and a cold start, reports its load, and declines requests when it is full or draining. It can
// call the next service of a chain for each request.
#ifndef MERLINRUN_SCALE_FAKE_SERVER_HPP_
#define MERLINRUN_SCALE_FAKE_SERVER_HPP_

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
  int cores = 4;            // requests served at the same time
  std::size_t queue = 256;  // requests that may wait for a core
  std::chrono::microseconds service_time{1000};
  bool exponential = false;  // true = service times are exponentially distributed with that mean
  // Share of the full speed at the start. It grows linearly to 1 within `warm_up_time`.
  double cold_speed = 1;
  std::chrono::microseconds warm_up_time{0};
  std::size_t body_size = 64;  // bytes of an answer
  std::uint64_t seed = 1;
  // Addresses of the next service. After its service time, each request is forwarded to one of them in turn.
  // If empty, it is answered then.
  std::vector<net::Tcp::endpoint> onward = {};
  // Receives the delay with which the event loop handled the end of each service time. May be null.
  std::shared_ptr<LatencyHistogram> lateness = nullptr;
};

struct ServerCounts {
  std::uint64_t taken = 0;     // requests read completely
  std::uint64_t served = 0;    // 200
  std::uint64_t declined = 0;  // rejected before service began
  std::uint64_t failed = 0;    // service began, but the call to the next service did not return 200
  std::uint64_t invalid = 0;   // 404: no Req-Id

  ServerCounts& operator+=(const ServerCounts& other);
};

class FakeServer {
 public:
  // Listens on a free port of the loopback address. `io` must outlive the server.
  FakeServer(net::asio::io_context& io, ServerSettings settings);
  // Closes all connections immediately, as if its process had ended.
  ~FakeServer();
  FakeServer(const FakeServer&) = delete;
  FakeServer& operator=(const FakeServer&) = delete;

  const net::Tcp::endpoint& address() const;
  // Declines new requests from now on and completes the open ones.
  void Drain();
  const ServerCounts& counts() const;
  // Returns the number of requests that are queued, in service or waiting for the next service.
  std::size_t open_requests() const;

 private:
  struct State;
  class Session;

  std::shared_ptr<State> state_;
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_FAKE_SERVER_HPP_
