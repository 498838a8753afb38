// Step "sidecars": the CPU time and memory of a sidecar, and its load on discovery, when many run on one
// machine, each with its own caller.
#ifndef MERLINRUN_SCALE_SIDECARS_HPP_
#define MERLINRUN_SCALE_SIDECARS_HPP_

#include <memory>

#include "step.hpp"

namespace merlinrun::scale {

std::unique_ptr<Step> MakeSidecars(Parameters& parameters);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_SIDECARS_HPP_
