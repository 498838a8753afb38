// Translates requests from the form in which clients send them to those for the Balancer and for servers.
#ifndef MERLINRUN_NET_REQUEST_MAPPING_HPP_
#define MERLINRUN_NET_REQUEST_MAPPING_HPP_

#include <cstddef>
#include <string>
#include <string_view>

#include "body.hpp"
#include "config.hpp"
#include "merlinrun/balancer.hpp"
#include "pending_requests.hpp"
#include "protocol.hpp"

namespace merlinrun::net {

// Formats a time in seconds with three decimals, as in the headers of the protocol.
std::string FormatSeconds(Micros time);

// Maps the headers of requests with the names of classes and tenants that the configuration defines.
class RequestMapping {
 public:
  // `config` must outlive this object.
  explicit RequestMapping(const Config& config) : config_(config) {}

  // The index of a class in the settings; -1 if there is none of this name.
  int ClassIndex(std::string_view name) const;
  // How long after its last byte a request may be answered: what its client asks for, but no more than its
  // class's deadline, less a margin for the way to the client.
  Micros AnswerTime(const RequestHeader& request, std::size_t request_class) const;
  // The object that a request concerns, as its target names it; empty if it names none.
  static std::string ObjectKey(const RequestHeader& request);
  // The request as the Balancer gets it. It refers to `id` and `key`, which must outlive it.
  Request ForBalancer(std::string_view id, std::string_view key, const PendingRequest& pending,
                      Micros budget) const;
  // The request as a server gets it, with `time_left` as its deadline. Only the headers that the protocol
  // defines are copied: any other header could have a meaning to the server.
  static Message<true> ForServer(const PendingRequest& pending, Micros time_left);
  // Sets the deadline that a server is told.
  static void SetDeadline(RequestHeader& header, Micros time_left);

 private:
  int TenantIndex(std::string_view name) const;

  const Config& config_;
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_REQUEST_MAPPING_HPP_
