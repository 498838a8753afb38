// Follows the list of servers: one watch, reopened with jittered backoff when it ends, falls silent or says
// something that cannot be understood.
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

class Discovery {
 public:
  static constexpr std::int64_t kUnknown = -1;  // a generation: the whole list is asked for

  struct Timing {
    Micros connect = 2'000'000;       // from a call to its connection
    Micros silence = 2'700'000;       // an empty line comes every 2 s
    Micros answer = 4'500'000;        // from a call to its answer, if nothing presses, and for an object
    Micros told_unheard = 6'000'000;  // what a watch or a failed call misses binds so long after its last ...
    Micros told_anew = 4'000'000;   // ... word or its start, and what another discovery tells after a switch
    Micros backoff_base = 200'000;  // the wait before the n-th reopening is random(0, base * 2^n) ...
    Micros backoff_most = 1'000'000;  // ... and no longer than this
    bool reopens = true;              // false: somebody else decides when to ask again
  };
  struct Events {
    std::function<void(const EndpointList&)> on_list;
    // The watch ended or never opened. Discovery has to be asked again within this time, in microseconds, as
    // news binds then whether it is heard or not.
    std::function<void(Micros within)> on_failed;
    // Optional: an object that has been accepted, as it came, right before `on_list`.
    std::function<void(const nlohmann::json&)> on_object{};
    // Optional: a sign of life of a call, blank lines too.
    std::function<void()> on_heard{};
  };

  Discovery(asio::io_context& io, Tcp::endpoint address, const drill::WireSettings& names, Timing timing,
            std::uint64_t seed, Events events);
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  // What is known already, before the first watch.
  void Know(std::int64_t generation) { generation_ = generation; }

  // Opens the watch, to be told of what changed after what is known. Does nothing if it is open already.
  void Watch();

  // Follows another address from now on. Its versions are its own, so it is asked for the whole list first.
  // Does nothing if the address is the one that is followed.
  void Switch(const Tcp::endpoint& address);

  // From when on changes that were not heard bind; none while a watch is heard, and while there can be none.
  std::optional<ListAge::Time> binds_unheard() const;
  // Whether such changes are only possible or known to have been told.
  MissedChanges unheard() const { return age_.unheard(); }

 private:
  using Clock = std::chrono::steady_clock;
  class Stream;
  using CallEnd = ListAge::CallEnd;

  void Open();
  void Drop(Stream& stream, const std::string& reason);
  void OnHeard();
  void OnObject(Stream& stream, const std::string& text);
  void OnEnd(const Stream& stream, CallEnd why, const std::string& reason);
  bool Follows(const EndpointList& list) const;

  asio::io_context& io_;
  Tcp::endpoint address_;
  const drill::WireSettings& names_;
  const Timing timing_;
  const Events events_;
  std::mt19937_64 random_;
  asio::steady_timer backoff_;
  std::shared_ptr<Stream> stream_;  // the call that is under way
  ListAge age_;
  std::int64_t generation_ = kUnknown;  // of the discovery that is followed
  Clock::time_point heard_at_;          // the last word of discovery, for the log
  std::uint64_t calls_ = 0;             // made since the start
  int failures_ = 0;
  bool complained_ = false;
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_DISCOVERY_HPP_
