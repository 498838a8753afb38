#include "request_mapping.hpp"

#include <algorithm>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <optional>

#include "validate.hpp"

namespace merlinrun::net {
namespace {

constexpr Micros kMs = 1000;
constexpr Micros kSecond = 1000 * kMs;

// The final answer is due this long before the client gives up, because other sidecars share the core and a
// busy event loop runs late. The margin takes at most kMaxMarginShare of a short time.
constexpr Micros kAnswerMargin = 40 * kMs;
constexpr double kMaxMarginShare = 0.2;
// An expected work above this many microseconds is ignored.
constexpr double kMaxCost = 1e12;

}  // namespace

std::string FormatSeconds(Micros time) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", static_cast<double>(time) / static_cast<double>(kSecond));
  return text;
}

int RequestMapping::ClassIndex(std::string_view name) const {
  // Two class names may have the same wire name; an exact match of the configured name comes first.
  const auto own = std::find(config_.class_names.begin(), config_.class_names.end(), name);
  if (own != config_.class_names.end()) return static_cast<int>(own - config_.class_names.begin());
  const auto& classes = config_.wire.settings.classes;
  const std::string wire_name = ToWireName(name);
  const auto it = std::find_if(classes.begin(), classes.end(),
                               [&](const RequestClass& c) { return c.name == wire_name; });
  return it == classes.end() ? -1 : static_cast<int>(it - classes.begin());
}

int RequestMapping::TenantIndex(std::string_view name) const {
  const auto& tenants = config_.wire.settings.tenants;
  const std::string wire_name = ToWireName(name);
  const auto it =
      std::find_if(tenants.begin(), tenants.end(), [&](const Tenant& t) { return t.name == wire_name; });
  return it == tenants.end() ? -1 : static_cast<int>(it - tenants.begin());
}

Micros RequestMapping::AnswerTime(const RequestHeader& request, std::size_t request_class) const {
  Micros time = config_.wire.settings.classes[request_class].deadline;
  if (const auto seconds = ParseDecimal(ToStringView(request[kDeadlineHeader]))) {
    const auto requested = static_cast<Micros>(*seconds * static_cast<double>(kSecond));
    time = time > 0 ? std::min(time, requested) : requested;
  }
  return time - std::min(kAnswerMargin, static_cast<Micros>(kMaxMarginShare * static_cast<double>(time)));
}

std::string RequestMapping::ObjectKey(const RequestHeader& request) {
  const std::string_view target = ToStringView(request.target());
  const std::string name = std::string(kKeyParameter) + "=";
  std::size_t at = target.find('?');
  while (at != std::string_view::npos) {
    const std::string_view rest = target.substr(at + 1);
    const std::string_view pair = rest.substr(0, rest.find('&'));
    if (pair.substr(0, name.size()) == name) return std::string(pair.substr(name.size()));
    at = target.find('&', at + 1);
  }
  return {};
}

Request RequestMapping::ForBalancer(std::string_view id, std::string_view key, const PendingRequest& pending,
                                    Micros budget) const {
  const auto& head = pending.message.head;
  Request request;
  request.id = id;
  request.request_class = static_cast<int>(pending.request_class);
  request.tenant = TenantIndex(ToStringView(head[kTenantHeader]));
  request.budget = budget;
  request.body_pending = pending.body_pending;
  request.repeated = head[kRetryHeader] == "1";
  request.write = head.method() != http::verb::get;
  if (const auto cost = ParseDecimal(ToStringView(head[kCostHeader])); cost && *cost < kMaxCost)
    request.cost = static_cast<Micros>(*cost);
  request.key = key;
  return request;
}

Message<true> RequestMapping::ForServer(const PendingRequest& pending, Micros time_left) {
  Message<true> forwarded;
  const auto& received = pending.message.head;
  forwarded.head.method(received.method());
  forwarded.head.target(received.target());
  forwarded.head.version(11);
  for (const char* name : kRequestHeaders)
    if (const auto it = received.find(name); it != received.end()) forwarded.head.set(name, it->value());
  SetDeadline(forwarded.head, time_left);
  forwarded.buffered = pending.message.buffered;
  forwarded.remaining = pending.message.remaining;
  if (forwarded.remaining != nullptr) forwarded.length = pending.message.length;
  return forwarded;
}

void RequestMapping::SetDeadline(RequestHeader& header, Micros time_left) {
  header.set(kDeadlineHeader, FormatSeconds(time_left));
}

}  // namespace merlinrun::net
