#include "scale/commands.hpp"

#include <spdlog/spdlog.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <vector>

#include "scale/capacity_tables.hpp"
#include "scale/fit.hpp"
#include "scale/results.hpp"
#include "scale/runner.hpp"
#include "scale/scenario.hpp"
#include "scale/table_reader.hpp"

namespace merlinrun::scale {
namespace {

struct Arguments {
  std::string scenario;
  std::vector<std::string> steps;
  RunOptions run;
  std::vector<std::filesystem::path> result_folders;
  std::filesystem::path json;
  std::filesystem::path targets = "docs/capacity/targets.toml";
  std::filesystem::path roles = "docs/capacity/roles.toml";
  std::filesystem::path page;
  bool write = false;
  bool check = false;
};

int RunSteps(Arguments& arguments, const std::map<std::string, StepFactory>& kinds) {
  const Scenario scenario = LoadScenario(arguments.scenario, kinds, arguments.steps);
  CheckRequirements(scenario, ReadMachineLimits());
  if (access(arguments.run.sidecar.c_str(), X_OK) != 0) {
    RejectInput(arguments.run.sidecar, "--sidecar", "there is no executable file at this path");
  }
  return RunScenario(scenario, arguments.run);
}

int ShowFit(const Arguments& arguments) {
  const std::vector<FittedRun> runs = ReadRuns(arguments.result_folders);
  if (!arguments.json.empty()) WriteFile(arguments.json, FitJson(runs));
  std::fputs(FitTable(runs).c_str(), stdout);
  return kDone;
}

int ShowCapacity(const Arguments& arguments) {
  if (!arguments.page.empty() && !arguments.write && !arguments.check) {
    RejectInput(arguments.page, "--page", "needs --write or --check");
  }
  const Targets targets = ReadTargets(arguments.targets);
  const Roles roles = ReadRoles(arguments.roles);
  const std::vector<FittedRun> runs = ReadRuns(arguments.result_folders);
  const std::vector<Table> tables = CapacityTables(CapacityModel(targets, roles, runs));
  if (arguments.page.empty()) {
    for (const Table& table : tables) std::printf("%s\n", WithMarkers(table).c_str());
    return kDone;
  }
  const std::string page = ReadText(arguments.page);
  if (arguments.write) {
    WriteFile(arguments.page, ReplaceTables(arguments.page, page, tables));
    return kDone;
  }
  const std::vector<std::string> differing = DifferingTables(arguments.page, page, tables);
  for (const std::string& name : differing) {
    std::fprintf(stderr, "rookhub_scale: %s: table %s: differs from the results\n",
                 OneLine(arguments.page.string()).c_str(), name.c_str());
  }
  return differing.empty() ? kDone : kFailed;
}

// Reports a usage error in one line; the library's message may have several.
int ReportUsageError(const CLI::App& app, const CLI::ParseError& error) {
  if (error.get_exit_code() == 0) return app.exit(error) == 0 ? kDone : kFailed;
  std::fprintf(stderr, "rookhub_scale: arguments: %s\n", OneLine(error.what()).c_str());
  return kBadInput;
}

std::filesystem::path ProgramFolder() {
  std::error_code unknown;
  return std::filesystem::read_symlink("/proc/self/exe", unknown).parent_path();
}

CLI::App* AddRun(CLI::App& app, Arguments& arguments) {
  CLI::App* run = app.add_subcommand("run", "Runs a scenario and writes DIR/result.json");
  run->add_option("scenario", arguments.scenario, "The scenario, a TOML file")->required();
  run->add_option("--out", arguments.run.out, "The folder for the result, created if it does not exist")
      ->required();
  run->add_option("--steps", arguments.steps, "Run only the steps of these kinds");
  run->add_option("--sidecar", arguments.run.sidecar,
                  "The sidecar's program; by default the one in this program's folder");
  run->add_option("--relay", arguments.run.relay,
                  "The relay's program; by default the one in this program's folder");
  return run;
}

CLI::App* AddFit(CLI::App& app, Arguments& arguments) {
  CLI::App* fit = app.add_subcommand("fit", "Shows the slopes of results, and how well a line fits them");
  fit->add_option("folders", arguments.result_folders, "Folders with a result.json each")->required();
  fit->add_option("--json", arguments.json, "A file to write the same data to, as JSON");
  return fit;
}

CLI::App* AddCapacity(CLI::App& app, Arguments& arguments) {
  CLI::App* capacity = app.add_subcommand(
      "capacity", "Shows the demand on each role at the target, computed from the results");
  capacity
      ->add_option("folders", arguments.result_folders,
                   "Folders with a result.json each; the first one has precedence")
      ->required();
  capacity->add_option("--targets", arguments.targets, "The target: figures, budgets, assumptions");
  capacity->add_option("--roles", arguments.roles, "The formulas for the demand on each role");
  CLI::Option* page = capacity->add_option("--page", arguments.page, "A page that contains the tables");
  CLI::Option* write =
      capacity->add_flag("--write", arguments.write, "Replace the tables in the page")->needs(page);
  CLI::Option* check =
      capacity->add_flag("--check", arguments.check, "Exit with status 1 if the tables in the page differ")
          ->needs(page);
  write->excludes(check);
  return capacity;
}

}  // namespace

int RunCommand(int argc, const char* const* argv, const std::map<std::string, StepFactory>& kinds,
               const std::function<bool()>& should_stop) {
  Arguments arguments;
  arguments.run.sidecar = ProgramFolder() / "fennelhollow";
  arguments.run.relay = ProgramFolder() / "rookhub_relay";
  arguments.run.should_stop = should_stop;

  CLI::App app("Measures the sidecar, discovery and the relay at sizes that one machine can run.",
               "rookhub_scale");
  app.require_subcommand(1);
  CLI::App* run = AddRun(app, arguments);
  CLI::App* fit = AddFit(app, arguments);
  AddCapacity(app, arguments);

  try {
    app.parse(argc, argv);
    if (run->parsed()) return RunSteps(arguments, kinds);
    return fit->parsed() ? ShowFit(arguments) : ShowCapacity(arguments);
  } catch (const CLI::ParseError& error) {
    return ReportUsageError(app, error);
  } catch (const ScenarioError& error) {
    std::fprintf(stderr, "rookhub_scale: %s\n", error.what());
    return kBadInput;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "rookhub_scale: %s\n", OneLine(error.what()).c_str());
    return kFailed;
  }
}

}  // namespace merlinrun::scale
