// Step "sidecars": what a sidecar takes when many run on one machine, each with its caller.
#ifndef MERLINRUN_SCALE_SIDECARS_HPP_
#define MERLINRUN_SCALE_SIDECARS_HPP_

#include <memory>

#include "step.hpp"

namespace merlinrun::scale {

std::unique_ptr<Step> MakeSidecars(Parameters& parameters);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_SIDECARS_HPP_
