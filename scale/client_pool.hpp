// HTTP/1.1 client that behaves as the protocol describes applications: it sends one request at a time on a
// connection, keeps connections open, and opens another one when all are busy.
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
  // Called with the status once the answer has been read completely, or with 0 if no complete answer arrived
  // in time or the connection broke.
  using Handler = std::function<void(unsigned status)>;

  // Requests go to the targets in turn. `io` must outlive the pool.
  ClientPool(net::asio::io_context& io, std::vector<net::Tcp::endpoint> targets);
  // Closes all connections. The handlers of open requests are not called.
  ~ClientPool();
  ClientPool(const ClientPool&) = delete;
  ClientPool& operator=(const ClientPool&) = delete;

  // Sends a request. If a reused connection breaks before any byte of the answer has arrived, the request is
  // sent once more, on a new connection.
  void Send(HttpRequest request, Clock::time_point give_up_at, Handler handler);
  std::size_t connections() const;

 private:
  class Connection;
  struct State;

  std::shared_ptr<State> state_;
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_CLIENT_POOL_HPP_
