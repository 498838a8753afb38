// Step "hollow_and_real": the same readings of hollow sidecars and of the shipped program, by the number of
// servers listed. Shows how far figures of hollow ones can stand for real ones.
#ifndef MERLINRUN_SCALE_HOLLOW_AND_REAL_HPP_
#define MERLINRUN_SCALE_HOLLOW_AND_REAL_HPP_

#include <memory>

#include "step.hpp"

namespace merlinrun::scale {

std::unique_ptr<Step> MakeHollowAndReal(Parameters& parameters);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_HOLLOW_AND_REAL_HPP_
