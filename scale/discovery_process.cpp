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
#include "discovery_stand_in.hpp"
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
      : io_(1), drive_(io_), commands_(io_, port, [this](const json& command) { return Do(command); }) {}
  void Run() { io_.run(); }

 private:
  json Do(const json& command) {
    const std::string what = command.at("do").get<std::string>();
    if (what == "open") return Open(command);
    if (stand_in_ == nullptr) throw std::runtime_error("not open");
    if (what == "list") return SetList(command.at("listed").get<std::int64_t>());
    if (what == "change") return Change(command);
    if (what == "drive") return Drive(command);
    if (what == "changes") return Changes(command.at("since").get<std::int64_t>());
    if (what == "counts") return Counts(command.value("trim", false));
    if (what == "die") {
      stand_in_->Die();
    } else if (what == "return") {
      stand_in_->Return(command.value("anew", false));
    } else if (what == "silent") {
      stand_in_->SetSilent(command.at("on").get<bool>());
    } else if (what == "cut") {
      stand_in_->Cut(command.at("region").get<std::size_t>(), command.at("on").get<bool>());
    } else {
      throw std::runtime_error("unknown command " + what);
    }
    return {{"at_us", SteadyNow()}};
  }

  // Each region has a loopback address of its own: the ports of one would not do for all watches.
  json Open(const json& command) {
    std::vector<Tcp::endpoint> listen;
    for (std::uint32_t i = 0; i < command.value("regions", 1U); ++i)
      listen.emplace_back(asio::ip::address_v4((127U << 24U) + (1U << 16U) + (i << 8U) + 1U), 0);
    DiscoveryStandIn::Options options;
    options.service_time = command.value("service_time_us", options.service_time);
    options.service_time_per_line = command.value("service_time_per_line_us", options.service_time_per_line);
    options.queue = command.value("queue", options.queue);
    options.longest_wait = command.value("longest_wait_us", options.longest_wait);
    options.history = command.value("history", options.history);
    stand_in_ = std::make_unique<DiscoveryStandIn>(io_, listen, options);
    SetList(command.value("listed", std::int64_t{0}));
    json addresses = json::array();
    for (const Tcp::endpoint& address : stand_in_->addresses()) addresses.push_back(AddressText(address));
    return {{"addresses", addresses}, {"generation", stand_in_->generation()}};
  }

  json SetList(std::int64_t listed) {
    listed_ = listed;
    draining_.clear();
    changes_.clear();
    stand_in_->SetList(MakeServers(listed));
    return {{"generation", stand_in_->generation()}};
  }

  json Apply(const std::vector<Entry>& entries) {
    const Micros at = SteadyNow();
    const std::int64_t generation = stand_in_->Change(entries);
    changes_.emplace_back(generation, at);
    return {{"generation", generation}, {"at_us", at}};
  }

  json Change(const json& command) {
    const auto lifecycle = ParseLifecycle(command.at("lifecycle").get<std::string>());
    const std::int64_t started = command.value("restarted", false) ? UnixMs() : 0;
    const auto stride = command.value("stride", std::int64_t{1});
    std::vector<Entry> entries;
    std::int64_t number = command.at("first").get<std::int64_t>();
    for (auto left = command.value("count", std::int64_t{1}); left > 0; --left, number += stride)
      entries.push_back(MakeServer(number, lifecycle, started));
    return Apply(entries);
  }

  json Drive(const json& command) {
    per_s_ = command.at("per_s").get<double>();
    random_.seed(command.value("seed", std::uint64_t{1}));
    drive_.cancel();
    drive_.expires_at(std::chrono::steady_clock::now());
    if (per_s_ > 0 && listed_ > 0) DriveOn();
    return {{"at_us", SteadyNow()}};
  }

  // The times are drawn ahead: a change that is late does not put off the ones behind it.
  void DriveOn() {
    const std::chrono::duration<double> wait(std::exponential_distribution<double>(per_s_)(random_));
    drive_.expires_at(drive_.expiry() +
                      std::chrono::duration_cast<std::chrono::steady_clock::duration>(wait));
    drive_.async_wait([this](const boost::system::error_code& error) {
      if (error || per_s_ <= 0) return;
      if (draining_.empty()) {
        draining_.push_back(std::uniform_int_distribution<std::int64_t>(0, listed_ - 1)(random_));
        Apply({MakeServer(draining_.back(), Entry::Lifecycle::kDraining)});
      } else {
        Apply({MakeServer(draining_.back(), Entry::Lifecycle::kUp, UnixMs())});
        draining_.pop_back();
      }
      DriveOn();
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
    const DiscoveryStandIn::Counts& c = stand_in_->counts();
    counts.update({{"connections", c.connections},
                   {"calls", c.calls},
                   {"refused", c.refused},
                   {"whole_lists", c.whole_lists},
                   {"watches", c.watches},
                   {"bytes_in", c.bytes_in},
                   {"bytes_out", c.bytes_out},
                   {"objects", c.objects},
                   {"entries", c.entries},
                   {"blank_lines", c.blank_lines},
                   {"most_calls_in_a_second", c.most_calls_in_a_second},
                   {"generation", stand_in_->generation()},
                   {"at_us", SteadyNow()}});
    stand_in_->CountSecondsAnew();
    return counts;
  }

  asio::io_context io_;
  std::unique_ptr<DiscoveryStandIn> stand_in_;
  std::int64_t listed_ = 0;
  std::vector<std::pair<std::int64_t, Micros>> changes_;  // generation and time
  double per_s_ = 0;
  std::vector<std::int64_t> draining_;  // what has been driven out and comes back next
  std::mt19937_64 random_;
  asio::steady_timer drive_;
  CommandLoop commands_;
};

}  // namespace

int RunDiscoveryProcess(std::uint16_t port) {
  DiscoveryProcess process(port);
  process.Run();
  return 0;
}

}  // namespace merlinrun::scale
