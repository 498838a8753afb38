// The shipped sidecar program as a child process, with a configuration file as the platform writes it.
#ifndef MERLINRUN_SCALE_REAL_SIDECAR_HPP_
#define MERLINRUN_SCALE_REAL_SIDECAR_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>

#include "child.hpp"
#include "net/protocol.hpp"

namespace merlinrun::scale {

struct SidecarOptions {
  std::filesystem::path program;
  std::filesystem::path scratch;  // folder of its configuration file and its log
  std::string name;               // must be unique within the folder
  net::Tcp::endpoint discovery;
  std::uint64_t seed = 1;
  bool management = false;  // whether it opens a management endpoint for operators
};

class RealSidecar {
 public:
  // Starts the sidecar on free loopback ports. It has no list of servers yet. Throws std::runtime_error.
  explicit RealSidecar(const SidecarOptions& options);

  // Runs `io`, which discovery may use too, until the sidecar reports that it is ready. Throws
  // std::runtime_error if the sidecar ends instead, or is not ready within 30 s.
  void AwaitReady(net::asio::io_context& io);

  // Writes a configuration with another address for discovery and makes the sidecar reload it.
  void Reload(const net::Tcp::endpoint& discovery);

  const net::Tcp::endpoint& address() const { return listen_.address; }
  // The address of the management endpoint. Requires SidecarOptions::management.
  const net::Tcp::endpoint& management_address() const { return management_.value().address; }
  std::int64_t cpu_us() const { return child_->cpu_us(); }
  std::int64_t rss_bytes() const { return child_->rss_bytes(); }

 private:
  // Reserves a free port as long as it lives. The sidecar can listen on the port meanwhile.
  struct ReservedPort {
    explicit ReservedPort(net::asio::io_context& io);
    net::Tcp::acceptor acceptor;  // bound, not listening
    net::Tcp::endpoint address;
  };

  void WriteConfiguration() const;

  SidecarOptions options_;
  net::asio::io_context acceptor_io_;  // required by the acceptors, never run
  ReservedPort listen_;
  std::optional<ReservedPort> management_;
  std::unique_ptr<Child> child_;
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_REAL_SIDECAR_HPP_
