// Many shipped sidecars, each a process, read as one.
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
  // The n-th has the seed + n. The loop outlives them.
  RealSidecars(net::asio::io_context& io, const Context& context, std::uint64_t seed, bool management = false)
      : io_(io), context_(context), seed_(seed), management_(management) {}

  // Starts so many, and runs the loop until each of them is ready. Returns their addresses. Throws
  // std::runtime_error.
  std::vector<net::Tcp::endpoint> Add(std::int64_t count, const net::Tcp::endpoint& discovery);
  // All of them follow another address from now on.
  void Reload(const net::Tcp::endpoint& discovery);

  const std::vector<std::unique_ptr<RealSidecar>>& all() const { return all_; }
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
