// What a relay knows of the servers: each entry with its text as it came and the generation at which it last
// changed, ordered by it, so that the changes after any point hold each entry once, however often it changed.
#ifndef MERLINRUN_RELAY_LIST_STORE_HPP_
#define MERLINRUN_RELAY_LIST_STORE_HPP_

#include <cstddef>
#include <cstdint>
#include <list>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace merlinrun::relay {

class ListStore {
 public:
  // A position among the changes: this process's own count, which goes on where generations begin anew.
  using Position = std::uint64_t;

  // Keeps up to `history` removed entries, to tell of them.
  explicit ListStore(std::size_t history) : history_(history) {}
  ListStore(const ListStore&) = delete;  // entries are found by references into them
  ListStore& operator=(const ListStore&) = delete;

  // Takes an object that the upstream has told and net::Discovery accepted. A whole list of a lower
  // generation begins anew; any other is compared with what is held. True if there is something to tell.
  bool Take(const nlohmann::json& object);

  bool known() const { return known_; }
  std::int64_t generation() const { return generation_; }
  // Whoever knows less than this generation can be told the whole list alone.
  std::int64_t floor() const { return floor_; }
  Position position() const { return position_; }
  std::size_t entries() const { return live_.size(); }
  std::size_t tombstones() const { return removed_.size(); }

  // Where somebody stands who knows the list as of generation `index`; empty if only the whole list can tell
  // the changes since. `index` is no higher than the generation.
  std::optional<Position> Find(std::int64_t index) const;

  // Whether the changes after this position are still known.
  bool Reaches(Position position) const { return position >= floor_position_; }

  // Objects of the protocol, without a line's end. `After` needs a position that is reached.
  std::string Whole() const;
  std::string After(Position position) const;

  // For the state file. `Restore` leaves an empty store, and says why, if the text is not what `Saved` wrote.
  std::string Saved() const;
  bool Restore(const std::string& text, std::string& error);

 private:
  struct Entry {
    std::string id;
    std::string text;
    std::int64_t generation = 0;  // at which it last changed
    Position position = 0;
    bool removed = false;
  };
  using Entries = std::list<Entry>;
  // Generations, first and last, that were passed over: what changed and changed back meanwhile is not known,
  // so who stands there is told the whole list.
  using Gap = std::pair<std::int64_t, std::int64_t>;

  void Clear();
  void Begin(const nlohmann::json& object);
  bool TakeWhole(const nlohmann::json& instances, std::int64_t generation);
  void Put(const nlohmann::json& json, std::int64_t generation, Position position);
  void Place(Entry entry);
  void Bury();
  void SkipTo(std::int64_t first, std::int64_t last);
  void RestoreFrom(const nlohmann::json& json);

  const std::size_t history_;
  bool known_ = false;
  std::int64_t generation_ = 0;
  std::int64_t floor_ = 0;
  Position position_ = 0;
  Position floor_position_ = 0;
  Entries live_;                                                   // the longest unchanged first
  Entries removed_;                                                // the longest removed first
  std::unordered_map<std::string_view, Entries::iterator> by_id_;  // of both
  std::vector<Gap> gaps_;
};

}  // namespace merlinrun::relay

#endif  // MERLINRUN_RELAY_LIST_STORE_HPP_
