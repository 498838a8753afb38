// Simulated sidecars: the sidecar's discovery client and its balancer, without listeners or connections to
// servers. Thousands of them fit into one process.
#ifndef MERLINRUN_SCALE_SIMULATED_SIDECAR_HPP_
#define MERLINRUN_SCALE_SIMULATED_SIDECAR_HPP_

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

// Records when list changes took effect at sidecars. All times are from the machine's steady clock.
class EffectLog {
 public:
  // A sidecar with the list of generation `before` (net::Discovery::kUnknown: no list) uses `generation` from
  // `at` on. Records `at` for every change in between; nothing if there was no list before.
  void Record(std::int64_t before, std::int64_t generation, Micros at);
  // Returns when the change with that generation took effect at each sidecar that had an older list.
  const std::vector<Micros>& Times(std::int64_t generation) const;
  void Clear() { times_.clear(); }

 private:
  std::map<std::int64_t, std::vector<Micros>> times_;
};

// Handles lists, failed discovery calls and timers as Sidecar does, but keeps no connections to servers.
class SimulatedSidecar : private ActionSink {
 public:
  // `settings` and `log` must outlive the sidecar. Throws std::runtime_error if the settings are invalid.
  SimulatedSidecar(boost::asio::io_context& io, const drill::WireSettings& settings,
                   net::Tcp::endpoint discovery, std::uint64_t seed, EffectLog& log);
  ~SimulatedSidecar() override;
  SimulatedSidecar(const SimulatedSidecar&) = delete;
  SimulatedSidecar& operator=(const SimulatedSidecar&) = delete;

  void Start();
  // Switches to the discovery at that address, as after a reload of the configuration. As in Sidecar, the
  // known list is used until the full list from the new address has arrived.
  void Reload(const net::Tcp::endpoint& discovery);
  // The generation of the last list passed to the balancer; net::Discovery::kUnknown before the first.
  std::int64_t generation() const { return generation_; }
  // The times from Start(), or the last Reload(), to the first list and to the first object of the watch that
  // follows it; 0 until then.
  Micros time_to_first_list() const { return time_to_first_list_; }
  Micros time_to_watch() const { return time_to_watch_; }
  // Passes a request to the balancer. Returns the server that the balancer sends it to, and reports it as
  // served at once; empty if the balancer does not send it.
  std::string SendRequest();

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
  EffectLog& log_;
  const Micros clock_offset_;
  net::Discovery discovery_;
  std::unique_ptr<Balancer> balancer_;
  std::int64_t generation_ = net::Discovery::kUnknown;
  Micros started_ = 0;  // time of Start() or of the last Reload()
  Micros time_to_first_list_ = 0;
  Micros time_to_watch_ = 0;
  std::uint64_t requests_ = 0;
  std::string sent_to_;
  // Lets handlers that run after the destruction detect it.
  std::shared_ptr<const char> lifetime_ = std::make_shared<const char>();
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_SIMULATED_SIDECAR_HPP_
