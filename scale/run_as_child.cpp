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

constexpr int kCannotRun = 127;  // as a shell says it

int Number(const char* text) {
  int number = 0;
  std::from_chars(text, text + std::strlen(text), number);
  return number;
}

}  // namespace

// PROGRAM child-tethered OWNER OTHER ARGUMENTS... becomes the other program, which dies with its owner.
// PROGRAM child-tethered OWNER PROGRAM KIND PORT is one of this program's own parts.
bool RunAsChild(int argc, char** argv, int& status) {
  if (argc < 4 || std::string_view(argv[1]) != kTetheredArgument) return false;
  status = kCannotRun;
  if (!TetherTo(Number(argv[2]))) return true;
  if (argc != 6 || argv[3] != OwnProgram().string()) {
    ::execv(argv[3], argv + 3);
    std::fprintf(stderr, "%s: %s\n", argv[3], std::strerror(errno));
    return true;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const std::string_view kind = argv[4];
  const auto port = static_cast<std::uint16_t>(Number(argv[5]));
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
