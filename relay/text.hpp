// A serialized object of the discovery protocol, or the body of another answer. It is shared by all
// connections that it is sent on.
#ifndef MERLINRUN_RELAY_TEXT_HPP_
#define MERLINRUN_RELAY_TEXT_HPP_

#include <array>
#include <charconv>
#include <memory>
#include <string>
#include <utility>

namespace merlinrun::relay {

struct Text {
  explicit Text(std::string object) : body(std::move(object)) {
    std::array<char, 20> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), body.size() + 1, 16).ptr;
    chunk_head.assign(size.data(), end).append("\r\n");
  }

  std::string body;
  std::string chunk_head;  // size line of an HTTP chunk that contains the body and a newline
};

inline constexpr const char* kChunkTail = "\n\r\n";  // the newline after the body, and the end of the chunk
// A chunk with an empty line, which keeps a watch alive.
inline constexpr const char* kHeartbeatChunk = "1\r\n\n\r\n";

using TextPtr = std::shared_ptr<const Text>;

}  // namespace merlinrun::relay

#endif  // MERLINRUN_RELAY_TEXT_HPP_
