// Requests as PROTOCOL words them, of an application to its sidecar.
#ifndef MERLINRUN_SCALE_REQUESTS_HPP_
#define MERLINRUN_SCALE_REQUESTS_HPP_

#include <chrono>
#include <cstddef>
#include <random>
#include <string>

#include "client_pool.hpp"

namespace merlinrun::scale {

// A class of request: its name in the settings, and whether it may be repeated (GET) or carries a key (POST).
struct CallClass {
  std::string name;
  bool safe = true;
};

// With a fresh Req-Id, and a fresh Idempotency-Key if the class is keyed.
HttpRequest NewRequest(const CallClass& call_class, const std::string& owner,
                       std::chrono::duration<double> time_left, std::size_t body, std::mt19937_64& random);

// What a service asks of the next one while it serves `request`: the same class, tenant and body, a fresh id
// and key, and the time that is left.
HttpRequest OnwardRequest(const HttpRequest& request, Clock::time_point deadline, std::mt19937_64& random);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_REQUESTS_HPP_
