// The shipped program as a child process, with a configuration as the platform would give it.
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
  std::filesystem::path scratch;  // its configuration and its log go here
  std::string name;               // other than those of its neighbours
  net::Tcp::endpoint discovery;
  std::uint64_t seed = 1;
  bool management = false;  // with a door for operators
};

class RealSidecar {
 public:
  // Starts it at free loopback ports, without a list. Throws std::runtime_error.
  explicit RealSidecar(const SidecarOptions& options);

  // Runs the loop, which discovery may be on, until it says that it is ready. Throws std::runtime_error if it
  // ends instead, or takes too long.
  void AwaitReady(net::asio::io_context& io);

  // Has it read a new configuration, which names another address for discovery.
  void Reload(const net::Tcp::endpoint& discovery);

  const net::Tcp::endpoint& address() const { return listen_.address; }
  const net::Tcp::endpoint& management() const { return management_.value().address; }  // if it has a door
  std::int64_t cpu_us() const { return child_->cpu_us(); }
  std::int64_t rss_bytes() const { return child_->rss_bytes(); }

 private:
  // A free port that nothing else is given until it is let go. The sidecar can listen there meanwhile.
  struct Reserved {
    explicit Reserved(net::asio::io_context& io);
    net::Tcp::acceptor holder;
    net::Tcp::endpoint address;
  };

  void WriteConfiguration() const;

  SidecarOptions options_;
  net::asio::io_context unused_;  // never run
  Reserved listen_;
  std::optional<Reserved> management_;
  std::unique_ptr<Child> child_;
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_REAL_SIDECAR_HPP_
