// The fan-out tier of discovery: one watch upstream, many watches downstream, the same protocol on both
// sides.
#ifndef MERLINRUN_RELAY_RELAY_HPP_
#define MERLINRUN_RELAY_RELAY_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "net/discovery.hpp"
#include "relay/feed.hpp"
#include "relay/server.hpp"
#include "relay/state_file.hpp"

namespace merlinrun::relay {

struct Config {
  std::vector<net::Tcp::endpoint> listen;
  net::Tcp::endpoint upstream;
  std::string state_path;                         // state file; empty: none, each start begins without a list
  std::chrono::milliseconds batch_interval{500};  // changes within it are sent as one object
  std::size_t max_tombstones = 20'000;            // removed entries that are kept for deltas
  std::uint64_t seed = 0;
  Server::Limits limits;
  net::Discovery::Timing timing;  // of the upstream watch
  // This long after the first data of a call to the upstream, its first object is assumed to have arrived
  // completely: the relay then counts as caught up.
  std::chrono::milliseconds catch_up_time{2000};
};

class Relay {
 public:
  // Throws boost::system::system_error if it cannot listen. Serves at once if the state file contains a list.
  Relay(net::asio::io_context& io, const Config& config);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // Returns the state of the list, the connections and the counters as JSON.
  std::string Status() const;

  const std::vector<net::Tcp::endpoint>& addresses() const { return server_.addresses(); }
  const Server& server() const { return server_; }
  const Feed& feed() const { return feed_; }
  bool upstream_connected() const { return upstream_connected_; }

 private:
  using Clock = std::chrono::steady_clock;

  // Limits one kind of log line to one per second.
  class LogRateLimit {
   public:
    bool Allows() {
      const auto now = Clock::now();
      if (now < next_at_) return false;
      next_at_ = now + std::chrono::seconds(1);
      return true;
    }

   private:
    Clock::time_point next_at_;
  };

  bool UpstreamCaughtUp() const {
    return upstream_connected_ && Clock::now() - connected_since_ >= catch_up_time_;
  }
  void OnObject(const nlohmann::json& object);
  void OnData();
  void OnFailed();

  Feed feed_;
  StateFile state_file_;
  Server server_;
  const std::chrono::milliseconds catch_up_time_;
  // Lists no zones or machine types. net::Discovery needs such names only to translate those of the entries
  // into indices in the list that it parses, which the relay ignores. The relay passes on the JSON entries,
  // which net::Discovery leaves unchanged.
  const drill::WireSettings settings_without_names_;
  net::Discovery upstream_;
  bool upstream_connected_ = false;  // data has been received since the last call ended
  Clock::time_point connected_since_;
  Clock::time_point last_data_at_;
  LogRateLimit connected_log_;
  LogRateLimit lost_log_;
  LogRateLimit new_list_log_;
  std::uint64_t upstream_objects_ = 0;
  std::uint64_t upstream_failures_ = 0;
};

}  // namespace merlinrun::relay

#endif  // MERLINRUN_RELAY_RELAY_HPP_
