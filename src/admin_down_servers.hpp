// The servers that operators have taken administratively down, and those that they have put up again.
#ifndef MERLINRUN_ADMIN_DOWN_SERVERS_HPP_
#define MERLINRUN_ADMIN_DOWN_SERVERS_HPP_

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "merlinrun/balancer.hpp"

namespace merlinrun {

// Records which servers are administratively down, and since when others are up again. Servers are identified
// by their id; times are in microseconds of the Balancer's clock.
class AdminDownServers {
 public:
  // `started`: the start time in the list; empty if the server was never listed. Returns false if the server
  // is down already.
  bool SetDown(std::string_view id, std::optional<Micros> started) {
    const auto entry = entries_.find(id);
    if (entry != entries_.end() && entry->second.down) return false;
    entries_.insert_or_assign(std::string(id), Entry{true, started, 0});
    return true;
  }
  // Returns false if the server is not down.
  bool SetUp(std::string_view id, Micros now) {
    const auto entry = entries_.find(id);
    if (entry == entries_.end() || !entry->second.down) return false;
    entry->second.down = false;
    entry->second.up_since = now;
    return true;
  }
  // Called when the list contains the server. For one that was taken down before it was listed, the first
  // listed start time is taken as that of the process that was taken down.
  void OnListed(std::string_view id, Micros started) {
    const auto entry = entries_.find(id);
    if (entry != entries_.end() && !entry->second.listed_start) entry->second.listed_start = started;
  }

  bool IsDown(std::string_view id) const {
    const auto entry = entries_.find(id);
    return entry != entries_.end() && entry->second.down;
  }
  // The start time of a server: the listed one, or the time at which it was put up again if that is later and
  // the list still shows the start time from before. A server that was restarted while it was down would
  // otherwise count as warmed up, since the list shows the restart late.
  Micros StartTime(std::string_view id, Micros listed) const {
    const auto entry = entries_.find(id);
    const bool use_listed = entry == entries_.end() || entry->second.listed_start.value_or(listed) != listed;
    return use_listed ? listed : std::max(listed, entry->second.up_since);
  }

 private:
  struct Entry {
    bool down = true;
    std::optional<Micros> listed_start;  // as listed when it was taken down; a different one means a restart
    Micros up_since = 0;
  };

  std::map<std::string, Entry, std::less<>> entries_;
};

}  // namespace merlinrun

#endif  // MERLINRUN_ADMIN_DOWN_SERVERS_HPP_
