#include "validate.hpp"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>
#include <cctype>
#include <charconv>
#include <cmath>
#include <iterator>

#include "field_limit.hpp"
#include "wire.hpp"

namespace merlinrun::net {
namespace {

constexpr std::size_t kMaxTargetSize = std::size_t{4} * 1024;
constexpr std::size_t kMaxIdSize = 64;
constexpr std::size_t kMaxIdempotencyKeySize = 128;
constexpr double kMaxDeadlineSeconds = 86'400;

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

// Whether a text is a valid id or key: letters, digits and -_.: alone, none of which is special in a header
// or a list.
bool IsValidIdentifier(std::string_view text, std::size_t max_size) {
  return !text.empty() && text.size() <= max_size && std::all_of(text.begin(), text.end(), [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.' || c == ':';
  });
}

// Whether a Content-Length is one that every implementation reads the same way: digits only, and few enough
// for any integer type.
bool IsValidLength(std::string_view text) {
  return !text.empty() && text.size() <= 15 && std::all_of(text.begin(), text.end(), IsDigit);
}

// Rejects two lengths, a length beside a transfer encoding, and any encoding but chunked. Another
// implementation could see another end of the body there, which lets a sender hide a second message in it
// (request smuggling).
template <typename Header>
bool HasSingleFraming(const Header& header, unsigned version) {
  const auto lengths = header.count(http::field::content_length);
  const auto codings = header.count(http::field::transfer_encoding);
  if (lengths + codings > 1) return false;
  if (lengths == 1) return IsValidLength(ToStringView(header[http::field::content_length]));
  return codings == 0 || (version == 11 && beast::iequals(header[http::field::transfer_encoding], "chunked"));
}

template <typename Header>
bool HasBody(const Header& header) {
  if (header.count(http::field::transfer_encoding) > 0) return true;
  const std::string_view length = ToStringView(header[http::field::content_length]);
  return std::any_of(length.begin(), length.end(), [](char c) { return c != '0'; });
}

// Whether a header that the protocol defines occurs twice: implementations differ in which value they use.
bool HasRepeatedHeader(const RequestHeader& header) {
  const auto repeated = [&](auto name) { return header.count(name) > 1; };
  return std::any_of(std::begin(kRequestHeaders), std::end(kRequestHeaders), repeated);
}

}  // namespace

std::optional<double> ParseDecimal(std::string_view text) {
  double value = 0;
  if (text.empty() || text.size() > 32 || !IsDigit(text.front())) return std::nullopt;
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value, std::chars_format::fixed);
  if (error != std::errc() || end != last || !std::isfinite(value)) return std::nullopt;
  return value;
}

bool HasUnambiguousFraming(const RequestHeader& header) { return HasSingleFraming(header, header.version()); }

bool ExpectsContinue(const RequestHeader& header) {
  return beast::iequals(header[http::field::expect], "100-continue");
}

std::optional<Rejection> CheckRequest(const RequestHeader& header) {
  const auto malformed = [](const char* text) { return Rejection{http::status::bad_request, text}; };
  if (static_cast<std::size_t>(std::distance(header.begin(), header.end())) > kMaxRequestFields)
    return Rejection{http::status::request_header_fields_too_large, "too many header fields\n"};
  if (!HasUnambiguousFraming(header)) return malformed("the body's length is in doubt\n");
  const auto length = ToStringView(header[http::field::content_length]);
  if (ParseDecimal(length).value_or(0) > static_cast<double>(kMaxBody))
    return Rejection{http::status::payload_too_large, "too large\n"};
  if (header.count(http::field::expect) > 1 ||
      (header.count(http::field::expect) > 0 && !ExpectsContinue(header)))
    return Rejection{http::status::expectation_failed, "this Expect is not supported\n"};
  if (header.target().empty() || header.target().front() != '/' || header.target().size() > kMaxTargetSize)
    return malformed("the target is no path\n");
  if (HasRepeatedHeader(header)) return malformed("a header field is repeated\n");
  if (header.method() == http::verb::get && HasBody(header)) return malformed("GET with a body\n");
  if (header.target() == kReadyPath) {
    if (header.method() != http::verb::get)
      return Rejection{http::status::method_not_allowed, "GET alone\n", "GET"};
    return std::nullopt;
  }
  if (!IsValidIdentifier(ToStringView(header[kIdHeader]), kMaxIdSize)) return malformed("no valid Req-Id\n");
  if (header.count(kDeadlineHeader) > 0) {
    const auto deadline = ParseDecimal(ToStringView(header[kDeadlineHeader]));
    if (!deadline || *deadline <= 0 || *deadline > kMaxDeadlineSeconds)
      return malformed("no valid Req-Deadline\n");
  }
  return std::nullopt;
}

std::optional<Rejection> CheckAgainstClass(const RequestHeader& header, Repeat repeat) {
  const bool has_key = header.count(kIdempotencyHeader) > 0;
  const auto method = repeat == Repeat::kSafe ? http::verb::get : http::verb::post;
  if (header.method() != method)
    return Rejection{http::status::method_not_allowed, "not this class's method\n",
                     repeat == Repeat::kSafe ? "GET" : "POST"};
  if (has_key != (repeat == Repeat::kDeduplicated) ||
      (has_key && !IsValidIdentifier(ToStringView(header[kIdempotencyHeader]), kMaxIdempotencyKeySize)))
    return Rejection{http::status::bad_request, "Idempotency-Key does not fit the class\n"};
  return std::nullopt;
}

LoadReport ParseLoadHeader(std::string_view text) {
  constexpr std::string_view kPrefix = "TEXT ";
  LoadReport load;
  if (text.substr(0, kPrefix.size()) != kPrefix) return load;
  text.remove_prefix(kPrefix.size());
  while (!text.empty()) {
    const std::string_view pair = text.substr(0, text.find(','));
    text.remove_prefix(std::min(pair.size() + 1, text.size()));
    const std::size_t name = std::min(pair.find_first_not_of(' '), pair.size());
    const std::size_t equals = pair.find('=', name);
    if (equals == std::string_view::npos) continue;
    const auto value = ParseDecimal(pair.substr(equals + 1));
    std::optional<double>* const field = drill::FindLoadField(load, pair.substr(name, equals - name));
    if (value && field != nullptr) *field = value;
  }
  return load;
}

bool IsAcceptableResponse(const ResponseHeader& header) {
  return HasSingleFraming(header, header.version()) &&
         ParseDecimal(ToStringView(header[http::field::content_length])).value_or(0) <=
             static_cast<double>(kMaxBody);
}

}  // namespace merlinrun::net
