#include "requests.hpp"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>

#include "net/protocol.hpp"

namespace merlinrun::scale {
namespace {

namespace http = net::http;

constexpr const char* kTarget = "/api";

std::string RandomHex(std::mt19937_64& random) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64, static_cast<std::uint64_t>(random()));
  return text.data();
}

// Returns at least 1 us, since the protocol does not allow a deadline of 0. Callers check before they send
// whether the deadline has passed.
std::string FormatSeconds(std::chrono::duration<double> time) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.6f", std::max(time.count(), 1e-6));
  return text.data();
}

HttpRequest MakeRequest(http::verb method, std::mt19937_64& random) {
  HttpRequest request(method, kTarget, 11);
  request.set(http::field::host, "origin.svc");
  request.set(net::kIdHeader, RandomHex(random));
  return request;
}

}  // namespace

HttpRequest NewRequest(const CallClass& call_class, const std::string& tenant,
                       std::chrono::duration<double> time_left, std::size_t body_size,
                       std::mt19937_64& random) {
  HttpRequest request = MakeRequest(call_class.safe ? http::verb::get : http::verb::post, random);
  request.set(net::kClassHeader, call_class.name);
  if (!tenant.empty()) request.set(net::kTenantHeader, tenant);
  request.set(net::kDeadlineHeader, FormatSeconds(time_left));
  if (!call_class.safe) {
    request.set(net::kIdempotencyHeader, RandomHex(random) + RandomHex(random));
    request.body().assign(body_size, 'q');
  }
  request.prepare_payload();
  return request;
}

HttpRequest OnwardRequest(const HttpRequest& request, Clock::time_point deadline, std::mt19937_64& random) {
  HttpRequest onward = MakeRequest(request.method(), random);
  for (const char* const name : {net::kClassHeader, net::kTenantHeader})
    if (request.count(name) > 0) onward.set(name, request[name]);
  if (deadline != Clock::time_point::max())
    onward.set(net::kDeadlineHeader, FormatSeconds(deadline - Clock::now()));
  if (request.count(net::kIdempotencyHeader) > 0)
    onward.set(net::kIdempotencyHeader, RandomHex(random) + RandomHex(random));
  onward.body() = request.body();
  onward.prepare_payload();
  return onward;
}

}  // namespace merlinrun::scale
