#include "shared_dir.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <string_view>
#include <utility>

namespace merlinrun::net {
namespace {

constexpr std::string_view kPresencePrefix = "alive.";

struct CloseDir {
  void operator()(DIR* dir) const { ::closedir(dir); }
};

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

}  // namespace

SharedDir::SharedDir(std::string path) : path_(std::move(path)) {}

SharedDir::~SharedDir() {
  if (own_ < 0) return;
  ::unlink((path_ + "/" + own_name_).c_str());
  ::close(own_);
}

void SharedDir::ShowPresence() {
  if (path_.empty() || own_ >= 0) return;
  std::string name = path_ + "/" + std::string(kPresencePrefix) + "XXXXXX";
  own_ = ::mkostemp(name.data(), O_CLOEXEC);
  if (own_ < 0 || ::flock(own_, LOCK_EX | LOCK_NB) != 0) {
    std::fprintf(stderr, "shared folder: this process cannot be shown: %s\n", std::strerror(errno));
    return;
  }
  own_name_ = name.substr(path_.size() + 1);
}

// A name that no process holds any more is cleared away.
bool SharedDir::OtherLives(const std::string& name) const {
  const std::string file = path_ + "/" + name;
  const int fd = ::open(file.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) return false;
  const bool lives = ::flock(fd, LOCK_EX | LOCK_NB) != 0;
  if (!lives) ::unlink(file.c_str());
  ::close(fd);
  return lives;
}

SharedDir::View SharedDir::Look() {
  View view;
  if (path_.empty()) return view;
  const std::unique_ptr<DIR, CloseDir> dir(::opendir(path_.c_str()));
  if (dir == nullptr) return view;
  while (const dirent* entry = ::readdir(dir.get())) {
    const std::string name = entry->d_name;
    if (StartsWith(name, kPresencePrefix) && name != own_name_) view.others = OtherLives(name) || view.others;
  }
  return view;
}

}  // namespace merlinrun::net
