#include "scale/formula.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <string_view>

namespace merlinrun::scale {
namespace {

constexpr int kMaxDepth = 100;  // nested expressions; prevents a stack overflow in the parser

bool IsNameStart(char c) { return std::isalpha(static_cast<unsigned char>(c)) != 0 || c == '_'; }
bool IsNamePart(char c) {
  return IsNameStart(c) || std::isdigit(static_cast<unsigned char>(c)) != 0 || c == '.';
}

// A recursive descent parser with the levels sum, product and factor. It evaluates while it parses.
class Parser {
 public:
  Parser(std::string_view text, const NameValue& value) : text_(text), value_(value) {}

  double ParseAll() {
    const double value = ParseSum();
    if (Peek() != '\0') Fail("unexpected '" + std::string(1, text_[at_]) + "'");
    return value;
  }

 private:
  [[noreturn]] static void Fail(const std::string& reason) { throw FormulaError(reason); }

  // Skips whitespace and returns the next character, or 0 at the end of the text.
  char Peek() {
    while (at_ < text_.size() && std::isspace(static_cast<unsigned char>(text_[at_])) != 0) ++at_;
    return at_ < text_.size() ? text_[at_] : '\0';
  }

  bool Consume(char c) {
    if (Peek() != c) return false;
    ++at_;
    return true;
  }

  void Expect(char c) {
    if (!Consume(c)) Fail(std::string("a '") + c + "' is missing");
  }

  double ParseSum() {
    double value = ParseProduct();
    for (;;) {
      if (Consume('+')) {
        value += ParseProduct();
      } else if (Consume('-')) {
        value -= ParseProduct();
      } else {
        return value;
      }
    }
  }

  double ParseProduct() {
    double value = ParseFactor();
    for (;;) {
      if (Consume('*')) {
        value *= ParseFactor();
      } else if (Consume('/')) {
        const double divisor = ParseFactor();
        if (divisor == 0) Fail("division by 0");
        value /= divisor;
      } else {
        return value;
      }
    }
  }

  double ParseFactor() {
    if (++depth_ > kMaxDepth) Fail("is nested too deeply");
    const double value = ParsePrimary();
    --depth_;
    return value;
  }

  double ParsePrimary() {
    const char c = Peek();
    if (Consume('-')) return -ParseFactor();
    if (Consume('(')) {
      const double value = ParseSum();
      Expect(')');
      return value;
    }
    if (IsNameStart(c)) return ParseName();
    return ParseNumber();
  }

  double ParseNumber() {
    double value = 0;
    const auto [end, error] = std::from_chars(text_.data() + at_, text_.data() + text_.size(), value);
    if (error != std::errc()) Fail("a value is missing");
    at_ = static_cast<std::size_t>(end - text_.data());
    return value;
  }

  double ParseName() {
    const std::size_t start = at_;
    while (at_ < text_.size() && IsNamePart(text_[at_])) ++at_;
    if (at_ < text_.size() && text_[at_] == '[') {
      at_ = std::min(text_.find(']', at_), text_.size());
      if (at_ == text_.size()) Fail("a ']' is missing");
      ++at_;
    }
    const std::string name(text_.substr(start, at_ - start));
    if (!Consume('(')) return value_(name, std::nullopt);
    double value = ParseSum();
    if (name != "min" && name != "max") {
      Expect(')');
      return value_(name, value);
    }
    while (Consume(',')) value = name == "min" ? std::min(value, ParseSum()) : std::max(value, ParseSum());
    Expect(')');
    return value;
  }

  std::string_view text_;
  const NameValue& value_;
  std::size_t at_ = 0;
  int depth_ = 0;
};

}  // namespace

double Evaluate(const std::string& formula, const NameValue& value) {
  const double result = Parser(formula, value).ParseAll();
  if (!std::isfinite(result)) throw FormulaError("is not a finite number");
  return result;
}

}  // namespace merlinrun::scale
