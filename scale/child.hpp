// Processes that this one starts, and ends on every way out.
#ifndef MERLINRUN_SCALE_CHILD_HPP_
#define MERLINRUN_SCALE_CHILD_HPP_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace merlinrun::scale {

// The first argument of what this program starts itself as, with the owner's pid behind it: see RunAsChild.
inline constexpr const char* kTetheredArgument = "child-tethered";

// The file of the running program.
std::filesystem::path OwnProgram();

// Asks the kernel for SIGKILL once the process that started this one ends. False if that one, by its pid, is
// gone already.
bool TetherTo(pid_t owner);

// A program started as a child, in a process group of its own. It is killed and waited for at the latest when
// the object ends, and killed by the kernel if this process ends without that. For the latter it is started
// through OwnProgram(), whose main has to begin with RunAsChild.
class Child {
 public:
  struct Options {
    std::filesystem::path program;
    std::vector<std::string> arguments;
    std::vector<std::string> environment;  // NAME=value, before those of this process with other names
    std::filesystem::path log;             // standard output and error are added to it; empty = /dev/null
  };

  // Throws std::runtime_error if it cannot be started. Whether the program itself can be run shows in its
  // end: status 127.
  explicit Child(const Options& options);
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  pid_t pid() const { return pid_; }
  void Signal(int signal) const;  // nothing, once it has been seen to end
  // Its wait status, as of waitpid, if it ends within that time.
  std::optional<int> Wait(std::chrono::milliseconds most);
  // Of all its threads, in microseconds, since its start; 0 once it has ended.
  std::int64_t cpu_us() const;
  // Its resident memory; 0 once it has ended.
  std::int64_t rss_bytes() const;

 private:
  pid_t pid_ = -1;
  std::optional<int> status_;
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_CHILD_HPP_
