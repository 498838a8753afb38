#include "real_sidecars.hpp"

#include <numeric>
#include <string>

namespace merlinrun::scale {

std::vector<net::Tcp::endpoint> RealSidecars::Add(std::int64_t count, const net::Tcp::endpoint& discovery) {
  const std::size_t first = all_.size();
  for (std::int64_t i = 0; i < count; ++i) {
    if (context_.should_stop()) break;  // hundreds of starts take a while
    SidecarOptions options;
    options.program = context_.sidecar;
    options.scratch = context_.scratch;
    options.name = "n" + std::to_string(all_.size());
    options.discovery = discovery;
    options.seed = seed_ + all_.size();
    options.management = management_;
    all_.push_back(std::make_unique<RealSidecar>(options));
  }
  std::vector<net::Tcp::endpoint> addresses;
  for (std::size_t i = first; i < all_.size(); ++i) {
    all_[i]->AwaitReady(io_);
    addresses.push_back(all_[i]->address());
  }
  return addresses;
}

void RealSidecars::Reload(const net::Tcp::endpoint& discovery) {
  for (const auto& sidecar : all_) sidecar->Reload(discovery);
}

std::int64_t RealSidecars::cpu_us() const {
  return std::accumulate(all_.begin(), all_.end(), std::int64_t{0},
                         [](std::int64_t sum, const auto& sidecar) { return sum + sidecar->cpu_us(); });
}

std::int64_t RealSidecars::rss_bytes() const {
  return std::accumulate(all_.begin(), all_.end(), std::int64_t{0},
                         [](std::int64_t sum, const auto& sidecar) { return sum + sidecar->rss_bytes(); });
}

}  // namespace merlinrun::scale
