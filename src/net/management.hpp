// The management endpoint: a small HTTP server on an address of its own, where operators ask for readiness
// and statistics and take servers administratively down or up again. It parses requests and routes paths; the
// sidecar provides the answers.
#ifndef MERLINRUN_NET_MANAGEMENT_HPP_
#define MERLINRUN_NET_MANAGEMENT_HPP_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "merlinrun/balancer.hpp"
#include "protocol.hpp"

namespace merlinrun::net {

// Answers one request per connection and then closes the connection.
class ManagementEndpoint {
 public:
  // The maximum number of open connections. One more closes the oldest: a complete request is answered as
  // soon as it is read, so the callers of the open connections are slow to send theirs or to close.
  static constexpr std::size_t kMaxSessions = 8;

  // An answer, to which the endpoint adds the remaining headers.
  struct Reply {
    http::status status = http::status::ok;
    std::string body;
    const char* content_type = "text/plain";
    const char* allow = nullptr;  // value of the Allow header of a 405 answer; null = no such header
  };
  // The sidecar's part of the answers.
  struct Handlers {
    std::function<bool()> ready;         // whether the sidecar can take requests now
    std::function<std::string()> stats;  // as JSON text
    // Takes a server administratively down (`down`) or up again.
    std::function<Reply(const std::string& server, bool down)> set_admin_down;
  };
  // In microseconds.
  struct Limits {
    Micros request_timeout = 2'500'000;  // from the connection's start until the request has been read
    Micros linger_timeout = 500'000;     // for the caller to read its answer and close
  };

  // Starts to listen. Throws boost::system::system_error if the address cannot be listened on.
  ManagementEndpoint(asio::io_context& io, const Tcp::endpoint& address, Limits limits, Handlers handlers);
  ~ManagementEndpoint();
  ManagementEndpoint(const ManagementEndpoint&) = delete;
  ManagementEndpoint& operator=(const ManagementEndpoint&) = delete;

  Tcp::endpoint address() const { return address_; }

 private:
  class Session;
  using SessionPtr = std::shared_ptr<Session>;

  void Accept();
  void OnAccepted(ErrorCode error, Tcp::socket socket);
  Reply Dispatch(http::verb method, std::string_view target) const;

  asio::io_context& io_;
  const Limits limits_;
  const Handlers handlers_;
  Tcp::acceptor acceptor_;
  Tcp::endpoint address_;
  asio::steady_timer accept_retry_timer_;
  std::list<SessionPtr> sessions_;  // the oldest first
};

// Decodes percent-encoding; nullopt if it is malformed.
std::optional<std::string> PercentDecode(std::string_view text);

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_MANAGEMENT_HPP_
