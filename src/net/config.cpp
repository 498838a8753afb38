#include "config.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace merlinrun::net {
namespace {

using Json = nlohmann::json;

constexpr double kMaxExactInteger = 9007199254740992.0;  // 2^53; a double holds larger ones inexactly

// Formats a JSON value that is no object and no list.
std::string FormatScalar(const Json& value) {
  if (value.is_string()) return ToWireName(value.get<std::string>());
  if (value.is_number_float()) {  // 250000.0 is written as 250000
    const double number = value.get<double>();
    if (std::trunc(number) == number && std::abs(number) < kMaxExactInteger)
      return std::to_string(static_cast<std::int64_t>(number));
  }
  return value.dump();
}

// Appends the `path=value` pairs of a JSON value to `out`.
void FlattenInto(const Json& value, const std::string& path, std::string& out);

// A list of scalars becomes one comma-separated pair; a list of objects a count and the pairs of each.
void FlattenList(const Json& list, const std::string& path, std::string& out) {
  const bool objects =
      std::any_of(list.begin(), list.end(), [](const Json& item) { return item.is_structured(); });
  if (!objects) {
    std::string joined;
    for (const Json& item : list) joined += (joined.empty() ? "" : ",") + FormatScalar(item);
    out += path + "=" + joined + " ";
    return;
  }
  out += path + ".count=" + std::to_string(list.size()) + " ";
  for (std::size_t i = 0; i < list.size(); ++i) FlattenInto(list[i], path + "." + std::to_string(i), out);
}

void FlattenInto(const Json& value, const std::string& path, std::string& out) {
  if (value.is_object()) {
    for (const auto& [key, inner] : value.items())
      FlattenInto(inner, path.empty() ? ToWireName(key) : path + "." + ToWireName(key), out);
  } else if (value.is_array()) {
    FlattenList(value, path, out);
  } else if (!value.is_null()) {
    out += path + "=" + FormatScalar(value) + " ";
  }
}

// The address under `key`, or the one from the environment if that is set.
Tcp::endpoint GetAddress(const Json& json, const char* key, const std::string& from_environment) {
  const std::string text = from_environment.empty() ? json.at(key).get<std::string>() : from_environment;
  const auto address = ParseAddress(text);
  if (!address) throw ConfigError(std::string(key) + " '" + text + "': not an IP address with a port");
  return *address;
}

std::uint64_t ParseSeed(const Json& json) {
  const std::string text = json.value("seed", std::string("0"));
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc() || end != text.data() + text.size())
    throw ConfigError("seed '" + text + "': not a 64-bit hexadecimal number");
  return seed;
}

EndpointList ParseKnownList(const Json& json, const drill::WireSettings& names) {
  if (!json.contains("known") || json.at("known").is_null()) return {};
  std::string error;
  const auto list = ParseList(json.at("known"), names, error);
  if (!list) throw ConfigError("known: " + error);
  return *list;
}

// Reads the optional limits into `config`; what is missing keeps its default.
void ParseLimits(const Json& json, Config& config) {
  if (!json.contains("limits")) return;
  const Json& limits = json.at("limits");
  config.descriptor_limit = limits.value("sockets", static_cast<std::uint64_t>(config.descriptor_limit));
  const double megabytes = limits.value("memory_mb", 64.0);
  if (config.descriptor_limit < 64)
    throw ConfigError("limits.sockets: the sidecar needs at least 64 to work");
  if (!(megabytes >= 16 && megabytes <= 1e9))
    throw ConfigError("limits.memory_mb: the sidecar needs at least 16 to work, and at most 1e9");
  config.memory_limit = static_cast<std::size_t>(megabytes * (1 << 20));
}

std::vector<std::string> ParseClassNames(const Json& settings) {
  std::vector<std::string> names;
  for (const Json& grade : settings.at("grades")) names.push_back(grade.at("name").get<std::string>());
  return names;
}

Config FromJson(const Json& json, const Overrides& overrides) {
  Config config;
  config.name = json.value("name", std::string());
  config.listen = GetAddress(json, "listen", overrides.listen);
  config.discovery = GetAddress(json, "discovery", overrides.discovery);
  if (!overrides.management.empty() || (json.contains("mgmt") && !json.at("mgmt").is_null()))
    config.management = GetAddress(json, "mgmt", overrides.management);
  config.seed = ParseSeed(json);
  ParseLimits(json, config);
  config.wire = drill::ParseSettings(Flatten(json.at("settings")));
  config.class_names = ParseClassNames(json.at("settings"));
  config.last_known_list = ParseKnownList(json, config.wire);
  return config;
}

// The value of a variable; empty if it is not set.
std::string GetOrEmpty(const Environment& environment, const char* name) {
  const char* const text = environment(name);
  return text == nullptr ? "" : text;
}

std::string ToOneLine(std::string text) {
  std::replace(text.begin(), text.end(), '\n', ' ');
  return text;
}

// Parses EDGE_ACCEPT_FD and checks that the descriptor is a listening TCP socket: otherwise a wrong number
// would show only when the first client connects.
std::optional<int> ParseAcceptFd(const std::string& text) {
  if (text.empty()) return std::nullopt;
  int fd = -1;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), fd);
  if (error != std::errc() || end != text.data() + text.size() || fd < 0)
    throw ConfigError("EDGE_ACCEPT_FD '" + ToOneLine(text) + "': not a file descriptor number");
  int listens = 0;
  socklen_t size = sizeof listens;
  sockaddr_storage address{};
  socklen_t length = sizeof address;
  if (::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0 || listens == 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length) != 0 ||
      (address.ss_family != AF_INET && address.ss_family != AF_INET6))
    throw ConfigError("EDGE_ACCEPT_FD " + text + ": not a listening TCP socket");
  return fd;
}

std::string ReadFile(const Environment& environment) {
  const std::string path = GetOrEmpty(environment, "EDGE_CONFIG");
  if (path.empty()) throw ConfigError("EDGE_CONFIG: not set");
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!(text << file.rdbuf())) throw ConfigError(path + ": cannot be read");
  return text.str();
}

}  // namespace

std::string ToWireName(std::string_view name) {
  std::string out(name);
  std::replace_if(
      out.begin(), out.end(), [](char c) { return c == ' ' || c == ','; }, '_');
  return out;
}

std::string Flatten(const Json& settings) {
  std::string out;
  FlattenInto(settings, "", out);
  if (!out.empty()) out.pop_back();  // the trailing space
  return out;
}

Config ParseConfig(const std::string& text, const Overrides& overrides) {
  try {
    return FromJson(Json::parse(text), overrides);
  } catch (const Json::exception& error) {
    throw ConfigError(ToOneLine(error.what()));
  } catch (const drill::WireError& error) {
    throw ConfigError(ToOneLine(std::string("settings: ") + error.what()));
  }
}

Config LoadConfig(const Environment& environment) {
  Config config = ParseConfig(ReadFile(environment), {GetOrEmpty(environment, "EDGE_LISTEN"),
                                                      GetOrEmpty(environment, "EDGE_DISCOVERY"),
                                                      GetOrEmpty(environment, "EDGE_MGMT")});
  config.accept_fd = ParseAcceptFd(GetOrEmpty(environment, "EDGE_ACCEPT_FD"));
  config.shared_dir = GetOrEmpty(environment, "TMPDIR");
  return config;
}

Config ReloadConfig(const Environment& environment) {
  return ParseConfig(ReadFile(environment),
                     {GetOrEmpty(environment, "EDGE_LISTEN"), "", GetOrEmpty(environment, "EDGE_MGMT")});
}

}  // namespace merlinrun::net
