// Child processes that never outlive this process.
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

// The first argument when this program is started as a child process of itself; the pid of the process that
// starts it is the second. See RunAsChild().
inline constexpr const char* kChildArgument = "child-tethered";

// Returns the path of the running executable.
std::filesystem::path ExecutablePath();

// Asks the kernel to send SIGKILL to this process when its parent dies. Returns false on failure, and if the
// parent is not `expected_parent`, which means that the expected one has died already.
bool DieWithParent(pid_t expected_parent);

// A program that runs as a child process, in a process group of its own. The destructor kills it and waits
// for it. If this process dies without running the destructor, the kernel kills the child. For this, the
// child is started through ExecutablePath(), so main() has to call RunAsChild() first.
class Child {
 public:
  struct Options {
    std::filesystem::path program;
    std::vector<std::string> arguments;
    std::vector<std::string> environment;  // NAME=value; replace variables of this process with the same name
    std::filesystem::path log;             // standard output and error are appended to it; empty = /dev/null
  };

  // Throws std::runtime_error if the process cannot be started. If the program cannot be executed, the child
  // exits with status 127.
  explicit Child(const Options& options);
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  pid_t pid() const { return pid_; }
  void Signal(int signal) const;  // does nothing after Wait() has returned a status
  // Waits for the end of the process. Returns its status as from waitpid(), or nothing at the timeout.
  std::optional<int> Wait(std::chrono::milliseconds timeout);
  // CPU time of all its threads since its start, in microseconds; 0 after its end.
  std::int64_t cpu_us() const;
  // Its resident memory; 0 after its end.
  std::int64_t rss_bytes() const;

 private:
  pid_t pid_ = -1;
  std::optional<int> status_;
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_CHILD_HPP_
