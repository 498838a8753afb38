// What a fan-out tier takes and saves: single changes, bursts of them, and a restart of all sidecars, with
// relays and without.
#ifndef MERLINRUN_SCALE_FAN_OUT_HPP_
#define MERLINRUN_SCALE_FAN_OUT_HPP_

#include <memory>

#include "step.hpp"

namespace merlinrun::scale {

std::unique_ptr<Step> MakeFanOut(Parameters& parameters);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_FAN_OUT_HPP_
