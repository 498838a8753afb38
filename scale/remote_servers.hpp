// Fake servers in worker processes, so that the callers in this process and the servers do not delay each
// other.
#ifndef MERLINRUN_SCALE_REMOTE_SERVERS_HPP_
#define MERLINRUN_SCALE_REMOTE_SERVERS_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control.hpp"
#include "fake_server.hpp"

namespace merlinrun::scale {

class RemoteServers {
 public:
  // Starts the processes, with their logs in `scratch`. Throws std::runtime_error if one does not start.
  RemoteServers(int process_count, const std::filesystem::path& scratch);

  // Starts one server for each of the settings and returns their addresses. Only service_time, exponential,
  // seed and onward are used. The servers are assigned to the processes in turn, beginning with the process
  // of index `first` modulo the number of processes.
  std::vector<net::Tcp::endpoint> Open(const std::vector<ServerSettings>& servers, std::size_t first = 0);
  ServerCounts counts();  // sum over all servers
  // Returns "server_late_p50_ms" and "server_late_p99_ms": the delay with which the event loop handled the
  // end of a service time, as the maximum over all processes. Empty until a service time has ended.
  std::map<std::string, double> LatenessFigures();

 private:
  std::vector<std::unique_ptr<WorkerProcess>> processes_;
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_REMOTE_SERVERS_HPP_
