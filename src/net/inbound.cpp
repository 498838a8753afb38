#include "inbound.hpp"

#include <poll.h>
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

namespace merlinrun::net {
namespace {

using Clock = std::chrono::steady_clock;

// How long accepting rests when descriptors have run out: guards against a loop that spins on EMFILE.
constexpr auto kAcceptPause = std::chrono::milliseconds(50);
// What is still read of a client whose connection is being closed: closing it with input unread would reset
// it, and the answer might be lost with that. One that sends more has had its time.
constexpr std::size_t kMostLingering = std::size_t{256} * 1024;
// Connections over the limit that are held at once to be told so.
constexpr std::size_t kMostTurnedAway = 8;

struct Incoming {
  Incoming() {
    parser.eager(false);  // the header alone: it is checked before the body begins
    parser.header_limit(kMostHeader);
    parser.body_limit(kMostBody);
  }

  http::request_parser<http::buffer_body> parser;
  std::string held;          // of the body
  std::size_t received = 0;  // of the body
  bool begun = false;
};

}  // namespace

// Is the source of its request's body too, while that is still coming in.
class Inbound::Session : public BodySource, public std::enable_shared_from_this<Session> {
 public:
  Session(Inbound& owner, Tcp::socket socket)
      : owner_(owner), socket_(std::move(socket)), since_(Clock::now()) {
    parser_.emplace();
  }

  void Start() { Read(); }

  // One connection too many.
  void TurnAway() {
    Reject({http::status::service_unavailable, "too many connections\n"});
    Read();
  }

  // Between requests, with nothing of the next one waiting to be read: closing it loses nothing.
  bool Idle() const {
    ErrorCode error;
    return state_ == State::kReading && buffer_.size() == 0 && !parser_->begun &&
           socket_.available(error) == 0;
  }
  bool Silent() const { return fresh_ && Idle(); }
  bool Lingering() const { return state_ == State::kLingering; }
  bool For(Clock::time_point now, Micros time) const {
    return now - since_ >= std::chrono::microseconds(time);
  }

  void Respond(Reply reply) {
    if (state_ != State::kBusy) {
      if (reply.message.rest != nullptr) reply.message.rest->Stop();
      if (reply.done) reply.done(Sent::kClientGone);
      return;
    }
    Become(State::kWriting);
    // What is still coming of the request is not wanted any more.
    const bool unread = std::exchange(uploading_, false);
    most_lingering_ = unread ? kMostBody : kMostLingering;
    const Unframed unframed = version_ < 11 ? Unframed::kUntilClose : Unframed::kChunked;
    const bool told = reply.message.rest == nullptr || reply.message.length || unframed == Unframed::kChunked;
    keep_alive_ = keep_alive_ && !owner_.draining_ && !unread && told;
    reply.message.head.version(11);
    if (head_only_ && !reply.message.length)
      reply.message.length = reply.message.held == nullptr ? 0 : reply.message.held->size();
    if (head_only_) reply.message.held = nullptr;
    done_ = std::move(reply.done);
    answer_charge_ = std::move(reply.charge);
    streams_ = reply.message.rest != nullptr;
    MessageWriter<false>::Events events;
    if (streams_) events.progress = [this] { since_ = Clock::now(); };
    events.done = [this](ErrorCode error, bool source_failed) { OnWritten(error, source_failed); };
    writer_ = std::make_shared<MessageWriter<false>>(shared_from_this(), socket_, std::move(reply.message),
                                                     keep_alive_, unframed, std::move(events));
    writer_->Start();
  }

  void Reject(const Rejection& rejection) {
    if (state_ != State::kBusy && state_ != State::kReading) return;
    state_ = State::kBusy;
    keep_alive_ = false;
    HttpResponse response = Plain(rejection.status, rejection.text);
    // What has no room now may have in a moment.
    if (rejection.status == http::status::service_unavailable) response.set(http::field::retry_after, "0.2");
    if (rejection.status == http::status::method_not_allowed && rejection.allow != nullptr)
      response.set(http::field::allow, rejection.allow);
    Respond(Whole(std::move(response)));
  }

  // The client has closed its connection, though what it sent before that may still have to be read.
  bool Left() const {
    pollfd look{const_cast<Tcp::socket&>(socket_).native_handle(), POLLRDHUP, 0};
    return state_ == State::kBusy && ::poll(&look, 1, /*timeout=*/0) == 1 &&
           (look.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }

  // Tells the owner of a client that has left, in a turn of its own.
  void LeaveLater() {
    asio::post(owner_.io_, [self = shared_from_this()] {
      if (self->Left()) self->OnGone();
    });
  }

  // Ends what has had its time. Guards against connections that say nothing, half a request or do not read:
  // they would hold their places until none is left for the others.
  void Expire(Clock::time_point now) {
    const Limits& limits = owner_.limits_;
    switch (state_) {
      case State::kReading:
        if (parser_->begun) {
          if (For(now, limits.request + BodyTime())) Reject(TooSlow());
        } else if (For(now, fresh_ ? limits.request : limits.idle) && Idle()) {
          Close();
        }
        return;
      case State::kBusy:  // it is the sidecar's turn, unless more of the body is waited for
        if (Left()) return OnGone();
        if (taken_ && For(now, limits.request + BodyTime())) FailUpload(TooSlow());
        return;
      case State::kWriting:
        if (!(streams_ && writer_ != nullptr && writer_->drawing()) && For(now, limits.answer)) Close();
        return;
      case State::kLingering:
        if (For(now, limits.linger)) Close();
        return;
      case State::kClosed:
        return;
    }
  }

  void Close() {
    if (state_ == State::kClosed) return;
    Abandon();
    owner_.Remove(*this);
    if (done_) std::exchange(done_, nullptr)(Sent::kClientGone);
  }

  // Closes without a word to the owner, which is going: what is still to be called back finds it closed.
  void Abandon() {
    state_ = State::kClosed;
    charge_ = {};
    answer_charge_ = {};
    taken_ = nullptr;
    if (writer_ != nullptr) std::exchange(writer_, nullptr)->Stop();
    ErrorCode ignored;
    socket_.close(ignored);
  }

  // ---- What is still coming of the request's body ----

  void ReadSome(asio::mutable_buffer into, Taken taken) override {
    // The time that the other side took to pass the last piece on is not the client's.
    since_ += Clock::now() - given_at_;
    into_ = into;
    taken_ = std::move(taken);
    asio::post(owner_.io_, [self = shared_from_this()] { self->Supply(); });
  }

  void Stop() override { taken_ = nullptr; }

  std::list<SessionPtr>::iterator place;

 private:
  enum class State { kReading, kBusy, kWriting, kLingering, kClosed };

  static Rejection TooSlow() { return {http::status::request_timeout, "the request took too long\n"}; }

  // The time that so much of a body may take.
  Micros BodyTime() const {
    return static_cast<Micros>(parser_->received) * 1'000'000 / static_cast<Micros>(owner_.limits_.body_rate);
  }

  void Become(State state) {
    state_ = state;
    since_ = Clock::now();
  }

  // Waits for input while a request is held too, so that a client that leaves is noticed, and takes what
  // comes behind that request, or of a body that is not asked for, as far as there is room. Beyond that more
  // would only be kept, and whether the client has left is looked at now and then.
  void Read() {
    if (waiting_ || Room() == 0) return;
    waiting_ = true;
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
      self->waiting_ = false;
      self->OnReadable(error);
    });
  }

  void OnReadable(ErrorCode error) {
    if (state_ == State::kClosed) return;
    std::size_t n = 0;
    if (!error) n = socket_.read_some(asio::buffer(owner_.input_, Room()), error);
    if (error == asio::error::would_block || error == asio::error::try_again) return Read();
    if (error) return OnGone();
    Take(n);
    if (state_ != State::kClosed) Read();
  }

  // How much may be read at once. A parser that reads leaves less than a header behind, so there is always
  // some.
  std::size_t Room() const {
    if (state_ == State::kLingering) return owner_.input_.size();
    return std::min(owner_.input_.size(), buffer_.max_size() - buffer_.size());
  }

  void OnGone() {
    const auto self = shared_from_this();
    const bool busy = state_ == State::kBusy;
    const Taken taken = std::exchange(taken_, nullptr);
    Close();
    if (busy && !request_.empty()) owner_.events_.on_gone(request_);
    if (taken) taken(asio::error::connection_aborted, 0, true);
  }

  void Take(std::size_t n) {
    if (state_ == State::kLingering) {
      lingered_ += n;
      if (lingered_ > most_lingering_) return Close();
      if (most_lingering_ > kMostLingering) since_ = Clock::now();  // the rest of a body that was in order
      return;
    }
    buffer_.commit(asio::buffer_copy(buffer_.prepare(n), asio::buffer(owner_.input_, n)));
    if (state_ == State::kReading) return Parse();
    if (taken_) Supply();
  }

  void Parse() {
    auto& parser = parser_->parser;
    std::array<char, kReadSize> piece;
    while (buffer_.size() > 0 && !parser.is_done() && parser_->held.size() < kMostHeld) {
      // On a kept connection the time runs from a request's first byte, on a new one it has begun already.
      if (!std::exchange(parser_->begun, true) && !fresh_) since_ = Clock::now();
      const bool had_header = parser.is_header_done();
      const std::size_t before = buffer_.size();
      const std::size_t room = std::min(piece.size(), kMostHeld - parser_->held.size());
      ErrorCode error;
      const std::size_t n = Feed(parser, buffer_, asio::buffer(piece.data(), room), error);
      if (error) return Reject(RejectionFor(error));
      if (!had_header && parser.is_header_done() && !TakeHeader()) return;
      parser_->held.append(piece.data(), n);
      parser_->received += n;
      if (buffer_.size() == before) break;  // more of it is needed
    }
    if (buffer_.size() == 0) buffer_ = beast::flat_buffer(kMostUnparsed);  // an idle connection holds none
    if (parser.is_done() || parser_->held.size() >= kMostHeld) Dispatch();
  }

  static Rejection RejectionFor(ErrorCode error) {
    if (error == http::error::body_limit) return {http::status::payload_too_large, "too large\n"};
    if (error == http::error::header_limit)
      return {http::status::request_header_fields_too_large, "header too large\n"};
    return {http::status::bad_request, "malformed request\n"};
  }

  // What is wrong shows in the header: guards against reading, keeping or passing on what follows it.
  bool TakeHeader() {
    auto& parser = parser_->parser;
    const auto& header = parser.get();
    head_only_ = header.method() == http::verb::head;
    version_ = header.version();
    if (const auto rejection = CheckRequest(header)) return Reject(*rejection), false;
    const std::uint64_t size =
        parser.chunked() ? kMostBody : static_cast<std::uint64_t>(parser.content_length().value_or(0));
    const std::size_t cost = size > kMostHeld ? kMostHeld + kStreamCost : static_cast<std::size_t>(size);
    if (!charge_.Take(owner_.budget_, cost)) {
      if (owner_.events_.on_turned_away) owner_.events_.on_turned_away(header);
      return Reject({http::status::service_unavailable, "out of memory for requests\n"}), false;
    }
    // Whoever expects it sends the body only then. There is room for it: nothing else is being written.
    if (version_ >= 11 && size > 0 && buffer_.size() == 0 && ExpectsContinue(header)) {
      constexpr std::string_view kGoOn = "HTTP/1.1 100 Continue\r\n\r\n";
      ErrorCode error;
      if (socket_.write_some(asio::buffer(kGoOn), error) != kGoOn.size()) return Close(), false;
    }
    return true;
  }

  void Dispatch() {
    Become(State::kBusy);
    const auto& header = parser_->parser.get();
    keep_alive_ = header.keep_alive();
    if (header.target() == kReadyPath) {
      request_.clear();
      const bool ready = !owner_.draining_ && owner_.events_.ready();
      return Respond(Whole(Plain(ready ? http::status::ok : http::status::service_unavailable,
                                 ready ? "ready\n" : "not yet\n")));
    }
    request_ = std::string(ToStringView(header[kIdHeader]));
    Message<true> request;
    request.head = header.base();
    uploading_ = !parser_->parser.is_done();
    const auto length = parser_->parser.content_length();
    if (length) request.length = *length;
    parser_->held.shrink_to_fit();
    if (!parser_->held.empty()) request.held = std::make_shared<const std::string>(std::move(parser_->held));
    parser_->held = {};
    if (uploading_) request.rest = shared_from_this();
    given_at_ = Clock::now();
    try {
      owner_.events_.on_request(shared_from_this(), std::move(request));
    } catch (const std::exception&) {
      Reject({http::status::internal_server_error, "failed\n"});  // an answer is owed whatever went wrong
      throw;
    }
  }

  void Supply() {
    if (!taken_) return;
    if (state_ != State::kBusy)
      return std::exchange(taken_, nullptr)(asio::error::connection_aborted, 0, true);
    ErrorCode error;
    const std::size_t n = Feed(parser_->parser, buffer_, into_, error);
    if (error) return FailUpload(RejectionFor(error));
    parser_->received += n;
    const bool over = parser_->parser.is_done();
    if (n == 0 && !over) return Read();
    uploading_ = !over;
    given_at_ = Clock::now();
    std::exchange(taken_, nullptr)({}, n, over);
    if (state_ == State::kBusy) Read();
  }

  // The client's part of a request that is already under way has gone wrong.
  void FailUpload(const Rejection& rejection) {
    const auto self = shared_from_this();
    const Taken taken = std::exchange(taken_, nullptr);
    owner_.events_.on_gone(request_);
    if (taken) taken(asio::error::connection_aborted, 0, true);
    uploading_ = false;
    Reject(rejection);
  }

  void OnWritten(ErrorCode error, bool source_failed) {
    if (state_ == State::kClosed) return;
    writer_.reset();
    if (done_ && !error) std::exchange(done_, nullptr)(Sent::kWhole);
    if (source_failed) {
      // Whatever its framing, the client has to see that this is not all.
      if (done_) std::exchange(done_, nullptr)(Sent::kBroken);
      ErrorCode ignored;
      socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    if (error) return Close();
    answer_charge_ = {};
    charge_ = {};
    fresh_ = false;
    if (!keep_alive_) return LingerAndClose();
    owner_.sessions_.splice(owner_.sessions_.end(), owner_.sessions_, place);
    Become(State::kReading);
    parser_.emplace();
    head_only_ = false;
    Parse();
    if (state_ != State::kClosed) Read();
  }

  void LingerAndClose() {
    Become(State::kLingering);
    parser_.reset();
    ErrorCode error;
    socket_.shutdown(Tcp::socket::shutdown_send, error);
    if (error) return Close();
    buffer_ = beast::flat_buffer(kMostUnparsed);
    Read();
  }

  Inbound& owner_;
  Tcp::socket socket_;
  beast::flat_buffer buffer_{kMostUnparsed};
  std::optional<Incoming> parser_;
  std::shared_ptr<MessageWriter<false>> writer_;
  std::function<void(Sent)> done_;
  std::string request_;  // the id of the one that is held
  Charge charge_;        // of the request
  Charge answer_charge_;
  State state_ = State::kReading;
  Clock::time_point since_;    // the beginning of what the state's time limit counts from
  asio::mutable_buffer into_;  // where the next piece of the body is wanted ...
  Taken taken_;                // ... and by whom; null if nobody waits for it
  Clock::time_point given_at_;
  std::size_t lingered_ = 0;
  std::size_t most_lingering_ = kMostLingering;
  unsigned version_ = 11;
  bool uploading_ = false;  // some of the request's body is still to come
  bool streams_ = false;    // the answer is passed on in pieces
  bool head_only_ = false;  // the answer has no body, whatever its head says
  bool fresh_ = true;       // nothing has been answered yet
  bool waiting_ = false;
  bool keep_alive_ = true;
};

Inbound::Inbound(asio::io_context& io, const Tcp::endpoint& address, std::optional<int> inherited,
                 Limits limits, Budget& budget, Events events)
    : io_(io),
      limits_(limits),
      budget_(budget),
      events_(std::move(events)),
      inherited_(inherited.has_value()),
      acceptor_(inherited ? Tcp::acceptor(io, address.protocol(), *inherited)
                          : Tcp::acceptor(io, address, /*reuse_addr=*/true)),
      address_(acceptor_.local_endpoint()),
      pause_(io),
      sweep_(io) {
  Accept();
}

Inbound::~Inbound() {
  CloseListener();
  for (const SessionPtr& session : sessions_) session->Abandon();
}

Inbound::Reply Inbound::Whole(HttpResponse response) {
  Reply reply;
  reply.message.head = std::move(response.base());
  reply.message.held = std::make_shared<const std::string>(std::move(response.body()));
  return reply;
}

void Inbound::Respond(const SessionPtr& session, Reply reply) { session->Respond(std::move(reply)); }

void Inbound::Reject(const SessionPtr& session, const Rejection& rejection) { session->Reject(rejection); }

bool Inbound::ClientLeft(const SessionPtr& session) {
  if (!session->Left()) return false;
  session->LeaveLater();
  return true;
}

void Inbound::Accept() {
  if (!acceptor_.is_open()) return;
  acceptor_.async_accept(
      [this](ErrorCode error, Tcp::socket socket) { OnAccepted(error, std::move(socket)); });
}

void Inbound::OnAccepted(ErrorCode error, Tcp::socket socket) {
  if (!error) {
    // Also if the listener has closed since: the client may have sent its request already.
    Add(std::move(socket));
    return Accept();
  }
  if (error == asio::error::operation_aborted || !acceptor_.is_open()) return;
  if (error == asio::error::connection_aborted) return Accept();
  MakeRoom();
  pause_.expires_after(kAcceptPause);
  pause_.async_wait([this](ErrorCode stopped) {
    if (!stopped) Accept();
  });
}

// Accepting never stops for want of room. Guards against usual clients that wait in the backlog behind others
// for an answer that nobody is there to give.
void Inbound::Add(Tcp::socket socket) {
  if (sessions_.size() >= std::min(limits_.kept, limits_.sessions)) MakeRoom();
  const bool room = sessions_.size() < limits_.sessions;
  if (sessions_.size() >= limits_.sessions + kMostTurnedAway) return;  // closes it
  ErrorCode error;
  socket.set_option(Tcp::no_delay(true), error);
  socket.non_blocking(true, error);
  if (error) return;
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  session->place = sessions_.insert(sessions_.end(), session);
  room ? session->Start() : session->TurnAway();
  SweepLater();
}

// Closes the connection that is missed least: one that has been answered for good, one that has said nothing
// yet, one that has long been idle, one that is idle. False if all are at work.
bool Inbound::MakeRoom() {
  const auto now = Clock::now();
  const std::function<bool(const Session&)> choices[] = {
      [](const Session& s) { return s.Lingering(); }, [](const Session& s) { return s.Silent(); },
      [&](const Session& s) { return s.For(now, limits_.idle_least) && s.Idle(); },
      [](const Session& s) { return s.Idle(); }};
  for (const auto& choice : choices)
    for (const SessionPtr& session : sessions_)
      if (choice(*session)) {
        const SessionPtr kept = session;
        kept->Close();
        return true;
      }
  return false;
}

void Inbound::Remove(const Session& session) { sessions_.erase(session.place); }

// One timer for all: a timer for each connection would cost more than the looking.
void Inbound::SweepLater() {
  if (std::exchange(sweeping_, true)) return;
  sweep_.expires_after(std::chrono::microseconds(limits_.sweep));
  sweep_.async_wait([this](ErrorCode error) {
    if (error) return;
    sweeping_ = false;
    Sweep();
  });
}

void Inbound::Sweep() {
  const auto now = Clock::now();
  for (auto it = sessions_.begin(); it != sessions_.end();) {
    const SessionPtr session = *it++;  // it may take itself out of the list
    session->Expire(now);
  }
  if (!sessions_.empty()) SweepLater();
}

void Inbound::Drain() { draining_ = true; }

// Other processes may hold the same listener: closing a descriptor does not take such a one out of the
// reactor, which would go on waking up for connections that are no longer its own.
void Inbound::CloseListener() {
  if (!acceptor_.is_open()) return;
  ErrorCode error;
  const auto listener = acceptor_.release(error);
  if (!error) ::close(listener);
}

void Inbound::StopAccepting() {
  pause_.cancel();
  // Another process takes what waits in a queue that is shared.
  if (inherited_) return CloseListener();
  // What has connected may have sent its request: closing the listener on it would reset it unanswered.
  ErrorCode error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    Tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (!error) Add(std::move(socket));
  }
  CloseListener();
}

void Inbound::CloseIdle(Micros kept, Micros fresh) {
  const auto now = Clock::now();
  for (const SessionPtr& session : std::vector<SessionPtr>(sessions_.begin(), sessions_.end()))
    if (session->Idle() && session->For(now, session->Silent() ? fresh : kept)) session->Close();
}

void Inbound::KeepAtMost(std::size_t sessions) {
  limits_.kept = sessions;
  while (sessions_.size() > limits_.kept && MakeRoom()) continue;
}

}  // namespace merlinrun::net
