// A folder that the processes of one sidecar share and that outlives each of them. During an upgrade the old
// and the new process run side by side; here each sees that the other is alive and which servers operators
// have taken administratively down, and the old one saves its learned state for the new one.
#ifndef MERLINRUN_NET_SHARED_DIR_HPP_
#define MERLINRUN_NET_SHARED_DIR_HPP_

#include <set>
#include <string>

namespace merlinrun::net {

// Makes text from outside safe to log: at most 100 bytes, and a `?` for each that is not printable ASCII.
std::string SanitizeForLog(const std::string& text);

// Access to the folder. It holds one file per live process (`alive.*`, locked), one per server that is
// administratively down (`out.*`), the handover file with the learned state (`learnt`), the table of requests
// sent recently (`requests`), and files that are still being written (`new.*`).
class SharedDir {
 public:
  // With an empty path nothing is shared: nothing is read, and writing fails.
  explicit SharedDir(std::string path);
  ~SharedDir();
  SharedDir(const SharedDir&) = delete;
  SharedDir& operator=(const SharedDir&) = delete;

  // Announces this process to the other one: creates a file and holds a lock on it, which the kernel releases
  // however the process ends.
  void AcquirePresenceLock();

  // Records that a server is administratively down, or that it no longer is. On failure returns false and
  // changes nothing.
  bool RecordAdminDown(const std::string& server);
  bool ClearAdminDown(const std::string& server);

  // The file for RecentRequests; empty if nothing is shared.
  std::string RecentRequestsFile() const;

  // Writes the learned state to the handover file, atomically; false if that fails.
  bool WriteHandover(const std::string& text);
  // The content of the handover file; empty if there is none.
  std::string ReadHandover() const;

  // What the folder holds.
  struct Contents {
    bool readable = false;             // false: the folder cannot be read, and the rest is empty
    bool other_process_alive = false;  // another process of this sidecar is alive
    std::set<std::string> admin_down;  // servers that are administratively down
  };
  // Reads the folder. A file that is not understood is logged once and otherwise ignored.
  Contents Scan();

 private:
  bool WriteAtomically(const std::string& name, const std::string& text);
  bool ProbePresence(const std::string& name) const;
  void ReportUnrecognized(const std::string& name);

  const std::string path_;
  std::string presence_name_;
  std::set<std::string> reported_;
  int presence_fd_ = -1;  // locked while this process is announced
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_SHARED_DIR_HPP_
