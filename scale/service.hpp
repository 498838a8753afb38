// A service for tests and steps: fake servers, in this process or in others, and a fake discovery service
// that lists them.
#ifndef MERLINRUN_SCALE_SERVICE_HPP_
#define MERLINRUN_SCALE_SERVICE_HPP_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

#include "fake_discovery.hpp"
#include "fake_server.hpp"

namespace merlinrun::scale {

class Service {
 public:
  // Starts one server in this process for each of the settings. `io` must outlive the service.
  Service(net::asio::io_context& io, const std::vector<ServerSettings>& servers);
  // Lists servers that run in other processes.
  Service(net::asio::io_context& io, std::vector<net::Tcp::endpoint> addresses);

  // The address of discovery.
  net::Tcp::endpoint discovery_address() const { return discovery_.addresses().front(); }
  const std::vector<net::Tcp::endpoint>& addresses() const { return addresses_; }        // of the servers
  const FakeDiscovery::Counts& discovery_counts() const { return discovery_.counts(); }  // of discovery
  // Sends the changed entries to all watches.
  void Change(const std::vector<Entry>& entries) { discovery_.Change(entries); }
  // The servers that run in this process.
  const std::vector<std::unique_ptr<FakeServer>>& servers() const { return servers_; }

 private:
  std::vector<std::unique_ptr<FakeServer>> servers_;
  std::vector<net::Tcp::endpoint> addresses_;
  FakeDiscovery discovery_;
};

// Returns the entries that discovery lists for servers at these addresses.
std::vector<Entry> MakeEntries(const std::vector<net::Tcp::endpoint>& addresses);

// Returns `count` copies of the settings, with consecutive seeds that begin with the seed of `settings`.
std::vector<ServerSettings> ReplicateSettings(const ServerSettings& settings, int count);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_SERVICE_HPP_
