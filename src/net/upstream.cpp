#include "upstream.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdio>
#include <optional>
#include <utility>

namespace merlinrun::net {
namespace {

using Clock = std::chrono::steady_clock;

// Timeouts of idle connections and stalled bodies are checked this many times per timeout: few, as each
// check wakes the process.
constexpr int kChecksPerTimeout = 4;

// An answer with more 1xx answers than this before it is invalid.
constexpr int kMaxInterimAnswers = 8;

// Failures are logged at most once in this interval, and not at all while there are none.
constexpr auto kLogInterval = std::chrono::seconds(1);
// In the order of FailureCause.
constexpr const char* kFailureNames[] = {
    "not listed",        "no free connection",       "dial refused",
    "dial timed out",    "list changed during dial", "request cut off",
    "early answer",      "reset on new connection",  "reset on reused connection",
    "unreadable answer", "no memory for the answer", "answer cut off"};

Micros Since(Clock::time_point start) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - start).count();
}
Micros Now() { return Since({}); }

bool Declined(const ResponseHeader& response) {
  const bool status = response.result() == http::status::service_unavailable ||
                      response.result() == http::status::gateway_timeout;
  return status && response[kDeclinedHeader] == "1";
}

// A 503 or 504 without the header does not prove that the request was declined: it may have run.
Result ResultOf(const ResponseHeader& response) {
  if (response.result() == http::status::ok) return Result::kSuccess;
  return Declined(response) ? Result::kRefused : Result::kError;
}

}  // namespace

// A server of the list, with its idle connections.
struct Upstream::Server {
  ServerInfo info;
  Tcp::endpoint address;
  // Incremented when existing connections must not be used any more (new address, restart, put up again).
  std::uint64_t incarnation = 0;
  std::vector<ConnectionPtr> idle;  // the most recently used last
  bool admin_down = false;

  bool Available() const { return info.state == ServerInfo::State::kHealthy && !admin_down; }
  void CloseIdle();
};

// One connection to a server. If an answer's body is streamed, the connection is also its BodySource.
class Upstream::Connection : public BodySource, public std::enable_shared_from_this<Connection> {
 public:
  struct ActiveAttempt {
    AttemptId id;
    Events events;
  };

  Connection(Upstream& pool, std::shared_ptr<Server> server)
      : pool_(pool),
        server_(std::move(server)),
        incarnation_(server_->incarnation),
        socket_(pool.io_),
        timer_(pool.io_) {}

  void Dial(ActiveAttempt attempt, Message<true> request) {
    attempt_.emplace(std::move(attempt));
    request_.emplace(std::move(request));
    ErrorCode error;
    socket_.open(server_->address.protocol(), error);
    if (error) return FailLater();
    socket_.set_option(Tcp::no_delay(true), error);
    if (pool_.limits_.dial_timeout > 0) {
      timer_.expires_after(std::chrono::microseconds(pool_.limits_.dial_timeout));
      timer_.async_wait([self = shared_from_this()](ErrorCode stopped) {
        // The timer may expire in the same event loop iteration in which the attempt is cancelled.
        if (!stopped && self->dialing_ && !self->closed_)
          self->Fail(Result::kUnreachable, FailureCause::kDialTimeout);
      });
    }
    dialing_ = true;
    socket_.async_connect(server_->address,
                          [self = shared_from_this()](ErrorCode failed) { self->OnDialed(failed); });
  }

  void Reuse(ActiveAttempt attempt, Message<true> request) {
    attempt_.emplace(std::move(attempt));
    request_.emplace(std::move(request));
    idle_before_ = std::max<Micros>(Since(idle_since), 1);
    WriteRequest();
  }

  // Closes without calling `done`: for idle connections and cancelled attempts.
  void Close() {
    if (closed_) return;
    Abandon();
    timer_.cancel();
    pool_.Remove(*this);
  }

  // See Upstream::AbortRequest.
  void AbortRequest() {
    if (dialing_) return Fail(Result::kUnreachable, FailureCause::kRequestCutOff);
    if (writing_ && !abort_cause_) AbortWrite(FailureCause::kRequestCutOff);
  }

  // Closes without notifying the pool, which is being destroyed. Pending handlers find the connection closed.
  void Abandon() {
    closed_ = true;
    attempt_.reset();
    reservation_ = {};
    on_chunk_ = nullptr;
    if (writer_ != nullptr) std::exchange(writer_, nullptr)->Stop();
    ErrorCode ignored;
    socket_.close(ignored);
  }

  // Whether a request may be written to this connection. The socket is peeked at because the peer's close, or
  // surplus data, may have arrived without having been handled yet. A request that is written after a close
  // is reset, and it is unknown whether it ran.
  bool Usable() {
    if (closed_ || !Current()) return false;
    char byte = 0;
    const ssize_t got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  // For how long the server has not written any of the answer that is being streamed, although more is
  // awaited.
  Micros StalledFor() const { return on_chunk_ == nullptr ? 0 : Since(last_progress_); }
  // Aborts the answer that is being streamed, because of a stall.
  void AbortStalled() { AbortStreaming(asio::error::timed_out); }

  bool Current() const { return server_->Available() && server_->incarnation == incarnation_; }
  Server& server() { return *server_; }
  Clock::time_point idle_since;

  // ---- BodySource: the part of the answer's body that is still to be read ----

  void ReadSome(asio::mutable_buffer into, ReadHandler taken) override {
    chunk_buffer_ = into;
    on_chunk_ = std::move(taken);
    last_progress_ = Clock::now();
    asio::post(pool_.io_, [self = shared_from_this()] { self->DeliverChunk(); });
  }

  void Stop() override {
    if (streaming_) Close();
  }

 private:
  void FailLater() {
    pool_.CountFailure(FailureCause::kDialRefused, server_->info.id);
    FinishLater(Result::kUnreachable);
  }

  // Finishes in the next event loop iteration, unless the attempt is cancelled before.
  void FinishLater(Result result) {
    asio::post(pool_.io_, [self = shared_from_this(), result] {
      if (!self->closed_) self->Finish(result, /*reuse=*/false);
    });
  }

  void OnDialed(ErrorCode error) {
    if (closed_) return;
    dialing_ = false;
    timer_.cancel();
    // The server may have begun to drain, left the list or restarted (and so need a slow start) during the
    // dial. Nothing has been written then, so the request has not run.
    if (error) return Fail(Result::kUnreachable, FailureCause::kDialRefused);
    if (!Current()) return Fail(Result::kUnreachable, FailureCause::kDialOutdated);
    if (attempt_->events.prepare_send && !attempt_->events.prepare_send(request_->head))
      return FinishLater(Result::kNeverSent);
    Read();
    WriteRequest();
  }

  void WriteRequest() {
    ResetParser();
    writing_ = true;
    request_complete_ = false;
    interim_answers_ = 0;
    answer_started_ = false;
    last_progress_ = Clock::now();
    MessageWriter<true>::Events events;
    if (request_->remaining != nullptr) {
      events.body_consumed = [this] { std::exchange(attempt_->events.body_consumed, nullptr)(); };
      events.progress = [this] { last_progress_ = Clock::now(); };
      ScheduleStallCheck();
    }
    events.done = [this](ErrorCode error, bool source_failed) { OnWritten(error, source_failed); };
    writer_ = std::make_shared<MessageWriter<true>>(shared_from_this(), socket_, std::move(*request_),
                                                    /*keep_alive=*/true, UnknownLengthFraming::kChunked,
                                                    std::move(events));
    request_.reset();
    writer_->Start();
  }

  void OnWritten(ErrorCode error, bool source_failed) {
    writing_ = false;
    writer_.reset();
    request_complete_ = !error;
    // Servers do not start a request that they have not received completely.
    if (error) {
      if (!source_failed) CountLostRequest();
      return Fail(Result::kUnreachable, abort_cause_.value_or(FailureCause::kRequestCutOff));
    }
    pool_.counters_.CountAttempt();
    // The callback may cancel this attempt, which closes the connection.
    if (const auto written = std::exchange(attempt_->events.request_written, nullptr)) written();
    if (!closed_ && abort_cause_) FailReset();
  }

  Micros StallTimeout() const {
    return streaming_ ? pool_.limits_.answer_stall_timeout : pool_.limits_.stall_timeout;
  }

  // Checks periodically whether a body still makes progress, so that the attempt ends if the server stops
  // reading a request or writing an answer but keeps the connection open.
  void ScheduleStallCheck() {
    timer_.expires_after(std::chrono::microseconds(pool_.limits_.stall_timeout / kChecksPerTimeout));
    timer_.async_wait([self = shared_from_this()](ErrorCode stopped) {
      if (stopped || self->closed_ || !(self->writing_ || self->streaming_)) return;
      const bool servers_turn =
          self->writing_ ? !self->writer_->waiting_for_source() : self->on_chunk_ != nullptr;
      if (!servers_turn) self->last_progress_ = Clock::now();
      if (Since(self->last_progress_) < self->StallTimeout()) return self->ScheduleStallCheck();
      if (self->streaming_) return self->AbortStreaming(asio::error::timed_out);
      self->Fail(Result::kUnreachable, FailureCause::kRequestCutOff);
    });
  }

  // A read is always pending while the connection is open, so that the peer's close is noticed at once. While
  // an answer is streamed, data is read only as its consumer asks for it.
  void Read() {
    const std::size_t room =
        std::min(streaming_ ? kChunkSize : kReadSize, buffer_.max_size() - buffer_.size());
    if (room == 0)
      return streaming_ ? AbortStreaming(http::error::buffer_overflow)
                        : Fail(Result::kReset, FailureCause::kUnreadableAnswer);
    socket_.async_read_some(
        buffer_.prepare(room),
        [self = shared_from_this()](ErrorCode error, std::size_t n) { self->OnRead(error, n); });
  }

  void OnRead(ErrorCode error, std::size_t n) {
    if (closed_ || abort_cause_) return;
    if (!error) buffer_.commit(n);
    if (streaming_) return error ? OnStreamEnd(error) : DeliverChunk();
    if (error) return OnConnectionEnd(error);
    if (!attempt_) return Close();  // data without a request
    // Data that arrives before the request has been written completely cannot be its answer.
    if (writing_) return AbortWrite(FailureCause::kEarlyAnswer);
    if (!std::exchange(answer_started_, true)) pool_.idle_limit_.Record(idle_before_, /*lost=*/false, Now());
    // An invalid answer counts as a lost one: the request may have run.
    if (!Parse()) return Fail(Result::kReset, parse_failure_);
    if (parser_->is_done()) return Complete();
    if (ReadyToStream()) return BeginStreaming();
    Read();
  }

  void ResetParser() {
    parse_failure_ = FailureCause::kUnreadableAnswer;
    buffered_body_ = {};
    parser_.emplace();
    parser_->eager(false);  // stops after the header, which is checked before the body is parsed
    parser_->header_limit(kMaxHeader);
    parser_->body_limit(kMaxBody);
    trailer_limit_.Attach(*parser_);
  }

  // Whether the answer's body is too large to be buffered completely, or may be.
  bool IsStreamed() const {
    const auto length = parser_->content_length();
    return !length || *length > kMaxBufferedBody;
  }

  // How much of the answer's body is buffered at most before it is forwarded. A body that is known to be
  // small is buffered completely, so that its request can still be retried if the connection breaks.
  std::size_t MaxBuffered() const {
    return IsStreamed() ? kChunkSize : static_cast<std::size_t>(*parser_->content_length());
  }

  // How much of the body must have arrived before it is forwarded. The header of a long body alone is not
  // forwarded: until the body has begun, the request can be retried, or answered in time with a failure. A
  // body of unknown length may be a short one, so its first chunk is awaited. No body of a failure is
  // forwarded.
  std::size_t MinBuffered() const {
    if (!parser_->content_length() || !IsStreamed()) return MaxBuffered();
    return ResultOf(parser_->get()) == Result::kSuccess ? 1 : 0;
  }

  // Whether the body is forwarded from here on as it arrives.
  bool ReadyToStream() const {
    return parser_->is_header_done() && !parser_->is_done() && buffered_body_.size() >= MinBuffered();
  }

  // Parses what has been received. Returns false if the answer is invalid.
  bool Parse() {
    std::array<char, kReadSize> chunk;
    while (buffer_.size() > 0 && !parser_->is_done()) {
      const bool had_header = parser_->is_header_done();
      const std::size_t before = buffer_.size();
      const std::size_t room = had_header ? std::min(chunk.size(), MaxBuffered() - buffered_body_.size()) : 0;
      ErrorCode error;
      const std::size_t n =
          FeedParser(*parser_, buffer_, asio::buffer(chunk.data(), room), kMaxAnswerFields, error);
      if (error) return false;
      buffered_body_.append(chunk.data(), n);
      if (!had_header && parser_->is_header_done() && !TakeHeader()) return false;
      if (ReadyToStream()) return true;
      if (buffer_.size() == before) return true;  // more data is needed
    }
    return true;
  }

  // Checks the header and reserves memory before the body is read. With eager parsing, Boost 1.74 ignores
  // that the length is over the body limit: an answer with a Content-Length of 3 GB was read until memory ran
  // out.
  bool TakeHeader() {
    if (!IsAcceptableResponse(parser_->get())) return false;
    if (parser_->get().result_int() < 200) {  // 1xx: another answer follows
      if (++interim_answers_ > kMaxInterimAnswers) return false;
      ResetParser();
      return true;
    }
    if (reservation_.Reserve(pool_.budget_, MaxBuffered() + (IsStreamed() ? kStreamingMemory : 0)))
      return true;
    parse_failure_ = FailureCause::kOutOfMemory;
    return false;
  }

  // The peer closed or reset the connection.
  void OnConnectionEnd(ErrorCode error) {
    if (!attempt_) return Close();
    if (!writing_) {
      if (error == asio::error::eof && EndsAtConnectionClose()) return Complete();
      return FailReset();
    }
    AbortWrite(FailureCause::kRequestCutOff);
  }

  // The connection has become unusable while a request is being written. Closing the socket ends the write,
  // and OnWritten then tells whether the request's last byte was sent. If the writer is waiting for more of
  // the body, the request is incomplete for certain.
  void AbortWrite(FailureCause cause) {
    if (writer_->waiting_for_source()) return Fail(Result::kUnreachable, cause);
    abort_cause_ = cause;
    ErrorCode ignored;
    socket_.close(ignored);
  }

  // An answer without a length is complete when its connection is closed in an orderly way.
  bool EndsAtConnectionClose() {
    if (!parser_ || !parser_->is_header_done() || !parser_->need_eof()) return false;
    ErrorCode error;
    parser_->put_eof(error);
    return !error && parser_->is_done();
  }

  bool Reusable() const {
    return request_complete_ && parser_->get().keep_alive() && !parser_->need_eof() && buffer_.size() == 0;
  }

  void Complete() { Finish(ResultOf(parser_->get()), Reusable()); }

  // The answer is too large to be buffered: from here on it is streamed to the client chunk by chunk. A large
  // answer that is no success is not forwarded, so its body is not read.
  void BeginStreaming() {
    const Result result = ResultOf(parser_->get());
    if (result != Result::kSuccess) return Finish(result, /*reuse=*/false);
    streaming_ = true;
    pool_.streaming_.insert(this);
    UpstreamAnswer answer = TakeAnswer(result);
    answer.message.remaining = shared_from_this();
    if (const auto length = parser_->content_length()) answer.message.length = *length;
    ActiveAttempt attempt = std::move(*attempt_);
    attempt_.reset();
    pool_.attempts_.erase(attempt.id);
    last_progress_ = Clock::now();
    ScheduleStallCheck();
    attempt.events.done(std::move(answer));
  }

  void DeliverChunk() {
    if (!on_chunk_) return;
    if (closed_) return std::exchange(on_chunk_, nullptr)(asio::error::connection_aborted, 0, true);
    ErrorCode error;
    const std::size_t n = FeedParser(*parser_, buffer_, chunk_buffer_, kMaxAnswerFields, error);
    if (error) return AbortStreaming(error);
    if (n == 0 && !parser_->is_done()) return Read();
    const bool last = parser_->is_done();
    const ReadHandler taken = std::exchange(on_chunk_, nullptr);
    if (last) EndStreaming();
    taken({}, n, last);
  }

  void OnStreamEnd(ErrorCode error) {
    if (error != asio::error::eof || !EndsAtConnectionClose()) return AbortStreaming(error);
    DeliverChunk();
  }

  void EndStreaming() {
    const auto self = shared_from_this();
    const bool reuse = Reusable();
    streaming_ = false;
    pool_.streaming_.erase(this);
    timer_.cancel();
    parser_.reset();
    if (!reuse) return Close();
    Read();
    pool_.Release(self);
  }

  void AbortStreaming(ErrorCode error) {
    const auto self = shared_from_this();
    pool_.CountFailure(FailureCause::kAnswerCutOff, server_->info.id);
    const ReadHandler taken = std::exchange(on_chunk_, nullptr);
    Close();
    if (taken) taken(error, 0, true);
  }

  // Reports to the idle limit that a request was lost without any of its answer.
  void CountLostRequest() {
    if (!answer_started_) pool_.idle_limit_.Record(idle_before_, /*lost=*/true, Now());
  }

  void FailReset() {
    CountLostRequest();
    Fail(Result::kReset, idle_before_ > 0 ? FailureCause::kResetReused : FailureCause::kResetNew);
  }

  void Fail(Result result, FailureCause cause) {
    pool_.CountFailure(cause, server_->info.id);
    parser_.reset();
    Finish(result, /*reuse=*/false);
  }

  // Moves out what has been received of the answer, if anything.
  UpstreamAnswer TakeAnswer(Result result) {
    UpstreamAnswer answer;
    answer.result = result;
    answer.reservation = std::move(reservation_);
    if (!parser_ || !parser_->is_header_done()) return answer;
    answer.message.head = parser_->get().base();
    answer.message.buffered = std::make_shared<const std::string>(std::exchange(buffered_body_, {}));
    answer.load = ParseLoadHeader(ToStringView(answer.message.head[kLoadHeader]));
    return answer;
  }

  void Finish(Result result, bool reuse) {
    const auto self = shared_from_this();
    ActiveAttempt attempt = std::move(*attempt_);
    UpstreamAnswer answer = TakeAnswer(result);
    attempt_.reset();
    parser_.reset();
    pool_.attempts_.erase(attempt.id);
    if (reuse) {
      Read();
      pool_.Release(self);
    } else {
      Close();
    }
    attempt.events.done(std::move(answer));
  }

  Upstream& pool_;
  const std::shared_ptr<Server> server_;
  const std::uint64_t incarnation_;
  Tcp::socket socket_;
  asio::steady_timer timer_;  // for the dial, then for the stall check of a streamed body
  beast::flat_buffer buffer_{kMaxUnparsed};
  TrailerLimit<beast::flat_buffer> trailer_limit_{buffer_, kMaxAnswerFields};
  std::optional<http::response_parser<http::buffer_body>> parser_;
  FailureCause parse_failure_ = FailureCause::kUnreadableAnswer;  // if the answer is not accepted
  std::string buffered_body_;                                     // the buffered part of the answer's body
  std::optional<ActiveAttempt> attempt_;
  std::optional<Message<true>> request_;  // until the write begins
  std::shared_ptr<MessageWriter<true>> writer_;
  asio::mutable_buffer chunk_buffer_;  // receives the next chunk of a streamed answer
  ReadHandler on_chunk_;               // called with that chunk; null if none has been requested
  Clock::time_point last_progress_;
  MemoryReservation reservation_;  // memory for the answer that is being read
  Micros idle_before_ = 0;         // how long the connection was idle before this request; 0 if it is new
  bool answer_started_ = false;    // part of the answer has been received
  bool streaming_ = false;         // the answer's body is being streamed
  int interim_answers_ = 0;        // 1xx answers to this request
  bool dialing_ = false;
  bool writing_ = false;
  bool request_complete_ = false;            // the request's last byte has been written
  std::optional<FailureCause> abort_cause_;  // why the connection ended while the request was being written
  bool closed_ = false;
};

Upstream::Upstream(asio::io_context& io, Limits limits, MemoryBudget& budget, Counters& counters)
    : io_(io), limits_(limits), budget_(budget), counters_(counters), sweep_timer_(io), log_timer_(io) {
  budget_.SetReclaimer([this] { return AbortStalledAnswer(); });
}

Upstream::~Upstream() {
  budget_.SetReclaimer(nullptr);
  for (const auto& [id, connection] : attempts_)
    if (connection != nullptr) connection->Abandon();
  for (const auto& [id, server] : servers_) {
    for (const ConnectionPtr& connection : server->idle) connection->Abandon();
    server->idle.clear();  // breaks the reference cycle between a server and its connections
  }
}

void Upstream::Server::CloseIdle() {
  for (const ConnectionPtr& connection : std::exchange(idle, {})) connection->Close();
}

void Upstream::Update(Server& server, const Endpoint& endpoint) const {
  server.admin_down = admin_down_.count(endpoint.info.id) > 0;
  const bool same = server.address == endpoint.address && server.info.started == endpoint.info.started;
  server.info = endpoint.info;
  if (endpoint.info.state != ServerInfo::State::kGone) server.address = endpoint.address;
  if (same && server.Available()) return;
  if (!same) ++server.incarnation;
  server.CloseIdle();
}

// A server that is put up again counts as restarted, so connections from before are not used again.
void Upstream::SetAdminDown(const std::string& id, bool down) {
  if (down == (admin_down_.count(id) > 0)) return;
  if (down) {
    admin_down_.insert(id);
  } else {
    admin_down_.erase(id);
  }
  const auto it = servers_.find(id);
  if (it == servers_.end()) return;
  it->second->admin_down = down;
  ++it->second->incarnation;
  it->second->CloseIdle();
}

void Upstream::Apply(const EndpointList& list) {
  std::unordered_map<std::string, std::shared_ptr<Server>> before;
  if (list.full) before.swap(servers_);
  for (const Endpoint& endpoint : list.endpoints) {
    std::shared_ptr<Server>& server = servers_[endpoint.info.id];
    const auto old = before.find(endpoint.info.id);
    if (old != before.end()) server = old->second;
    if (server == nullptr) server = std::make_shared<Server>();
    Update(*server, endpoint);
    before.erase(endpoint.info.id);
    if (endpoint.info.state == ServerInfo::State::kGone) servers_.erase(endpoint.info.id);
  }
  for (auto& [id, server] : before) {  // not in the full list: gone
    Endpoint gone{server->info, server->address};
    gone.info.state = ServerInfo::State::kGone;
    Update(*server, gone);
  }
}

Upstream::AttemptId Upstream::Send(const std::string& id, Message<true> request, Events events) {
  ++attempts_started_;
  const auto found = servers_.find(id);
  if (found == servers_.end() || !found->second->Available()) {
    CountFailure(FailureCause::kNotAvailable, id);
    return FailLater(std::move(events.done));
  }
  const std::shared_ptr<Server> server = found->second;
  ConnectionPtr connection = TakeIdle(*server);
  const AttemptId attempt = ++last_attempt_;
  if (connection != nullptr) {
    attempts_[attempt] = connection;
    connection->Reuse({attempt, std::move(events)}, std::move(request));
    return attempt;
  }
  if (open_connections_ >= std::min(limits_.soft_limit, limits_.max_connections) && !EvictIdle() &&
      open_connections_ >= limits_.max_connections && !AbortStalledAnswer()) {
    CountFailure(FailureCause::kConnectionLimit, id);
    return FailLater(std::move(events.done));
  }
  connection = std::make_shared<Connection>(*this, server);
  ++open_connections_;
  ++connections_opened_;
  attempts_[attempt] = connection;
  connection->Dial({attempt, std::move(events)}, std::move(request));
  return attempt;
}

// `done` is posted: the Balancer must not receive an outcome while it is still inside its Send action.
Upstream::AttemptId Upstream::FailLater(Done done) {
  const AttemptId attempt = ++last_attempt_;
  attempts_[attempt] = nullptr;
  asio::post(io_, [this, attempt, done = std::move(done)] {
    if (attempts_.erase(attempt) > 0) done({});
  });
  return attempt;
}

void Upstream::Cancel(AttemptId attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;
  const ConnectionPtr connection = it->second;
  attempts_.erase(it);
  if (connection != nullptr) connection->Close();
}

void Upstream::AbortRequest(AttemptId attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end() || it->second == nullptr) return;
  const ConnectionPtr connection = it->second;  // keeps it alive: it may be closed
  connection->AbortRequest();
}

// Returns the most recently used connection that has been idle for the reuse delay. Without that delay a
// duplicate or surplus data that a server sends right after an answer could be taken for the next answer:
// HTTP/1.1 matches answers to requests only by their order on the connection.
Upstream::ConnectionPtr Upstream::TakeIdle(Server& server) {
  const auto reusable_if_idle_since = Clock::now() - std::chrono::microseconds(limits_.reuse_delay);
  auto it = server.idle.end();
  while (it != server.idle.begin()) {
    ConnectionPtr connection = *--it;
    if (connection->idle_since > reusable_if_idle_since) continue;
    it = server.idle.erase(it);
    if (idle_limit_.Allows(Since(connection->idle_since), Now()) && connection->Usable()) return connection;
    connection->Close();
  }
  return nullptr;
}

bool Upstream::AbortStalledAnswer() {
  const auto longest = std::max_element(
      streaming_.begin(), streaming_.end(),
      [](const Connection* a, const Connection* b) { return a->StalledFor() < b->StalledFor(); });
  if (longest == streaming_.end() || (*longest)->StalledFor() < limits_.stall_timeout) return false;
  (*longest)->AbortStalled();
  return true;
}

// Closes the connection that has been idle longest. Returns false if none is idle.
bool Upstream::EvictIdle() {
  Server* oldest = nullptr;
  for (auto& [id, server] : servers_)
    if (!server->idle.empty() &&
        (oldest == nullptr || server->idle.front()->idle_since < oldest->idle.front()->idle_since))
      oldest = server.get();
  if (oldest == nullptr) return false;
  const ConnectionPtr connection = oldest->idle.front();
  connection->Close();
  return true;
}

void Upstream::SetSoftLimit(std::size_t connections) {
  limits_.soft_limit = connections;
  while (open_connections_ > limits_.soft_limit && EvictIdle()) continue;
}

// Returns a connection to the idle ones of its server.
void Upstream::Release(const ConnectionPtr& connection) {
  if (!connection->Current()) return connection->Close();
  connection->idle_since = Clock::now();
  connection->server().idle.push_back(connection);
  ScheduleSweep();
}

// Removes a closed connection from the pool.
void Upstream::Remove(const Connection& connection) {
  streaming_.erase(const_cast<Connection*>(&connection));
  --open_connections_;
  auto& idle = const_cast<Connection&>(connection).server().idle;
  const auto same = [&](const ConnectionPtr& other) { return other.get() == &connection; };
  idle.erase(std::remove_if(idle.begin(), idle.end(), same), idle.end());
}

void Upstream::ScheduleSweep() {
  if (limits_.idle_timeout <= 0 || std::exchange(sweep_scheduled_, true)) return;
  sweep_timer_.expires_after(std::chrono::microseconds(limits_.idle_timeout / kChecksPerTimeout));
  sweep_timer_.async_wait([this](ErrorCode error) {
    if (error) return;
    sweep_scheduled_ = false;
    Sweep();
  });
}

void Upstream::Sweep() {
  const auto now = Clock::now();
  bool any_idle = false;
  for (auto& [id, server] : servers_) {
    const std::vector<ConnectionPtr> idle = server->idle;  // a copy, because Close erases from the original
    for (const ConnectionPtr& connection : idle)
      if (now - connection->idle_since >= std::chrono::microseconds(limits_.idle_timeout))
        connection->Close();
    any_idle = any_idle || !server->idle.empty();
  }
  if (any_idle) ScheduleSweep();
}

void Upstream::CountFailure(FailureCause cause, const std::string& server) {
  if (failures_by_server_.empty()) {
    log_timer_.expires_after(kLogInterval);
    log_timer_.async_wait([this](ErrorCode error) {
      if (!error) LogFailures();
    });
  }
  ++failures_by_cause_[static_cast<std::size_t>(cause)];
  ++failures_by_server_[server];
}

// Logs one line about the failures since the last one: their causes, the server with most of them, and the
// number of attempts for comparison.
void Upstream::LogFailures() {
  std::string causes;
  for (std::size_t i = 0; i < failures_by_cause_.size(); ++i)
    if (failures_by_cause_[i] > 0)
      causes += (causes.empty() ? "" : ", ") + std::string(kFailureNames[i]) + " " +
                std::to_string(failures_by_cause_[i]);
  const auto worst = std::max_element(failures_by_server_.begin(), failures_by_server_.end(),
                                      [](const auto& a, const auto& b) { return a.second < b.second; });
  std::fprintf(stderr,
               "upstream: attempts %d, connections opened %d, open %zu; failed: %s; most at %.64s: %d of %zu "
               "servers\n",
               attempts_started_, connections_opened_, open_connections_, causes.c_str(),
               worst->first.c_str(), worst->second, failures_by_server_.size());
  failures_by_cause_ = {};
  failures_by_server_.clear();
  attempts_started_ = connections_opened_ = 0;
}

}  // namespace merlinrun::net
