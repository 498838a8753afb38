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

constexpr auto kPoll = std::chrono::milliseconds(2);

class FileActions {
 public:
  explicit FileActions(const std::filesystem::path& log) {
    ::posix_spawn_file_actions_init(&actions_);
    const std::string out = log.empty() ? "/dev/null" : log.string();
    ::posix_spawn_file_actions_addopen(&actions_, 0, "/dev/null", O_RDONLY, 0);
    ::posix_spawn_file_actions_addopen(&actions_, 1, out.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::posix_spawn_file_actions_adddup2(&actions_, 1, 2);
    // Guards against a child that keeps another one's control connection open.
    ::posix_spawn_file_actions_addclosefrom_np(&actions_, 3);
  }
  ~FileActions() { ::posix_spawn_file_actions_destroy(&actions_); }
  FileActions(const FileActions&) = delete;
  FileActions& operator=(const FileActions&) = delete;
  const posix_spawn_file_actions_t* get() const { return &actions_; }

 private:
  posix_spawn_file_actions_t actions_{};
};

// Its own group, so that an interrupt at the terminal comes to the owner alone, and signals as at the start.
class Attributes {
 public:
  Attributes() {
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
  ~Attributes() { ::posix_spawnattr_destroy(&attributes_); }
  Attributes(const Attributes&) = delete;
  Attributes& operator=(const Attributes&) = delete;
  const posix_spawnattr_t* get() const { return &attributes_; }

 private:
  posix_spawnattr_t attributes_{};
};

std::vector<char*> Pointers(std::vector<std::string>& texts) {
  std::vector<char*> pointers;
  pointers.reserve(texts.size() + 1);
  for (std::string& text : texts) pointers.push_back(text.data());
  pointers.push_back(nullptr);
  return pointers;
}

std::vector<std::string> EnvironmentWith(std::vector<std::string> own) {
  const std::size_t given = own.size();
  for (char** entry = environ; *entry != nullptr; ++entry) {
    const std::string text(*entry);
    const std::string name = text.substr(0, text.find('=') + 1);
    const auto end = own.begin() + static_cast<std::ptrdiff_t>(given);
    if (std::none_of(own.begin(), end, [&](const std::string& set) { return set.rfind(name, 0) == 0; }))
      own.push_back(text);
  }
  return own;
}

}  // namespace

std::filesystem::path OwnProgram() { return std::filesystem::read_symlink("/proc/self/exe"); }

bool TetherTo(pid_t owner) { return ::prctl(PR_SET_PDEATHSIG, SIGKILL) == 0 && ::getppid() == owner; }

Child::Child(const Options& options) {
  const std::string self = OwnProgram().string();
  std::vector<std::string> arguments = {self, kTetheredArgument, std::to_string(::getpid()),
                                        options.program.string()};
  arguments.insert(arguments.end(), options.arguments.begin(), options.arguments.end());
  std::vector<std::string> environment = EnvironmentWith(options.environment);
  const FileActions actions(options.log);
  const Attributes attributes;
  const int error = ::posix_spawn(&pid_, self.c_str(), actions.get(), attributes.get(),
                                  Pointers(arguments).data(), Pointers(environment).data());
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

std::optional<int> Child::Wait(std::chrono::milliseconds most) {
  const auto end = std::chrono::steady_clock::now() + most;
  while (!status_) {
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) == pid_) {
      status_ = status;
    } else if (std::chrono::steady_clock::now() >= end) {
      break;
    } else {
      std::this_thread::sleep_for(kPoll);
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
