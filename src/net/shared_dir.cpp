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
constexpr std::string_view kAdminDownPrefix = "out.";
constexpr std::string_view kTemporaryPrefix = "new.";
constexpr std::string_view kHandoverName = "learnt";
constexpr std::string_view kRecentRequestsName = "requests";
constexpr std::size_t kMaxHandoverSize = std::size_t{256} * 1024;
constexpr std::size_t kMaxReported = 32;  // file names that are logged as not understood
constexpr std::size_t kMaxRecordSize = 256;

struct CloseDir {
  void operator()(DIR* dir) const { ::closedir(dir); }
};

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

bool IsPlain(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' || c == '_';
}

// The name of a server's file. All but plain characters are encoded, so that no server id can name another
// file or another folder.
std::string RecordFileName(const std::string& server) {
  std::string name(kAdminDownPrefix);
  for (const char c : server) {
    if (IsPlain(c)) {
      name.push_back(c);
    } else {
      char code[4];
      std::snprintf(code, sizeof code, "%%%02X", static_cast<unsigned>(static_cast<unsigned char>(c)));
      name.append(code);
    }
  }
  return name;
}

// Reads the start of a file, up to one byte more than `max_size`: from that byte a caller sees that the file
// is too long. Empty on failure.
std::string ReadUpTo(const std::string& file, std::size_t max_size) {
  std::string text(max_size + 1, '\0');
  const int fd = ::open(file.c_str(), O_RDONLY | O_CLOEXEC | O_NOFOLLOW | O_NONBLOCK);
  const ssize_t bytes_read = fd < 0 ? -1 : ::read(fd, text.data(), text.size());
  if (fd >= 0) ::close(fd);
  text.resize(bytes_read < 0 ? 0 : static_cast<std::size_t>(bytes_read));
  return text;
}

}  // namespace

std::string SanitizeForLog(const std::string& text) {
  std::string printable = text.substr(0, 100);
  for (char& c : printable)
    if (c < ' ' || c > '~') c = '?';
  return printable;
}

SharedDir::SharedDir(std::string path) : path_(std::move(path)) {}

SharedDir::~SharedDir() {
  if (presence_fd_ < 0) return;
  ::unlink((path_ + "/" + presence_name_).c_str());
  ::close(presence_fd_);
}

void SharedDir::AcquirePresenceLock() {
  if (path_.empty() || presence_fd_ >= 0) return;
  std::string name = path_ + "/" + std::string(kPresencePrefix) + "XXXXXX";
  presence_fd_ = ::mkostemp(name.data(), O_CLOEXEC);
  if (presence_fd_ < 0 || ::flock(presence_fd_, LOCK_EX | LOCK_NB) != 0) {
    std::fprintf(stderr, "shared folder: cannot create and lock the presence file: %s\n",
                 std::strerror(errno));
    return;
  }
  presence_name_ = name.substr(path_.size() + 1);
}

// Whether the process that created a presence file is alive. Deletes the file if it is not.
bool SharedDir::ProbePresence(const std::string& name) const {
  const std::string file = path_ + "/" + name;
  const int fd = ::open(file.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) return false;
  const bool alive = ::flock(fd, LOCK_EX | LOCK_NB) != 0;
  if (!alive) ::unlink(file.c_str());
  ::close(fd);
  return alive;
}

// Writes to a temporary file and renames it, so that readers never see a part of the text.
bool SharedDir::WriteAtomically(const std::string& name, const std::string& text) {
  std::string temporary = path_ + "/" + std::string(kTemporaryPrefix) + "XXXXXX";
  const int fd = ::mkostemp(temporary.data(), O_CLOEXEC);
  if (fd < 0) return false;
  const bool written = ::write(fd, text.data(), text.size()) == static_cast<ssize_t>(text.size());
  const bool closed = ::close(fd) == 0;
  if (written && closed && ::rename(temporary.c_str(), (path_ + "/" + name).c_str()) == 0) return true;
  ::unlink(temporary.c_str());
  return false;
}

bool SharedDir::RecordAdminDown(const std::string& server) {
  const std::string text = server + "\n";
  return !path_.empty() && text.size() <= kMaxRecordSize && WriteAtomically(RecordFileName(server), text);
}

bool SharedDir::WriteHandover(const std::string& text) {
  return !path_.empty() && text.size() <= kMaxHandoverSize &&
         WriteAtomically(std::string(kHandoverName), text);
}

std::string SharedDir::ReadHandover() const {
  return path_.empty() ? "" : ReadUpTo(path_ + "/" + std::string(kHandoverName), kMaxHandoverSize);
}

std::string SharedDir::RecentRequestsFile() const {
  return path_.empty() ? "" : path_ + "/" + std::string(kRecentRequestsName);
}

bool SharedDir::ClearAdminDown(const std::string& server) {
  if (path_.empty()) return false;
  return ::unlink((path_ + "/" + RecordFileName(server)).c_str()) == 0 || errno == ENOENT;
}

void SharedDir::ReportUnrecognized(const std::string& name) {
  if (reported_.size() >= kMaxReported || !reported_.insert(name).second) return;
  std::fprintf(stderr, "shared folder: not understood and ignored: %s\n", SanitizeForLog(name).c_str());
}

SharedDir::Contents SharedDir::Scan() {
  Contents contents;
  if (path_.empty()) return contents;
  const std::unique_ptr<DIR, CloseDir> dir(::opendir(path_.c_str()));
  if (dir == nullptr) return contents;
  contents.readable = true;
  while (const dirent* entry = ::readdir(dir.get())) {
    const std::string name = entry->d_name;
    if (name == "." || name == ".." || name == kHandoverName || name == kRecentRequestsName ||
        StartsWith(name, kTemporaryPrefix))
      continue;
    if (StartsWith(name, kPresencePrefix)) {
      if (name != presence_name_)
        contents.other_process_alive = ProbePresence(name) || contents.other_process_alive;
      continue;
    }
    if (entry->d_type == DT_DIR && !StartsWith(name, kAdminDownPrefix))
      continue;  // other programs keep folders here
    std::string server =
        StartsWith(name, kAdminDownPrefix) ? ReadUpTo(path_ + "/" + name, kMaxRecordSize) : "";
    const bool complete = server.size() > 1 && server.back() == '\n';
    if (complete) server.pop_back();
    if (complete && RecordFileName(server) == name) {
      contents.admin_down.insert(server);
    } else {
      ReportUnrecognized(name);
    }
  }
  return contents;
}

}  // namespace merlinrun::net
