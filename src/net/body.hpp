// Bodies on their way: held whole as long as they are small, else passed on piece by piece, each asked for
// when the one before it has gone, so that a slow reader slows its writer and nothing piles up between them.
#ifndef MERLINRUN_NET_BODY_HPP_
#define MERLINRUN_NET_BODY_HPP_

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "protocol.hpp"

namespace merlinrun::net {

// What is still to come of a body.
class BodySource {
 public:
  using Taken = std::function<void(ErrorCode, std::size_t, bool last)>;
  virtual ~BodySource() = default;
  // Brings some more of it, one call at a time. Nothing follows the last piece, which may be empty. `taken`
  // is called once, from the loop and never from in here, unless it is stopped first; `into` must live until
  // then.
  virtual void ReadSome(asio::mutable_buffer into, Taken taken) = 0;
  // No more of it is wanted.
  virtual void Stop() = 0;
};
using BodyPtr = std::shared_ptr<BodySource>;
using HeldBody = std::shared_ptr<const std::string>;

// A message whose body is held, or begins with what is held and goes on.
template <bool kRequest>
struct Message {
  http::header<kRequest> head;                         // without framing, which follows from the rest
  HeldBody held;                                       // null if nothing of it is
  BodyPtr rest;                                        // null if `held` is all
  std::optional<std::uint64_t> length = std::nullopt;  // of the whole body, if it is told
};

// How a body whose length is not told is framed.
enum class Unframed { kChunked, kUntilClose };

// Writes one message. Its owner keeps it until `done`, or stops it and lets go; what is in flight then still
// finds it, and the owner of its socket, alive.
template <bool kRequest>
class MessageWriter : public std::enable_shared_from_this<MessageWriter<kRequest>> {
 public:
  struct Events {
    std::function<void()> drawn = nullptr;     // what is not held is being asked for, for the first time
    std::function<void()> progress = nullptr;  // a piece has come or has been written
    std::function<void(ErrorCode, bool source_failed)> done;
  };

  MessageWriter(std::shared_ptr<void> owner, Tcp::socket& socket, Message<kRequest> message, bool keep_alive,
                Unframed unframed, Events events)
      : owner_(std::move(owner)),
        socket_(socket),
        held_(std::move(message.held)),
        rest_(std::move(message.rest)),
        events_(std::move(events)),
        message_(std::move(message.head)),
        serializer_(message_) {
    if (rest_ == nullptr) message.length = message.length.value_or(held_ == nullptr ? 0 : held_->size());
    if (message.length) {
      message_.content_length(*message.length);
    } else if (unframed == Unframed::kChunked) {
      message_.chunked(true);
    }
    message_.keep_alive(keep_alive);
    Set(held_ == nullptr ? asio::const_buffer() : asio::buffer(*held_), rest_ != nullptr);
  }

  void Start() { Write(); }

  // Nothing is called back any more.
  void Stop() {
    events_ = {};
    if (rest_ != nullptr) std::exchange(rest_, nullptr)->Stop();
  }

  // It waits for the source, and for nobody who reads.
  bool drawing() const { return drawing_; }

 private:
  void Set(asio::const_buffer piece, bool more) {
    auto& body = message_.body();
    // The serializer asks for pieces and never writes to them; its interface is the parser's.
    body.data = piece.size() == 0 ? nullptr : const_cast<void*>(piece.data());
    body.size = piece.size();
    body.more = more;
  }

  void Write() {
    http::async_write(socket_, serializer_, [self = this->shared_from_this()](ErrorCode error, std::size_t) {
      self->OnWritten(error == http::error::need_buffer ? ErrorCode() : error);
    });
  }

  void OnWritten(ErrorCode error) {
    if (!events_.done) return;
    if (error || serializer_.is_done()) return End(error, /*source_failed=*/false);
    if (events_.progress) events_.progress();
    if (piece_ == nullptr) {
      piece_ = std::make_unique<std::array<char, kPiece>>();
      held_.reset();
      if (events_.drawn) std::exchange(events_.drawn, nullptr)();
      if (!events_.done) return;  // stopped by whom it was told
    }
    drawing_ = true;
    rest_->ReadSome(asio::buffer(*piece_),
                    [self = this->shared_from_this()](ErrorCode failed, std::size_t n, bool last) {
                      self->OnPiece(failed, n, last);
                    });
  }

  // The last piece is written as such: whoever reads it may answer before anything more could be asked for.
  void OnPiece(ErrorCode error, std::size_t n, bool last) {
    drawing_ = false;
    if (!events_.done) return;
    if (error) return End(error, /*source_failed=*/true);
    if (events_.progress) events_.progress();
    if (last) rest_.reset();
    Set(asio::buffer(*piece_, n), !last);
    Write();
  }

  void End(ErrorCode error, bool source_failed) {
    const auto self = this->shared_from_this();
    const Events events = std::exchange(events_, {});
    if (rest_ != nullptr) std::exchange(rest_, nullptr)->Stop();
    events.done(error, source_failed);
  }

  const std::shared_ptr<void> owner_;
  Tcp::socket& socket_;
  HeldBody held_;
  BodyPtr rest_;
  Events events_;
  http::message<kRequest, http::buffer_body> message_;
  http::serializer<kRequest, http::buffer_body> serializer_;
  std::unique_ptr<std::array<char, kPiece>> piece_;
  bool drawing_ = false;
};

// Feeds a parser what has come, body bytes to `into`; what is not yet parsed stays in `buffer`. Stops at the
// end of a header, where it is to be looked at, and when `into` is full. Returns how much of it is filled.
template <typename Parser, typename Buffer>
std::size_t Feed(Parser& parser, Buffer& buffer, asio::mutable_buffer into, ErrorCode& error) {
  auto& body = parser.get().body();
  body.data = into.data();
  body.size = into.size();
  body.more = true;
  const bool had_header = parser.is_header_done();
  error = {};
  while (buffer.size() > 0 && !parser.is_done() && !error) {
    buffer.consume(parser.put(buffer.data(), error));
    if (!had_header && parser.is_header_done()) break;
  }
  if (error == http::error::need_more || error == http::error::need_buffer) error = {};
  return into.size() - body.size;
}

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_BODY_HPP_
