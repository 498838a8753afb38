// One soak run: a real sidecar process with callers, fake servers and a fake discovery, under faults that are
// planned at random from the seed. The run is then checked against the rules. The same seed gives the same
// plan.
#ifndef MERLINRUN_TESTS_FAULTS_SOAK_RUN_HPP_
#define MERLINRUN_TESTS_FAULTS_SOAK_RUN_HPP_

#include <cstdint>
#include <string>
#include <vector>

namespace merlinrun::faults {

struct SoakResult {
  std::vector<std::string> violations;  // of the rules, one line each
  std::vector<std::string> timeline;    // the injected faults and signals, with their times
  std::string log;                      // of the sidecar, with its trace
  std::size_t requests = 0;
  std::size_t answered = 0;
  std::size_t served = 0;
  std::size_t arrivals = 0;  // attempts that reached a server
};

// Performs the run of this seed with the sidecar program at the path `program`.
SoakResult RunSoak(std::uint64_t seed, const std::string& program);

}  // namespace merlinrun::faults

#endif  // MERLINRUN_TESTS_FAULTS_SOAK_RUN_HPP_
