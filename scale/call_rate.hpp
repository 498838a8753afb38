// Step "call_rate": the CPU time that a sidecar uses per call and the latency that it adds, for several rates
// of calls.
#ifndef MERLINRUN_SCALE_CALL_RATE_HPP_
#define MERLINRUN_SCALE_CALL_RATE_HPP_

#include <memory>

#include "step.hpp"

namespace merlinrun::scale {

std::unique_ptr<Step> MakeCallRate(Parameters& parameters);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_CALL_RATE_HPP_
