// How many servers a sidecar's operators are told that it knows: what it acts on, seen from outside.
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

// Asks each door over and over, with a pause between, until it tells that number.
class KnownServersWatch {
 public:
  // `told` is called once for each door. The loop outlives the watch.
  KnownServersWatch(net::asio::io_context& io, const std::vector<net::Tcp::endpoint>& doors,
                    std::size_t awaited, const std::function<void()>& told);
  // Asks no more.
  ~KnownServersWatch();
  KnownServersWatch(const KnownServersWatch&) = delete;
  KnownServersWatch& operator=(const KnownServersWatch&) = delete;

 private:
  class Door;
  std::vector<std::shared_ptr<Door>> doors_;
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_KNOWN_SERVERS_HPP_
