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
constexpr std::string_view kOutPrefix = "out.";
constexpr std::string_view kUnfinishedPrefix = "new.";
constexpr std::string_view kLeftName = "learnt";
constexpr std::size_t kMostLeft = std::size_t{256} * 1024;
constexpr std::size_t kMostTold = 32;
constexpr std::size_t kMostRecord = 256;

struct CloseDir {
  void operator()(DIR* dir) const { ::closedir(dir); }
};

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

bool Plain(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' || c == '_';
}

// A name for a file that no server's id can turn into another file's or another folder's.
std::string FileName(const std::string& server) {
  std::string name(kOutPrefix);
  for (const char c : server) {
    if (Plain(c)) {
      name.push_back(c);
    } else {
      char code[4];
      std::snprintf(code, sizeof code, "%%%02X", static_cast<unsigned>(static_cast<unsigned char>(c)));
      name.append(code);
    }
  }
  return name;
}

std::string ReadUpTo(const std::string& file, std::size_t most) {
  std::string text(most + 1, '\0');
  const int fd = ::open(file.c_str(), O_RDONLY | O_CLOEXEC | O_NOFOLLOW | O_NONBLOCK);
  const ssize_t got = fd < 0 ? -1 : ::read(fd, text.data(), text.size());
  if (fd >= 0) ::close(fd);
  text.resize(got < 0 ? 0 : static_cast<std::size_t>(got));
  return text;
}

}  // namespace

std::string Printable(const std::string& text) {
  std::string shown = text.substr(0, 100);
  for (char& c : shown)
    if (c < ' ' || c > '~') c = '?';
  return shown;
}

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

// It appears whole or not at all: it is written under another name first.
bool SharedDir::WriteWhole(const std::string& name, const std::string& text) {
  std::string unfinished = path_ + "/" + std::string(kUnfinishedPrefix) + "XXXXXX";
  const int fd = ::mkostemp(unfinished.data(), O_CLOEXEC);
  if (fd < 0) return false;
  const bool written = ::write(fd, text.data(), text.size()) == static_cast<ssize_t>(text.size());
  const bool closed = ::close(fd) == 0;
  if (written && closed && ::rename(unfinished.c_str(), (path_ + "/" + name).c_str()) == 0) return true;
  ::unlink(unfinished.c_str());
  return false;
}

bool SharedDir::Keep(const std::string& server) {
  const std::string text = server + "\n";
  return !path_.empty() && text.size() <= kMostRecord && WriteWhole(FileName(server), text);
}

bool SharedDir::Leave(const std::string& text) {
  return !path_.empty() && text.size() <= kMostLeft && WriteWhole(std::string(kLeftName), text);
}

std::string SharedDir::Left() const {
  return path_.empty() ? "" : ReadUpTo(path_ + "/" + std::string(kLeftName), kMostLeft);
}

bool SharedDir::Drop(const std::string& server) {
  if (path_.empty()) return false;
  return ::unlink((path_ + "/" + FileName(server)).c_str()) == 0 || errno == ENOENT;
}

void SharedDir::Tell(const std::string& name) {
  if (told_.size() >= kMostTold || !told_.insert(name).second) return;
  std::fprintf(stderr, "shared folder: not understood and left alone: %s\n", Printable(name).c_str());
}

SharedDir::View SharedDir::Look() {
  View view;
  if (path_.empty()) return view;
  const std::unique_ptr<DIR, CloseDir> dir(::opendir(path_.c_str()));
  if (dir == nullptr) return view;
  view.readable = true;
  while (const dirent* entry = ::readdir(dir.get())) {
    const std::string name = entry->d_name;
    if (name == "." || name == ".." || name == kLeftName || StartsWith(name, kUnfinishedPrefix)) continue;
    if (StartsWith(name, kPresencePrefix)) {
      if (name != own_name_) view.others = OtherLives(name) || view.others;
      continue;
    }
    if (entry->d_type == DT_DIR && !StartsWith(name, kOutPrefix)) continue;  // others keep theirs here too
    std::string server = StartsWith(name, kOutPrefix) ? ReadUpTo(path_ + "/" + name, kMostRecord) : "";
    const bool whole = server.size() > 1 && server.back() == '\n';
    if (whole) server.pop_back();
    if (whole && FileName(server) == name) {
      view.out.insert(server);
    } else {
      Tell(name);
    }
  }
  return view;
}

}  // namespace merlinrun::net
