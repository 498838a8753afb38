// The rules that the record of a soak run is checked against after the run.
#ifndef MERLINRUN_TESTS_FAULTS_SOAK_RULES_HPP_
#define MERLINRUN_TESTS_FAULTS_SOAK_RULES_HPP_

#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "caller.hpp"
#include "faulty_discovery.hpp"
#include "recording_server.hpp"

namespace merlinrun::faults {

// A SIGKILL of the sidecar and its next start, with the list that it had.
struct Restart {
  Clock::time_point killed;
  Clock::time_point started;
};

// The record of a run.
struct SoakRecord {
  bool pushed = false;                // discovery pushes its lists; otherwise the sidecar has to ask for them
  std::chrono::microseconds grace{};  // Settings::drain_grace
  bool idle_clients = false;          // they use up the descriptors: new connections may be closed unread
  const FaultyDiscovery* discovery = nullptr;
  std::vector<Arrival> arrivals;
  std::deque<Request> requests;
  std::string log;  // of the sidecar, with its trace
  std::optional<Restart> restart;
  std::chrono::microseconds ask_within{};       // Settings::ask_within
  std::optional<Clock::time_point> terminated;  // when SIGTERM was sent
  std::optional<Clock::time_point> ended;       // when the process exited by itself
  // The stalls of the test's own event loop: their ends and durations.
  std::vector<std::pair<Clock::time_point, Clock::duration>> stalls;
};

// Returns one line for each violation. Times in it are relative to `start`.
std::vector<std::string> CheckRules(const SoakRecord& record, Clock::time_point start);

}  // namespace merlinrun::faults

#endif  // MERLINRUN_TESTS_FAULTS_SOAK_RULES_HPP_
