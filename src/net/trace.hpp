// Traces the events of each request on standard error when EDGE_TRACE=1. Each event is one line with the
// monotonic time in seconds, the request's id, the event (taken, sent, answered, refused, failed ...) and its
// details.
#ifndef MERLINRUN_NET_TRACE_HPP_
#define MERLINRUN_NET_TRACE_HPP_

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>
#include <string_view>

#include "merlinrun/balancer.hpp"

namespace merlinrun::net {

// Whether the process was started with EDGE_TRACE=1.
inline bool TraceEnabled() {
  static const bool enabled = [] {
    const char* const value = std::getenv("EDGE_TRACE");
    return value != nullptr && std::strcmp(value, "1") == 0;
  }();
  return enabled;
}

// Writes one event of a request. `detail` is a function that returns the rest of the line; it is called only
// if tracing is enabled, so that building the text costs nothing otherwise.
template <typename Detail>
void TraceRequest(std::string_view request, const char* event, Detail detail) {
  if (!TraceEnabled()) return;
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  const std::string text = detail();
  std::fprintf(stderr, "trace: %.6f %.*s %s %s\n", std::chrono::duration<double>(now).count(),
               static_cast<int>(request.size()), request.data(), event, text.c_str());
}

// Writes an event without details.
inline void TraceRequest(std::string_view request, const char* event) {
  TraceRequest(request, event, [] { return std::string(); });
}

// The name of an attempt's result, for the trace.
inline const char* ResultName(Result result) {
  switch (result) {
    case Result::kSuccess:
      return "success";
    case Result::kError:
      return "error";
    case Result::kRefused:
      return "declined";
    case Result::kTimeout:
      return "timeout";
    case Result::kUnreachable:
      return "unreachable";
    case Result::kReset:
      return "reset";
    case Result::kCancelled:
      return "cancelled";
    case Result::kNeverSent:
      return "never sent";
  }
  return "unknown";
}

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_TRACE_HPP_
