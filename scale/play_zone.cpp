// A rack is lost and comes back, and then a zone: their servers are removed and up again, cold.
#include <algorithm>

#include "discovery_steps.hpp"
#include "play.hpp"
#include "server_list.hpp"

namespace merlinrun::scale {
namespace {

class ZoneLost : public Plot {
 public:
  explicit ZoneLost(Parameters& parameters)
      : listed_(ListedOf(parameters)),
        racks_(parameters.Integer("racks_in_zone", 19, 1, 10'000)),
        in_object_(parameters.Integer("in_object", 10, 1, 50'000)),
        lost_s_(parameters.Number("lost_s", 3, 0, 600)) {}

  void Play(DiscoveryRig& rig, std::map<std::string, double>&) override {
    const std::int64_t in_zone = (listed_ + kZones - 1) / kZones;  // in zone 0
    const std::int64_t in_rack = std::max<std::int64_t>(in_zone / racks_, 1);
    for (const std::int64_t count : {in_rack, in_zone}) {
      Tell(rig, count, "removed");
      rig.Pass(lost_s_);
      Tell(rig, count, "up");
      rig.Pass(lost_s_);
    }
  }

 private:
  // As health checks find it: some servers at a time.
  void Tell(DiscoveryRig& rig, std::int64_t count, const char* lifecycle) const {
    for (std::int64_t done = 0; done < count; done += in_object_) {
      rig.Change({{"first", done * kZones},
                  {"stride", kZones},
                  {"count", std::min(in_object_, count - done)},
                  {"lifecycle", lifecycle},
                  {"restarted", true}});
      rig.Pass(kBetween_s);
    }
  }

  static constexpr double kBetween_s = 0.02;
  const std::int64_t listed_;
  const std::int64_t racks_;
  const std::int64_t in_object_;
  const double lost_s_;
};

}  // namespace

std::unique_ptr<Step> MakePlayZone(Parameters& parameters) {
  return MakePlay(
      "play_zone", [](Parameters& p) -> std::unique_ptr<Plot> { return std::make_unique<ZoneLost>(p); },
      parameters);
}

}  // namespace merlinrun::scale
