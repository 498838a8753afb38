#include "relay/feed.hpp"

#include <boost/asio/io_context.hpp>
#include <utility>

namespace merlinrun::relay {
namespace {

// Texts kept for those who stand at different points. All who keep up stand at the same one.
constexpr std::size_t kMostTexts = 32;

}  // namespace

Feed::Feed(net::asio::io_context& io, std::size_t history, std::chrono::milliseconds batch,
           std::function<void()> on_batch)
    : store_(history),
      batch_(batch),
      on_batch_(std::move(on_batch)),
      timer_(io),
      life_(std::make_shared<Feed*>(this)) {}

void Feed::Take(const nlohmann::json& object) {
  const bool known = store_.known();
  if (!store_.Take(object)) return;
  if (!known) return;  // nobody could be told anything before
  // Begun anew, or far ahead of what has been written: those texts lead nowhere.
  if (whole_ && !store_.Reaches(whole_->position)) ForgetTexts();
  if (waiting_) return;
  if (Clock::now() >= next_) return Publish();
  waiting_ = true;
  timer_.expires_at(next_);
  timer_.async_wait([life = std::weak_ptr<Feed*>(life_)](net::ErrorCode stopped) {
    const auto self = life.lock();
    if (self != nullptr && !stopped) (*self)->Publish();
  });
}

void Feed::Publish() {
  waiting_ = false;
  next_ = Clock::now() + batch_;
  ++batches_;
  published_ = store_.position();
  ForgetTexts();
  on_batch_();
}

void Feed::ForgetTexts() {
  whole_.reset();
  after_.clear();
}

Feed::Told Feed::Whole() {
  if (!whole_) whole_ = Told{std::make_shared<const Text>(store_.Whole()), store_.position()};
  return *whole_;
}

std::optional<Feed::Told> Feed::After(Position from) {
  if (!store_.Reaches(from)) return std::nullopt;
  if (from >= published_) return Told{nullptr, from};  // the rest comes with the next batch
  return FirstAfter(from);
}

std::optional<Feed::Told> Feed::FirstAfter(Position from) {
  if (!store_.Reaches(from)) return std::nullopt;
  const auto known = after_.find(from);
  if (known != after_.end()) return known->second;
  if (after_.size() >= kMostTexts) after_.clear();
  const Told told{std::make_shared<const Text>(store_.After(from)), store_.position()};
  return after_.emplace(from, told).first->second;
}

}  // namespace merlinrun::relay
