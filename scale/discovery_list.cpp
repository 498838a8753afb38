#include "discovery_list.hpp"

#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>

namespace merlinrun::scale {
namespace {

const char* Word(Entry::Lifecycle lifecycle) {
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
  nlohmann::ordered_json json;  // in the protocol's order
  json["instanceId"] = entry.instance_id;
  json["hostPort"] = entry.host_port;
  json["zone"] = entry.zone;
  json["machineType"] = entry.machine_type;
  json["cell"] = entry.cell;
  json["lifecycle"] = Word(entry.lifecycle);
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

FramePtr BlankLine() {
  Frame frame;
  frame.text = Chunk("\n");
  frame.blank_lines = 1;
  return std::make_shared<const Frame>(std::move(frame));
}

FramePtr DiscoveryList::Set(const std::vector<Entry>& list) {
  list_.clear();
  history_.clear();
  Past unused{++generation_, {}};
  Forget();
  Apply(list, unused);
  return std::make_shared<const Frame>(Counted(Chunk(Object(true, EveryEntry())), true, list_.size()));
}

FramePtr DiscoveryList::Change(const std::vector<Entry>& entries) {
  history_.push_back({++generation_, {}});
  Forget();
  Apply(entries, history_.back());
  std::vector<const std::string*> changed;
  changed.reserve(entries.size());
  for (const auto& [id, text] : history_.back().entries) changed.push_back(&text);
  auto frame = std::make_shared<const Frame>(Counted(Chunk(Object(false, changed)), false, changed.size()));
  if (history_.size() > most_history_) history_.pop_front();
  return frame;
}

void DiscoveryList::BeginAnew() {
  generation_ = 1;
  history_.clear();
  Forget();
}

std::size_t DiscoveryList::LinesAfter(std::int64_t index) const {
  if (!Reaches(index)) return list_.size();
  std::size_t lines = 0;
  for (auto past = history_.rbegin(); past != history_.rend() && past->generation > index; ++past)
    lines += past->entries.size();
  return lines;
}

FramePtr DiscoveryList::WholeAnswer() {
  if (whole_answer_ != nullptr) return whole_answer_;
  const std::string body = Object(true, EveryEntry());
  const std::string head =
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n";
  return whole_answer_ = std::make_shared<const Frame>(Counted(head + body, true, list_.size()));
}

FramePtr DiscoveryList::WatchAnswer(std::int64_t index) {
  const bool whole = !Reaches(index);
  FramePtr& kept = watch_answers_[whole ? -1 : index];
  if (kept != nullptr) return kept;
  std::map<std::string_view, const std::string*> changed;
  for (const Past& past : history_)
    if (!whole && past.generation > index)
      for (const auto& [id, text] : past.entries) changed[id] = &text;
  std::vector<const std::string*> entries = whole ? EveryEntry() : std::vector<const std::string*>();
  for (const auto& [id, text] : changed) entries.push_back(text);
  const std::string head =
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
  return kept = std::make_shared<const Frame>(
             Counted(head + Chunk(Object(whole, entries)), whole, entries.size()));
}

bool DiscoveryList::Reaches(std::int64_t index) const {
  const std::int64_t oldest = history_.empty() ? generation_ : history_.front().generation - 1;
  return index >= oldest && index <= generation_;
}

void DiscoveryList::Apply(const std::vector<Entry>& entries, Past& past) {
  for (const Entry& entry : entries) {
    std::string text = Serialize(entry);
    if (entry.lifecycle == Entry::Lifecycle::kRemoved) {
      list_.erase(entry.instance_id);
    } else {
      list_[entry.instance_id] = text;
    }
    past.entries.emplace_back(entry.instance_id, std::move(text));
  }
}

std::vector<const std::string*> DiscoveryList::EveryEntry() const {
  std::vector<const std::string*> every;
  every.reserve(list_.size());
  for (const auto& [id, text] : list_) every.push_back(&text);
  return every;
}

std::string DiscoveryList::Object(bool whole, const std::vector<const std::string*>& entries) {
  ++serialized_;
  std::string text = "{\"generation\":" + std::to_string(generation_) +
                     ",\"reset\":" + (whole ? "true" : "false") + ",\"instances\":[";
  bool first = true;
  for (const std::string* entry : entries) {
    if (!std::exchange(first, false)) text += ',';
    text += *entry;
  }
  return text + "]}\n";
}

Frame DiscoveryList::Counted(std::string text, bool whole, std::size_t entries) {
  Frame frame;
  frame.text = std::move(text);
  frame.objects = 1;
  frame.whole_lists = whole ? 1 : 0;
  frame.entries = entries;
  return frame;
}

void DiscoveryList::Forget() {
  whole_answer_ = nullptr;
  watch_answers_.clear();
}

}  // namespace merlinrun::scale
