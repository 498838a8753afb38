// A play: something befalls a fleet and its discovery, and what it takes until all act on what is told then.
#ifndef MERLINRUN_SCALE_PLAY_HPP_
#define MERLINRUN_SCALE_PLAY_HPP_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "discovery_rig.hpp"
#include "step.hpp"

namespace merlinrun::scale {

// Of the changes that discovery is driven to: the same ones for each size, without relays and behind them.
inline constexpr std::uint64_t kDriveSeed = 1;

// What befalls a fleet.
class Plot {
 public:
  virtual ~Plot() = default;
  // Plays it to its end, but for the last changes' coming into force. Figures of its own go into `figures`.
  virtual void Play(DiscoveryRig& rig, std::map<std::string, double>& figures) = 0;
  // Once all is in force.
  virtual void Conclude(DiscoveryRig&, std::map<std::string, double>&) {}
};

using PlotFactory = std::unique_ptr<Plot> (*)(Parameters& parameters);

// A step that plays it with fleets of each of the sizes "sidecars", on discovery itself and behind so many
// relays as "relays" has. With relays, each region has its own, and there are as many regions.
std::unique_ptr<Step> MakePlay(const char* name, PlotFactory plot, Parameters& parameters);

// The keys that all plays share; a plot may ask for the same ones.
std::int64_t ListedOf(Parameters& parameters);
std::int64_t RegionsOf(Parameters& parameters);
std::vector<std::int64_t> RelaysOf(Parameters& parameters);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_PLAY_HPP_
