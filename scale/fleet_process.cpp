#include "fleet_process.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>
#include <vector>

#include "control.hpp"
#include "hollow.hpp"
#include "server_list.hpp"

namespace merlinrun::scale {
namespace {

using nlohmann::json;

constexpr Micros kTenthMs = 100;

class Bins {
 public:
  void Add(Micros time) { ++counts_[std::max<Micros>(time, 0) / kTenthMs]; }
  json Answer() const {
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
        pushed_(MakeSettings(false)),
        asked_(MakeSettings(true)),
        commands_(io_, port, [this](const json& command) { return Do(command); }) {}
  void Run() { io_.run(); }

 private:
  struct Member {
    int region;
    std::unique_ptr<HollowSidecar> sidecar;
  };

  json Do(const json& command) {
    const std::string what = command.at("do").get<std::string>();
    if (what == "add") return Add(command);
    if (what == "reload") return Reload(command);
    if (what == "end") return End(command.value("region", -1));
    if (what == "status") return Status(command);
    if (what == "force") return Force(command.at("changes"), command.value("keep", false));
    if (what == "joined") return Times(command.value("region", -1), &HollowSidecar::first_list_after);
    if (what == "watching") return Times(command.value("region", -1), &HollowSidecar::watching_after);
    throw std::runtime_error("unknown command " + what);
  }

  static net::Tcp::endpoint Address(const json& command) {
    const auto address = net::ParseAddress(command.at("address").get<std::string>());
    if (!address) throw std::runtime_error("no address");
    return *address;
  }

  json Add(const json& command) {
    const net::Tcp::endpoint address = Address(command);
    const drill::WireSettings& settings = command.value("must_subscribe", false) ? asked_ : pushed_;
    std::uint64_t seed = command.value("seed", std::uint64_t{1});
    for (auto left = command.at("sidecars").get<std::size_t>(); left > 0; --left) {
      members_.push_back({command.value("region", 0),
                          std::make_unique<HollowSidecar>(io_, settings, address, seed++, log_)});
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
                                      [](const Member& m) { return m.sidecar->watching_after() > 0; });
    status["at"] = std::count_if(members_.begin(), members_.end(),
                                 [&](const Member& m) { return m.sidecar->generation() >= generation; });
    return status;
  }

  json Force(const json& changes, bool keep) {
    Bins bins;
    for (const json& change : changes)
      for (const Micros at : log_.Times(change.at(0).get<std::int64_t>()))
        bins.Add(at - change.at(1).get<Micros>());
    if (!keep) log_.Clear();
    return bins.Answer();
  }

  json Times(int region, Micros (HollowSidecar::*time)() const) const {
    Bins bins;
    for (const Member& m : members_)
      if ((region < 0 || m.region == region) && (*m.sidecar.*time)() > 0) bins.Add((*m.sidecar.*time)());
    return bins.Answer();
  }

  asio::io_context io_;
  const drill::WireSettings pushed_;
  const drill::WireSettings asked_;
  ForceLog log_;
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
