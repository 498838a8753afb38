#include "remote_servers.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "address.hpp"
#include "net/discovery.hpp"

namespace merlinrun::scale {
namespace {

using nlohmann::json;

json OpenCommand(const ServerSettings& settings) {
  json onward = json::array();
  for (const net::Tcp::endpoint& address : settings.onward) onward.push_back(AddressText(address));
  return {{"do", "open"},
          {"service_us", settings.service_time.count()},
          {"exponential", settings.exponential},
          {"seed", settings.seed},
          {"onward", onward}};
}

}  // namespace

RemoteServers::RemoteServers(int process_count, const std::filesystem::path& scratch) {
  for (int i = 0; i < process_count; ++i)
    processes_.push_back(
        std::make_unique<WorkerProcess>(kServerProcess, scratch / ("servers" + std::to_string(i) + ".log")));
}

std::vector<net::Tcp::endpoint> RemoteServers::Open(const std::vector<ServerSettings>& servers,
                                                    std::size_t first) {
  std::vector<net::Tcp::endpoint> addresses;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const json reply = processes_[(first + i) % processes_.size()]->Execute(OpenCommand(servers[i]));
    const auto address = net::ParseAddress(reply.at("address").get<std::string>());
    if (!address) throw std::runtime_error("a server process returned no valid address");
    addresses.push_back(*address);
  }
  return addresses;
}

ServerCounts RemoteServers::counts() {
  ServerCounts sum;
  for (const auto& process : processes_) {
    const json reply = process->Execute({{"do", "counts"}});
    ServerCounts counts;
    counts.taken = reply.at("taken").get<std::uint64_t>();
    counts.served = reply.at("served").get<std::uint64_t>();
    counts.declined = reply.at("declined").get<std::uint64_t>();
    counts.failed = reply.at("failed").get<std::uint64_t>();
    counts.invalid = reply.at("invalid").get<std::uint64_t>();
    sum += counts;
  }
  return sum;
}

std::map<std::string, double> RemoteServers::LatenessFigures() {
  std::map<std::string, double> figures;
  for (const auto& process : processes_) {
    const json reply = process->Execute({{"do", "counts"}});
    for (const char* name : {"late_p50_ms", "late_p99_ms"}) {
      if (!reply.contains(name)) continue;
      double& figure = figures[std::string("server_") + name];
      figure = std::max(figure, reply.at(name).get<double>());
    }
  }
  return figures;
}

}  // namespace merlinrun::scale
