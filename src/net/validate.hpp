// Checks of parsed HTTP headers that are stricter than the HTTP library's own.
#ifndef MERLINRUN_NET_VALIDATE_HPP_
#define MERLINRUN_NET_VALIDATE_HPP_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/status.hpp>
#include <optional>
#include <string_view>

#include "merlinrun/balancer.hpp"
#include "protocol.hpp"

namespace merlinrun::net {

using RequestHeader = http::request_header<>;
using ResponseHeader = http::response_header<>;

// Why a request is rejected, and with what answer.
struct Rejection {
  http::status status;
  const char* text;             // the answer's body
  const char* allow = nullptr;  // value of the Allow header of a 405 answer
};

// Checks a request's framing and the syntax of its header fields, independently of its class. Returns nullopt
// if it is valid.
std::optional<Rejection> CheckRequest(const RequestHeader& header);

// Whether a request has at most one Content-Length or Transfer-Encoding, in a form that every HTTP
// implementation reads the same way.
bool HasUnambiguousFraming(const RequestHeader& header);

// Whether the client waits for `100 Continue` before it sends the body.
bool ExpectsContinue(const RequestHeader& header);

// Checks that the method and the Idempotency-Key of a request fit its class, which says whether the request
// may be repeated. Returns nullopt if they do.
std::optional<Rejection> CheckAgainstClass(const RequestHeader& header, Repeat repeat);

// Whether a server's answer has unambiguous framing and no Content-Length above the limit for bodies.
bool IsAcceptableResponse(const ResponseHeader& header);

// Parses a plain decimal number such as 0.480, without sign, exponent or surrounding characters.
std::optional<double> ParseDecimal(std::string_view text);

// Parses the load report of an answer, such as "TEXT pending=2, cpu_share=0.61", whose names are those of the
// settings. Fields that cannot be parsed stay empty: the report is only a hint, so an error is not worth
// reporting.
LoadReport ParseLoadHeader(std::string_view text);

// Converts the HTTP library's string view to the standard one.
inline std::string_view ToStringView(beast::string_view text) { return {text.data(), text.size()}; }

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_VALIDATE_HPP_
