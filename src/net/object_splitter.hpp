// Splits a stream of bytes into JSON objects.
#ifndef MERLINRUN_NET_OBJECT_SPLITTER_HPP_
#define MERLINRUN_NET_OBJECT_SPLITTER_HPP_

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace merlinrun::net {

// Splits a stream into its top-level JSON objects by matching brackets. An object may span several lines and
// may arrive in chunks of any size.
class ObjectSplitter {
 public:
  // Adds the next character. Returns false if the input cannot be JSON, as far as brackets, strings and
  // characters tell: otherwise the caller could wait forever for the end of an invalid object. A parser
  // finds all other errors in the complete object.
  bool Append(char c) {
    if (depth_ == 0) {
      if (IsSpace(c)) return true;
      if (c != '{') return false;
    }
    text_.push_back(c);
    if (in_string_) {
      if (c == '\n') return false;
      if (!std::exchange(escaped_, !escaped_ && c == '\\') && c == '"') in_string_ = false;
      return true;
    }
    if (IsSpace(c)) return true;
    if (std::exchange(last_, c) == '{' && c != '"' && c != '}') return false;
    if (c == '"') {
      in_string_ = true;
    } else if (c == '{' || c == '[') {
      ++depth_;
    } else if (c == '}' || c == ']') {
      complete_ = --depth_ == 0;
    } else {
      return kOutsideStrings.find(c) != std::string_view::npos;
    }
    return true;
  }
  // Returns the object that the last character completed, if any, once.
  std::optional<std::string> TakeObject() {
    if (!std::exchange(complete_, false)) return std::nullopt;
    return std::exchange(text_, {});
  }
  // Whether an object has begun and not ended yet.
  bool inside_object() const { return depth_ > 0; }
  // The bytes of the object so far.
  std::size_t size() const { return text_.size(); }

 private:
  static constexpr std::string_view kOutsideStrings =
      ":,+-.0123456789eEtrufalsn";  // numbers, true, false, null
  static bool IsSpace(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n'; }

  std::string text_;
  int depth_ = 0;
  char last_ = 0;  // the last character that is neither white space nor in a string
  bool in_string_ = false;
  bool escaped_ = false;
  bool complete_ = false;
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_OBJECT_SPLITTER_HPP_
