#include "discovery_rig.hpp"

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <thread>

namespace merlinrun::scale {
namespace {

using nlohmann::json;

constexpr auto kPoll = std::chrono::milliseconds(20);
constexpr auto kForceAtMost = std::chrono::minutes(2);
constexpr std::int64_t kOtherDescriptors = 64;
// Upper bounds of what a hollow sidecar and a watch take, from trials of the list_size and watches steps.
constexpr double kSidecarMb = 0.06;
constexpr double kListedMb = 0.0008;
constexpr double kProcessMb = 64;

json SpreadMembers(std::int64_t all, std::int64_t parts) {
  json shares = json::array();
  for (std::int64_t i = 0; i < parts; ++i) shares.push_back(all * (i + 1) / parts - all * i / parts);
  return shares;
}

}  // namespace

DiscoveryRig::DiscoveryRig(Context& context, const Options& options)
    : context_(context),
      options_(options),
      discovery_(kDiscoveryProcess, context.scratch / "discovery.log"),
      seed_(context.seed) {
  const json opened = Tell({{"do", "open"},
                            {"regions", options.regions},
                            {"listed", options.listed},
                            {"service_time_us", options.service_time_us},
                            {"queue", options.queue}});
  addresses_ = opened.at("addresses").get<std::vector<std::string>>();
  for (std::int64_t i = 0; i < options.fleets; ++i)
    fleets_.push_back(std::make_unique<Part>(kFleetProcess, context.scratch / "fleet.log"));
}

Needs DiscoveryRig::Requires(const Options& options, std::int64_t sidecars) {
  Needs needs;
  needs.descriptors = static_cast<std::size_t>(sidecars + kOtherDescriptors);  // discovery's
  needs.ports = static_cast<std::size_t>(options.regions + 1);                 // and one of a line at a time
  needs.processes = static_cast<std::size_t>(options.fleets + 1);
  needs.memory_mb =
      kProcessMb * static_cast<double>(needs.processes) +
      static_cast<double>(sidecars) * (kSidecarMb + kListedMb * static_cast<double>(options.listed));
  return needs;
}

void DiscoveryRig::Add(std::int64_t sidecars, std::int64_t region) {
  if (region == kAllRegions) {
    const json shares = SpreadMembers(sidecars, options_.regions);
    for (std::int64_t i = 0; i < options_.regions; ++i)
      Add(shares[static_cast<std::size_t>(i)].get<std::int64_t>(), i);
    return;
  }
  const json shares = SpreadMembers(sidecars, options_.fleets);
  for (std::size_t i = 0; i < fleets_.size(); ++i) {
    fleets_[i]->Send({{"do", "add"},
                      {"sidecars", shares[i]},
                      {"region", region},
                      {"address", addresses_.at(static_cast<std::size_t>(region))},
                      {"seed", seed_},
                      {"must_subscribe", options_.must_subscribe}});
    seed_ += shares[i].get<std::uint64_t>();
  }
  for (const auto& fleet : fleets_) fleet->Receive();
  sidecars_ += sidecars;
  in_region_[region] += sidecars;
}

void DiscoveryRig::End(std::int64_t region) {
  for (const auto& fleet : fleets_) fleet->Ask({{"do", "end"}, {"region", region}});
  sidecars_ -= std::exchange(in_region_[region], 0);
}

void DiscoveryRig::Reload() {
  for (std::int64_t i = 0; i < options_.regions; ++i) {
    const json command = {
        {"do", "reload"}, {"region", i}, {"address", addresses_.at(static_cast<std::size_t>(i))}};
    for (const auto& fleet : fleets_) fleet->Send(command);
  }
  for (std::int64_t i = 0; i < options_.regions; ++i)
    for (const auto& fleet : fleets_) fleet->Receive();
}

void DiscoveryRig::AwaitForce(std::int64_t generation) { Await("at", generation); }

void DiscoveryRig::AwaitWatches() { Await("settled", 0); }

void DiscoveryRig::Await(const char* figure, std::int64_t generation) {
  const auto end = std::chrono::steady_clock::now() + kForceAtMost;
  for (;;) {
    std::int64_t done = 0;
    for (const auto& fleet : fleets_) fleet->Send({{"do", "status"}, {"generation", generation}});
    for (const auto& fleet : fleets_) done += fleet->Receive().at(figure).get<std::int64_t>();
    if (done == sidecars_) return;
    if (std::chrono::steady_clock::now() > end)
      throw std::runtime_error("a list is not in force at " + std::to_string(sidecars_ - done) + " of " +
                               std::to_string(sidecars_) + " sidecars after two minutes");
    Pass(std::chrono::duration<double>(kPoll).count());
  }
}

void DiscoveryRig::Pass(double seconds) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
  for (;;) {
    if (context_.should_stop && context_.should_stop()) throw Interrupted();
    const auto left = end - std::chrono::steady_clock::now();
    if (left.count() <= 0) return;
    std::this_thread::sleep_for(
        std::min<std::chrono::duration<double>>(left, std::chrono::milliseconds(100)));
  }
}

std::int64_t DiscoveryRig::Change(const json& change) {
  json command = change;
  command["do"] = "change";
  return Tell(command).at("generation").get<std::int64_t>();
}

std::int64_t DiscoveryRig::FleetFigure(const std::string& name, bool trim) {
  std::int64_t sum = 0;
  for (const auto& fleet : fleets_)
    sum += fleet->Ask({{"do", "status"}, {"trim", trim}}).at(name).get<std::int64_t>();
  return sum;
}

DiscoveryRig::Changes DiscoveryRig::ChangesSince(std::int64_t generation) {
  return Tell({{"do", "changes"}, {"since", generation}}).at("changes").get<Changes>();
}

Spread DiscoveryRig::Force(const Changes& changes, bool keep) {
  return AskSpread({{"do", "force"}, {"changes", changes}, {"keep", keep}});
}

Spread DiscoveryRig::Joined(std::int64_t region) { return AskSpread({{"do", "joined"}, {"region", region}}); }

Spread DiscoveryRig::Watching() { return AskSpread({{"do", "watching"}}); }

Spread DiscoveryRig::AskSpread(const json& command) {
  std::map<std::int64_t, std::int64_t> counts;  // by tenths of a millisecond
  Spread spread;
  for (const auto& fleet : fleets_) fleet->Send(command);
  for (const auto& fleet : fleets_) {
    const json answer = fleet->Receive();
    for (const json& bin : answer.at("tenths_ms")) {
      counts[bin.at(0).get<std::int64_t>()] += bin.at(1).get<std::int64_t>();
      spread.count += bin.at(1).get<std::int64_t>();
    }
  }
  // The least time that so large a part of all did not exceed.
  const auto quantile = [&](double part) {
    double below = 0;
    for (const auto& [tenths, count] : counts) {
      below += static_cast<double>(count);
      if (below >= part * static_cast<double>(spread.count)) return 0.1 * static_cast<double>(tenths);
    }
    return 0.0;
  };
  spread.p50_ms = quantile(0.5);
  spread.p99_ms = quantile(0.99);
  spread.last_ms = quantile(1);
  return spread;
}

void ReadEach(Context& context, const std::vector<std::int64_t>& sizes,
              const std::function<void(std::int64_t size, int repeat)>& read) {
  try {
    for (int repeat = 0; repeat < context.repeats; ++repeat)
      for (const std::int64_t size : sizes) read(size, repeat);
  } catch (const Interrupted&) {
  }
}

void AddSpread(const std::string& name, const Spread& spread, std::map<std::string, double>& figures) {
  figures[name + "_p50_ms"] = spread.p50_ms;
  figures[name + "_p99_ms"] = spread.p99_ms;
  figures[name + "_last_ms"] = spread.last_ms;
}

double Gain(const json& before, const json& after, const char* counter) {
  return after.at(counter).get<double>() - before.at(counter).get<double>();
}

}  // namespace merlinrun::scale
