// Step "chain": the latency that sidecars add to a call that passes through a chain of services, for several
// lengths of the chain.
#ifndef MERLINRUN_SCALE_CHAIN_HPP_
#define MERLINRUN_SCALE_CHAIN_HPP_

#include <memory>

#include "step.hpp"

namespace merlinrun::scale {

std::unique_ptr<Step> MakeChain(Parameters& parameters);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_CHAIN_HPP_
