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
class AdminDownServers {
 public:
  // `started`: as the list has it, empty if the server was never listed. False if it is out already.
  bool SetDown(std::string_view id, std::optional<Micros> started) {
    const auto entry = entries_.find(id);
    if (entry != entries_.end() && entry->second.down) return false;
    entries_.insert_or_assign(std::string(id), Entry{true, started, 0});
    return true;
  }
  // False if it is not out.
  bool SetUp(std::string_view id, Micros now) {
    const auto entry = entries_.find(id);
    if (entry == entries_.end() || !entry->second.down) return false;
    entry->second.down = false;
    entry->second.up_since = now;
    return true;
  }
  // The list tells of a server. Its first start to be told is the one that was banned.
  void OnListed(std::string_view id, Micros started) {
    const auto entry = entries_.find(id);
    if (entry != entries_.end() && !entry->second.listed_start) entry->second.listed_start = started;
  }

  bool IsDown(std::string_view id) const {
    const auto entry = entries_.find(id);
    return entry != entries_.end() && entry->second.down;
  }
  // When a server started, as far as is known. Guards against taking one for warm that was restarted while it
  // was out: the list tells it late.
  Micros StartTime(std::string_view id, Micros listed) const {
    const auto entry = entries_.find(id);
    const bool use_listed = entry == entries_.end() || entry->second.listed_start.value_or(listed) != listed;
    return use_listed ? listed : std::max(listed, entry->second.up_since);
  }

 private:
  struct Entry {
    bool down = true;
    std::optional<Micros> listed_start;  // as listed when it was taken out; another start is news
    Micros up_since = 0;
  };

  std::map<std::string, Entry, std::less<>> entries_;
};

}  // namespace merlinrun

#endif  // MERLINRUN_BANS_HPP_
