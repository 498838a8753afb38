// An HTTP/1.1 client as PROTOCOL describes the applications: one request at a time on a connection,
// connections that are kept, and more of them when all are busy.
#ifndef MERLINRUN_SCALE_CLIENT_POOL_HPP_
#define MERLINRUN_SCALE_CLIENT_POOL_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "net/protocol.hpp"

namespace merlinrun::scale {

using Clock = std::chrono::steady_clock;
using HttpRequest = net::http::request<net::http::string_body>;

class ClientPool {
 public:
  // The answer's status, read to its last byte; 0 if none came in time or the connection broke.
  using Handler = std::function<void(unsigned status)>;

  // Requests go to the targets in turn. The loop outlives the pool.
  ClientPool(net::asio::io_context& io, std::vector<net::Tcp::endpoint> targets);
  // Closes all connections; handlers of what is open are not called.
  ~ClientPool();
  ClientPool(const ClientPool&) = delete;
  ClientPool& operator=(const ClientPool&) = delete;

  // A request that crosses the close of a kept connection goes once more, on a new one.
  void Send(HttpRequest request, Clock::time_point give_up, Handler handler);
  std::size_t connections() const;

 private:
  class Connection;
  struct State;

  std::shared_ptr<State> state_;
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_CLIENT_POOL_HPP_
