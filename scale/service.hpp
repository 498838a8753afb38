// A service: server stand-ins, and the discovery that lists them.
#ifndef MERLINRUN_SCALE_SERVICE_HPP_
#define MERLINRUN_SCALE_SERVICE_HPP_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

#include "discovery_stand_in.hpp"
#include "server_stand_in.hpp"

namespace merlinrun::scale {

class Service {
 public:
  // One server for each of the settings. The loop outlives the service.
  Service(net::asio::io_context& io, const std::vector<ServerSettings>& servers);

  net::Tcp::endpoint discovery() const { return discovery_.addresses().front(); }
  std::vector<net::Tcp::endpoint> addresses() const;  // of the servers
  const std::vector<std::unique_ptr<ServerStandIn>>& servers() const { return servers_; }

 private:
  std::vector<std::unique_ptr<ServerStandIn>> servers_;
  DiscoveryStandIn discovery_;
};

// As many servers of one kind, each with a seed of its own from that of `settings` on.
std::vector<ServerSettings> Alike(const ServerSettings& settings, int count);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_SERVICE_HPP_
