// Creates requests that an application sends to its sidecar, with the headers of the protocol.
#ifndef MERLINRUN_SCALE_REQUESTS_HPP_
#define MERLINRUN_SCALE_REQUESTS_HPP_

#include <chrono>
#include <cstddef>
#include <random>
#include <string>

#include "client_pool.hpp"

namespace merlinrun::scale {

// A class of requests.
struct CallClass {
  std::string name;  // as in the settings of the sidecar
  bool safe = true;  // true = GET, which may be repeated; false = POST with an idempotency key
};

// Returns a request with a new Req-Id. Unless the class is safe, it also has a new Idempotency-Key and a body
// of `body_size` bytes. An empty tenant leaves the tenant header out.
HttpRequest NewRequest(const CallClass& call_class, const std::string& tenant,
                       std::chrono::duration<double> time_left, std::size_t body_size,
                       std::mt19937_64& random);

// Returns the request that a service sends to the next service while it serves `request`: the same method,
// class, tenant and body, a new id, a new key if `request` has one, and the time left until the deadline.
HttpRequest OnwardRequest(const HttpRequest& request, Clock::time_point deadline, std::mt19937_64& random);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_REQUESTS_HPP_
