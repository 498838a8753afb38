// The list of servers as discovery sends it, and its parser.
#ifndef MERLINRUN_NET_ENDPOINT_LIST_HPP_
#define MERLINRUN_NET_ENDPOINT_LIST_HPP_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "merlinrun/balancer.hpp"
#include "protocol.hpp"
#include "wire.hpp"

namespace merlinrun::net {

// A server as discovery lists it. `info.started` is in Unix time, on which the balancer's clock is based too.
struct Endpoint {
  ServerInfo info;
  Tcp::endpoint address;
};

// One message of discovery: the full list, or the entries that changed since the generation before it.
struct EndpointList {
  bool full = false;  // the full list; otherwise only changed entries
  std::int64_t generation = 0;
  std::vector<Endpoint> endpoints;
};

// Parses a list. Returns nothing, with the reason in `error`, if any part of it is invalid.
std::optional<EndpointList> ParseList(const nlohmann::json& json, const drill::WireSettings& names,
                                      std::string& error);

// Parses an IP address with a port, such as "127.0.0.1:80". Returns nothing for any other text.
std::optional<Tcp::endpoint> ParseAddress(std::string_view text);

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_ENDPOINT_LIST_HPP_
