// Limits the number of header and trailer fields of a message before they are parsed. The parser stores each
// field in an allocation of its own, so a header of very short fields would take many times the memory of its
// text.
#ifndef MERLINRUN_NET_FIELD_LIMIT_HPP_
#define MERLINRUN_NET_FIELD_LIMIT_HPP_

#include <cstddef>
#include <string_view>

namespace merlinrun::net {

// Maximum number of header fields of a request, and of its trailer fields.
inline constexpr std::size_t kMaxRequestFields = 64;
// The same for an answer. Servers are free to add fields of their own.
inline constexpr std::size_t kMaxAnswerFields = 128;

// Whether the lines at the beginning of `text`, up to the first empty one, hold more than `max_fields` fields
// after their first line. `text` may be incomplete.
inline bool HasMoreFieldsThan(std::string_view text, std::size_t max_fields) {
  std::size_t lines = 0;
  while (lines <= max_fields + 1) {
    const std::size_t end = text.find('\n');
    if (end == std::string_view::npos) return false;
    const bool empty = end == 0 || (end == 1 && text.front() == '\r');
    if (empty && lines > 0) return false;
    if (!empty) ++lines;
    text.remove_prefix(end + 1);
  }
  return true;
}

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_FIELD_LIMIT_HPP_
