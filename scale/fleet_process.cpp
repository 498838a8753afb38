#include "fleet_process.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>
#include <vector>

#include "control.hpp"
#include "server_list.hpp"
#include "simulated_sidecar.hpp"

namespace merlinrun::scale {
namespace {

using nlohmann::json;

constexpr Micros kTenthMs = 100;

class DelayHistogram {
 public:
  void Add(Micros time) { ++counts_[std::max<Micros>(time, 0) / kTenthMs]; }
  json ToJson() const {
    json pairs = json::array();
    for (const auto& [tenths, count] : counts_) pairs.push_back({tenths, count});
    return {{"tenths_ms", pairs}};
  }

 private:
  std::map<std::int64_t, std::int64_t> counts_;
};

class FleetProcess {
 public:
  explicit FleetProcess(std::uint16_t port)
      : io_(1),
        automatic_settings_(MakeSettings(false)),
        subscribe_settings_(MakeSettings(true)),
        commands_(io_, port, [this](const json& command) { return Execute(command); }) {}
  void Run() { io_.run(); }

 private:
  struct Member {
    int region;
    std::unique_ptr<SimulatedSidecar> sidecar;
  };

  json Execute(const json& command) {
    const std::string action = command.at("do").get<std::string>();
    if (action == "add") return Add(command);
    if (action == "reload") return Reload(command);
    if (action == "end") return End(command.value("region", -1));
    if (action == "status") return Status(command);
    if (action == "force") return EffectDelays(command.at("changes"), command.value("keep", false));
    if (action == "joined") return Delays(command.value("region", -1), &SimulatedSidecar::time_to_first_list);
    if (action == "watching") return Delays(command.value("region", -1), &SimulatedSidecar::time_to_watch);
    throw std::runtime_error("unknown command " + action);
  }

  static net::Tcp::endpoint Address(const json& command) {
    const auto address = net::ParseAddress(command.at("address").get<std::string>());
    if (!address) throw std::runtime_error("invalid address");
    return *address;
  }

  json Add(const json& command) {
    const net::Tcp::endpoint address = Address(command);
    const drill::WireSettings& settings =
        command.value("must_subscribe", false) ? subscribe_settings_ : automatic_settings_;
    std::uint64_t seed = command.value("seed", std::uint64_t{1});
    for (auto remaining = command.at("sidecars").get<std::size_t>(); remaining > 0; --remaining) {
      members_.push_back({command.value("region", 0),
                          std::make_unique<SimulatedSidecar>(io_, settings, address, seed++, log_)});
      members_.back().sidecar->Start();
    }
    return {{"at_us", SteadyNow()}};
  }

  json Reload(const json& command) {
    const net::Tcp::endpoint address = Address(command);
    for (const Member& m : members_)
      if (m.region == command.at("region").get<int>()) m.sidecar->Reload(address);
    return {{"at_us", SteadyNow()}};
  }

  json End(int region) {
    std::erase_if(members_, [&](const Member& m) { return region < 0 || m.region == region; });
    return {{"at_us", SteadyNow()}};
  }

  json Status(const json& command) const {
    const auto generation = command.value("generation", std::int64_t{0});
    json status = OwnUsage(command.value("trim", false));
    status["sidecars"] = members_.size();
    status["settled"] = std::count_if(members_.begin(), members_.end(),
                                      [](const Member& m) { return m.sidecar->time_to_watch() > 0; });
    status["at"] = std::count_if(members_.begin(), members_.end(),
                                 [&](const Member& m) { return m.sidecar->generation() >= generation; });
    return status;
  }

  json EffectDelays(const json& changes, bool keep) {
    DelayHistogram histogram;
    for (const json& change : changes)
      for (const Micros at : log_.Times(change.at(0).get<std::int64_t>()))
        histogram.Add(at - change.at(1).get<Micros>());
    if (!keep) log_.Clear();
    return histogram.ToJson();
  }

  json Delays(int region, Micros (SimulatedSidecar::*time)() const) const {
    DelayHistogram histogram;
    for (const Member& m : members_)
      if ((region < 0 || m.region == region) && (*m.sidecar.*time)() > 0) histogram.Add((*m.sidecar.*time)());
    return histogram.ToJson();
  }

  asio::io_context io_;
  const drill::WireSettings automatic_settings_;
  const drill::WireSettings subscribe_settings_;
  EffectLog log_;
  std::vector<Member> members_;
  CommandLoop commands_;
};

}  // namespace

int RunFleetProcess(std::uint16_t port) {
  FleetProcess process(port);
  process.Run();
  return 0;
}

}  // namespace merlinrun::scale
