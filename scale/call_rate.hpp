// Step "call_rate": what a sidecar uses for a call and adds to its time, by the rate of calls.
#ifndef MERLINRUN_SCALE_CALL_RATE_HPP_
#define MERLINRUN_SCALE_CALL_RATE_HPP_

#include <memory>

#include "step.hpp"

namespace merlinrun::scale {

std::unique_ptr<Step> MakeCallRate(Parameters& parameters);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_CALL_RATE_HPP_
