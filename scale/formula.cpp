#include "scale/formula.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <string_view>

namespace merlinrun::scale {
namespace {

constexpr int kDeepest = 100;  // parentheses in one another

bool IsNameStart(char c) { return std::isalpha(static_cast<unsigned char>(c)) != 0 || c == '_'; }
bool IsNamePart(char c) {
  return IsNameStart(c) || std::isdigit(static_cast<unsigned char>(c)) != 0 || c == '.';
}

// Recursive descent: sum, product, factor.
class Parser {
 public:
  Parser(std::string_view text, const NameValue& value) : text_(text), value_(value) {}

  double Whole() {
    const double value = Sum();
    if (Next() != '\0') Fail("unexpected '" + std::string(1, text_[at_]) + "'");
    return value;
  }

 private:
  [[noreturn]] static void Fail(const std::string& reason) { throw FormulaError(reason); }

  char Next() {
    while (at_ < text_.size() && std::isspace(static_cast<unsigned char>(text_[at_])) != 0) ++at_;
    return at_ < text_.size() ? text_[at_] : '\0';
  }

  bool Take(char c) {
    if (Next() != c) return false;
    ++at_;
    return true;
  }

  void Expect(char c) {
    if (!Take(c)) Fail(std::string("a '") + c + "' is missing");
  }

  double Sum() {
    double value = Product();
    for (;;) {
      if (Take('+')) {
        value += Product();
      } else if (Take('-')) {
        value -= Product();
      } else {
        return value;
      }
    }
  }

  double Product() {
    double value = Factor();
    for (;;) {
      if (Take('*')) {
        value *= Factor();
      } else if (Take('/')) {
        const double divisor = Factor();
        if (divisor == 0) Fail("division by 0");
        value /= divisor;
      } else {
        return value;
      }
    }
  }

  double Factor() {
    if (++depth_ > kDeepest) Fail("too deep");
    const double value = Unguarded();
    --depth_;
    return value;
  }

  double Unguarded() {
    const char c = Next();
    if (Take('-')) return -Factor();
    if (Take('(')) {
      const double value = Sum();
      Expect(')');
      return value;
    }
    if (IsNameStart(c)) return Named();
    return Literal();
  }

  double Literal() {
    double value = 0;
    const auto [end, error] = std::from_chars(text_.data() + at_, text_.data() + text_.size(), value);
    if (error != std::errc()) Fail("a value is missing");
    at_ = static_cast<std::size_t>(end - text_.data());
    return value;
  }

  double Named() {
    const std::size_t start = at_;
    while (at_ < text_.size() && IsNamePart(text_[at_])) ++at_;
    if (at_ < text_.size() && text_[at_] == '[') {
      at_ = std::min(text_.find(']', at_), text_.size());
      if (at_ == text_.size()) Fail("a ']' is missing");
      ++at_;
    }
    const std::string name(text_.substr(start, at_ - start));
    if (!Take('(')) return value_(name, std::nullopt);
    double value = Sum();
    if (name != "min" && name != "max") {
      Expect(')');
      return value_(name, value);
    }
    while (Take(',')) value = name == "min" ? std::min(value, Sum()) : std::max(value, Sum());
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
  const double result = Parser(formula, value).Whole();
  if (!std::isfinite(result)) throw FormulaError("is not a finite number");
  return result;
}

}  // namespace merlinrun::scale
