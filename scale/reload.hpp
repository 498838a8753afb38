// Step "reload": how long real sidecars take to follow a new configuration with another discovery address,
// and what that costs them, by the number of sidecars.
#ifndef MERLINRUN_SCALE_RELOAD_HPP_
#define MERLINRUN_SCALE_RELOAD_HPP_

#include <memory>

#include "step.hpp"

namespace merlinrun::scale {

std::unique_ptr<Step> MakeReload(Parameters& parameters);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_RELOAD_HPP_
