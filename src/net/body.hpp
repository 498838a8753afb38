// Message bodies in transit. Small ones are buffered completely. Larger ones are streamed in chunks: the next
// chunk is read only after the previous one has been written, so a slow receiver slows down the sender
// (backpressure) and no data accumulates in between.
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
#include <string_view>
#include <utility>

#include "field_limit.hpp"
#include "protocol.hpp"

namespace merlinrun::net {

// A source from which the part of a body that has not arrived yet is read.
class BodySource {
 public:
  // Receives an error, or the number of bytes read and whether they are the last of the body.
  using ReadHandler = std::function<void(ErrorCode, std::size_t, bool last)>;
  virtual ~BodySource() = default;
  // Reads the next chunk into `into`. The last chunk may be empty. `handler` is called exactly once, from the
  // event loop and never before ReadSome returns, unless Stop comes first; `into` must stay valid until then.
  // Only one read may be pending.
  virtual void ReadSome(asio::mutable_buffer into, ReadHandler handler) = 0;
  // Discards the rest of the body; a pending read is not called back.
  virtual void Stop() = 0;
};
using BodySourcePtr = std::shared_ptr<BodySource>;
using BufferedBody = std::shared_ptr<const std::string>;

// A message whose body is buffered completely, or whose buffered beginning is followed by chunks of a source.
template <bool kRequest>
struct Message {
  http::header<kRequest> head;                         // without framing, which the writer adds
  BufferedBody buffered;                               // the buffered beginning; null if there is none
  BodySourcePtr remaining;                             // source of what follows; null if `buffered` is all
  std::optional<std::uint64_t> length = std::nullopt;  // of the complete body, if it is known
};

// Framing of a body whose length is unknown.
enum class UnknownLengthFraming { kChunked, kUntilClose };

// Writes one message to a socket. The creator keeps the writer until `done` is called, or calls Stop before
// it releases it. Pending operations hold a reference to the writer, and through it to the owner of the
// socket.
template <bool kRequest>
class MessageWriter : public std::enable_shared_from_this<MessageWriter<kRequest>> {
 public:
  struct Events {
    std::function<void()> body_consumed = nullptr;  // before the first read from the source
    std::function<void()> progress = nullptr;       // a chunk has been read or written
    // The message has been written, or writing failed; `source_failed`: the body could not be read.
    std::function<void(ErrorCode, bool source_failed)> done;
  };

  MessageWriter(std::shared_ptr<void> owner, Tcp::socket& socket, Message<kRequest> message, bool keep_alive,
                UnknownLengthFraming framing, Events events)
      : owner_(std::move(owner)),
        socket_(socket),
        buffered_(std::move(message.buffered)),
        remaining_(std::move(message.remaining)),
        events_(std::move(events)),
        message_(std::move(message.head)),
        serializer_(message_) {
    if (remaining_ == nullptr)
      message.length = message.length.value_or(buffered_ == nullptr ? 0 : buffered_->size());
    if (message.length) {
      message_.content_length(*message.length);
    } else if (framing == UnknownLengthFraming::kChunked) {
      message_.chunked(true);
    }
    message_.keep_alive(keep_alive);
    SetChunk(buffered_ == nullptr ? asio::const_buffer() : asio::buffer(*buffered_), remaining_ != nullptr);
  }

  void Start() { Write(); }

  // Stops the body's source. No event is called any more.
  void Stop() {
    events_ = {};
    if (remaining_ != nullptr) std::exchange(remaining_, nullptr)->Stop();
  }

  // Whether the writer waits for the source, and not for the receiver.
  bool waiting_for_source() const { return waiting_for_source_; }

 private:
  // Passes the next chunk of the body to the serializer.
  void SetChunk(asio::const_buffer chunk, bool more) {
    auto& body = message_.body();
    // The serializer only reads the buffer; the pointer is not const because parsers share the body type.
    body.data = chunk.size() == 0 ? nullptr : const_cast<void*>(chunk.data());
    body.size = chunk.size();
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
    if (chunk_ == nullptr) {
      chunk_ = std::make_unique<std::array<char, kChunkSize>>();
      buffered_.reset();
      if (events_.body_consumed) std::exchange(events_.body_consumed, nullptr)();
      if (!events_.done) return;  // the callback has called Stop
    }
    waiting_for_source_ = true;
    remaining_->ReadSome(asio::buffer(*chunk_),
                         [self = this->shared_from_this()](ErrorCode failed, std::size_t n, bool last) {
                           self->OnChunk(failed, n, last);
                         });
  }

  // Writes the end of the body together with the last chunk: the receiver may answer at once, before another
  // read from the source could report the end.
  void OnChunk(ErrorCode error, std::size_t n, bool last) {
    waiting_for_source_ = false;
    if (!events_.done) return;
    if (error) return End(error, /*source_failed=*/true);
    if (events_.progress) events_.progress();
    if (last) remaining_.reset();
    SetChunk(asio::buffer(*chunk_, n), !last);
    Write();
  }

  void End(ErrorCode error, bool source_failed) {
    const auto self = this->shared_from_this();
    const Events events = std::exchange(events_, {});
    if (remaining_ != nullptr) std::exchange(remaining_, nullptr)->Stop();
    events.done(error, source_failed);
  }

  const std::shared_ptr<void> owner_;
  Tcp::socket& socket_;
  BufferedBody buffered_;
  BodySourcePtr remaining_;
  Events events_;
  http::message<kRequest, http::buffer_body> message_;
  http::serializer<kRequest, http::buffer_body> serializer_;
  std::unique_ptr<std::array<char, kChunkSize>> chunk_;
  bool waiting_for_source_ = false;
};

// The unparsed input in a buffer.
template <typename Buffer>
std::string_view Unparsed(const Buffer& buffer) {
  return {static_cast<const char*>(buffer.data().data()), buffer.size()};
}

// Fails the parsing of a message with http::error::header_limit if the trailer of its chunked body has too
// many fields, before any of them is stored. It is attached to a parser that has no input yet, and outlives
// it; so does the buffer that the parser is fed from.
template <typename Buffer>
class TrailerLimit {
 public:
  TrailerLimit(const Buffer& buffer, std::size_t max_fields) : buffer_(buffer), max_fields_(max_fields) {}
  TrailerLimit(const TrailerLimit&) = delete;
  TrailerLimit& operator=(const TrailerLimit&) = delete;

  template <typename Parser>
  void Attach(Parser& parser) {
    parser.on_chunk_header(*this);
  }
  // Called for each chunk; for the last one, whose size is 0, when all of the trailer is in the buffer.
  void operator()(std::uint64_t size, beast::string_view /*extension*/, ErrorCode& error) const {
    if (size == 0 && HasMoreFieldsThan(LastChunkAndTrailer(), max_fields_)) error = http::error::header_limit;
  }

 private:
  // The parser takes the line break after the previous chunk for a part of the next one.
  std::string_view LastChunkAndTrailer() const {
    std::string_view text = Unparsed(buffer_);
    if (text.substr(0, 2) == "\r\n") text.remove_prefix(2);
    return text;
  }

  const Buffer& buffer_;
  const std::size_t max_fields_;
};

// Feeds the content of `buffer` to a parser and writes body bytes to `into`; unparsed input stays in
// `buffer`. Returns at the end of the header, so that the caller can check it, and when `into` is full. The
// result is the number of bytes written to `into`. Fails with http::error::header_limit, before any field is
// stored, if the header has more than `max_fields` fields.
template <typename Parser, typename Buffer>
std::size_t FeedParser(Parser& parser, Buffer& buffer, asio::mutable_buffer into, std::size_t max_fields,
                       ErrorCode& error) {
  auto& body = parser.get().body();
  body.data = into.data();
  body.size = into.size();
  body.more = true;
  const bool had_header = parser.is_header_done();
  error = {};
  if (!had_header && HasMoreFieldsThan(Unparsed(buffer), max_fields)) {
    error = http::error::header_limit;
    return 0;
  }
  while (buffer.size() > 0 && !parser.is_done() && !error) {
    buffer.consume(parser.put(buffer.data(), error));
    if (!had_header && parser.is_header_done()) break;
  }
  if (error == http::error::need_more || error == http::error::need_buffer) error = {};
  return into.size() - body.size;
}

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_BODY_HPP_
