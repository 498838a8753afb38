#include "run_as_child.hpp"

#include <unistd.h>

#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <exception>
#include <string>
#include <string_view>

#include "child.hpp"
#include "control.hpp"
#include "discovery_process.hpp"
#include "fleet_process.hpp"
#include "server_process.hpp"

namespace merlinrun::scale {
namespace {

constexpr int kExitCannotExecute = 127;  // as shells report a command that cannot be executed

int ParseInt(const char* text) {
  int number = 0;
  std::from_chars(text, text + std::strlen(text), number);
  return number;
}

}  // namespace

// There are two forms of the command line, where PARENT is the pid of the process that started this one:
// PROGRAM child-tethered PARENT OTHER ARGUMENTS... executes the other program, which is killed when its
// parent dies. PROGRAM child-tethered PARENT PROGRAM KIND PORT runs one of this program's own worker
// processes.
bool RunAsChild(int argc, char** argv, int& status) {
  if (argc < 4 || std::string_view(argv[1]) != kChildArgument) return false;
  status = kExitCannotExecute;
  if (!DieWithParent(ParseInt(argv[2]))) return true;
  if (argc != 6 || argv[3] != ExecutablePath().string()) {
    ::execv(argv[3], argv + 3);
    std::fprintf(stderr, "%s: %s\n", argv[3], std::strerror(errno));
    return true;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const std::string_view kind = argv[4];
  const auto port = static_cast<std::uint16_t>(ParseInt(argv[5]));
  try {
    if (kind == kDiscoveryProcess) {
      status = RunDiscoveryProcess(port);
    } else if (kind == kFleetProcess) {
      status = RunFleetProcess(port);
    } else if (kind == kServerProcess) {
      status = RunServerProcess(port);
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s: %s\n", argv[4], error.what());
    status = 1;
  }
  return true;
}

}  // namespace merlinrun::scale
