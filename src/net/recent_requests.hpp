// The ids of the requests that were sent to a server recently and may have run there. A client that sends
// such an id again, also on a new connection or to the other process of an upgrade, must not make it run
// twice.
#ifndef MERLINRUN_NET_RECENT_REQUESTS_HPP_
#define MERLINRUN_NET_RECENT_REQUESTS_HPP_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace merlinrun::net {

// A table of fixed size that replaces its oldest entries. It can be kept in a file that the processes of one
// sidecar map into their memory, so that each of them sees at once what the other has sent.
class RecentRequests {
 public:
  using Clock = std::chrono::steady_clock;

  // How long an id is kept, if the table has room.
  static constexpr std::chrono::seconds kRetention{60};

  RecentRequests();
  RecentRequests(const RecentRequests&) = delete;
  RecentRequests& operator=(const RecentRequests&) = delete;

  // Moves the table into this file, which is created if it does not exist, and combines it with what the file
  // holds. Returns false if that fails; the table is then kept in memory alone.
  bool Share(const std::string& file);
  bool shared() const { return shared_; }

  void Add(std::string_view id, Clock::time_point now);
  // Removes an id because it has not run after all.
  void Remove(std::string_view id);
  bool Contains(std::string_view id, Clock::time_point now) const;

 private:
  // An entry; its hash is 0 if it is free. Both processes write to the table without locks: the worst that
  // can follow is that one of two entries written at the same time is lost.
  struct Entry {
    std::atomic<std::uint64_t> hash;
    std::atomic<std::int64_t> sent_at_us;  // on the steady clock, which all processes of a machine share
  };
  struct Unmap {
    bool mapped;  // otherwise allocated with new
    void operator()(Entry* entries) const;
  };
  using Table = std::unique_ptr<Entry[], Unmap>;

  static Table MapFile(const std::string& file);
  static std::uint64_t Hash(std::string_view id);
  // The first of the kWays entries that may hold a hash.
  Entry* Bucket(std::uint64_t hash) const;
  Entry* Find(std::uint64_t hash) const;
  void Insert(std::uint64_t hash, std::int64_t sent_at_us);

  Table entries_;
  bool shared_ = false;
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_RECENT_REQUESTS_HPP_
