// What the processes of one sidecar share: a folder that outlives each of them. While a new version takes
// over, two run side by side, and each sees here that the other one lives.
#ifndef MERLINRUN_NET_SHARED_DIR_HPP_
#define MERLINRUN_NET_SHARED_DIR_HPP_

#include <string>

namespace merlinrun::net {

class SharedDir {
 public:
  // An empty path is no folder: nothing is shared then.
  explicit SharedDir(std::string path);
  ~SharedDir();
  SharedDir(const SharedDir&) = delete;
  SharedDir& operator=(const SharedDir&) = delete;

  // Shows that this process lives, by a lock that ends with it however it ends.
  void ShowPresence();

  struct View {
    bool others = false;  // another process of this sidecar lives
  };
  View Look();

 private:
  bool OtherLives(const std::string& name) const;

  const std::string path_;
  std::string own_name_;
  int own_ = -1;
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_SHARED_DIR_HPP_
