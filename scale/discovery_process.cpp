#include "discovery_process.hpp"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cmath>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>
#include <utility>
#include <vector>

#include "address.hpp"
#include "control.hpp"
#include "fake_discovery.hpp"
#include "server_list.hpp"

namespace merlinrun::scale {
namespace {

using nlohmann::json;

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Entry::Lifecycle ParseLifecycle(const std::string& word) {
  if (word == "up") return Entry::Lifecycle::kUp;
  if (word == "draining") return Entry::Lifecycle::kDraining;
  if (word == "removed") return Entry::Lifecycle::kRemoved;
  throw std::runtime_error("unknown lifecycle");
}

class DiscoveryProcess {
 public:
  explicit DiscoveryProcess(std::uint16_t port)
      : io_(1),
        change_timer_(io_),
        commands_(io_, port, [this](const json& command) { return Execute(command); }) {}
  void Run() { io_.run(); }

 private:
  json Execute(const json& command) {
    const std::string action = command.at("do").get<std::string>();
    if (action == "open") return Open(command);
    if (discovery_ == nullptr) throw std::runtime_error("discovery is not open");
    if (action == "list") return SetList(command.at("listed").get<std::int64_t>());
    if (action == "change") return Change(command);
    if (action == "drive") return StartRandomChanges(command);
    if (action == "changes") return Changes(command.at("since").get<std::int64_t>());
    if (action == "counts") return Counts(command.value("trim", false));
    if (action == "die") {
      discovery_->Crash();
    } else if (action == "return") {
      discovery_->Restart(command.value("anew", false));
    } else if (action == "silent") {
      discovery_->SetSilent(command.at("on").get<bool>());
    } else if (action == "cut") {
      discovery_->SetPartitioned(command.at("region").get<std::size_t>(), command.at("on").get<bool>());
    } else {
      throw std::runtime_error("unknown command " + action);
    }
    return {{"at_us", SteadyNow()}};
  }

  // Each region has a loopback address of its own, as a single address has too few ports for all watches.
  json Open(const json& command) {
    std::vector<Tcp::endpoint> listen;
    for (std::uint32_t i = 0; i < command.value("regions", 1U); ++i)
      listen.emplace_back(asio::ip::address_v4((127U << 24U) + (1U << 16U) + (i << 8U) + 1U), 0);
    FakeDiscovery::Options options;
    options.service_time = command.value("service_time_us", options.service_time);
    options.service_time_per_entry =
        command.value("service_time_per_line_us", options.service_time_per_entry);
    options.queue = command.value("queue", options.queue);
    options.max_wait = command.value("longest_wait_us", options.max_wait);
    options.history = command.value("history", options.history);
    discovery_ = std::make_unique<FakeDiscovery>(io_, listen, options);
    SetList(command.value("listed", std::int64_t{0}));
    json addresses = json::array();
    for (const Tcp::endpoint& address : discovery_->addresses()) addresses.push_back(AddressText(address));
    return {{"addresses", addresses}, {"generation", discovery_->generation()}};
  }

  json SetList(std::int64_t listed) {
    listed_ = listed;
    draining_.clear();
    changes_.clear();
    discovery_->SetList(MakeServers(listed));
    return {{"generation", discovery_->generation()}};
  }

  json Apply(const std::vector<Entry>& entries) {
    const Micros at = SteadyNow();
    const std::int64_t generation = discovery_->Change(entries);
    changes_.emplace_back(generation, at);
    return {{"generation", generation}, {"at_us", at}};
  }

  json Change(const json& command) {
    const auto lifecycle = ParseLifecycle(command.at("lifecycle").get<std::string>());
    const std::int64_t started = command.value("restarted", false) ? UnixMs() : 0;
    const auto stride = command.value("stride", std::int64_t{1});
    std::vector<Entry> entries;
    std::int64_t number = command.at("first").get<std::int64_t>();
    for (auto remaining = command.value("count", std::int64_t{1}); remaining > 0;
         --remaining, number += stride)
      entries.push_back(MakeServer(number, lifecycle, started));
    return Apply(entries);
  }

  json StartRandomChanges(const json& command) {
    changes_per_s_ = command.at("per_s").get<double>();
    random_.seed(command.value("seed", std::uint64_t{1}));
    change_timer_.cancel();
    change_timer_.expires_at(std::chrono::steady_clock::now());
    if (changes_per_s_ > 0 && listed_ > 0) ScheduleNextChange();
    return {{"at_us", SteadyNow()}};
  }

  // Times are computed from the scheduled time of the previous change, so that a late change does not delay
  // those after it.
  void ScheduleNextChange() {
    const std::chrono::duration<double> wait(std::exponential_distribution<double>(changes_per_s_)(random_));
    change_timer_.expires_at(change_timer_.expiry() +
                             std::chrono::duration_cast<std::chrono::steady_clock::duration>(wait));
    change_timer_.async_wait([this](const boost::system::error_code& error) {
      if (error || changes_per_s_ <= 0) return;
      if (draining_.empty()) {
        draining_.push_back(std::uniform_int_distribution<std::int64_t>(0, listed_ - 1)(random_));
        Apply({MakeServer(draining_.back(), Entry::Lifecycle::kDraining)});
      } else {
        Apply({MakeServer(draining_.back(), Entry::Lifecycle::kUp, UnixMs())});
        draining_.pop_back();
      }
      ScheduleNextChange();
    });
  }

  json Changes(std::int64_t since) const {
    json changes = json::array();
    for (const auto& [generation, at] : changes_)
      if (generation > since) changes.push_back({generation, at});
    return {{"changes", changes}};
  }

  json Counts(bool trim) {
    json counts = OwnUsage(trim);
    const FakeDiscovery::Counts& c = discovery_->counts();
    counts.update({{"connections", c.connections},
                   {"calls", c.calls},
                   {"refused", c.refused},
                   {"whole_lists", c.full_lists},
                   {"watches", c.watches},
                   {"bytes_in", c.bytes_in},
                   {"bytes_out", c.bytes_out},
                   {"objects", c.objects},
                   {"entries", c.entries},
                   {"blank_lines", c.heartbeats},
                   {"most_calls_in_a_second", c.max_calls_in_a_second},
                   {"generation", discovery_->generation()},
                   {"at_us", SteadyNow()}});
    discovery_->ResetMaxCallRate();
    return counts;
  }

  asio::io_context io_;
  std::unique_ptr<FakeDiscovery> discovery_;
  std::int64_t listed_ = 0;
  std::vector<std::pair<std::int64_t, Micros>> changes_;  // pairs of a generation and the time of the change
  double changes_per_s_ = 0;
  std::vector<std::int64_t> draining_;  // servers that drain and come up again next
  std::mt19937_64 random_;
  asio::steady_timer change_timer_;
  CommandLoop commands_;
};

}  // namespace

int RunDiscoveryProcess(std::uint16_t port) {
  DiscoveryProcess process(port);
  process.Run();
  return 0;
}

}  // namespace merlinrun::scale
