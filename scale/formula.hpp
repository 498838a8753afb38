// Arithmetic over names, as docs/capacity has it: + - * / parentheses, min(), max() and numbers.
#ifndef MERLINRUN_SCALE_FORMULA_HPP_
#define MERLINRUN_SCALE_FORMULA_HPP_

#include <functional>
#include <optional>
#include <stdexcept>
#include <string>

namespace merlinrun::scale {

// What is wrong with a formula, without its place.
class FormulaError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The value of a name. Names are words with dots, and may end with conditions: "slope.a.b.c[d=2,e=3]". For a
// name with an argument, as in "line.a.b.c(14000)", the argument is given. Throws FormulaError for an unknown
// one.
using NameValue = std::function<double(const std::string& name, std::optional<double> argument)>;

// Throws FormulaError for what is no formula, and for a value that is not finite.
double Evaluate(const std::string& formula, const NameValue& value);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_FORMULA_HPP_
