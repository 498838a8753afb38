#include "relay/feed.hpp"

#include <boost/asio/io_context.hpp>
#include <utility>

namespace merlinrun::relay {
namespace {

// Maximum number of cached updates. One is cached for each position that a client is at; clients that keep up
// share the same position.
constexpr std::size_t kMaxCachedUpdates = 32;

}  // namespace

Feed::Feed(net::asio::io_context& io, std::size_t max_tombstones, std::chrono::milliseconds batch,
           std::function<void()> on_batch)
    : store_(max_tombstones),
      batch_(batch),
      on_batch_(std::move(on_batch)),
      timer_(io),
      lifetime_(std::make_shared<Feed*>(this)) {}

void Feed::Apply(const nlohmann::json& object) {
  const bool known = store_.known();
  if (!store_.Apply(object)) return;
  if (!known) return;  // there are no watches yet
  // The list has been replaced, or the cached texts are so old that no delta from their position is possible.
  if (full_list_ && !store_.CoversChangesAfter(full_list_->position)) ClearCache();
  if (publish_scheduled_) return;
  if (Clock::now() >= next_batch_at_) return Publish();
  publish_scheduled_ = true;
  timer_.expires_at(next_batch_at_);
  timer_.async_wait([lifetime = std::weak_ptr<Feed*>(lifetime_)](net::ErrorCode stopped) {
    const auto self = lifetime.lock();
    if (self != nullptr && !stopped) (*self)->Publish();
  });
}

void Feed::Publish() {
  publish_scheduled_ = false;
  next_batch_at_ = Clock::now() + batch_;
  ++batches_;
  published_position_ = store_.position();
  ClearCache();
  on_batch_();
}

void Feed::ClearCache() {
  full_list_.reset();
  updates_by_position_.clear();
}

Feed::Update Feed::FullList() {
  if (!full_list_) full_list_ = Update{std::make_shared<const Text>(store_.FullList()), store_.position()};
  return *full_list_;
}

std::optional<Feed::Update> Feed::UpdateAfter(Position from) {
  if (!store_.CoversChangesAfter(from)) return std::nullopt;
  if (from >= published_position_) return Update{nullptr, from};  // later changes are part of the next batch
  return FirstUpdateAfter(from);
}

std::optional<Feed::Update> Feed::FirstUpdateAfter(Position from) {
  if (!store_.CoversChangesAfter(from)) return std::nullopt;
  const auto cached = updates_by_position_.find(from);
  if (cached != updates_by_position_.end()) return cached->second;
  if (updates_by_position_.size() >= kMaxCachedUpdates) updates_by_position_.clear();
  const Update update{std::make_shared<const Text>(store_.ChangesAfter(from)), store_.position()};
  return updates_by_position_.emplace(from, update).first->second;
}

}  // namespace merlinrun::relay
