// Step "fan_out": what a tier of relays costs and saves, by measuring single changes, a burst of changes and
// a restart of all sidecars with and without relays.
#ifndef MERLINRUN_SCALE_FAN_OUT_HPP_
#define MERLINRUN_SCALE_FAN_OUT_HPP_

#include <memory>

#include "step.hpp"

namespace merlinrun::scale {

std::unique_ptr<Step> MakeFanOut(Parameters& parameters);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_FAN_OUT_HPP_
