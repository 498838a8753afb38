// Formats numbers for tables.
#ifndef MERLINRUN_SCALE_NUMBERS_HPP_
#define MERLINRUN_SCALE_NUMBERS_HPP_

#include <optional>
#include <string>

namespace merlinrun::scale {

// Four significant digits, or whole numbers from 1000 on; with an exponent only for very large and very small
// values: "14000", "0.001235", "1.235e+09".
std::string FormatNumber(double value);

// "-" for no value.
std::string FormatNumberOrDash(std::optional<double> value);

// "3.4%", or "-" for no value.
std::string FormatPercent(std::optional<double> share);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_NUMBERS_HPP_
