// Hollow sidecars: the sidecar's own client of discovery and its own decision module, without the callers'
// side. Thousands of them fit into one process.
#ifndef MERLINRUN_SCALE_HOLLOW_HPP_
#define MERLINRUN_SCALE_HOLLOW_HPP_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "merlinrun/balancer.hpp"
#include "net/discovery.hpp"
#include "wire.hpp"

namespace merlinrun::scale {

// When changes came into force at sidecars, by the one clock of the machine.
class ForceLog {
 public:
  // A sidecar that held `before` (net::Discovery::kUnknown: nothing) acts on `generation` from `at` on.
  void Note(std::int64_t before, std::int64_t generation, Micros at);
  // Of the changes with that generation: when each sidecar that held an older list began to act on it.
  const std::vector<Micros>& Times(std::int64_t generation) const;
  void Clear() { times_.clear(); }

 private:
  std::map<std::int64_t, std::vector<Micros>> times_;
};

// Does with lists, failed calls and timers what Sidecar does with them; keeps no connections to servers.
class HollowSidecar : private ActionSink {
 public:
  // `settings` and `log` outlive it. Throws std::runtime_error if the settings make no sense.
  HollowSidecar(boost::asio::io_context& io, const drill::WireSettings& settings,
                net::Tcp::endpoint discovery, std::uint64_t seed, ForceLog& log);
  ~HollowSidecar() override;
  HollowSidecar(const HollowSidecar&) = delete;
  HollowSidecar& operator=(const HollowSidecar&) = delete;

  void Start();
  // Its configuration is read again and has that address of discovery. As in Sidecar: what it knows stays in
  // force until it has the list from there.
  void Reload(const net::Tcp::endpoint& discovery);
  // Of the last list that the module was given; net::Discovery::kUnknown before the first.
  std::int64_t generation() const { return generation_; }
  // Since Start(), or the last Reload(): the time until the first list and until the first object of the
  // watch upon it; 0 before them.
  Micros first_list_after() const { return first_list_after_; }
  Micros watching_after() const { return watching_after_; }
  // The server that the module sends a request to now, which is served at once; empty if it sends it nowhere.
  std::string SendOne();

 private:
  void Send(std::string_view, const std::string& server, Micros) override { sent_to_ = server; }
  void Cancel(std::string_view, int) override {}
  void Refuse(std::string_view, Micros) override {}
  void Fail(std::string_view) override {}
  void SetTimer(Micros delay, std::uint64_t token) override;
  void Subscribe() override;
  void Log(std::string_view) override {}

  Micros Now() const;
  void OnList(ListUpdate::Kind kind, const net::EndpointList& list);
  void OnDiscoveryFailed(Micros within);

  boost::asio::io_context& io_;
  const drill::WireSettings& settings_;
  ForceLog& log_;
  const Micros clock_offset_;
  net::Discovery discovery_;
  std::unique_ptr<Balancer> balancer_;
  std::int64_t generation_ = net::Discovery::kUnknown;
  Micros started_ = 0;  // or reloaded
  Micros first_list_after_ = 0;
  Micros watching_after_ = 0;
  std::uint64_t requests_ = 0;
  std::string sent_to_;
  // Guards against timers that outlive it.
  std::shared_ptr<const char> life_ = std::make_shared<const char>();
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_HOLLOW_HPP_
