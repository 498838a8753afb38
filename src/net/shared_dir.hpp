// What the processes of one sidecar share: a folder that outlives each of them. While a new version takes
// over, two run side by side, and each sees here that the other lives and which servers are out by hand.
#ifndef MERLINRUN_NET_SHARED_DIR_HPP_
#define MERLINRUN_NET_SHARED_DIR_HPP_

#include <set>
#include <string>

namespace merlinrun::net {

// For the log: text of others on one line, and not too much of it.
std::string Printable(const std::string& text);

class SharedDir {
 public:
  // An empty path is no folder: nothing is shared then.
  explicit SharedDir(std::string path);
  ~SharedDir();
  SharedDir(const SharedDir&) = delete;
  SharedDir& operator=(const SharedDir&) = delete;

  // Shows that this process lives, by a lock that ends with it however it ends.
  void ShowPresence();

  // Records that a server is out by hand, or that it no longer is. False if that cannot be done; nothing is
  // changed then.
  bool Keep(const std::string& server);
  bool Drop(const std::string& server);

  // What one process leaves for the next, whole or not at all; empty if there is nothing.
  bool Leave(const std::string& text);
  std::string Left() const;

  struct View {
    bool readable = false;
    bool others = false;        // another process of this sidecar lives
    std::set<std::string> out;  // servers
  };
  // What is here and cannot be understood is told once and left alone.
  View Look();

 private:
  bool WriteWhole(const std::string& name, const std::string& text);
  bool OtherLives(const std::string& name) const;
  void Tell(const std::string& name);

  const std::string path_;
  std::string own_name_;
  std::set<std::string> told_;
  int own_ = -1;
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_SHARED_DIR_HPP_
