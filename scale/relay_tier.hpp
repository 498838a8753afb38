// Relay processes between the fake discovery and fleets of simulated sidecars.
#ifndef MERLINRUN_SCALE_RELAY_TIER_HPP_
#define MERLINRUN_SCALE_RELAY_TIER_HPP_

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "child.hpp"
#include "step.hpp"

namespace merlinrun::scale {

class RelayTier {
 public:
  // Starts one relay for each of the upstream addresses and waits until each serves a list. Throws
  // std::runtime_error if one does not within 30 seconds.
  RelayTier(const Context& context, const std::vector<std::string>& upstream, std::int64_t batch_ms);

  const std::vector<std::string>& addresses() const { return addresses_; }
  // Sums over all relays: the numbers of their status responses by name, and "cpu_us" since their start.
  std::map<std::string, double> Sums() const;
  double MemoryBytes() const;

 private:
  static nlohmann::json Status(const std::string& address);  // null if it does not respond

  std::vector<std::string> addresses_;
  std::vector<std::unique_ptr<Child>> relays_;
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_RELAY_TIER_HPP_
