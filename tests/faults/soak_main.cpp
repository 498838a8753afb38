// rookhub_soak: plays soak runs by their seeds and prints each breach with its seed and timeline. Ends with
// status 1 if there was one.
#include <CLI/CLI.hpp>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <string>

#include "soak_run.hpp"

int main(int argc, char** argv) {
  CLI::App app("Plays soak runs of the sidecar under faults, one after another.");
  std::uint64_t first = 1;
  std::uint64_t count = 1;
  std::string program = FENNELHOLLOW_PROGRAM;
  std::string logs;
  bool all_logs = false;
  app.add_option("--seed", first, "the first seed");
  app.add_option("--count", count, "how many seeds, one after another");
  app.add_option("--sidecar", program, "another sidecar program");
  app.add_option("--logs", logs, "folder for the logs of runs with a breach");
  app.add_flag("--all-logs", all_logs, "keep the logs of runs without a breach too");
  CLI11_PARSE(app, argc, argv);
  std::size_t broken = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const merlinrun::faults::SoakResult result = merlinrun::faults::PlaySoak(seed, program);
    std::printf("seed %llu: requests %zu, answered %zu, served %zu, attempts %zu, breaches %zu\n",
                static_cast<unsigned long long>(seed), result.requests, result.answered, result.served,
                result.arrivals, result.breaches.size());
    if (!result.breaches.empty()) {
      ++broken;
      for (const std::string& breach : result.breaches) std::printf("  breach %s\n", breach.c_str());
      for (const std::string& event : result.timeline) std::printf("  %s\n", event.c_str());
    }
    if (!logs.empty() && (all_logs || !result.breaches.empty()))
      std::ofstream(logs + "/" + std::to_string(seed) + ".log") << result.log;
    std::fflush(stdout);
  }
  std::printf("%llu runs, %zu with a breach\n", static_cast<unsigned long long>(count), broken);
  return broken == 0 ? 0 : 1;
}
