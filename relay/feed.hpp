// Batches the changes of the list and writes each batch once for all who are told.
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

  struct Told {
    TextPtr text;  // null if there is nothing to tell
    Position position = 0;
  };

  // `on_batch` is called when all who watch are to be told: at once for the first change after a quiet time,
  // then once for all changes of each `batch`.
  Feed(net::asio::io_context& io, std::size_t history, std::chrono::milliseconds batch,
       std::function<void()> on_batch);
  Feed(const Feed&) = delete;
  Feed& operator=(const Feed&) = delete;

  void Take(const nlohmann::json& object);

  // The whole list, and what is told to one who stands at `from`: empty if that takes the whole list. Both
  // are written once a batch, so between two batches they may lack the latest changes; the next batch has
  // them.
  Told Whole();
  std::optional<Told> After(Position from);
  // The same, but an object also where nothing has changed: the first one of a watch.
  std::optional<Told> FirstAfter(Position from);

  const ListStore& store() const { return store_; }
  ListStore& store() { return store_; }
  std::uint64_t batches() const { return batches_; }

 private:
  void Publish();
  void ForgetTexts();

  ListStore store_;
  const std::chrono::milliseconds batch_;
  const std::function<void()> on_batch_;
  net::asio::steady_timer timer_;
  Clock::time_point next_;  // no batch before then
  bool waiting_ = false;
  std::uint64_t batches_ = 0;
  Position published_ = 0;  // what the last batch brought everybody to
  std::optional<Told> whole_;
  std::unordered_map<Position, Told> after_;  // by where it begins
  std::shared_ptr<Feed*> life_;               // handlers hold it weakly
};

}  // namespace merlinrun::relay

#endif  // MERLINRUN_RELAY_FEED_HPP_
