#include "relay/list_store.hpp"

#include <algorithm>
#include <iterator>
#include <stdexcept>
#include <unordered_set>

#include "net/discovery.hpp"

namespace merlinrun::relay {
namespace {

using Json = nlohmann::json;

constexpr const char* kFormat = "rookhub relay state 1";
constexpr std::size_t kMaxGaps = 64;

bool IsRemoved(const Json& entry) { return entry.at("lifecycle") == "removed"; }

std::string ObjectStart(std::int64_t generation, bool reset) {
  return "{\"generation\":" + std::to_string(generation) + ",\"reset\":" + (reset ? "true" : "false") +
         ",\"instances\":[";
}

}  // namespace

bool ListStore::Apply(const Json& object) {
  const auto generation = object.at("generation").get<std::int64_t>();
  const Json& instances = object.at("instances");
  const bool full_list = object.at("reset").get<bool>();
  if (full_list && (!known_ || generation < generation_)) {
    ResetTo(object);
    return true;
  }
  if (!known_ || generation < generation_) return false;  // its base list is not known
  if (full_list) return ApplyFullList(instances, generation);
  // A second change under the same generation: clients at this generation may have received only the first
  // one.
  if (generation == generation_ && !instances.empty()) AddGap(generation, generation);
  generation_ = generation;
  if (instances.empty()) return false;
  ++position_;
  // Unchanged entries are stored as changed as well: a client that comes from another relay may have
  // received a different state of them.
  for (const Json& entry : instances) Put(entry, generation, position_);
  TrimTombstones();
  return true;
}

void ListStore::Clear() {
  by_id_.clear();
  live_.clear();
  tombstones_.clear();
  gaps_.clear();
}

void ListStore::ResetTo(const Json& object) {
  Clear();
  known_ = true;
  generation_ = min_delta_generation_ = object.at("generation").get<std::int64_t>();
  min_delta_position_ = ++position_;
  for (const Json& entry : object.at("instances"))
    if (!IsRemoved(entry)) Put(entry, generation_, position_);
}

bool ListStore::ApplyFullList(const Json& instances, std::int64_t generation) {
  const Position next = position_ + 1;
  bool changed = false;
  std::unordered_set<std::string> listed_ids;
  for (const Json& entry : instances) {
    if (IsRemoved(entry)) continue;
    const auto& id = entry.at("instanceId").get_ref<const std::string&>();
    listed_ids.insert(id);
    const auto existing = by_id_.find(id);
    if (existing != by_id_.end() && existing->second->text == entry.dump()) continue;
    Put(entry, generation, next);
    changed = true;
  }
  std::vector<std::string> missing;
  for (const Entry& entry : live_)
    if (listed_ids.count(entry.id) == 0) missing.push_back(entry.text);
  for (const std::string& text : missing) {
    Json entry = Json::parse(text);
    entry["lifecycle"] = "removed";
    Put(entry, generation, next);
    changed = true;
  }
  if (generation > generation_ + 1) AddGap(generation_ + 1, generation - 1);
  if (generation == generation_ && changed) AddGap(generation, generation);
  generation_ = generation;
  if (changed) position_ = next;
  TrimTombstones();
  return changed;
}

void ListStore::Put(const Json& json, std::int64_t generation, Position position) {
  Insert({json.at("instanceId").get<std::string>(), json.dump(), generation, position, IsRemoved(json)});
}

void ListStore::Insert(Entry entry) {
  const auto existing = by_id_.find(entry.id);
  if (existing != by_id_.end()) {
    const auto old_entry = existing->second;
    by_id_.erase(existing);
    (old_entry->removed ? tombstones_ : live_).erase(old_entry);
  }
  Entries& entries = entry.removed ? tombstones_ : live_;
  const auto new_entry = entries.insert(entries.end(), std::move(entry));
  by_id_.emplace(new_entry->id, new_entry);
}

// Drops the oldest tombstones beyond the maximum.
void ListStore::TrimTombstones() {
  while (tombstones_.size() > max_tombstones_) {
    min_delta_generation_ = std::max(min_delta_generation_, tombstones_.front().generation);
    min_delta_position_ = std::max(min_delta_position_, tombstones_.front().position);
    by_id_.erase(tombstones_.front().id);
    tombstones_.pop_front();
  }
}

void ListStore::AddGap(std::int64_t first, std::int64_t last) {
  gaps_.emplace_back(first, last);
  if (gaps_.size() <= kMaxGaps) return;
  min_delta_generation_ = std::max(min_delta_generation_, gaps_.front().second + 1);
  gaps_.erase(gaps_.begin());
}

std::optional<ListStore::Position> ListStore::FindPosition(std::int64_t index) const {
  if (!known_ || index < min_delta_generation_) return std::nullopt;
  for (const Gap& gap : gaps_)
    if (index >= gap.first && index <= gap.second) return std::nullopt;
  Position position = position_;
  for (const Entries* entries : {&live_, &tombstones_})
    for (auto entry = entries->rbegin(); entry != entries->rend() && entry->generation > index; ++entry)
      position = std::min(position, entry->position - 1);
  return position;
}

std::string ListStore::FullList() const {
  std::string out = ObjectStart(generation_, true);
  for (const Entry& entry : live_) out.append(entry.text).push_back(',');
  if (!live_.empty()) out.pop_back();
  return out + "]}";
}

std::string ListStore::ChangesAfter(Position position) const {
  std::string out = ObjectStart(generation_, false);
  bool any = false;
  for (const Entries* entries : {&live_, &tombstones_}) {
    for (auto entry = entries->rbegin(); entry != entries->rend() && entry->position > position; ++entry) {
      out.append(entry->text).push_back(',');
      any = true;
    }
  }
  if (any) out.pop_back();
  return out + "]}";
}

std::string ListStore::Serialize() const {
  std::string out = "{\"format\":\"" + std::string(kFormat) +
                    "\",\"generation\":" + std::to_string(generation_) +
                    ",\"floor\":" + std::to_string(min_delta_generation_) +
                    ",\"gaps\":" + Json(gaps_).dump() + ",\"entries\":[";
  for (const Entries* entries : {&live_, &tombstones_})
    for (const Entry& entry : *entries)
      out.append("{\"at\":" + std::to_string(entry.generation) + ",\"entry\":" + entry.text + "},\n");
  if (!by_id_.empty()) out.resize(out.size() - 2);
  return out + "]}\n";
}

bool ListStore::Restore(const std::string& text, std::string& error) {
  try {
    RestoreFrom(Json::parse(text));
    return true;
  } catch (const std::exception& failure) {
    error = failure.what();
  }
  Clear();
  known_ = false;
  return false;
}

void ListStore::RestoreFrom(const Json& json) {
  if (json.at("format") != kFormat) throw std::runtime_error("unknown format");
  generation_ = json.at("generation").get<std::int64_t>();
  min_delta_generation_ = json.at("floor").get<std::int64_t>();
  gaps_ = json.at("gaps").get<std::vector<Gap>>();
  Json instances = Json::array();
  std::vector<std::pair<std::int64_t, const Json*>> saved;
  for (const Json& entry : json.at("entries")) {
    saved.emplace_back(entry.at("at").get<std::int64_t>(), &entry.at("entry"));
    if (saved.back().first > generation_)
      throw std::runtime_error("the generation of an entry is higher than that of the list");
    instances.push_back(*saved.back().second);
  }
  std::string error;
  const Json list = {{"generation", generation_}, {"reset", true}, {"instances", std::move(instances)}};
  if (!net::ParseList(list, {}, error)) throw std::runtime_error(error);
  std::stable_sort(saved.begin(), saved.end(),
                   [](const auto& one, const auto& other) { return one.first < other.first; });
  std::optional<std::int64_t> last;
  for (const auto& [generation, entry] : saved) {
    if (last != generation) ++position_;
    last = generation;
    Put(*entry, generation, position_);
  }
  known_ = true;
  TrimTombstones();
}

}  // namespace merlinrun::relay
