// Observes from outside how many servers a sidecar uses, by the number on its management endpoint.
#ifndef MERLINRUN_SCALE_KNOWN_SERVERS_HPP_
#define MERLINRUN_SCALE_KNOWN_SERVERS_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "net/protocol.hpp"

namespace merlinrun::scale {

// Polls each management endpoint, with a pause between, until it reports the expected number of servers.
class KnownServersPoller {
 public:
  // Calls `on_reached` once for each endpoint. `io` must outlive this object.
  KnownServersPoller(net::asio::io_context& io, const std::vector<net::Tcp::endpoint>& endpoints,
                     std::size_t expected, const std::function<void()>& on_reached);
  // Stops polling.
  ~KnownServersPoller();
  KnownServersPoller(const KnownServersPoller&) = delete;
  KnownServersPoller& operator=(const KnownServersPoller&) = delete;

 private:
  class EndpointPoller;
  std::vector<std::shared_ptr<EndpointPoller>> pollers_;
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_KNOWN_SERVERS_HPP_
