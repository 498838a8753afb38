#include "step.hpp"

namespace merlinrun::scale {

const std::map<std::string, StepFactory>& StepKinds() {
  static const std::map<std::string, StepFactory> kinds = {};
  return kinds;
}

}  // namespace merlinrun::scale
