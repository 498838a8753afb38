// Batches the changes of the list and serializes each batch once for all watches.
#ifndef MERLINRUN_RELAY_FEED_HPP_
#define MERLINRUN_RELAY_FEED_HPP_

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include "net/protocol.hpp"
#include "relay/list_store.hpp"
#include "relay/text.hpp"

namespace merlinrun::relay {

class Feed {
 public:
  using Clock = std::chrono::steady_clock;
  using Position = ListStore::Position;

  struct Update {
    TextPtr text;           // null if there is nothing to send
    Position position = 0;  // of a client that has received the text
  };

  // `on_batch` is called when updates have to be sent to all watches: at once for the first change after a
  // quiet time, then once for all changes within each `batch`.
  Feed(net::asio::io_context& io, std::size_t max_tombstones, std::chrono::milliseconds batch,
       std::function<void()> on_batch);
  Feed(const Feed&) = delete;
  Feed& operator=(const Feed&) = delete;

  // Applies an object from the upstream to the list. Its changes are sent with the next batch.
  void Apply(const nlohmann::json& object);

  // FullList returns the full list. UpdateAfter returns the changes after `from`, or nothing if a client at
  // `from` needs the full list. Both are serialized once per batch, so between two batches they may lack the
  // latest changes, which the next batch contains.
  Update FullList();
  std::optional<Update> UpdateAfter(Position from);
  // Like UpdateAfter, but returns an object even if nothing has changed. It is the first object of a watch.
  std::optional<Update> FirstUpdateAfter(Position from);

  const ListStore& store() const { return store_; }
  ListStore& store() { return store_; }
  std::uint64_t batches() const { return batches_; }

 private:
  void Publish();
  void ClearCache();

  ListStore store_;
  const std::chrono::milliseconds batch_;
  const std::function<void()> on_batch_;
  net::asio::steady_timer timer_;
  Clock::time_point next_batch_at_;  // the earliest time of the next batch
  bool publish_scheduled_ = false;
  std::uint64_t batches_ = 0;
  Position published_position_ = 0;  // of the last batch
  std::optional<Update> full_list_;
  std::unordered_map<Position, Update> updates_by_position_;  // by the position before the update
  std::shared_ptr<Feed*> lifetime_;                           // timer handlers hold a weak pointer to it
};

}  // namespace merlinrun::relay

#endif  // MERLINRUN_RELAY_FEED_HPP_
