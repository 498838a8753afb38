// A service: server stand-ins, here or elsewhere, and the discovery that lists them.
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
  // Of servers that run elsewhere.
  Service(net::asio::io_context& io, std::vector<net::Tcp::endpoint> addresses);

  net::Tcp::endpoint discovery() const { return discovery_.addresses().front(); }
  const std::vector<net::Tcp::endpoint>& addresses() const { return addresses_; }  // of the servers
  const DiscoveryStandIn::Counts& counts() const { return discovery_.counts(); }   // of discovery
  // Tells all watches.
  void Change(const std::vector<Entry>& entries) { discovery_.Change(entries); }
  // Those of this process.
  const std::vector<std::unique_ptr<ServerStandIn>>& servers() const { return servers_; }

 private:
  std::vector<std::unique_ptr<ServerStandIn>> servers_;
  std::vector<net::Tcp::endpoint> addresses_;
  DiscoveryStandIn discovery_;
};

// Servers at these addresses, as discovery lists them.
std::vector<Entry> Listed(const std::vector<net::Tcp::endpoint>& addresses);

// As many servers of one kind, each with a seed of its own from that of `settings` on.
std::vector<ServerSettings> Alike(const ServerSettings& settings, int count);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_SERVICE_HPP_
