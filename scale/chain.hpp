// Step "chain": what sidecars add to the time of a call that passes through several services, by how many.
#ifndef MERLINRUN_SCALE_CHAIN_HPP_
#define MERLINRUN_SCALE_CHAIN_HPP_

#include <memory>

#include "step.hpp"

namespace merlinrun::scale {

std::unique_ptr<Step> MakeChain(Parameters& parameters);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_CHAIN_HPP_
