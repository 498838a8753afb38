// The list of servers that a relay keeps. Each entry is stored with its JSON text and the generation of its
// last change. Entries are ordered by their last change, so a delta contains each entry once, however often
// the entry has changed.
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
  // Counts the changes that this process has applied. Unlike the generation, it never decreases, even when
  // the upstream's generations start over.
  using Position = std::uint64_t;

  // Keeps up to `max_tombstones` removed entries, so that their removal can be part of a delta.
  explicit ListStore(std::size_t max_tombstones) : max_tombstones_(max_tombstones) {}
  ListStore(const ListStore&) = delete;  // `by_id_` refers to the entries of this object
  ListStore& operator=(const ListStore&) = delete;

  // Applies an object from the upstream that net::Discovery has accepted. A full list with a lower generation
  // replaces the stored list; a full list with the same or a higher one is compared with it. Returns whether
  // there are changes to send.
  bool Apply(const nlohmann::json& object);

  bool known() const { return known_; }  // whether a list has been received or restored
  std::int64_t generation() const { return generation_; }
  // The lowest generation from which a delta is possible. Clients with an older list need the full list.
  std::int64_t min_delta_generation() const { return min_delta_generation_; }
  Position position() const { return position_; }
  std::size_t entries() const { return live_.size(); }
  std::size_t tombstones() const { return tombstones_.size(); }

  // Returns the position of a client that has the list of generation `index`, or nothing if that client needs
  // the full list. `index` must not exceed the current generation.
  std::optional<Position> FindPosition(std::int64_t index) const;

  // Whether a delta from this position is still possible.
  bool CoversChangesAfter(Position position) const { return position >= min_delta_position_; }

  // Return objects of the discovery protocol, without a trailing newline. ChangesAfter may only be called if
  // CoversChangesAfter returns true for the position.
  std::string FullList() const;
  std::string ChangesAfter(Position position) const;

  // For the state file. If the text is incomplete or invalid, Restore returns false, sets `error` and leaves
  // the store empty.
  std::string Serialize() const;
  bool Restore(const std::string& text, std::string& error);

 private:
  struct Entry {
    std::string id;
    std::string text;
    std::int64_t generation = 0;  // of the last change
    Position position = 0;        // of the last change
    bool removed = false;
  };
  using Entries = std::list<Entry>;
  // The first and last generation of a range from which no delta is possible: what changed and changed back
  // in between is not known. Clients that have a list of such a generation need the full list.
  using Gap = std::pair<std::int64_t, std::int64_t>;

  void Clear();
  void ResetTo(const nlohmann::json& object);
  bool ApplyFullList(const nlohmann::json& instances, std::int64_t generation);
  void Put(const nlohmann::json& json, std::int64_t generation, Position position);
  void Insert(Entry entry);  // as the latest change, replacing an entry with the same id
  void TrimTombstones();
  void AddGap(std::int64_t first, std::int64_t last);
  void RestoreFrom(const nlohmann::json& json);

  const std::size_t max_tombstones_;
  bool known_ = false;
  std::int64_t generation_ = 0;
  std::int64_t min_delta_generation_ = 0;
  Position position_ = 0;
  Position min_delta_position_ = 0;
  Entries live_;        // in the order of the last change, oldest first
  Entries tombstones_;  // in the order of removal, oldest first
  std::unordered_map<std::string_view, Entries::iterator> by_id_;  // in `live_` and `tombstones_`
  std::vector<Gap> gaps_;
};

}  // namespace merlinrun::relay

#endif  // MERLINRUN_RELAY_LIST_STORE_HPP_
