// rookhub_soak: performs soak runs for a range of seeds and prints each violation of a rule with its seed and
// timeline. Exits with status 1 if there was one.
#include <CLI/CLI.hpp>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <string>

#include "soak_run.hpp"

int main(int argc, char** argv) {
  CLI::App app("Performs soak runs of the sidecar under injected faults, one after another.");
  std::uint64_t first = 1;
  std::uint64_t count = 1;
  std::string program = FENNELHOLLOW_PROGRAM;
  std::string logs;
  bool all_logs = false;
  app.add_option("--seed", first, "the first seed");
  app.add_option("--count", count, "the number of consecutive seeds");
  app.add_option("--sidecar", program, "the sidecar program, if not that of this build");
  app.add_option("--logs", logs, "folder for the logs of runs with a violation");
  app.add_flag("--all-logs", all_logs, "also keep the logs of runs without a violation");
  CLI11_PARSE(app, argc, argv);
  std::size_t violating_runs = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const merlinrun::faults::SoakResult result = merlinrun::faults::RunSoak(seed, program);
    std::printf("seed %llu: requests %zu, answered %zu, served %zu, attempts %zu, violations %zu\n",
                static_cast<unsigned long long>(seed), result.requests, result.answered, result.served,
                result.arrivals, result.violations.size());
    if (!result.violations.empty()) {
      ++violating_runs;
      for (const std::string& violation : result.violations)
        std::printf("  violation %s\n", violation.c_str());
      for (const std::string& event : result.timeline) std::printf("  %s\n", event.c_str());
    }
    if (!logs.empty() && (all_logs || !result.violations.empty()))
      std::ofstream(logs + "/" + std::to_string(seed) + ".log") << result.log;
    std::fflush(stdout);
  }
  std::printf("%llu runs, %zu with a violation\n", static_cast<unsigned long long>(count), violating_runs);
  return violating_runs == 0 ? 0 : 1;
}
