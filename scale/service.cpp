#include "service.hpp"

#include <utility>

#include "address.hpp"
#include "server_list.hpp"

namespace merlinrun::scale {

std::vector<Entry> MakeEntries(const std::vector<net::Tcp::endpoint>& addresses) {
  std::vector<Entry> list;
  for (const net::Tcp::endpoint& address : addresses) {
    list.push_back(MakeServer(static_cast<std::int64_t>(list.size())));
    list.back().host_port = AddressText(address);
  }
  return list;
}

Service::Service(net::asio::io_context& io, const std::vector<ServerSettings>& servers)
    : discovery_(io, {{net::asio::ip::make_address("127.0.0.1"), 0}}, {}) {
  for (const ServerSettings& settings : servers) {
    servers_.push_back(std::make_unique<FakeServer>(io, settings));
    addresses_.push_back(servers_.back()->address());
  }
  discovery_.SetList(MakeEntries(addresses_));
}

Service::Service(net::asio::io_context& io, std::vector<net::Tcp::endpoint> addresses)
    : addresses_(std::move(addresses)), discovery_(io, {{net::asio::ip::make_address("127.0.0.1"), 0}}, {}) {
  discovery_.SetList(MakeEntries(addresses_));
}

std::vector<ServerSettings> ReplicateSettings(const ServerSettings& settings, int count) {
  std::vector<ServerSettings> servers;
  for (int i = 0; i < count; ++i) {
    servers.push_back(settings);
    servers.back().seed += static_cast<std::uint64_t>(i);
  }
  return servers;
}

}  // namespace merlinrun::scale
