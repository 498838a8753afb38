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

std::string Hex(std::mt19937_64& random) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64, static_cast<std::uint64_t>(random()));
  return text.data();
}

// The protocol takes no deadline of 0: what is over is the caller's to notice before it asks.
std::string Seconds(std::chrono::duration<double> time) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.6f", std::max(time.count(), 1e-6));
  return text.data();
}

HttpRequest Make(http::verb method, std::mt19937_64& random) {
  HttpRequest request(method, kTarget, 11);
  request.set(http::field::host, "origin.svc");
  request.set(net::kIdHeader, Hex(random));
  return request;
}

}  // namespace

HttpRequest NewRequest(const CallClass& call_class, const std::string& owner,
                       std::chrono::duration<double> time_left, std::size_t body, std::mt19937_64& random) {
  HttpRequest request = Make(call_class.safe ? http::verb::get : http::verb::post, random);
  request.set(net::kClassHeader, call_class.name);
  if (!owner.empty()) request.set(net::kTenantHeader, owner);
  request.set(net::kDeadlineHeader, Seconds(time_left));
  if (!call_class.safe) {
    request.set(net::kIdempotencyHeader, Hex(random) + Hex(random));
    request.body().assign(body, 'q');
  }
  request.prepare_payload();
  return request;
}

HttpRequest OnwardRequest(const HttpRequest& request, Clock::time_point deadline, std::mt19937_64& random) {
  HttpRequest call = Make(request.method(), random);
  for (const char* const name : {net::kClassHeader, net::kTenantHeader})
    if (request.count(name) > 0) call.set(name, request[name]);
  if (deadline != Clock::time_point::max()) call.set(net::kDeadlineHeader, Seconds(deadline - Clock::now()));
  if (request.count(net::kIdempotencyHeader) > 0)
    call.set(net::kIdempotencyHeader, Hex(random) + Hex(random));
  call.body() = request.body();
  call.prepare_payload();
  return call;
}

}  // namespace merlinrun::scale
