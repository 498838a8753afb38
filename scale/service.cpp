#include "service.hpp"

#include <string>

#include "server_list.hpp"

namespace merlinrun::scale {

Service::Service(net::asio::io_context& io, const std::vector<ServerSettings>& servers)
    : discovery_(io, {{net::asio::ip::make_address("127.0.0.1"), 0}}, {}) {
  std::vector<Entry> list;
  for (const ServerSettings& settings : servers) {
    servers_.push_back(std::make_unique<ServerStandIn>(io, settings));
    const net::Tcp::endpoint address = servers_.back()->address();
    list.push_back(MakeServer(static_cast<std::int64_t>(list.size())));
    list.back().host_port = address.address().to_string() + ":" + std::to_string(address.port());
  }
  discovery_.SetList(list);
}

std::vector<net::Tcp::endpoint> Service::addresses() const {
  std::vector<net::Tcp::endpoint> addresses;
  for (const auto& server : servers_) addresses.push_back(server->address());
  return addresses;
}

std::vector<ServerSettings> Alike(const ServerSettings& settings, int count) {
  std::vector<ServerSettings> servers;
  for (int i = 0; i < count; ++i) {
    servers.push_back(settings);
    servers.back().seed += static_cast<std::uint64_t>(i);
  }
  return servers;
}

}  // namespace merlinrun::scale
