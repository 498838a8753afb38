#include "discovery_list.hpp"

#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>

namespace merlinrun::scale {
namespace {

const char* LifecycleName(Entry::Lifecycle lifecycle) {
  switch (lifecycle) {
    case Entry::Lifecycle::kUp:
      return "up";
    case Entry::Lifecycle::kDraining:
      return "draining";
    case Entry::Lifecycle::kRemoved:
      return "removed";
  }
  return "up";
}

std::string Serialize(const Entry& entry) {
  nlohmann::ordered_json json;  // keeps the protocol's order of keys
  json["instanceId"] = entry.instance_id;
  json["hostPort"] = entry.host_port;
  json["zone"] = entry.zone;
  json["machineType"] = entry.machine_type;
  json["cell"] = entry.cell;
  json["lifecycle"] = LifecycleName(entry.lifecycle);
  json["weight"] = entry.weight;
  json["startedAtMs"] = entry.started_at_ms;
  return json.dump();
}

std::string Chunk(const std::string& text) {
  char size[20];
  const auto [end, error] = std::to_chars(size, size + sizeof size, text.size(), 16);
  std::string chunk(size, error == std::errc() ? end : size);
  chunk.reserve(chunk.size() + text.size() + 4);
  return chunk.append("\r\n").append(text).append("\r\n");
}

}  // namespace

FramePtr TextFrame(std::string text) {
  Frame frame;
  frame.text = std::move(text);
  return std::make_shared<const Frame>(std::move(frame));
}

FramePtr HeartbeatFrame() {
  Frame frame;
  frame.text = Chunk("\n");
  frame.heartbeats = 1;
  return std::make_shared<const Frame>(std::move(frame));
}

FramePtr DiscoveryList::Set(const std::vector<Entry>& list) {
  list_.clear();
  history_.clear();
  // A replaced list has no history, so the change is not kept.
  PastChange not_recorded{++generation_, {}};
  ClearCache();
  Apply(list, not_recorded);
  return std::make_shared<const Frame>(
      MakeFrame(Chunk(SerializeObject(true, AllEntries())), true, list_.size()));
}

FramePtr DiscoveryList::Change(const std::vector<Entry>& entries) {
  history_.push_back({++generation_, {}});
  ClearCache();
  Apply(entries, history_.back());
  std::vector<const std::string*> changed;
  changed.reserve(entries.size());
  for (const auto& [id, text] : history_.back().entries) changed.push_back(&text);
  auto frame =
      std::make_shared<const Frame>(MakeFrame(Chunk(SerializeObject(false, changed)), false, changed.size()));
  if (history_.size() > max_history_) history_.pop_front();
  return frame;
}

void DiscoveryList::ResetGenerations() {
  generation_ = 1;
  history_.clear();
  ClearCache();
}

std::size_t DiscoveryList::EntriesAfter(std::int64_t index) const {
  if (!HistoryCovers(index)) return list_.size();
  std::size_t entries = 0;
  for (auto past_change = history_.rbegin();
       past_change != history_.rend() && past_change->generation > index; ++past_change)
    entries += past_change->entries.size();
  return entries;
}

FramePtr DiscoveryList::FullListResponse() {
  if (full_list_response_ != nullptr) return full_list_response_;
  const std::string body = SerializeObject(true, AllEntries());
  const std::string head =
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n";
  return full_list_response_ = std::make_shared<const Frame>(MakeFrame(head + body, true, list_.size()));
}

FramePtr DiscoveryList::WatchResponse(std::int64_t index) {
  const bool full = !HistoryCovers(index);
  FramePtr& cached = watch_responses_[full ? -1 : index];
  if (cached != nullptr) return cached;
  std::map<std::string_view, const std::string*> changed;
  for (const PastChange& past_change : history_)
    if (!full && past_change.generation > index)
      for (const auto& [id, text] : past_change.entries) changed[id] = &text;
  std::vector<const std::string*> entries = full ? AllEntries() : std::vector<const std::string*>();
  for (const auto& [id, text] : changed) entries.push_back(text);
  const std::string head =
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
  return cached = std::make_shared<const Frame>(
             MakeFrame(head + Chunk(SerializeObject(full, entries)), full, entries.size()));
}

bool DiscoveryList::HistoryCovers(std::int64_t index) const {
  const std::int64_t oldest = history_.empty() ? generation_ : history_.front().generation - 1;
  return index >= oldest && index <= generation_;
}

void DiscoveryList::Apply(const std::vector<Entry>& entries, PastChange& past_change) {
  for (const Entry& entry : entries) {
    std::string text = Serialize(entry);
    if (entry.lifecycle == Entry::Lifecycle::kRemoved) {
      list_.erase(entry.instance_id);
    } else {
      list_[entry.instance_id] = text;
    }
    past_change.entries.emplace_back(entry.instance_id, std::move(text));
  }
}

std::vector<const std::string*> DiscoveryList::AllEntries() const {
  std::vector<const std::string*> all;
  all.reserve(list_.size());
  for (const auto& [id, text] : list_) all.push_back(&text);
  return all;
}

std::string DiscoveryList::SerializeObject(bool full, const std::vector<const std::string*>& entries) {
  ++objects_serialized_;
  std::string text = "{\"generation\":" + std::to_string(generation_) +
                     ",\"reset\":" + (full ? "true" : "false") + ",\"instances\":[";
  bool first = true;
  for (const std::string* entry : entries) {
    if (!std::exchange(first, false)) text += ',';
    text += *entry;
  }
  return text + "]}\n";
}

Frame DiscoveryList::MakeFrame(std::string text, bool full, std::size_t entries) {
  Frame frame;
  frame.text = std::move(text);
  frame.objects = 1;
  frame.full_lists = full ? 1 : 0;
  frame.entries = entries;
  return frame;
}

void DiscoveryList::ClearCache() {
  full_list_response_ = nullptr;
  watch_responses_.clear();
}

}  // namespace merlinrun::scale
