// The operators' door: an address of its own, one call to a connection. It knows HTTP and paths; what the
// calls mean and the figures are the sidecar's.
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

class Management {
 public:
  // Connections held at once. Another one takes the place of the oldest: a call that is sent whole is
  // answered as soon as it is read, so whoever holds a place is late with the call.
  static constexpr std::size_t kMostSessions = 8;

  struct Reply {
    http::status status = http::status::ok;
    std::string body;
    const char* type = "text/plain";
    const char* allow = nullptr;  // the method that the path takes, where it is another one
  };
  struct Calls {
    std::function<bool()> ready;
    std::function<std::string()> stats;  // JSON
    std::function<Reply(const std::string& server, bool out)> ban;
  };
  struct Limits {
    Micros head = 2'500'000;  // from the connection to the end of the call
    Micros linger = 500'000;  // for the caller to read its answer and close
  };

  // Throws boost::system::system_error if the address cannot be listened on.
  Management(asio::io_context& io, const Tcp::endpoint& address, Limits limits, Calls calls);
  ~Management();
  Management(const Management&) = delete;
  Management& operator=(const Management&) = delete;

  Tcp::endpoint address() const { return address_; }

 private:
  class Session;
  using SessionPtr = std::shared_ptr<Session>;

  void Accept();
  void OnAccepted(ErrorCode error, Tcp::socket socket);
  Reply Answer(http::verb method, std::string_view target) const;

  asio::io_context& io_;
  const Limits limits_;
  const Calls calls_;
  Tcp::acceptor acceptor_;
  Tcp::endpoint address_;
  asio::steady_timer pause_;
  std::list<SessionPtr> sessions_;  // the oldest first
};

// Undoes percent-encoding; empty if it is malformed.
std::optional<std::string> PercentDecoded(std::string_view text);

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_MANAGEMENT_HPP_
