// Header names, paths and size limits of the HTTP protocol between application, sidecar and servers, with the
// aliases that the whole network code uses.
#ifndef MERLINRUN_NET_PROTOCOL_HPP_
#define MERLINRUN_NET_PROTOCOL_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <string>
#include <utility>

namespace merlinrun::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using HttpResponse = http::response<http::string_body>;

// Maximum length of a message body.
inline constexpr std::size_t kMaxBody = std::size_t{32} << 20;
// Bodies up to this length are buffered completely: such a request can be retried, and such an answer is
// forwarded only after all of it has arrived. Larger bodies are streamed in chunks.
inline constexpr std::size_t kMaxBufferedBody = std::size_t{64} * 1024;
// Maximum length of one chunk of a streamed body.
inline constexpr std::size_t kChunkSize = std::size_t{16} * 1024;
// Memory that streaming a body takes in addition to its buffered beginning: one chunk and one read, with
// their overhead.
inline constexpr std::size_t kStreamingMemory = 3 * kChunkSize;
// Maximum length of a message header.
inline constexpr std::size_t kMaxHeader = std::size_t{8} * 1024;
// Size of the buffer that body data is parsed into before it is stored, and of the reads of an answer that is
// not streamed.
inline constexpr std::size_t kReadSize = std::size_t{8} * 1024;
// Maximum of unparsed input that a connection buffers: one header and one read, which is at most kChunkSize
// long.
inline constexpr std::size_t kMaxUnparsed = kMaxHeader + kChunkSize;

inline constexpr const char* kIdHeader = "Req-Id";
inline constexpr const char* kClassHeader = "Req-Kind";
inline constexpr const char* kTenantHeader = "Req-Owner";
inline constexpr const char* kDeadlineHeader = "Req-Deadline";
inline constexpr const char* kRetryHeader = "Req-Retry";
inline constexpr const char* kCostHeader = "Req-Cost";
inline constexpr const char* kExtraHeader = "Req-Extra";
inline constexpr const char* kIdempotencyHeader = "Idempotency-Key";
// The request headers that the protocol defines. They are forwarded to the server; a request with one of them
// more than once is rejected.
inline constexpr const char* kRequestHeaders[] = {"Host",        kIdHeader,       kClassHeader,
                                                  kTenantHeader, kDeadlineHeader, kRetryHeader,
                                                  kCostHeader,   kExtraHeader,    kIdempotencyHeader};
inline constexpr const char* kDeclinedHeader = "Srv-Declined";
inline constexpr const char* kLoadHeader = "Srv-Load";
inline constexpr const char* kKeyParameter = "obj";
inline constexpr const char* kReadyPath = "/ready";

// Returns an HTTP/1.1 text/plain response that the sidecar generates itself.
inline HttpResponse PlainTextResponse(http::status status, std::string text) {
  HttpResponse response(status, 11);
  response.set(http::field::content_type, "text/plain");
  response.body() = std::move(text);
  return response;
}

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_PROTOCOL_HPP_
