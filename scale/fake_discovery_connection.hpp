// A connection to the fake discovery. Used only by its implementation.
#ifndef MERLINRUN_SCALE_FAKE_DISCOVERY_CONNECTION_HPP_
#define MERLINRUN_SCALE_FAKE_DISCOVERY_CONNECTION_HPP_

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

#include "fake_discovery.hpp"

namespace merlinrun::scale {

// A connection that carries one call. The owner keeps it until it ends.
class FakeDiscovery::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(FakeDiscovery& owner, std::size_t region, Tcp::socket socket)
      : owner_(&owner), region_(region), socket_(std::move(socket)) {
    net::ErrorCode ignored;
    socket_.non_blocking(true, ignored);
    socket_.set_option(Tcp::no_delay(true), ignored);
  }

  // Reads the request and passes it to the owner, which responds with Write, WriteLast or OpenWatch.
  void Read() {
    request_ = std::make_unique<PendingRequest>();
    net::http::async_read(socket_, request_->buffer, request_->parser,
                          [self = shared_from_this()](net::ErrorCode error, std::size_t n) {
                            if (self->owner_ == nullptr) return;
                            self->owner_->counts_.bytes_in += n;
                            if (error) return self->Close();
                            const std::string target(self->request_->parser.get().target());
                            self->request_.reset();  // frees memory, as a watch may stay open for long
                            self->WaitForClose();
                            self->owner_->OnCall(self, target);
                          });
  }

  // Writes the frame at once or, if the peer reads slowly, as the socket accepts it.
  void Write(const FramePtr& frame) {
    if (silent_ || closing_ || owner_ == nullptr) return;
    Counts& counts = owner_->counts_;
    counts.objects += frame->objects;
    counts.full_lists += frame->full_lists;
    counts.entries += frame->entries;
    counts.heartbeats += frame->heartbeats;
    pending_.push_back(frame);
    if (pending_.size() == 1) return Flush();
    if (pending_.size() > kMaxPending) CloseLater();
  }

  void WriteLast(const FramePtr& frame) {
    last_frame_queued_ = true;
    Write(frame);
  }

  void OpenWatch(std::size_t slot, const FramePtr& first) {
    slot_ = slot;
    owner_->heartbeat_slots_[slot].insert(this);
    ++owner_->counts_.watches;
    Write(first);
  }

  void Silence() {
    silent_ = true;
    pending_.clear();
  }
  bool silent() const { return silent_; }

  void Reset() {
    Detach();
    net::ErrorCode ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
  }

 private:
  // A watch with more pending frames is closed, as its peer reads too slowly.
  static constexpr std::size_t kMaxPending = 512;

  struct PendingRequest {
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
      if (error) return CloseLater();
      owner_->counts_.bytes_out += n;
      written_ += n;
      if (written_ < text.size()) continue;
      written_ = 0;
      pending_.erase(pending_.begin());
    }
    net::ErrorCode ignored;
    if (last_frame_queued_) socket_.shutdown(Tcp::socket::shutdown_send, ignored);
  }

  void FlushLater() {
    socket_.async_wait(Tcp::socket::wait_write, [self = shared_from_this()](net::ErrorCode error) {
      if (!error && self->owner_ != nullptr) self->Flush();
    });
  }

  // Closes the connection later, as the caller of Write may be iterating over the watches.
  void CloseLater() {
    if (std::exchange(closing_, true)) return;
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->Close(); });
  }

  void WaitForClose() {
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](net::ErrorCode error) {
      if (self->owner_ == nullptr) return;
      std::array<char, 512> input;
      const std::size_t n = error ? 0 : self->socket_.read_some(asio::buffer(input), error);
      if (error && error != asio::error::would_block) return self->Close();
      self->owner_->counts_.bytes_in += n;
      self->WaitForClose();
    });
  }

  void Close() {
    if (owner_ == nullptr) return;
    const auto self = shared_from_this();
    Region& region = owner_->regions_[region_];
    Detach();
    net::ErrorCode ignored;
    socket_.close(ignored);
    region.connections.erase(self);
  }

  void Detach() {
    if (owner_ == nullptr) return;
    if (slot_) {
      owner_->heartbeat_slots_[*slot_].erase(this);
      --owner_->counts_.watches;
    }
    owner_ = nullptr;
  }

  FakeDiscovery* owner_;  // null once the connection has ended
  const std::size_t region_;
  Tcp::socket socket_;
  std::unique_ptr<PendingRequest> request_;
  std::vector<FramePtr> pending_;
  std::size_t written_ = 0;  // bytes of the first pending frame
  std::optional<std::size_t> slot_;
  bool silent_ = false;
  bool closing_ = false;
  bool last_frame_queued_ = false;  // no frame follows the pending ones
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_FAKE_DISCOVERY_CONNECTION_HPP_
