// Evaluates the formulas of docs/capacity: names, numbers, + - * / parentheses, min() and max().
#ifndef MERLINRUN_SCALE_FORMULA_HPP_
#define MERLINRUN_SCALE_FORMULA_HPP_

#include <functional>
#include <optional>
#include <stdexcept>
#include <string>

namespace merlinrun::scale {

// An error in a formula. The message does not name the file and key.
class FormulaError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Returns the value of a name. Names are words separated by dots, and may end with conditions:
// "slope.a.b.c[d=2,e=3]". A name may have one argument, as in "line.a.b.c(14000)". Throws FormulaError for an
// unknown name.
using NameValue = std::function<double(const std::string& name, std::optional<double> argument)>;

// Throws FormulaError for an invalid formula, and for a result that is not finite.
double Evaluate(const std::string& formula, const NameValue& value);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_FORMULA_HPP_
