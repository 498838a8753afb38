// The servers that operators have taken out of use by hand, and those that they have put back.
#ifndef MERLINRUN_BANS_HPP_
#define MERLINRUN_BANS_HPP_

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "merlinrun/balancer.hpp"

namespace merlinrun {

// Servers are named by their id; times are in microseconds of the module's clock.
class Bans {
 public:
  // `started`: as the list has it, empty if the server was never listed. False if it is out already.
  bool TakeOut(std::string_view id, std::optional<Micros> started) {
    const auto ban = bans_.find(id);
    if (ban != bans_.end() && ban->second.out) return false;
    bans_.insert_or_assign(std::string(id), Ban{true, started, 0});
    return true;
  }
  // False if it is not out.
  bool PutBack(std::string_view id, Micros now) {
    const auto ban = bans_.find(id);
    if (ban == bans_.end() || !ban->second.out) return false;
    ban->second.out = false;
    ban->second.back_at = now;
    return true;
  }
  // The list tells of a server. Its first start to be told is the one that was banned.
  void OnListed(std::string_view id, Micros started) {
    const auto ban = bans_.find(id);
    if (ban != bans_.end() && !ban->second.started) ban->second.started = started;
  }

  bool IsOut(std::string_view id) const {
    const auto ban = bans_.find(id);
    return ban != bans_.end() && ban->second.out;
  }
  // When a server started, as far as is known. Guards against taking one for warm that was restarted while it
  // was out: the list tells it late.
  Micros Started(std::string_view id, Micros listed) const {
    const auto ban = bans_.find(id);
    const bool told = ban == bans_.end() || ban->second.started.value_or(listed) != listed;
    return told ? listed : std::max(listed, ban->second.back_at);
  }

 private:
  struct Ban {
    bool out = true;
    std::optional<Micros> started;  // as listed when it was taken out; another start is news
    Micros back_at = 0;
  };

  std::map<std::string, Ban, std::less<>> bans_;
};

}  // namespace merlinrun

#endif  // MERLINRUN_BANS_HPP_
