#include "call_rate.hpp"
#include "chain.hpp"
#include "hollow_and_real.hpp"
#include "sidecars.hpp"
#include "step.hpp"

namespace merlinrun::scale {

const std::map<std::string, StepFactory>& StepKinds() {
  static const std::map<std::string, StepFactory> kinds = {
      {"call_rate", MakeCallRate},
      {"chain", MakeChain},
      {"hollow_and_real", MakeHollowAndReal},
      {"sidecars", MakeSidecars},
  };
  return kinds;
}

}  // namespace merlinrun::scale
