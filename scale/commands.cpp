#include "scale/commands.hpp"

#include <spdlog/spdlog.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <vector>

#include "scale/runner.hpp"
#include "scale/scenario.hpp"
#include "scale/table_reader.hpp"

namespace merlinrun::scale {
namespace {

struct Arguments {
  std::string scenario;
  std::vector<std::string> steps;
  RunOptions run;
};

int RunSteps(Arguments& arguments, const std::map<std::string, StepFactory>& kinds) {
  const Scenario scenario = LoadScenario(arguments.scenario, kinds, arguments.steps);
  CheckNeeds(scenario, ReadMachineLimits());
  if (access(arguments.run.sidecar.c_str(), X_OK) != 0) {
    RejectInput(arguments.run.sidecar, "--sidecar", "is no program that can be run");
  }
  return RunScenario(scenario, arguments.run);
}

// One line, whatever the library says on several.
int TellUsage(const CLI::App& app, const CLI::ParseError& error) {
  if (error.get_exit_code() == 0) return app.exit(error) == 0 ? kDone : kFailed;
  std::fprintf(stderr, "rookhub_scale: arguments: %s\n", OneLine(error.what()).c_str());
  return kBadInput;
}

std::filesystem::path ProgramFolder() {
  std::error_code unknown;
  return std::filesystem::read_symlink("/proc/self/exe", unknown).parent_path();
}

}  // namespace

int RunCommand(int argc, const char* const* argv, const std::map<std::string, StepFactory>& kinds,
               const std::function<bool()>& should_stop) {
  Arguments arguments;
  arguments.run.sidecar = ProgramFolder() / "fennelhollow";
  arguments.run.relay = ProgramFolder() / "rookhub_relay";
  arguments.run.should_stop = should_stop;

  CLI::App app("Measures the sidecar, discovery and the fan-out tier at sizes that one machine can hold.",
               "rookhub_scale");
  app.require_subcommand(1);
  CLI::App* run = app.add_subcommand("run", "Plays a scenario and leaves DIR/result.json.");
  run->add_option("scenario", arguments.scenario, "The scenario, a TOML file")->required();
  run->add_option("--out", arguments.run.out, "The folder for the result, made if it is not there")
      ->required();
  run->add_option("--steps", arguments.steps, "Only the steps of these kinds");
  run->add_option("--sidecar", arguments.run.sidecar, "The sidecar; by default the one beside this program");
  run->add_option("--relay", arguments.run.relay, "The fan-out tier; by default the one beside this program");

  try {
    app.parse(argc, argv);
    return RunSteps(arguments, kinds);
  } catch (const CLI::ParseError& error) {
    return TellUsage(app, error);
  } catch (const ScenarioError& error) {
    std::fprintf(stderr, "rookhub_scale: %s\n", error.what());
    return kBadInput;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "rookhub_scale: %s\n", OneLine(error.what()).c_str());
    return kFailed;
  }
}

}  // namespace merlinrun::scale
