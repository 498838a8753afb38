// Formats and parses HTTP/1.1 messages as text, as far as the fake servers and callers here need it.
#ifndef MERLINRUN_TESTS_FAULTS_HTTP_TEXT_HPP_
#define MERLINRUN_TESTS_FAULTS_HTTP_TEXT_HPP_

#include <cstddef>
#include <optional>
#include <string>

namespace merlinrun::faults {

inline std::string FormatMessage(const std::string& first_line, const std::string& headers,
                                 const std::string& body) {
  return first_line + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The value of a header; empty if there is none. The name is case-sensitive.
inline std::string HeaderValue(const std::string& text, const std::string& name) {
  const std::size_t at = text.find("\r\n" + name + ": ");
  if (at == std::string::npos || at > text.find("\r\n\r\n")) return "";
  const std::size_t start = at + name.size() + 4;
  return text.substr(start, text.find("\r\n", start) - start);
}

// The length of the message at the beginning of `text`, once all of it has arrived. Without a Content-Length
// the message has no body.
inline std::optional<std::size_t> CompleteMessageLength(const std::string& text) {
  const std::size_t end = text.find("\r\n\r\n");
  if (end == std::string::npos) return std::nullopt;
  const std::string length = HeaderValue(text, "Content-Length");
  const std::size_t total = end + 4 + (length.empty() ? 0 : std::stoul(length));
  return text.size() >= total ? std::optional(total) : std::nullopt;
}

}  // namespace merlinrun::faults

#endif  // MERLINRUN_TESTS_FAULTS_HTTP_TEXT_HPP_
