// rookhub_scale: runs load experiments and evaluates their results. Exit status: 0 on success, 1 if a step
// failed or a page differs from its results, 2 if the input is invalid and nothing was started, 3 if a signal
// ended the run early.
#include <spdlog/sinks/stdout_color_sinks.h>
#include <spdlog/spdlog.h>

#include <csignal>
#include <cstdio>
#include <exception>

#include "scale/commands.hpp"
#include "scale/run_as_child.hpp"
#include "scale/step.hpp"

namespace {

volatile std::sig_atomic_t stop_requested = 0;

extern "C" void RequestStop(int /*signal*/) { stop_requested = 1; }
extern "C" void IgnoreSignal(int /*signal*/) {}

void InstallHandler(int signal, void (*handler)(int)) {
  struct sigaction action {};
  action.sa_handler = handler;
  action.sa_flags = SA_RESTART;  // steps check the flag, so their system calls need not be interrupted
  sigaction(signal, &action, nullptr);
}

}  // namespace

int main(int argc, char** argv) {
  int status = 0;
  if (merlinrun::scale::RunAsChild(argc, argv, status)) return status;
  try {
    for (const int signal : {SIGINT, SIGTERM, SIGHUP}) InstallHandler(signal, RequestStop);
    // If the reader of the log exits, SIGPIPE must not kill the run, which would leave its scratch folder
    // behind. This is a handler instead of SIG_IGN because child processes would inherit SIG_IGN.
    InstallHandler(SIGPIPE, IgnoreSignal);
    spdlog::set_default_logger(spdlog::stderr_color_mt("rookhub_scale"));
    return merlinrun::scale::RunCommand(argc, argv, merlinrun::scale::StepKinds(),
                                        [] { return stop_requested != 0; });
  } catch (const std::exception& error) {
    std::fprintf(stderr, "rookhub_scale: %s\n", error.what());
    return 1;
  }
}
