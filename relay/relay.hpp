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
  std::string state;                     // a file; empty: begins empty at each start
  std::chrono::milliseconds batch{500};  // changes that come within it are told as one
  std::size_t history = 20'000;          // removed entries that are remembered
  std::uint64_t seed = 0;
  Server::Limits limits;
  net::Discovery::Timing timing;  // of the watch above
  // Heard for so long, what the upstream told first has come whole.
  std::chrono::milliseconds first_words{2000};
};

class Relay {
 public:
  // Throws boost::system::system_error if it cannot listen. Serves at once if the state file knows a list.
  Relay(net::asio::io_context& io, const Config& config);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // JSON: what the relay knows, whom it serves and what that took.
  std::string Status() const;

  const std::vector<net::Tcp::endpoint>& addresses() const { return server_.addresses(); }
  const Server& server() const { return server_; }
  const Feed& feed() const { return feed_; }
  bool upstream_heard() const { return heard_; }

 private:
  using Clock = std::chrono::steady_clock;

  // A kind of line on the log, at most once a second.
  class Seldom {
   public:
    bool Due() {
      const auto now = Clock::now();
      if (now < next_) return false;
      next_ = now + std::chrono::seconds(1);
      return true;
    }

   private:
    Clock::time_point next_;
  };

  bool HeardOut() const { return heard_ && Clock::now() - heard_since_ >= first_words_; }
  void OnObject(const nlohmann::json& object);
  void OnHeard();
  void OnFailed();

  Feed feed_;
  StateFile state_;
  Server server_;
  const std::chrono::milliseconds first_words_;
  const drill::WireSettings no_names_;  // zones and the like are passed on as they are
  net::Discovery upstream_;
  bool heard_ = false;  // since the last call's end
  Clock::time_point heard_since_;
  Clock::time_point last_heard_;
  Seldom heard_log_;
  Seldom lost_log_;
  Seldom begun_log_;
  std::uint64_t upstream_objects_ = 0;
  std::uint64_t upstream_ends_ = 0;
};

}  // namespace merlinrun::relay

#endif  // MERLINRUN_RELAY_RELAY_HPP_
