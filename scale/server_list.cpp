#include "server_list.hpp"

#include <cstdio>
#include <nlohmann/json.hpp>

#include "net/config.hpp"

namespace merlinrun::scale {
namespace {

constexpr std::uint32_t kIdMultiplier = 2654435761U;  // odd, so that different numbers have different ids

std::string ZoneName(std::int64_t number) { return "zone-" + std::to_string(number); }
std::string MachineName(std::int64_t number) { return "m" + std::to_string(number); }

nlohmann::json MakeClass(const char* name, const char* repeat, double importance) {
  return {{"name", name},     {"aim_us", 500'000}, {"hard_limit_us", 3'000'000}, {"importance", importance},
          {"repeat", repeat}, {"group", "all"},    {"late_value", 0.3},          {"window_us", 10'000'000},
          {"stream", false}};
}

}  // namespace

Entry MakeServer(std::int64_t number, Entry::Lifecycle lifecycle, std::int64_t started_at_ms) {
  Entry entry;
  char id[16];
  std::snprintf(id, sizeof id, "s-%08x", static_cast<std::uint32_t>(number) * kIdMultiplier);
  entry.instance_id = id;
  entry.host_port = "10." + std::to_string(1 + number / 65'536 % 250) + "." +
                    std::to_string(number / 256 % 256) + "." + std::to_string(number % 256) + ":3000";
  entry.zone = ZoneName(number % kZones);
  entry.machine_type = MachineName(1 + number % 4);
  entry.cell = number % 60;
  entry.lifecycle = lifecycle;
  entry.weight = 1 + 0.5 * static_cast<double>(number % 3);
  entry.started_at_ms = started_at_ms;
  return entry;
}

std::vector<Entry> MakeServers(std::int64_t count) {
  std::vector<Entry> servers;
  servers.reserve(static_cast<std::size_t>(count));
  for (std::int64_t i = 0; i < count; ++i) servers.push_back(MakeServer(i));
  return servers;
}

nlohmann::json MakeSettingsJson(bool must_subscribe) {
  nlohmann::json zones = nlohmann::json::array();
  for (int i = 0; i < kZones; ++i) zones.push_back(ZoneName(i));
  nlohmann::json machines = nlohmann::json::array();
  for (int i = 1; i <= 4; ++i) machines.push_back(MachineName(i));
  return {{"allowed",
           {{"cancel", true},
            {"conn_idle_us", 60'000'000},
            {"dial_timeout_us", 250'000},
            {"max_attempts", 4},
            {"retry_after", true},
            {"max_retry_after_us", 2'000'000}}},
          {"azs", zones},
          {"my_zone", ZoneName(0)},
          {"host_types", machines},
          {"grades",
           {MakeClass("read", "idempotent", 1), MakeClass("write", "deduplicated", 4),
            MakeClass("once", "at_most_once", 4)}},
          {"membership_mode", must_subscribe ? "subscribe" : "automatic"},
          {"quantum_us", 5000},
          {"rank", 0},
          {"siblings", 10},
          {"rules",
           {{"ask_within_us", 10'000'000},
            {"drain_grace_us", 2'000'000},
            {"cold_from", 0.3},
            {"warm_after_us", 8'000'000},
            {"overload_factor", 3.0},
            {"fall_us", 1'500'000}}},
          {"telemetry", {{"via", "answers"}, {"fields", {"pending", "cpu_share"}}}},
          {"weights", "nominal"},
          {"tenants", nlohmann::json::array()}};
}

drill::WireSettings MakeSettings(bool must_subscribe) {
  return drill::ParseSettings(net::Flatten(MakeSettingsJson(must_subscribe)));
}

}  // namespace merlinrun::scale
