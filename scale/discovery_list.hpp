// The list of servers as discovery holds it: its versions, what has changed between them, and both in the
// protocol's form, made once for all that ask.
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

// A server as discovery lists it, with the protocol's names.
struct Entry {
  std::string instance_id;
  std::string host_port;
  std::string zone;
  std::string machine_type;
  std::int64_t cell = 0;
  enum class Lifecycle { kUp, kDraining, kRemoved } lifecycle = Lifecycle::kUp;
  double weight = 1;
  std::int64_t started_at_ms = 0;  // Unix time; 0 = long ago
};

// What goes to a connection, made once for all that get it.
struct Frame {
  std::string text;
  std::uint64_t objects = 0;
  std::uint64_t whole_lists = 0;
  std::uint64_t entries = 0;
  std::uint64_t blank_lines = 0;
};
using FramePtr = std::shared_ptr<const Frame>;

FramePtr TextFrame(std::string text);
FramePtr BlankLine();  // as a chunk

class DiscoveryList {
 public:
  // A watch may begin so many changes behind the present.
  explicit DiscoveryList(std::size_t history) : most_history_(history) {}

  // Both return what watches are to be told, as a chunk.
  FramePtr Set(const std::vector<Entry>& list);
  FramePtr Change(const std::vector<Entry>& entries);
  // Generations are counted anew, and no watch can go on from before.
  void BeginAnew();

  std::int64_t generation() const { return generation_; }
  std::uint64_t serialized() const { return serialized_; }
  std::size_t size() const { return list_.size(); }
  // What the first object of a watch holds that has the list as it was at `index`.
  std::size_t LinesAfter(std::int64_t index) const;
  FramePtr WholeAnswer();
  // The answer to a watch up to its first object: what has changed after `index`, each entry as it is now, or
  // the whole list if the history does not reach back to it.
  FramePtr WatchAnswer(std::int64_t index);

 private:
  struct Past {
    std::int64_t generation;
    std::vector<std::pair<std::string, std::string>> entries;  // by id, serialized
  };

  bool Reaches(std::int64_t index) const;
  void Apply(const std::vector<Entry>& entries, Past& past);
  std::vector<const std::string*> EveryEntry() const;
  std::string Object(bool whole, const std::vector<const std::string*>& entries);
  static Frame Counted(std::string text, bool whole, std::size_t entries);
  void Forget();

  const std::size_t most_history_;
  std::map<std::string, std::string> list_;  // serialized entries by id
  std::int64_t generation_ = 1;
  std::deque<Past> history_;
  std::uint64_t serialized_ = 0;                    // objects made
  FramePtr whole_answer_;                           // of the present generation; null until it is asked for
  std::map<std::int64_t, FramePtr> watch_answers_;  // likewise, by index; -1 = the whole list
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_DISCOVERY_LIST_HPP_
