// Numbers as tables show them.
#ifndef MERLINRUN_SCALE_NUMBERS_HPP_
#define MERLINRUN_SCALE_NUMBERS_HPP_

#include <optional>
#include <string>

namespace merlinrun::scale {

// Four significant digits without an exponent where it can be: "14000", "0.001235", "1.235e+09".
std::string Short(double value);

std::string ShortOrDash(std::optional<double> value);

// "3.4%", or "-" for none.
std::string Percent(std::optional<double> share);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_NUMBERS_HPP_
