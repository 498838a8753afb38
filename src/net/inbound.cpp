#include "inbound.hpp"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <exception>
#include <optional>
#include <utility>
#include <vector>

#include "socket_state.hpp"

namespace merlinrun::net {
namespace {

using Clock = std::chrono::steady_clock;

// Pause before the next accept after an error such as EMFILE; without it accepting would fail in a
// busy loop.
constexpr auto kAcceptPause = std::chrono::milliseconds(50);
// Maximum number of connections that are accepted in one turn of the event loop. With one at a time, a client
// behind a crowd would wait for as many turns, in each of which all other clients are served.
constexpr int kMaxAcceptsPerTurn = 32;
// Maximum number of bytes that are read and discarded from a client whose connection is being closed. Closing
// a socket with unread input resets the connection, and the client might lose its answer. Beyond this number
// the connection is closed all the same.
constexpr std::size_t kMaxLingeringBytes = std::size_t{256} * 1024;
// The kernel of a client may hold this much of what the client has sent: twice the maximum that Linux sets by
// default.
constexpr std::size_t kMaxClientSendBuffer = std::size_t{8} << 20;
// A client that has left is noticed only when all that it sent before has arrived here. Once the kernel holds
// this part of its receive buffer unread, the client's kernel may have to keep the rest back, and the close
// with it. The window that it advertises is at least half of the buffer, less what small segments waste.
constexpr std::size_t kMaxUnreadFraction = 8;
// The same where the size of the receive buffer is not known or small, in bytes.
constexpr std::size_t kMinUnread = std::size_t{16} * 1024;
// For how long a client counts as present after something has arrived from it. An attempt must not begin
// later than 0.1 s after its client has left.
constexpr auto kPresenceTime = std::chrono::milliseconds(50);
// Maximum number of connections above the limit that are open at once to be answered with 503.
constexpr std::size_t kMaxRejectedSessions = 8;

// A request that is being read.
struct IncomingRequest {
  // `buffer` holds the input that is not parsed yet.
  explicit IncomingRequest(const beast::flat_buffer& buffer) : trailer_limit(buffer, kMaxRequestFields) {
    parser.eager(false);  // stop after the header, which is checked before any of the body is parsed
    parser.header_limit(kMaxHeader);
    parser.body_limit(kMaxBody);
    trailer_limit.Attach(parser);
  }

  TrailerLimit<beast::flat_buffer> trailer_limit;
  http::request_parser<http::buffer_body> parser;
  std::string buffered_body;
  std::size_t body_received = 0;  // bytes of the body, buffered or streamed
  bool started = false;           // some of the request has been parsed
};

}  // namespace

// A client's connection. It is also the source of its request's body while that is still arriving.
class Inbound::Session : public BodySource, public std::enable_shared_from_this<Session> {
 public:
  Session(Inbound& owner, Tcp::socket socket)
      : owner_(owner), socket_(std::move(socket)), timeout_start_(Clock::now()) {
    incoming_.emplace(buffer_);
  }

  // Starts to read requests.
  void Start() { Read(); }

  // Answers with 503 because there are too many connections.
  void RejectOverLimit() {
    RejectInput({http::status::service_unavailable, "too many connections\n"});
    Read();
  }

  // Whether the connection is between requests and no byte of the next one has arrived, so that closing it
  // loses no request.
  bool Idle() const {
    return state_ == State::kReading && buffer_.size() == 0 && !incoming_->started &&
           UnreadBytes(socket_) == 0;
  }
  // Idle since it was accepted.
  bool Unused() const { return fresh_ && Idle(); }
  bool Lingering() const { return state_ == State::kLingering; }
  // Whether the answer has been written, but the kernel still has some of it, and the client has not used up
  // its time to read it. If the connection were closed now, input that arrives later would reset it, and the
  // client would lose the rest.
  bool AnswerInTransit(Clock::time_point now) const {
    if (state_ != State::kReading && state_ != State::kLingering) return false;
    if (TimedOut(now, owner_.limits_.answer_timeout)) return false;
    return UnacknowledgedBytes(socket_) > 0;
  }
  // Whether the client has sent a request, or part of one, and has not received its complete answer.
  bool AwaitsAnswer(Clock::time_point now) const { return AnswerInTransit(now) || (!Lingering() && !Idle()); }
  // Whether a timeout of this length has passed in the current state.
  bool TimedOut(Clock::time_point now, Micros timeout) const {
    return now - timeout_start_ >= std::chrono::microseconds(timeout);
  }

  // See Inbound::Respond and Inbound::Reject.
  void Respond(Reply reply) {
    if (state_ != State::kInProgress) {
      if (reply.message.remaining != nullptr) reply.message.remaining->Stop();
      if (reply.done) reply.done(Delivery::kClientDisconnected);
      return;
    }
    EnterState(State::kWriting);
    unacknowledged_before_ = 0;
    // Whatever has not arrived of the request's body is discarded from now on.
    const bool body_unread = std::exchange(body_pending_, false);
    max_lingering_bytes_ = body_unread ? kMaxBody : kMaxLingeringBytes;
    const UnknownLengthFraming framing =
        version_ < 11 ? UnknownLengthFraming::kUntilClose : UnknownLengthFraming::kChunked;
    const bool delimited = reply.message.remaining == nullptr || reply.message.length ||
                           framing == UnknownLengthFraming::kChunked;
    keep_alive_ = keep_alive_ && !owner_.draining_ && !body_unread && delimited;
    reply.message.head.version(11);
    if (head_only_ && !reply.message.length)
      reply.message.length = reply.message.buffered == nullptr ? 0 : reply.message.buffered->size();
    if (head_only_) reply.message.buffered = nullptr;
    done_ = std::move(reply.done);
    answer_memory_ = std::move(reply.reservation);
    streams_answer_ = reply.message.remaining != nullptr;
    MessageWriter<false>::Events events;
    if (streams_answer_) events.progress = [this] { timeout_start_ = Clock::now(); };
    events.done = [this](ErrorCode error, bool source_failed) { OnWritten(error, source_failed); };
    writer_ = std::make_shared<MessageWriter<false>>(shared_from_this(), socket_, std::move(reply.message),
                                                     keep_alive_, framing, std::move(events));
    writer_->Start();
  }

  void Reject(const Rejection& rejection) {
    if (state_ != State::kInProgress && state_ != State::kReading) return;
    state_ = State::kInProgress;
    keep_alive_ = false;
    HttpResponse response = PlainTextResponse(rejection.status, rejection.text);
    // The lack of connections or memory may end soon.
    if (rejection.status == http::status::service_unavailable) response.set(http::field::retry_after, "0.2");
    if (rejection.status == http::status::method_not_allowed && rejection.allow != nullptr)
      response.set(http::field::allow, rejection.allow);
    Respond(MakeReply(std::move(response)));
  }

  // Whether the client has closed or reset its connection while its request is in progress. Input that it
  // sent before that may still be unread.
  bool PeerClosed() const { return state_ == State::kInProgress && PeerHasClosed(socket_); }

  // See Inbound::ClientMayHaveLeft.
  bool MayHaveLeft() const {
    // A body that is still being received stays unread for as long as no attempt takes it.
    if (body_pending_ || Clock::now() - present_at_ < kPresenceTime) return false;
    return UnreadBytes(socket_) >= std::max(ReceiveBufferSize(socket_) / kMaxUnreadFraction, kMinUnread);
  }

  // See Inbound::RequestIncompleteAt.
  Clock::time_point RequestIncompleteAt() {
    UpdateIncompleteAt();
    return incomplete_at_;
  }

  // Reports a disconnected client to the owner from a separate handler of the event loop.
  void ReportDisconnectLater() {
    asio::post(owner_.io_, [self = shared_from_this()] {
      if (self->PeerClosed()) self->OnDisconnect();
    });
  }

  // Closes the connection or rejects the request if the timeout of its state has passed. Otherwise clients
  // that send nothing, send only part of a request or do not read their answer could take all connections.
  void EnforceTimeouts(Clock::time_point now) {
    const Limits& limits = owner_.limits_;
    switch (state_) {
      case State::kReading:
        if (incoming_->started) {
          if (TimedOut(now, limits.request_timeout)) RejectInput(RequestTimeout());
        } else if (TimedOut(now, fresh_ ? limits.request_timeout : limits.idle_timeout) && Idle()) {
          Close();
        }
        return;
      case State::kInProgress:  // no timeout here, unless the client has to send more of the body
        if (PeerClosed()) return OnDisconnect();
        if (on_chunk_ && TimedOut(now, limits.request_timeout)) AbortUpload(RequestTimeout());
        return;
      case State::kWriting:
        if (streams_answer_ && ClientTakesAnswer()) timeout_start_ = now;
        if (!(streams_answer_ && writer_ != nullptr && writer_->waiting_for_source()) &&
            TimedOut(now, limits.answer_timeout))
          Close();
        return;
      case State::kLingering:
        if (TimedOut(now, limits.linger_timeout) && !AnswerInTransit(now)) Close();
        return;
      case State::kClosed:
        return;
    }
  }

  // Whether the client has taken another chunk of its answer since the last call that returned true. A write
  // that completes is no measure of this: the kernel's buffer may hold megabytes, and takes more only when a
  // large part of them has been read.
  bool ClientTakesAnswer() {
    const std::size_t bytes = UnacknowledgedBytes(socket_);
    const bool taken = bytes + kChunkSize <= unacknowledged_before_;
    unacknowledged_before_ = taken ? bytes : std::max(bytes, unacknowledged_before_);
    return taken;
  }

  // Closes the connection and removes the session from the owner's list.
  void Close() {
    if (state_ == State::kClosed) return;
    Abandon();
    owner_.Remove(*this);
    if (done_) std::exchange(done_, nullptr)(Delivery::kClientDisconnected);
  }

  // Closes without reporting to the owner, which is being destroyed. Pending handlers find the session
  // closed.
  void Abandon() {
    state_ = State::kClosed;
    request_memory_ = {};
    answer_memory_ = {};
    on_chunk_ = nullptr;
    if (writer_ != nullptr) std::exchange(writer_, nullptr)->Stop();
    ErrorCode ignored;
    socket_.close(ignored);
  }

  // ---- BodySource: the part of the request's body that has not arrived yet ----

  void ReadSome(asio::mutable_buffer into, ReadHandler on_chunk) override {
    // The time that the receiver took to write the previous chunk doesn't count against the client.
    timeout_start_ += Clock::now() - chunk_passed_at_;
    chunk_buffer_ = into;
    on_chunk_ = std::move(on_chunk);
    asio::post(owner_.io_, [self = shared_from_this()] { self->SupplyBody(); });
  }

  void Stop() override {
    on_chunk_ = nullptr;
    awaits_client_ = false;
  }

  std::list<SessionPtr>::iterator position;  // in the owner's list

 private:
  enum class State { kReading, kInProgress, kWriting, kLingering, kClosed };

  static Rejection RequestTimeout() { return {http::status::request_timeout, "the request took too long\n"}; }

  // Counts bytes of the body that have arrived. They extend the client's timeout by the time that they may
  // take at the minimum rate, but never to more than a whole timeout from now, so that a client that has sent
  // much and then stops is answered as soon as one that has sent little.
  void CountBody(std::size_t bytes) {
    incoming_->body_received += bytes;
    const auto allowance = std::chrono::microseconds(static_cast<Micros>(bytes) * 1'000'000 /
                                                     static_cast<Micros>(owner_.limits_.min_body_rate));
    timeout_start_ = std::min(timeout_start_ + allowance, Clock::now());
  }

  // Whether the client may have sent all of its request. If it has, what was not read yet is in the buffers
  // of this process and of the kernels on both sides.
  bool MayHaveBeenSent() const {
    if (awaits_client_) return false;
    if (!body_pending_) return true;
    const auto length = incoming_->parser.content_length();
    if (!length) return true;
    const std::size_t received = incoming_->body_received + buffer_.size();
    if (*length <= received + kMaxClientSendBuffer) return true;
    return *length <= received + UnreadBytes(socket_) + kMaxClientSendBuffer;
  }

  void UpdateIncompleteAt() {
    if (!MayHaveBeenSent()) incomplete_at_ = Clock::now();
  }

  void EnterState(State state) {
    state_ = state;
    timeout_start_ = Clock::now();
  }

  // Waits for input also while a request is in progress, to notice a client that disconnects. What arrives
  // then (a pipelined request, or a part of the body that is not to be read yet) is buffered until the buffer
  // is full. From then on reading stops, and EnforceTimeouts polls for a disconnected client.
  void Read() {
    if (awaiting_input_ || MaxRead() == 0) return;
    awaiting_input_ = true;
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
      self->awaiting_input_ = false;
      self->OnReadable(error);
    });
  }

  void OnReadable(ErrorCode error) {
    if (state_ == State::kClosed) return;
    // Asked for before the read: the input may have waited, in the accept queue or for the event loop.
    const Clock::time_point arrived_at = LastInputAt(socket_);
    std::size_t n = 0;
    if (!error) n = socket_.read_some(asio::buffer(owner_.input_, MaxRead()), error);
    if (error == asio::error::would_block || error == asio::error::try_again) return Read();
    if (error) return OnDisconnect();
    input_arrived_at_ = arrived_at;
    present_at_ = Clock::now();
    OnInput(n);
    if (state_ != State::kClosed) Read();
  }

  // The number of bytes that may be read at once. It is never 0 while a request is being parsed, because the
  // parser leaves less than a header unparsed.
  std::size_t MaxRead() const {
    if (state_ == State::kLingering) return owner_.input_.size();
    const std::size_t limit = ExpectsBody() ? buffer_.max_size() : kMaxHeader;
    return std::min(owner_.input_.size(), limit - std::min(limit, buffer_.size()));
  }
  // Whether the next input is part of a request's body; otherwise it is a header, or pipelined requests.
  bool ExpectsBody() const {
    return state_ == State::kReading ? incoming_->parser.is_header_done() : body_pending_;
  }

  void OnDisconnect() {
    const auto self = shared_from_this();
    const bool in_progress = state_ == State::kInProgress;
    const ReadHandler on_chunk = std::exchange(on_chunk_, nullptr);
    Close();
    if (in_progress && !request_id_.empty()) owner_.events_.on_client_disconnected(request_id_);
    if (on_chunk) on_chunk(asio::error::connection_aborted, 0, true);
  }

  void OnInput(std::size_t n) {
    if (state_ == State::kLingering) {
      lingered_bytes_ += n;
      if (lingered_bytes_ > max_lingering_bytes_) return Close();
      if (max_lingering_bytes_ > kMaxLingeringBytes)
        timeout_start_ = Clock::now();  // the rest of a valid body
      return;
    }
    buffer_.commit(asio::buffer_copy(buffer_.prepare(n), asio::buffer(owner_.input_, n)));
    if (state_ == State::kReading) return Parse();
    if (std::exchange(awaits_client_, false)) incomplete_at_ = input_arrived_at_;
    if (on_chunk_) SupplyBody();
  }

  void Parse() {
    auto& parser = incoming_->parser;
    std::array<char, kReadSize> chunk;
    while (buffer_.size() > 0 && !parser.is_done() && incoming_->buffered_body.size() < kMaxBufferedBody) {
      // On a reused connection the timeout runs from the request's first byte, on a new one from its accept.
      if (!std::exchange(incoming_->started, true) && !fresh_) timeout_start_ = Clock::now();
      const bool had_header = parser.is_header_done();
      const std::size_t before = buffer_.size();
      const std::size_t room = std::min(chunk.size(), kMaxBufferedBody - incoming_->buffered_body.size());
      ErrorCode error;
      const std::size_t n =
          FeedParser(parser, buffer_, asio::buffer(chunk.data(), room), kMaxRequestFields, error);
      if (error) return RejectInput(RejectionFor(error));
      if (!had_header && parser.is_header_done() && !AcceptHeader()) return;
      incoming_->buffered_body.append(chunk.data(), n);
      CountBody(n);
      if (buffer_.size() == before) break;  // more input is needed
    }
    if (buffer_.size() == 0)
      buffer_ = beast::flat_buffer(kMaxUnparsed);  // frees the memory of an idle connection
    if (parser.is_done() || incoming_->buffered_body.size() >= kMaxBufferedBody) Dispatch();
  }

  static Rejection RejectionFor(ErrorCode error) {
    if (error == http::error::body_limit) return {http::status::payload_too_large, "too large\n"};
    if (error == http::error::header_limit)
      return {http::status::request_header_fields_too_large, "header too large\n"};
    return {http::status::bad_request, "malformed request\n"};
  }

  // Checks the header and reserves memory for the body. Returns false if the request has been rejected;
  // nothing behind an invalid header is read, buffered or forwarded.
  bool AcceptHeader() {
    auto& parser = incoming_->parser;
    const auto& header = parser.get();
    head_only_ = header.method() == http::verb::head;
    version_ = header.version();
    if (const auto rejection = CheckRequest(header)) return RejectInput(*rejection), false;
    const std::uint64_t size =
        parser.chunked() ? kMaxBody : static_cast<std::uint64_t>(parser.content_length().value_or(0));
    const std::size_t cost =
        size > kMaxBufferedBody ? kMaxBufferedBody + kStreamingMemory : static_cast<std::size_t>(size);
    if (!request_memory_.Reserve(owner_.budget_, cost)) {
      if (owner_.events_.on_memory_exhausted) owner_.events_.on_memory_exhausted(header);
      return Reject({http::status::service_unavailable, "out of memory for requests\n"}), false;
    }
    // The client sends its body only after a 100 Continue. The socket's send buffer has room for it, because
    // no answer is being written.
    if (version_ >= 11 && size > 0 && buffer_.size() == 0 && ExpectsContinue(header)) {
      constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
      ErrorCode error;
      if (socket_.write_some(asio::buffer(kContinue), error) != kContinue.size()) return Close(), false;
    }
    return true;
  }

  void Dispatch() {
    EnterState(State::kInProgress);
    const auto& header = incoming_->parser.get();
    keep_alive_ = header.keep_alive();
    if (header.target() == kReadyPath) {
      request_id_.clear();
      const bool ready = !owner_.draining_ && owner_.events_.ready();
      return Respond(MakeReply(PlainTextResponse(ready ? http::status::ok : http::status::service_unavailable,
                                                 ready ? "ready\n" : "not yet\n")));
    }
    request_id_ = std::string(ToStringView(header[kIdHeader]));
    Message<true> request;
    request.head = header.base();
    body_pending_ = !incoming_->parser.is_done();
    const auto length = incoming_->parser.content_length();
    if (length) request.length = *length;
    incoming_->buffered_body.shrink_to_fit();
    if (!incoming_->buffered_body.empty())
      request.buffered = std::make_shared<const std::string>(std::move(incoming_->buffered_body));
    incoming_->buffered_body = {};
    if (body_pending_) request.remaining = shared_from_this();
    incomplete_at_ = input_arrived_at_;
    chunk_passed_at_ = present_at_ = Clock::now();
    try {
      owner_.events_.on_request(shared_from_this(), std::move(request));
    } catch (const std::exception&) {
      Reject({http::status::internal_server_error, "failed\n"});  // the client gets an answer in any case
      throw;
    }
  }

  // Completes a pending read of the body with what has arrived.
  void SupplyBody() {
    if (!on_chunk_) return;
    if (state_ != State::kInProgress)
      return std::exchange(on_chunk_, nullptr)(asio::error::connection_aborted, 0, true);
    ErrorCode error;
    const std::size_t n = FeedParser(incoming_->parser, buffer_, chunk_buffer_, kMaxRequestFields, error);
    if (error) return AbortUpload(RejectionFor(error));
    CountBody(n);
    const bool over = incoming_->parser.is_done();
    if (n == 0 && !over) return AwaitClient();
    body_pending_ = !over;
    chunk_passed_at_ = Clock::now();
    UpdateIncompleteAt();
    std::exchange(on_chunk_, nullptr)({}, n, over);
    if (state_ == State::kInProgress) Read();
  }

  // Waits for more of the body: all that the client has sent is read.
  void AwaitClient() {
    awaits_client_ = UnreadBytes(socket_) == 0;
    Read();
  }

  // The rest of the body is invalid or late, and its request may have been sent to a server already.
  void AbortUpload(const Rejection& rejection) {
    const auto self = shared_from_this();
    const ReadHandler on_chunk = std::exchange(on_chunk_, nullptr);
    owner_.events_.on_client_disconnected(request_id_);
    if (on_chunk) on_chunk(asio::error::connection_aborted, 0, true);
    body_pending_ = false;
    RejectInput(rejection);
  }

  // Rejects a request that never became a valid one.
  void RejectInput(const Rejection& rejection) {
    if (owner_.events_.on_invalid_input) owner_.events_.on_invalid_input(rejection.text);
    Reject(rejection);
  }

  void OnWritten(ErrorCode error, bool source_failed) {
    if (state_ == State::kClosed) return;
    writer_.reset();
    if (done_ && !error) std::exchange(done_, nullptr)(Delivery::kComplete);
    if (source_failed) {
      // Reset the connection, so that the client sees a truncated answer whatever its framing.
      if (done_) std::exchange(done_, nullptr)(Delivery::kTruncated);
      ErrorCode ignored;
      socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    if (error) return Close();
    answer_memory_ = {};
    request_memory_ = {};
    fresh_ = false;
    if (!keep_alive_) return LingerAndClose();
    owner_.sessions_.splice(owner_.sessions_.end(), owner_.sessions_, position);
    EnterState(State::kReading);
    incoming_.emplace(buffer_);
    head_only_ = false;
    Parse();
    if (state_ != State::kClosed) Read();
  }

  void LingerAndClose() {
    EnterState(State::kLingering);
    incoming_.reset();
    ErrorCode error;
    socket_.shutdown(Tcp::socket::shutdown_send, error);
    if (error) return Close();
    buffer_ = beast::flat_buffer(kMaxUnparsed);
    Read();
  }

  Inbound& owner_;
  Tcp::socket socket_;
  beast::flat_buffer buffer_{kMaxUnparsed};
  std::optional<IncomingRequest> incoming_;
  std::shared_ptr<MessageWriter<false>> writer_;
  std::function<void(Delivery)> done_;
  std::string request_id_;  // id of the request in progress
  MemoryReservation request_memory_;
  MemoryReservation answer_memory_;
  State state_ = State::kReading;
  Clock::time_point timeout_start_;     // when the timeout of the current state began
  asio::mutable_buffer chunk_buffer_;   // where a pending read of the body puts the next chunk ...
  ReadHandler on_chunk_;                // ... and its callback; null if no read is pending
  Clock::time_point chunk_passed_at_;   // when the last chunk of the body was handed over
  Clock::time_point input_arrived_at_;  // when the newest input that has been read arrived
  Clock::time_point incomplete_at_;     // the request was incomplete then; not known for later times
  Clock::time_point present_at_;        // when something was read from the client, or its request dispatched
  std::size_t lingered_bytes_ = 0;      // input discarded while the connection is being closed
  std::size_t max_lingering_bytes_ = kMaxLingeringBytes;
  std::size_t unacknowledged_before_ = 0;  // see ClientTakesAnswer
  unsigned version_ = 11;
  bool body_pending_ = false;    // some of the request's body has not arrived
  bool awaits_client_ = false;   // more of the body is read as soon as the client sends it
  bool streams_answer_ = false;  // the answer's body is streamed
  bool head_only_ = false;       // HEAD request: the answer has no body
  bool fresh_ = true;            // no request has been answered yet
  bool awaiting_input_ = false;
  bool keep_alive_ = true;
};

Inbound::Inbound(asio::io_context& io, const Tcp::endpoint& address, std::optional<int> inherited,
                 Limits limits, MemoryBudget& budget, Events events)
    : io_(io),
      limits_(limits),
      budget_(budget),
      events_(std::move(events)),
      inherited_(inherited.has_value()),
      acceptor_(inherited ? Tcp::acceptor(io, address.protocol(), *inherited)
                          : Tcp::acceptor(io, address, /*reuse_addr=*/true)),
      address_(acceptor_.local_endpoint()),
      accept_pause_(io),
      sweep_timer_(io) {
  Accept();
}

Inbound::~Inbound() {
  CloseListener();
  for (const SessionPtr& session : sessions_) session->Abandon();
}

Inbound::Reply Inbound::MakeReply(HttpResponse response) {
  Reply reply;
  reply.message.head = std::move(response.base());
  reply.message.buffered = std::make_shared<const std::string>(std::move(response.body()));
  return reply;
}

void Inbound::Respond(const SessionPtr& session, Reply reply) { session->Respond(std::move(reply)); }

void Inbound::Reject(const SessionPtr& session, const Rejection& rejection) { session->Reject(rejection); }

bool Inbound::ClientDisconnected(const SessionPtr& session) {
  if (!session->PeerClosed()) return false;
  session->ReportDisconnectLater();
  return true;
}

bool Inbound::ClientMayHaveLeft(const SessionPtr& session) { return session->MayHaveLeft(); }

Clock::time_point Inbound::RequestIncompleteAt(const SessionPtr& session) {
  return session->RequestIncompleteAt();
}

void Inbound::Accept() {
  if (!acceptor_.is_open()) return;
  acceptor_.async_accept(
      [this](ErrorCode error, Tcp::socket socket) { OnAccepted(error, std::move(socket)); });
}

void Inbound::OnAccepted(ErrorCode error, Tcp::socket socket) {
  if (!error) {
    // Serve the connection even if the listener has closed since: the client may have sent its request.
    Add(std::move(socket));
    AcceptWaiting(kMaxAcceptsPerTurn - 1);
    return Accept();
  }
  if (error == asio::error::operation_aborted || !acceptor_.is_open()) return;
  if (error == asio::error::connection_aborted) return Accept();
  EvictLeastUseful();
  accept_pause_.expires_after(kAcceptPause);
  accept_pause_.async_wait([this](ErrorCode stopped) {
    if (!stopped) Accept();
  });
}

// Accepts connections that wait in the backlog, `max` at most, and only while there is room for them: the
// input of the others has to be read before it is known which of them can be closed.
void Inbound::AcceptWaiting(int max) {
  for (int i = 0; i < max && HasRoom() && AcceptOne(); ++i) continue;
}

bool Inbound::AcceptOne() {
  Tcp::socket socket(io_);
  ErrorCode error;
  acceptor_.non_blocking(true, error);
  if (!error) acceptor_.accept(socket, error);
  if (error) return false;
  Add(std::move(socket));
  return true;
}

bool Inbound::BelowLimits() const {
  return sessions_.size() < std::min(limits_.soft_max_sessions, limits_.max_sessions);
}

bool Inbound::HasRoom() const { return BelowLimits() || LeastUsefulSession() != nullptr; }

// Connections are accepted even at the limit, and rejected with 503. If accepting stopped, clients would wait
// in the backlog without any answer.
void Inbound::Add(Tcp::socket socket) {
  while (!BelowLimits() && EvictLeastUseful()) continue;
  const bool below_limit = sessions_.size() < limits_.max_sessions;
  if (sessions_.size() >= limits_.max_sessions + kMaxRejectedSessions) return;  // closes the socket
  ErrorCode error;
  socket.set_option(Tcp::no_delay(true), error);
  socket.non_blocking(true, error);
  if (error) return;
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  session->position = sessions_.insert(sessions_.end(), session);
  below_limit ? session->Start() : session->RejectOverLimit();
  ScheduleSweep();
}

// The connection that is closed first if they run short, in this order: one that is lingering after its last
// answer, one that has sent nothing yet, one that has been idle for at least min_idle, any idle one. Null if
// there is none.
Inbound::SessionPtr Inbound::LeastUsefulSession() const {
  const auto now = Clock::now();
  const std::function<bool(const Session&)> choices[] = {
      [](const Session& s) { return s.Lingering(); }, [](const Session& s) { return s.Unused(); },
      [&](const Session& s) { return s.TimedOut(now, limits_.min_idle) && s.Idle(); },
      [](const Session& s) { return s.Idle(); }};
  for (const auto& choice : choices)
    for (const SessionPtr& session : sessions_)
      if (choice(*session)) return session;
  return nullptr;
}

// Closes the least useful connection. Returns false if there is none.
bool Inbound::EvictLeastUseful() {
  const SessionPtr session = LeastUsefulSession();
  if (session == nullptr) return false;
  session->Close();
  return true;
}

void Inbound::Remove(const Session& session) { sessions_.erase(session.position); }

// One timer serves all sessions: a timer for each would cost more than checking them all.
void Inbound::ScheduleSweep() {
  if (std::exchange(sweep_scheduled_, true)) return;
  sweep_timer_.expires_after(std::chrono::microseconds(limits_.sweep_interval));
  sweep_timer_.async_wait([this](ErrorCode error) {
    if (error) return;
    sweep_scheduled_ = false;
    Sweep();
  });
}

void Inbound::Sweep() {
  const auto now = Clock::now();
  for (auto it = sessions_.begin(); it != sessions_.end();) {
    const SessionPtr session = *it++;  // the call may remove the session from the list
    session->EnforceTimeouts(now);
  }
  if (!sessions_.empty()) ScheduleSweep();
}

void Inbound::Drain() { draining_ = true; }

// Other processes may share the listening socket. Closing only the descriptor would then leave the socket
// registered with epoll, and the reactor would wake up for connections of the other processes; release()
// deregisters it first.
void Inbound::CloseListener() {
  if (!acceptor_.is_open()) return;
  ErrorCode error;
  const auto listener = acceptor_.release(error);
  if (!error) ::close(listener);
}

void Inbound::StopAccepting() {
  accept_pause_.cancel();
  // The processes that share an inherited listener accept what waits in its backlog.
  if (inherited_) return CloseListener();
  // Clients in the backlog may have sent their requests; closing the listener would reset their connections.
  while (AcceptOne()) continue;
  CloseListener();
}

void Inbound::CloseIdle(Micros reused, Micros unused) {
  const auto now = Clock::now();
  for (const SessionPtr& session : std::vector<SessionPtr>(sessions_.begin(), sessions_.end()))
    if (session->Idle() && !session->AnswerInTransit(now) &&
        session->TimedOut(now, session->Unused() ? unused : reused))
      session->Close();
}

std::size_t Inbound::unanswered_requests() const {
  const auto now = Clock::now();
  return static_cast<std::size_t>(
      std::count_if(sessions_.begin(), sessions_.end(),
                    [now](const SessionPtr& session) { return session->AwaitsAnswer(now); }));
}

void Inbound::SetSoftLimit(std::size_t sessions) {
  limits_.soft_max_sessions = sessions;
  while (sessions_.size() > limits_.soft_max_sessions && EvictLeastUseful()) continue;
}

}  // namespace merlinrun::net
