// Step "hollow_and_real": the same measurements of simulated sidecars and of the shipped program, by the
// number of listed servers. Shows how well the figures of simulated sidecars represent real ones.
#ifndef MERLINRUN_SCALE_SIMULATED_AND_REAL_HPP_
#define MERLINRUN_SCALE_SIMULATED_AND_REAL_HPP_

#include <memory>

#include "step.hpp"

namespace merlinrun::scale {

std::unique_ptr<Step> MakeSimulatedAndReal(Parameters& parameters);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_SIMULATED_AND_REAL_HPP_
