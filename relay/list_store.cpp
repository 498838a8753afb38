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
constexpr std::size_t kMostGaps = 64;

bool IsRemoved(const Json& entry) { return entry.at("lifecycle") == "removed"; }

std::string Head(std::int64_t generation, bool reset) {
  return "{\"generation\":" + std::to_string(generation) + ",\"reset\":" + (reset ? "true" : "false") +
         ",\"instances\":[";
}

}  // namespace

bool ListStore::Take(const Json& object) {
  const auto generation = object.at("generation").get<std::int64_t>();
  const Json& instances = object.at("instances");
  const bool whole = object.at("reset").get<bool>();
  if (whole && (!known_ || generation < generation_)) {
    Begin(object);
    return true;
  }
  if (!known_ || generation < generation_) return false;  // builds on what is not held
  if (whole) return TakeWhole(instances, generation);
  // Told twice under one generation: who stands at it may have the first alone.
  if (generation == generation_ && !instances.empty()) SkipTo(generation, generation);
  generation_ = generation;
  if (instances.empty()) return false;
  ++position_;
  // Also what is as it was: it may have changed meanwhile for somebody who comes from another relay.
  for (const Json& entry : instances) Put(entry, generation, position_);
  Bury();
  return true;
}

void ListStore::Clear() {
  by_id_.clear();
  live_.clear();
  removed_.clear();
  gaps_.clear();
}

void ListStore::Begin(const Json& object) {
  Clear();
  known_ = true;
  generation_ = floor_ = object.at("generation").get<std::int64_t>();
  floor_position_ = ++position_;
  for (const Json& entry : object.at("instances"))
    if (!IsRemoved(entry)) Put(entry, generation_, position_);
}

bool ListStore::TakeWhole(const Json& instances, std::int64_t generation) {
  const Position next = position_ + 1;
  bool changed = false;
  std::unordered_set<std::string> named;
  for (const Json& entry : instances) {
    if (IsRemoved(entry)) continue;
    const auto& id = entry.at("instanceId").get_ref<const std::string&>();
    named.insert(id);
    const auto held = by_id_.find(id);
    if (held != by_id_.end() && held->second->text == entry.dump()) continue;
    Put(entry, generation, next);
    changed = true;
  }
  std::vector<std::string> gone;
  for (const Entry& entry : live_)
    if (named.count(entry.id) == 0) gone.push_back(entry.text);
  for (const std::string& text : gone) {
    Json entry = Json::parse(text);
    entry["lifecycle"] = "removed";
    Put(entry, generation, next);
    changed = true;
  }
  if (generation > generation_ + 1) SkipTo(generation_ + 1, generation - 1);
  if (generation == generation_ && changed) SkipTo(generation, generation);
  generation_ = generation;
  if (changed) position_ = next;
  Bury();
  return changed;
}

void ListStore::Put(const Json& json, std::int64_t generation, Position position) {
  Place({json.at("instanceId").get<std::string>(), json.dump(), generation, position, IsRemoved(json)});
}

void ListStore::Place(Entry entry) {
  const auto held = by_id_.find(entry.id);
  if (held != by_id_.end()) {
    const auto place = held->second;
    by_id_.erase(held);
    (place->removed ? removed_ : live_).erase(place);
  }
  Entries& entries = entry.removed ? removed_ : live_;
  const auto place = entries.insert(entries.end(), std::move(entry));
  by_id_.emplace(place->id, place);
}

// Forgets the oldest of the removed beyond the history.
void ListStore::Bury() {
  while (removed_.size() > history_) {
    floor_ = std::max(floor_, removed_.front().generation);
    floor_position_ = std::max(floor_position_, removed_.front().position);
    by_id_.erase(removed_.front().id);
    removed_.pop_front();
  }
}

void ListStore::SkipTo(std::int64_t first, std::int64_t last) {
  gaps_.emplace_back(first, last);
  if (gaps_.size() <= kMostGaps) return;
  floor_ = std::max(floor_, gaps_.front().second + 1);
  gaps_.erase(gaps_.begin());
}

std::optional<ListStore::Position> ListStore::Find(std::int64_t index) const {
  if (!known_ || index < floor_) return std::nullopt;
  for (const Gap& gap : gaps_)
    if (index >= gap.first && index <= gap.second) return std::nullopt;
  Position position = position_;
  for (const Entries* entries : {&live_, &removed_})
    for (auto entry = entries->rbegin(); entry != entries->rend() && entry->generation > index; ++entry)
      position = std::min(position, entry->position - 1);
  return position;
}

std::string ListStore::Whole() const {
  std::string out = Head(generation_, true);
  for (const Entry& entry : live_) out.append(entry.text).push_back(',');
  if (!live_.empty()) out.pop_back();
  return out + "]}";
}

std::string ListStore::After(Position position) const {
  std::string out = Head(generation_, false);
  bool any = false;
  for (const Entries* entries : {&live_, &removed_}) {
    for (auto entry = entries->rbegin(); entry != entries->rend() && entry->position > position; ++entry) {
      out.append(entry->text).push_back(',');
      any = true;
    }
  }
  if (any) out.pop_back();
  return out + "]}";
}

std::string ListStore::Saved() const {
  std::string out =
      "{\"format\":\"" + std::string(kFormat) + "\",\"generation\":" + std::to_string(generation_) +
      ",\"floor\":" + std::to_string(floor_) + ",\"gaps\":" + Json(gaps_).dump() + ",\"entries\":[";
  for (const Entries* entries : {&live_, &removed_})
    for (const Entry& entry : *entries)
      out.append("{\"at\":" + std::to_string(entry.generation) + ",\"entry\":" + entry.text + "},\n");
  if (!by_id_.empty()) out.resize(out.size() - 2);
  return out + "]}\n";
}

bool ListStore::Restore(const std::string& text, std::string& error) {
  try {
    RestoreFrom(Json::parse(text));
    return true;
  } catch (const std::exception& wrong) {
    error = wrong.what();
  }
  Clear();
  known_ = false;
  return false;
}

void ListStore::RestoreFrom(const Json& json) {
  if (json.at("format") != kFormat) throw std::runtime_error("another format");
  generation_ = json.at("generation").get<std::int64_t>();
  floor_ = json.at("floor").get<std::int64_t>();
  gaps_ = json.at("gaps").get<std::vector<Gap>>();
  Json instances = Json::array();
  std::vector<std::pair<std::int64_t, const Json*>> saved;
  for (const Json& entry : json.at("entries")) {
    saved.emplace_back(entry.at("at").get<std::int64_t>(), &entry.at("entry"));
    if (saved.back().first > generation_) throw std::runtime_error("an entry beyond the generation");
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
  Bury();
}

}  // namespace merlinrun::relay
