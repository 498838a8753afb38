#include "child.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <ctime>
#include <fstream>
#include <stdexcept>
#include <system_error>
#include <thread>

extern char** environ;

namespace merlinrun::scale {
namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(2);

class FileActions {
 public:
  explicit FileActions(const std::filesystem::path& log) {
    ::posix_spawn_file_actions_init(&actions_);
    const std::string out = log.empty() ? "/dev/null" : log.string();
    ::posix_spawn_file_actions_addopen(&actions_, 0, "/dev/null", O_RDONLY, 0);
    ::posix_spawn_file_actions_addopen(&actions_, 1, out.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::posix_spawn_file_actions_adddup2(&actions_, 1, 2);
    // Otherwise a child would inherit the control connections of the other children and keep them open.
    ::posix_spawn_file_actions_addclosefrom_np(&actions_, 3);
  }
  ~FileActions() { ::posix_spawn_file_actions_destroy(&actions_); }
  FileActions(const FileActions&) = delete;
  FileActions& operator=(const FileActions&) = delete;
  const posix_spawn_file_actions_t* get() const { return &actions_; }

 private:
  posix_spawn_file_actions_t actions_{};
};

// Spawn attributes: a process group of its own, so that Ctrl-C at the terminal interrupts only the parent,
// default signal handling, and no blocked signals.
class SpawnAttributes {
 public:
  SpawnAttributes() {
    ::posix_spawnattr_init(&attributes_);
    sigset_t none;
    sigset_t all;
    sigemptyset(&none);
    sigfillset(&all);
    ::posix_spawnattr_setsigmask(&attributes_, &none);
    ::posix_spawnattr_setsigdefault(&attributes_, &all);
    ::posix_spawnattr_setpgroup(&attributes_, 0);
    ::posix_spawnattr_setflags(&attributes_,
                               POSIX_SPAWN_SETPGROUP | POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF);
  }
  ~SpawnAttributes() { ::posix_spawnattr_destroy(&attributes_); }
  SpawnAttributes(const SpawnAttributes&) = delete;
  SpawnAttributes& operator=(const SpawnAttributes&) = delete;
  const posix_spawnattr_t* get() const { return &attributes_; }

 private:
  posix_spawnattr_t attributes_{};
};

std::vector<char*> NullTerminatedPointers(std::vector<std::string>& texts) {
  std::vector<char*> pointers;
  pointers.reserve(texts.size() + 1);
  for (std::string& text : texts) pointers.push_back(text.data());
  pointers.push_back(nullptr);
  return pointers;
}

std::vector<std::string> MergedEnvironment(std::vector<std::string> variables) {
  const std::size_t override_count = variables.size();
  for (char** entry = environ; *entry != nullptr; ++entry) {
    const std::string text(*entry);
    const std::string name = text.substr(0, text.find('=') + 1);
    const auto end = variables.begin() + static_cast<std::ptrdiff_t>(override_count);
    if (std::none_of(variables.begin(), end,
                     [&](const std::string& variable) { return variable.rfind(name, 0) == 0; }))
      variables.push_back(text);
  }
  return variables;
}

}  // namespace

std::filesystem::path ExecutablePath() { return std::filesystem::read_symlink("/proc/self/exe"); }

bool DieWithParent(pid_t expected_parent) {
  return ::prctl(PR_SET_PDEATHSIG, SIGKILL) == 0 && ::getppid() == expected_parent;
}

Child::Child(const Options& options) {
  const std::string self = ExecutablePath().string();
  std::vector<std::string> arguments = {self, kChildArgument, std::to_string(::getpid()),
                                        options.program.string()};
  arguments.insert(arguments.end(), options.arguments.begin(), options.arguments.end());
  std::vector<std::string> environment = MergedEnvironment(options.environment);
  const FileActions actions(options.log);
  const SpawnAttributes attributes;
  const int error =
      ::posix_spawn(&pid_, self.c_str(), actions.get(), attributes.get(),
                    NullTerminatedPointers(arguments).data(), NullTerminatedPointers(environment).data());
  if (error != 0)
    throw std::runtime_error(options.program.string() +
                             ": cannot be started: " + std::generic_category().message(error));
}

Child::~Child() {
  if (status_) return;
  ::kill(pid_, SIGKILL);
  while (::waitpid(pid_, nullptr, 0) < 0 && errno == EINTR) {
  }
}

void Child::Signal(int signal) const {
  if (!status_) ::kill(pid_, signal);
}

std::optional<int> Child::Wait(std::chrono::milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!status_) {
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) == pid_) {
      status_ = status;
    } else if (std::chrono::steady_clock::now() >= end) {
      break;
    } else {
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  return status_;
}

std::int64_t Child::cpu_us() const {
  clockid_t clock = 0;
  timespec time{};
  if (status_ || ::clock_getcpuclockid(pid_, &clock) != 0 || ::clock_gettime(clock, &time) != 0) return 0;
  return static_cast<std::int64_t>(time.tv_sec) * 1'000'000 + time.tv_nsec / 1000;
}

std::int64_t Child::rss_bytes() const {
  if (status_) return 0;
  std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
  std::int64_t size = 0;
  std::int64_t resident = 0;
  return file >> size >> resident ? resident * ::sysconf(_SC_PAGESIZE) : 0;
}

}  // namespace merlinrun::scale
