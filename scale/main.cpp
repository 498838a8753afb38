// rookhub_scale: the scale run. Exit status: 0 done, 1 if a step failed or a page differs from its results,
// 2 if the input makes no sense and nothing was started, 3 if a signal ended the run early.
#include <spdlog/sinks/stdout_color_sinks.h>
#include <spdlog/spdlog.h>

#include <csignal>
#include <cstdio>
#include <exception>

#include "scale/commands.hpp"
#include "scale/run_as_child.hpp"
#include "scale/step.hpp"

namespace {

volatile std::sig_atomic_t stop_asked = 0;

extern "C" void AskStop(int /*signal*/) { stop_asked = 1; }
extern "C" void Pass(int /*signal*/) {}

void Handle(int signal, void (*handler)(int)) {
  struct sigaction action {};
  action.sa_handler = handler;
  action.sa_flags = SA_RESTART;  // steps look at the flag, their system calls need not end
  sigaction(signal, &action, nullptr);
}

}  // namespace

int main(int argc, char** argv) {
  int status = 0;
  if (merlinrun::scale::RunAsChild(argc, argv, status)) return status;
  try {
    for (const int signal : {SIGINT, SIGTERM, SIGHUP}) Handle(signal, AskStop);
    // The end of whoever reads the log must not end the run with its folder left behind. A handler, and not
    // SIG_IGN, which children would inherit.
    Handle(SIGPIPE, Pass);
    spdlog::set_default_logger(spdlog::stderr_color_mt("rookhub_scale"));
    return merlinrun::scale::RunCommand(argc, argv, merlinrun::scale::StepKinds(),
                                        [] { return stop_asked != 0; });
  } catch (const std::exception& error) {
    std::fprintf(stderr, "rookhub_scale: %s\n", error.what());
    return 1;
  }
}
