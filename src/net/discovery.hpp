// The client of the discovery service: follows the list of servers over one watch, which it reopens with
// jittered backoff when the watch ends, falls silent or delivers invalid data.
#ifndef MERLINRUN_NET_DISCOVERY_HPP_
#define MERLINRUN_NET_DISCOVERY_HPP_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "endpoint_list.hpp"
#include "list_age.hpp"
#include "merlinrun/balancer.hpp"
#include "protocol.hpp"
#include "wire.hpp"

namespace merlinrun::net {

// Receives the list of servers from discovery and passes each update to its owner. Makes one call at a time:
// for the full list while the generation is unknown, then a watch for what changes after it.
class Discovery {
 public:
  static constexpr std::int64_t kUnknown = -1;  // generation: no list yet, so the full list is requested

  struct Timing {
    Micros connect_timeout = 2'000'000;
    // For the next data of an open watch. Discovery sends an empty line every 2 s.
    Micros silence_timeout = 2'700'000;
    // For the answer to a call, shortened when missed changes take effect earlier, and for one object to
    // arrive completely.
    Micros answer_timeout = 4'500'000;
    // What a watch or a failed call misses takes effect this long after the last data of the watch or the
    // start of the call.
    Micros missed_change_delay = 6'000'000;
    // What another discovery lists takes effect this long after the switch to it.
    Micros switch_delay = 4'000'000;
    Micros backoff_base = 200'000;   // the wait before the n-th reopening is random(0, base * 2^n) ...
    Micros backoff_max = 1'000'000;  // ... up to this maximum
    bool reopens_itself = true;      // false: the owner decides when Watch is called again
  };
  struct Events {
    // A full list or a change of it has been received.
    std::function<void(const EndpointList&)> on_list;
    // The watch ended or could not be opened. Watch has to be called again within this many microseconds, as
    // missed changes take effect soon after, received or not.
    std::function<void(Micros within)> on_failed;
    // Optional: called right before `on_list` with the JSON object that the list was read from, as received.
    std::function<void(const nlohmann::json&)> on_object{};
    // Optional: part of an answer has been received, be it only a blank line.
    std::function<void()> on_data{};
    // Optional: missed_changes_take_effect_at() may have changed.
    std::function<void()> on_age_changed{};
  };

  Discovery(asio::io_context& io, Tcp::endpoint address, const drill::WireSettings& names, Timing timing,
            std::uint64_t seed, Events events);
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  // Sets the generation of the list that is already known; to be called before the first watch.
  void SetKnownGeneration(std::int64_t generation) { generation_ = generation; }

  // Opens the watch for all changes after the known generation. Does nothing if a call is in progress.
  void Watch();

  // Follows the discovery at another address from now on. Generations of two discoveries are not comparable,
  // so the full list is requested first. Does nothing if the address is the same.
  void SwitchTo(const Tcp::endpoint& address);

  // From when on missed changes take effect if nothing more is received; see ListAge.
  std::optional<ListAge::Time> missed_changes_take_effect_at() const {
    return age_.missed_changes_take_effect_at();
  }

 private:
  using Clock = std::chrono::steady_clock;
  class Call;
  using CallResult = ListAge::CallResult;

  void Open();
  void Reject(Call& call, const std::string& reason);
  void OnData();
  void ReportAge() const;
  void OnObject(Call& call, const std::string& text);
  void OnEnd(const Call& call, CallResult result, const std::string& reason);
  bool IsApplicable(const EndpointList& list) const;

  asio::io_context& io_;
  Tcp::endpoint address_;
  const drill::WireSettings& names_;
  const Timing timing_;
  const Events events_;
  std::mt19937_64 random_;
  asio::steady_timer backoff_;
  std::shared_ptr<Call> call_;  // the call in progress
  ListAge age_;
  std::int64_t generation_ = kUnknown;  // of the last list or change from the current address
  Clock::time_point last_data_at_;      // for the log
  std::uint64_t calls_ = 0;             // made since the start
  int failures_ = 0;                    // since the last list
  bool invalid_data_logged_ = false;    // since the last list
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_DISCOVERY_HPP_
