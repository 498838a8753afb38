#include "discovery_test_bed.hpp"

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <thread>

namespace merlinrun::scale {
namespace {

using nlohmann::json;

constexpr auto kPollInterval = std::chrono::milliseconds(20);
constexpr auto kEffectTimeout = std::chrono::minutes(2);
constexpr std::int64_t kOtherDescriptors = 64;
// Upper bounds of the memory of a simulated sidecar and of a watch, from runs of the list_size and watches
// steps.
constexpr double kMbPerSidecar = 0.06;
constexpr double kMbPerListedServer = 0.0008;
constexpr double kMbPerProcess = 64;

json SplitEvenly(std::int64_t all, std::int64_t parts) {
  json shares = json::array();
  for (std::int64_t i = 0; i < parts; ++i) shares.push_back(all * (i + 1) / parts - all * i / parts);
  return shares;
}

}  // namespace

DiscoveryTestBed::DiscoveryTestBed(Context& context, const Options& options)
    : context_(context),
      options_(options),
      discovery_(kDiscoveryProcess, context.scratch / "discovery.log"),
      seed_(context.seed) {
  const json opened = SendCommand({{"do", "open"},
                                   {"regions", options.regions},
                                   {"listed", options.listed},
                                   {"service_time_us", options.service_time_us},
                                   {"queue", options.queue}});
  addresses_ = opened.at("addresses").get<std::vector<std::string>>();
  for (std::int64_t i = 0; i < options.fleets; ++i)
    fleets_.push_back(std::make_unique<WorkerProcess>(kFleetProcess, context.scratch / "fleet.log"));
}

ResourceRequirements DiscoveryTestBed::Requirements(const Options& options, std::int64_t sidecars) {
  ResourceRequirements requirements;
  requirements.descriptors = static_cast<std::size_t>(sidecars + kOtherDescriptors);  // of discovery
  requirements.ports = static_cast<std::size_t>(options.regions + 1);  // and one for a control connection
  requirements.processes = static_cast<std::size_t>(options.fleets + 1);
  requirements.memory_mb = kMbPerProcess * static_cast<double>(requirements.processes) +
                           static_cast<double>(sidecars) *
                               (kMbPerSidecar + kMbPerListedServer * static_cast<double>(options.listed));
  return requirements;
}

void DiscoveryTestBed::AddSidecars(std::int64_t sidecars, std::int64_t region) {
  if (region == kAllRegions) {
    const json shares = SplitEvenly(sidecars, options_.regions);
    for (std::int64_t i = 0; i < options_.regions; ++i)
      AddSidecars(shares[static_cast<std::size_t>(i)].get<std::int64_t>(), i);
    return;
  }
  const json shares = SplitEvenly(sidecars, options_.fleets);
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
  sidecars_in_region_[region] += sidecars;
}

void DiscoveryTestBed::RemoveSidecars(std::int64_t region) {
  for (const auto& fleet : fleets_) fleet->Execute({{"do", "end"}, {"region", region}});
  sidecars_ -= std::exchange(sidecars_in_region_[region], 0);
}

void DiscoveryTestBed::ReloadSidecars() {
  for (std::int64_t i = 0; i < options_.regions; ++i) {
    const json command = {
        {"do", "reload"}, {"region", i}, {"address", addresses_.at(static_cast<std::size_t>(i))}};
    for (const auto& fleet : fleets_) fleet->Send(command);
  }
  for (std::int64_t i = 0; i < options_.regions; ++i)
    for (const auto& fleet : fleets_) fleet->Receive();
}

void DiscoveryTestBed::AwaitEffect(std::int64_t generation) { AwaitAll("at", generation); }

void DiscoveryTestBed::AwaitWatches() { AwaitAll("settled", 0); }

void DiscoveryTestBed::AwaitAll(const char* status_key, std::int64_t generation) {
  const auto end = std::chrono::steady_clock::now() + kEffectTimeout;
  for (;;) {
    std::int64_t done = 0;
    for (const auto& fleet : fleets_) fleet->Send({{"do", "status"}, {"generation", generation}});
    for (const auto& fleet : fleets_) done += fleet->Receive().at(status_key).get<std::int64_t>();
    if (done == sidecars_) return;
    if (std::chrono::steady_clock::now() > end)
      throw std::runtime_error("a list has not taken effect, or a watch has not started, at " +
                               std::to_string(sidecars_ - done) + " of " + std::to_string(sidecars_) +
                               " sidecars after two minutes");
    Wait(std::chrono::duration<double>(kPollInterval).count());
  }
}

void DiscoveryTestBed::Wait(double seconds) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
  for (;;) {
    if (context_.should_stop && context_.should_stop()) throw Interrupted();
    const auto left = end - std::chrono::steady_clock::now();
    if (left.count() <= 0) return;
    std::this_thread::sleep_for(
        std::min<std::chrono::duration<double>>(left, std::chrono::milliseconds(100)));
  }
}

std::int64_t DiscoveryTestBed::ChangeServers(const json& change) {
  json command = change;
  command["do"] = "change";
  return SendCommand(command).at("generation").get<std::int64_t>();
}

std::int64_t DiscoveryTestBed::SumOverFleets(const std::string& name, bool trim) {
  std::int64_t sum = 0;
  for (const auto& fleet : fleets_)
    sum += fleet->Execute({{"do", "status"}, {"trim", trim}}).at(name).get<std::int64_t>();
  return sum;
}

DiscoveryTestBed::Changes DiscoveryTestBed::ChangesSince(std::int64_t generation) {
  return SendCommand({{"do", "changes"}, {"since", generation}}).at("changes").get<Changes>();
}

DelaySummary DiscoveryTestBed::EffectDelays(const Changes& changes, bool keep) {
  return QueryDelays({{"do", "force"}, {"changes", changes}, {"keep", keep}});
}

DelaySummary DiscoveryTestBed::FirstListDelays(std::int64_t region) {
  return QueryDelays({{"do", "joined"}, {"region", region}});
}

DelaySummary DiscoveryTestBed::WatchDelays() { return QueryDelays({{"do", "watching"}}); }

DelaySummary DiscoveryTestBed::QueryDelays(const json& command) {
  std::map<std::int64_t, std::int64_t> counts;  // by delay in tenths of a millisecond
  DelaySummary delays;
  for (const auto& fleet : fleets_) fleet->Send(command);
  for (const auto& fleet : fleets_) {
    const json reply = fleet->Receive();
    for (const json& bin : reply.at("tenths_ms")) {
      counts[bin.at(0).get<std::int64_t>()] += bin.at(1).get<std::int64_t>();
      delays.count += bin.at(1).get<std::int64_t>();
    }
  }
  // The shortest delay that at least this share of all did not exceed.
  const auto quantile = [&](double share) {
    double below = 0;
    for (const auto& [tenths, count] : counts) {
      below += static_cast<double>(count);
      if (below >= share * static_cast<double>(delays.count)) return 0.1 * static_cast<double>(tenths);
    }
    return 0.0;
  };
  delays.p50_ms = quantile(0.5);
  delays.p99_ms = quantile(0.99);
  delays.last_ms = quantile(1);
  return delays;
}

void MeasureEach(Context& context, const std::vector<std::int64_t>& sizes,
                 const std::function<void(std::int64_t size, int repeat)>& measure) {
  try {
    for (int repeat = 0; repeat < context.repeats; ++repeat)
      for (const std::int64_t size : sizes) measure(size, repeat);
  } catch (const Interrupted&) {
  }
}

void AddDelays(const std::string& name, const DelaySummary& delays, std::map<std::string, double>& figures) {
  figures[name + "_p50_ms"] = delays.p50_ms;
  figures[name + "_p99_ms"] = delays.p99_ms;
  figures[name + "_last_ms"] = delays.last_ms;
}

double Increase(const json& before, const json& after, const char* counter) {
  return after.at(counter).get<double>() - before.at(counter).get<double>();
}

}  // namespace merlinrun::scale
