// Server stand-ins in a few processes beside this one, so that the callers here and the servers there do not
// wait for one another's work.
#ifndef MERLINRUN_SCALE_REMOTE_SERVERS_HPP_
#define MERLINRUN_SCALE_REMOTE_SERVERS_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control.hpp"
#include "server_stand_in.hpp"

namespace merlinrun::scale {

class RemoteServers {
 public:
  // Throws std::runtime_error if a process does not come up. Their logs go to the folder.
  RemoteServers(int processes, const std::filesystem::path& scratch);

  // Starts one server for each of the settings, of which it takes service, exponential, seed and onward. The
  // processes take turns from that one on, counted round.
  std::vector<net::Tcp::endpoint> Open(const std::vector<ServerSettings>& servers, std::size_t first = 0);
  ServerCounts counts();  // of all
  // "server_late_p50_ms" and "_p99_ms": how late the loop of the slowest process handled the end of a
  // service.
  std::map<std::string, double> LatenessFigures();

 private:
  std::vector<std::unique_ptr<Part>> parts_;
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_REMOTE_SERVERS_HPP_
