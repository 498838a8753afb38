// The list of servers in discovery: its generations, the changes between them, and the responses in the
// protocol's form, each serialized once for all clients.
#ifndef MERLINRUN_SCALE_DISCOVERY_LIST_HPP_
#define MERLINRUN_SCALE_DISCOVERY_LIST_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace merlinrun::scale {

// A server as discovery lists it. The fields have the protocol's names.
struct Entry {
  std::string instance_id;
  std::string host_port;
  std::string zone;
  std::string machine_type;
  std::int64_t cell = 0;
  enum class Lifecycle { kUp, kDraining, kRemoved } lifecycle = Lifecycle::kUp;
  double weight = 1;
  std::int64_t started_at_ms = 0;  // Unix time in milliseconds; 0 = long ago
};

// Bytes to write to connections, shared by all connections that get them, and what they count as.
struct Frame {
  std::string text;
  std::uint64_t objects = 0;
  std::uint64_t full_lists = 0;
  std::uint64_t entries = 0;
  std::uint64_t heartbeats = 0;
};
using FramePtr = std::shared_ptr<const Frame>;

FramePtr TextFrame(std::string text);
FramePtr HeartbeatFrame();  // an empty line in a chunk

class DiscoveryList {
 public:
  // `history` is the number of past changes that are kept. A watch that needs an older one starts with the
  // full list.
  explicit DiscoveryList(std::size_t history) : max_history_(history) {}

  // Replaces the list, or applies changed entries. Both return the chunk to send to open watches.
  FramePtr Set(const std::vector<Entry>& list);
  FramePtr Change(const std::vector<Entry>& entries);
  // Restarts the generations at 1 and drops the history, so that a watch from before gets the full list.
  void ResetGenerations();

  std::int64_t generation() const { return generation_; }
  std::uint64_t objects_serialized() const { return objects_serialized_; }
  std::size_t size() const { return list_.size(); }
  // The number of entries in the first object of a watch whose client has the list of generation `index`.
  std::size_t EntriesAfter(std::int64_t index) const;
  FramePtr FullListResponse();
  // The response to a watch up to its first object: the entries that changed after `index`, each as it is
  // now, or the full list if the history does not go back that far.
  FramePtr WatchResponse(std::int64_t index);

 private:
  struct PastChange {
    std::int64_t generation;
    std::vector<std::pair<std::string, std::string>> entries;  // by id, serialized
  };

  bool HistoryCovers(std::int64_t index) const;
  void Apply(const std::vector<Entry>& entries, PastChange& past_change);
  std::vector<const std::string*> AllEntries() const;
  std::string SerializeObject(bool full, const std::vector<const std::string*>& entries);
  static Frame MakeFrame(std::string text, bool full, std::size_t entries);
  void ClearCache();

  const std::size_t max_history_;
  std::map<std::string, std::string> list_;  // serialized entries by id
  std::int64_t generation_ = 1;
  std::deque<PastChange> history_;
  std::uint64_t objects_serialized_ = 0;
  FramePtr full_list_response_;                       // of the current generation; null until requested
  std::map<std::int64_t, FramePtr> watch_responses_;  // likewise, by index; -1 = the full list
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_DISCOVERY_LIST_HPP_
