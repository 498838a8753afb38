// A connection to the stand-in for discovery: its part alone.
#ifndef MERLINRUN_SCALE_DISCOVERY_CONNECTION_HPP_
#define MERLINRUN_SCALE_DISCOVERY_CONNECTION_HPP_

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "discovery_stand_in.hpp"

namespace merlinrun::scale {

// One connection carries one call. Its owner holds it until it ends.
class DiscoveryStandIn::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(DiscoveryStandIn& owner, std::size_t region, Tcp::socket socket)
      : owner_(&owner), region_(region), socket_(std::move(socket)) {
    net::ErrorCode ignored;
    socket_.non_blocking(true, ignored);
    socket_.set_option(Tcp::no_delay(true), ignored);
  }

  // The one call that it brings goes to the owner, who answers with Write or OpenWatch.
  void Read() {
    inbox_ = std::make_unique<Inbox>();
    net::http::async_read(socket_, inbox_->buffer, inbox_->parser,
                          [self = shared_from_this()](net::ErrorCode error, std::size_t n) {
                            if (self->owner_ == nullptr) return;
                            self->owner_->counts_.bytes_in += n;
                            if (error) return self->Close();
                            const std::string target(self->inbox_->parser.get().target());
                            self->inbox_.reset();  // a watch is long and keeps no more than it needs
                            self->WaitForEnd();
                            self->owner_->OnCall(self, target);
                          });
  }

  // Whole or, if the reader is slow, as it reads.
  void Write(const FramePtr& frame) {
    if (muted_ || broken_ || owner_ == nullptr) return;
    Counts& counts = owner_->counts_;
    counts.objects += frame->objects;
    counts.whole_lists += frame->whole_lists;
    counts.entries += frame->entries;
    counts.blank_lines += frame->blank_lines;
    pending_.push_back(frame);
    if (pending_.size() == 1) return Flush();
    if (pending_.size() > kMostPending) Break();
  }

  void WriteLast(const FramePtr& frame) {
    last_ = true;
    Write(frame);
  }

  void OpenWatch(std::size_t slot, const FramePtr& first) {
    slot_ = slot;
    owner_->slots_[slot].insert(this);
    ++owner_->counts_.watches;
    Write(first);
  }

  void Mute() {
    muted_ = true;
    pending_.clear();
  }
  bool muted() const { return muted_; }

  void Reset() {
    Leave();
    net::ErrorCode ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
  }

 private:
  static constexpr std::size_t kMostPending =
      512;  // frames; a watch that reads more slowly than that is reset

  struct Inbox {
    boost::beast::flat_buffer buffer{net::kMaxHeader};
    net::http::request_parser<net::http::empty_body> parser;
  };

  void Flush() {
    while (!pending_.empty()) {
      const std::string& text = pending_.front()->text;
      net::ErrorCode error;
      const std::size_t n =
          socket_.write_some(asio::buffer(text.data() + written_, text.size() - written_), error);
      if (error == asio::error::would_block) return FlushLater();
      if (error) return Break();
      owner_->counts_.bytes_out += n;
      written_ += n;
      if (written_ < text.size()) continue;
      written_ = 0;
      pending_.erase(pending_.begin());
    }
    net::ErrorCode ignored;
    if (last_) socket_.shutdown(Tcp::socket::shutdown_send, ignored);
  }

  void FlushLater() {
    socket_.async_wait(Tcp::socket::wait_write, [self = shared_from_this()](net::ErrorCode error) {
      if (!error && self->owner_ != nullptr) self->Flush();
    });
  }

  // Later, as whoever writes may be going through the watches.
  void Break() {
    if (std::exchange(broken_, true)) return;
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->Close(); });
  }

  void WaitForEnd() {
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](net::ErrorCode error) {
      if (self->owner_ == nullptr) return;
      std::array<char, 512> input;
      const std::size_t n = error ? 0 : self->socket_.read_some(asio::buffer(input), error);
      if (error && error != asio::error::would_block) return self->Close();
      self->owner_->counts_.bytes_in += n;
      self->WaitForEnd();
    });
  }

  void Close() {
    if (owner_ == nullptr) return;
    const auto self = shared_from_this();
    Region& region = owner_->regions_[region_];
    Leave();
    net::ErrorCode ignored;
    socket_.close(ignored);
    region.connections.erase(self);
  }

  void Leave() {
    if (owner_ == nullptr) return;
    if (slot_) {
      owner_->slots_[*slot_].erase(this);
      --owner_->counts_.watches;
    }
    owner_ = nullptr;
  }

  DiscoveryStandIn* owner_;  // null once it has ended
  const std::size_t region_;
  Tcp::socket socket_;
  std::unique_ptr<Inbox> inbox_;
  std::vector<FramePtr> pending_;
  std::size_t written_ = 0;  // of the first that is pending
  std::optional<std::size_t> slot_;
  bool muted_ = false;
  bool broken_ = false;
  bool last_ = false;  // what is pending is all that will come
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_DISCOVERY_CONNECTION_HPP_
