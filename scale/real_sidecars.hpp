// A group of real sidecars, each a process of its own, whose resource usage is summed.
#ifndef MERLINRUN_SCALE_REAL_SIDECARS_HPP_
#define MERLINRUN_SCALE_REAL_SIDECARS_HPP_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <vector>

#include "real_sidecar.hpp"
#include "step.hpp"

namespace merlinrun::scale {

class RealSidecars {
 public:
  // The sidecar with index n gets the seed `seed` + n. `io` and `context` must outlive this object.
  RealSidecars(net::asio::io_context& io, const Context& context, std::uint64_t seed, bool management = false)
      : io_(io), context_(context), seed_(seed), management_(management) {}

  // Starts `count` sidecars, runs `io` until all of them are ready, and returns their addresses. Starts fewer
  // if the run is to stop. Throws std::runtime_error.
  std::vector<net::Tcp::endpoint> Add(std::int64_t count, const net::Tcp::endpoint& discovery);
  // Makes all sidecars reload their configuration with another address for discovery.
  void Reload(const net::Tcp::endpoint& discovery);

  const std::vector<std::unique_ptr<RealSidecar>>& all() const { return all_; }
  // Sums over all sidecars.
  std::int64_t cpu_us() const;
  std::int64_t rss_bytes() const;

 private:
  net::asio::io_context& io_;
  const Context& context_;
  const std::uint64_t seed_;
  const bool management_;
  std::vector<std::unique_ptr<RealSidecar>> all_;
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_REAL_SIDECARS_HPP_
