// The sidecar program as a child process that logs to a file, and temporary files.
#ifndef MERLINRUN_TESTS_FAULTS_PROCESS_HPP_
#define MERLINRUN_TESTS_FAULTS_PROCESS_HPP_

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

namespace merlinrun::faults {

// A child process. The destructor kills it, if it still runs, and waits for its end.
class Process {
 public:
  // Starts the program and appends its standard error to the file `log`.
  Process(const std::string& program, std::vector<std::string> environment, const std::string& log) {
    std::vector<char*> variables;
    for (std::string& variable : environment) variables.push_back(variable.data());
    variables.push_back(nullptr);
    std::string name = program;
    char* const arguments[] = {name.data(), nullptr};
    posix_spawn_file_actions_t files;
    ::posix_spawn_file_actions_init(&files);
    ::posix_spawn_file_actions_addopen(&files, STDERR_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                       0600);
    const int failed = ::posix_spawn(&pid_, program.c_str(), &files, nullptr, arguments, variables.data());
    ::posix_spawn_file_actions_destroy(&files);
    if (failed != 0) throw std::runtime_error("cannot start " + program);
  }
  ~Process() {
    if (status_) return;
    Signal(SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const {
    if (!status_) ::kill(pid_, signal);
  }
  pid_t pid() const { return pid_; }
  // The wait status, if the process has ended.
  std::optional<int> PollExit() {
    int status = 0;
    if (!status_ && ::waitpid(pid_, &status, WNOHANG) == pid_) status_ = status;
    return status_;
  }

 private:
  pid_t pid_ = -1;
  std::optional<int> status_;
};

// A new file under /tmp, removed by the destructor.
class TemporaryFile {
 public:
  TemporaryFile() {
    char name[] = "/tmp/rookhub-faults-XXXXXX";
    const int file = ::mkstemp(name);
    if (file < 0) throw std::runtime_error("cannot create a temporary file");
    ::close(file);
    path_ = name;
  }
  ~TemporaryFile() { ::unlink(path_.c_str()); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  const std::string& path() const { return path_; }
  void Write(const std::string& text) const { std::ofstream(path_, std::ios::trunc) << text; }
  std::string Read() const {
    std::stringstream text;
    text << std::ifstream(path_).rdbuf();
    return text.str();
  }

 private:
  std::string path_;
};

}  // namespace merlinrun::faults

#endif  // MERLINRUN_TESTS_FAULTS_PROCESS_HPP_
