// An object of the protocol, written once and shared by all connections that it goes to.
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
  std::string chunk_head;  // of the body and its line's end, as one chunk
};

inline constexpr const char* kChunkTail = "\n\r\n";
inline constexpr const char* kBlankChunk = "1\r\n\n\r\n";

using TextPtr = std::shared_ptr<const Text>;

}  // namespace merlinrun::relay

#endif  // MERLINRUN_RELAY_TEXT_HPP_
