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

#include "validate.hpp"

namespace merlinrun::net {
namespace {

using Clock = std::chrono::steady_clock;

// Sweeps in the time that an idle connection is kept: few, as each wakes the process.
constexpr int kSweeps = 4;

// 1xx answers ahead of the one that counts; more are noise.
constexpr int kMostInterim = 8;

// The log says at most once in so long what went wrong, and nothing while nothing does.
constexpr auto kLogEvery = std::chrono::seconds(1);
constexpr const char* kTroubles[] = {"not listed",      "no room",     "dial refused",    "dial timed out",
                                     "dial stale",      "request cut", "early answer",    "reset on fresh",
                                     "reset on reused", "unreadable",  "answer broke off"};

Micros Since(Clock::time_point start) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - start).count();
}
Micros Now() { return Since({}); }

bool Declined(const ResponseHeader& response) {
  const bool status = response.result() == http::status::service_unavailable ||
                      response.result() == http::status::gateway_timeout;
  return status && response[kDeclinedHeader] == "1";
}

// A server's 503 without the header proves nothing: it may have run.
Result ResultOf(const ResponseHeader& response) {
  if (response.result() == http::status::ok) return Result::kSuccess;
  return Declined(response) ? Result::kRefused : Result::kError;
}

}  // namespace

struct Upstream::Server {
  ServerInfo info;
  Tcp::endpoint address;
  std::uint64_t life = 0;           // changes with all that makes older connections useless
  std::vector<ConnectionPtr> idle;  // the most recently used last

  bool out = false;  // by hand

  bool Up() const { return info.state == ServerInfo::State::kHealthy && !out; }
  void CloseIdle();
};

// Is the source of its answer's body too, where that is passed on in pieces.
class Upstream::Connection : public BodySource, public std::enable_shared_from_this<Connection> {
 public:
  struct Job {
    AttemptId id;
    Events events;
  };

  Connection(Upstream& pool, std::shared_ptr<Server> server)
      : pool_(pool), server_(std::move(server)), life_(server_->life), socket_(pool.io_), timer_(pool.io_) {}

  void Dial(Job job, Message<true> request) {
    job_.emplace(std::move(job));
    request_.emplace(std::move(request));
    ErrorCode error;
    socket_.open(server_->address.protocol(), error);
    if (error) return FailLater();
    socket_.set_option(Tcp::no_delay(true), error);
    if (pool_.limits_.dial_timeout > 0) {
      timer_.expires_after(std::chrono::microseconds(pool_.limits_.dial_timeout));
      timer_.async_wait([self = shared_from_this()](ErrorCode stopped) {
        // The time may run out in the very turn of the loop in which the attempt is given up.
        if (!stopped && self->dialing_ && !self->closed_)
          self->Fail(Result::kUnreachable, Trouble::kSlowDial);
      });
    }
    dialing_ = true;
    socket_.async_connect(server_->address,
                          [self = shared_from_this()](ErrorCode failed) { self->OnDialed(failed); });
  }

  void Start(Job job, Message<true> request) {
    job_.emplace(std::move(job));
    request_.emplace(std::move(request));
    idled_ = std::max<Micros>(Since(idle_since), 1);
    Write();
  }

  // Says nothing to the attempt's owner: for idle connections and attempts that are given up.
  void Close() {
    if (closed_) return;
    Abandon();
    timer_.cancel();
    pool_.Forget(*this);
  }

  // Closes without a word to the pool, which is going: what is still to be called back finds it closed.
  void Abandon() {
    closed_ = true;
    job_.reset();
    charge_ = {};
    taken_ = nullptr;
    if (writer_ != nullptr) std::exchange(writer_, nullptr)->Stop();
    ErrorCode ignored;
    socket_.close(ignored);
  }

  // Guards against writing to a connection whose end has come in but has not been handled: what is written
  // there is reset, and may have run for all that one can know.
  bool Usable() {
    if (closed_ || !Current()) return false;
    char byte = 0;
    const ssize_t got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  bool Current() const { return server_->Up() && server_->life == life_; }
  Server& server() { return *server_; }
  Clock::time_point idle_since;

  // ---- What is still to come of the answer's body ----

  void ReadSome(asio::mutable_buffer into, Taken taken) override {
    into_ = into;
    taken_ = std::move(taken);
    moved_at_ = Clock::now();
    asio::post(pool_.io_, [self = shared_from_this()] { self->Supply(); });
  }

  void Stop() override {
    if (relaying_) Close();
  }

 private:
  void FailLater() {
    pool_.Note(Trouble::kRefusedDial, server_->info.id);
    FinishLater(Result::kUnreachable);
  }

  // Not if the attempt is given up before.
  void FinishLater(Result result) {
    asio::post(pool_.io_, [self = shared_from_this(), result] {
      if (!self->closed_) self->Finish(result, /*reuse=*/false);
    });
  }

  void OnDialed(ErrorCode error) {
    if (closed_) return;
    dialing_ = false;
    timer_.cancel();
    // A look at the list after the wait: guards against sending to a server that has meanwhile been told to
    // drain, is gone, or has restarted and is cold. Nothing is written, so it never ran.
    if (error) return Fail(Result::kUnreachable, Trouble::kRefusedDial);
    if (!Current()) return Fail(Result::kUnreachable, Trouble::kStaleDial);
    if (job_->events.wanted && !job_->events.wanted()) return FinishLater(Result::kNeverSent);
    Read();
    Write();
  }

  void Write() {
    NextAnswer();
    writing_ = true;
    whole_ = false;
    interim_ = 0;
    answering_ = false;
    moved_at_ = Clock::now();
    MessageWriter<true>::Events events;
    if (request_->rest != nullptr) {
      events.drawn = [this] { std::exchange(job_->events.drawn, nullptr)(); };
      events.progress = [this] { moved_at_ = Clock::now(); };
      ExpectProgress();
    }
    events.done = [this](ErrorCode error, bool source_failed) { OnWritten(error, source_failed); };
    writer_ =
        std::make_shared<MessageWriter<true>>(shared_from_this(), socket_, std::move(*request_),
                                              /*keep_alive=*/true, Unframed::kChunked, std::move(events));
    request_.reset();
    writer_->Start();
  }

  void OnWritten(ErrorCode error, bool source_failed) {
    writing_ = false;
    writer_.reset();
    whole_ = !error;
    // An unfinished request is one that no server begins.
    if (error) {
      if (!source_failed) CountLost();
      return Fail(Result::kUnreachable, broken_.value_or(Trouble::kCutRequest));
    }
    pool_.counters_.CountAttempt();
    // It may give this attempt up, and with it all that is here.
    if (const auto sent = std::exchange(job_->events.sent, nullptr)) sent();
    if (!closed_ && broken_) FailReset();
  }

  // Looks now and then whether a body still moves. Guards against a server that stops taking a request or
  // giving an answer half-way and keeps the connection.
  void ExpectProgress() {
    timer_.expires_after(std::chrono::microseconds(pool_.limits_.silence / kSweeps));
    timer_.async_wait([self = shared_from_this()](ErrorCode stopped) {
      if (stopped || self->closed_ || !(self->writing_ || self->relaying_)) return;
      const bool servers_turn = self->writing_ ? !self->writer_->drawing() : self->taken_ != nullptr;
      if (!servers_turn) self->moved_at_ = Clock::now();
      if (Since(self->moved_at_) < self->pool_.limits_.silence) return self->ExpectProgress();
      if (self->relaying_) return self->Break(asio::error::timed_out);
      self->Fail(Result::kUnreachable, Trouble::kCutRequest);
    });
  }

  // Stays posted while the connection lives, so that a peer's close is seen when it comes; not while an
  // answer is passed on, which reads as much as is asked for.
  void Read() {
    const std::size_t room = std::min(relaying_ ? kPiece : kReadSize, buffer_.max_size() - buffer_.size());
    if (room == 0)
      return relaying_ ? Break(http::error::buffer_overflow) : Fail(Result::kReset, Trouble::kUnreadable);
    socket_.async_read_some(
        buffer_.prepare(room),
        [self = shared_from_this()](ErrorCode error, std::size_t n) { self->OnRead(error, n); });
  }

  void OnRead(ErrorCode error, std::size_t n) {
    if (closed_ || broken_) return;
    if (!error) buffer_.commit(n);
    if (relaying_) return error ? OnRelayEnd(error) : Supply();
    if (error) return OnEnd(error);
    if (!job_) return Close();  // nobody asked
    // Nothing that comes before the request has been written whole can be its answer.
    if (writing_) return BreakOff(Trouble::kEarlyAnswer);
    if (!std::exchange(answering_, true)) pool_.idle_limit_.Count(idled_, /*lost=*/false, Now());
    // A spoilt answer is like none: the request may have run, and its answer is lost.
    if (!Parse()) return Fail(Result::kReset, Trouble::kUnreadable);
    if (parser_->is_done()) return Complete();
    if (parser_->is_header_done() && held_.size() >= MostHeld()) return Relay();
    Read();
  }

  void NextAnswer() {
    held_ = {};
    parser_.emplace();
    parser_->eager(false);  // the header alone: it is checked before the body begins
    parser_->header_limit(kMostHeader);
    parser_->body_limit(kMostBody);
  }

  // How much of the answer is held before it is passed on. One that is known to be small is held whole: if it
  // breaks off, its request may still be repeated. One that has no length is passed on before it is late.
  std::size_t MostHeld() const {
    const auto length = parser_->content_length();
    if (!length) return kPiece;
    return *length > kMostHeld ? 0 : static_cast<std::size_t>(*length);
  }

  // False if it is no answer that the protocol knows.
  bool Parse() {
    std::array<char, kReadSize> piece;
    while (buffer_.size() > 0 && !parser_->is_done()) {
      const bool had_header = parser_->is_header_done();
      const std::size_t before = buffer_.size();
      const std::size_t room = had_header ? std::min(piece.size(), MostHeld() - held_.size()) : 0;
      ErrorCode error;
      const std::size_t n = Feed(*parser_, buffer_, asio::buffer(piece.data(), room), error);
      if (error) return false;
      held_.append(piece.data(), n);
      if (!had_header && parser_->is_header_done() && !TakeHeader()) return false;
      if (parser_->is_header_done() && !parser_->is_done() && held_.size() >= MostHeld()) return true;
      if (buffer_.size() == before) return true;  // more of it is needed
    }
    return true;
  }

  // Guards against answers of no end: eager parsing forgets that a length was over the limit (Boost 1.74), so
  // that an answer said to have 3 GB was read until memory ran out.
  bool TakeHeader() {
    if (!IsAcceptableResponse(parser_->get())) return false;
    if (parser_->get().result_int() < 200) {  // 1xx: more comes
      if (++interim_ > kMostInterim) return false;
      NextAnswer();
      return true;
    }
    const std::size_t most = MostHeld();
    const auto length = parser_->content_length();
    return charge_.Take(pool_.budget_, length && *length <= most ? most : most + kStreamCost);
  }

  // The peer closed or reset the connection.
  void OnEnd(ErrorCode error) {
    if (!job_) return Close();
    if (!writing_) {
      if (error == asio::error::eof && EndsWithTheConnection()) return Complete();
      return FailReset();
    }
    BreakOff(Trouble::kCutRequest);
  }

  // The connection is of no use any more in the middle of a request. Whether its last byte went out shows
  // when the write ends, and closing the socket ends it; one that waits for more of its body is not whole.
  void BreakOff(Trouble why) {
    if (writer_->drawing()) return Fail(Result::kUnreachable, why);
    broken_ = why;
    ErrorCode ignored;
    socket_.close(ignored);
  }

  // An answer without a length ends where its connection ends in good order.
  bool EndsWithTheConnection() {
    if (!parser_ || !parser_->is_header_done() || !parser_->need_eof()) return false;
    ErrorCode error;
    parser_->put_eof(error);
    return !error && parser_->is_done();
  }

  bool Reusable() const {
    return whole_ && parser_->get().keep_alive() && !parser_->need_eof() && buffer_.size() == 0;
  }

  void Complete() { Finish(ResultOf(parser_->get()), Reusable()); }

  // The answer is larger than what is held: from here on it is the client's, piece by piece. What a server
  // says at length that is no success is of no use.
  void Relay() {
    const Result result = ResultOf(parser_->get());
    if (result != Result::kSuccess) return Finish(result, /*reuse=*/false);
    relaying_ = true;
    UpstreamAnswer answer = Answer(result);
    answer.message.rest = shared_from_this();
    if (const auto length = parser_->content_length()) answer.message.length = *length;
    Job job = std::move(*job_);
    job_.reset();
    pool_.attempts_.erase(job.id);
    moved_at_ = Clock::now();
    ExpectProgress();
    job.events.done(std::move(answer));
  }

  void Supply() {
    if (!taken_) return;
    if (closed_) return std::exchange(taken_, nullptr)(asio::error::connection_aborted, 0, true);
    ErrorCode error;
    const std::size_t n = Feed(*parser_, buffer_, into_, error);
    if (error) return Break(error);
    if (n == 0 && !parser_->is_done()) return Read();
    const bool over = parser_->is_done();
    const Taken taken = std::exchange(taken_, nullptr);
    if (over) EndRelay();
    taken({}, n, over);
  }

  void OnRelayEnd(ErrorCode error) {
    if (error != asio::error::eof || !EndsWithTheConnection()) return Break(error);
    Supply();
  }

  void EndRelay() {
    const auto self = shared_from_this();
    const bool reuse = Reusable();
    relaying_ = false;
    timer_.cancel();
    parser_.reset();
    if (!reuse) return Close();
    Read();
    pool_.Release(self);
  }

  void Break(ErrorCode error) {
    const auto self = shared_from_this();
    pool_.Note(Trouble::kBrokenAnswer, server_->info.id);
    const Taken taken = std::exchange(taken_, nullptr);
    Close();
    if (taken) taken(error, 0, true);
  }

  void CountLost() {
    if (!answering_) pool_.idle_limit_.Count(idled_, /*lost=*/true, Now());
  }

  void FailReset() {
    CountLost();
    Fail(Result::kReset, idled_ > 0 ? Trouble::kResetReused : Trouble::kResetFresh);
  }

  void Fail(Result result, Trouble trouble) {
    pool_.Note(trouble, server_->info.id);
    parser_.reset();
    Finish(result, /*reuse=*/false);
  }

  // What has come of the answer, if any.
  UpstreamAnswer Answer(Result result) {
    UpstreamAnswer answer;
    answer.result = result;
    answer.charge = std::move(charge_);
    if (!parser_ || !parser_->is_header_done()) return answer;
    answer.message.head = parser_->get().base();
    answer.message.held = std::make_shared<const std::string>(std::exchange(held_, {}));
    answer.load = ParseLoadHeader(ToStringView(answer.message.head[kLoadHeader]));
    return answer;
  }

  void Finish(Result result, bool reuse) {
    const auto self = shared_from_this();
    Job job = std::move(*job_);
    UpstreamAnswer answer = Answer(result);
    job_.reset();
    parser_.reset();
    pool_.attempts_.erase(job.id);
    if (reuse) {
      Read();
      pool_.Release(self);
    } else {
      Close();
    }
    job.events.done(std::move(answer));
  }

  Upstream& pool_;
  const std::shared_ptr<Server> server_;
  const std::uint64_t life_;
  Tcp::socket socket_;
  asio::steady_timer timer_;  // for the dial, then for the progress of what is passed on in pieces
  beast::flat_buffer buffer_{kMostUnparsed};
  std::optional<http::response_parser<http::buffer_body>> parser_;
  std::string held_;  // of the answer's body
  std::optional<Job> job_;
  std::optional<Message<true>> request_;  // until it is being written
  std::shared_ptr<MessageWriter<true>> writer_;
  asio::mutable_buffer into_;  // where the next piece of the answer is wanted ...
  Taken taken_;                // ... and by whom; null if nobody waits for it
  Clock::time_point moved_at_;
  Charge charge_;           // for the answer that is being read
  Micros idled_ = 0;        // how long it had stood idle before this request; 0 on a fresh one
  bool answering_ = false;  // some of the answer has come
  bool relaying_ = false;   // the answer is being passed on in pieces
  int interim_ = 0;         // 1xx answers to this request
  bool dialing_ = false;
  bool writing_ = false;
  bool whole_ = false;             // the request's last byte has been written
  std::optional<Trouble> broken_;  // what ended the connection while it was being written
  bool closed_ = false;
};

Upstream::Upstream(asio::io_context& io, Limits limits, Budget& budget, Counters& counters)
    : io_(io), limits_(limits), budget_(budget), counters_(counters), sweep_(io), log_(io) {}

Upstream::~Upstream() {
  for (const auto& [id, connection] : attempts_)
    if (connection != nullptr) connection->Abandon();
  for (const auto& [id, server] : servers_) {
    for (const ConnectionPtr& connection : server->idle) connection->Abandon();
    server->idle.clear();  // the two hold each other
  }
}

void Upstream::Server::CloseIdle() {
  for (const ConnectionPtr& connection : std::exchange(idle, {})) connection->Close();
}

void Upstream::Update(Server& server, const Endpoint& endpoint) const {
  server.out = out_.count(endpoint.info.id) > 0;
  const bool same = server.address == endpoint.address && server.info.started == endpoint.info.started;
  server.info = endpoint.info;
  if (endpoint.info.state != ServerInfo::State::kGone) server.address = endpoint.address;
  if (same && server.Up()) return;
  if (!same) ++server.life;
  server.CloseIdle();
}

// Back, it is another process: what was dialled before is of no use.
void Upstream::SetOut(const std::string& id, bool out) {
  if (out == (out_.count(id) > 0)) return;
  if (out) {
    out_.insert(id);
  } else {
    out_.erase(id);
  }
  const auto it = servers_.find(id);
  if (it == servers_.end()) return;
  it->second->out = out;
  ++it->second->life;
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
  for (auto& [id, server] : before) {  // not in the whole list: gone
    Endpoint gone{server->info, server->address};
    gone.info.state = ServerInfo::State::kGone;
    Update(*server, gone);
  }
}

Upstream::AttemptId Upstream::Send(const std::string& id, Message<true> request, Events events) {
  ++sent_;
  const auto found = servers_.find(id);
  if (found == servers_.end() || !found->second->Up()) {
    Note(Trouble::kNotListed, id);
    return FailLater(std::move(events.done));
  }
  const std::shared_ptr<Server> server = found->second;
  ConnectionPtr connection = TakeIdle(*server);
  const AttemptId attempt = ++last_attempt_;
  if (connection != nullptr) {
    attempts_[attempt] = connection;
    connection->Start({attempt, std::move(events)}, std::move(request));
    return attempt;
  }
  if (open_ >= std::min(limits_.kept, limits_.connections) && !MakeRoom() && open_ >= limits_.connections) {
    Note(Trouble::kNoRoom, id);
    return FailLater(std::move(events.done));
  }
  connection = std::make_shared<Connection>(*this, server);
  ++open_;
  ++opened_;
  attempts_[attempt] = connection;
  connection->Dial({attempt, std::move(events)}, std::move(request));
  return attempt;
}

// The module must not hear of an outcome while it is still saying what to send.
Upstream::AttemptId Upstream::FailLater(Done done) {
  const AttemptId attempt = ++last_attempt_;
  attempts_[attempt] = nullptr;
  asio::post(io_, [this, attempt, done = std::move(done)] {
    if (attempts_.erase(attempt) > 0) done({});
  });
  return attempt;
}

void Upstream::GiveUp(AttemptId attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;
  const ConnectionPtr connection = it->second;
  attempts_.erase(it);
  if (connection != nullptr) connection->Close();
}

// The one used last of those that have rested. Guards against a second copy or noise that a server sends
// right behind an answer: nothing in HTTP ties an answer to its request but the order on its connection, so
// what comes after the next request was written would pass for that one's answer.
Upstream::ConnectionPtr Upstream::TakeIdle(Server& server) {
  const auto rested = Clock::now() - std::chrono::microseconds(limits_.rest);
  auto it = server.idle.end();
  while (it != server.idle.begin()) {
    ConnectionPtr connection = *--it;
    if (connection->idle_since > rested) continue;
    it = server.idle.erase(it);
    if (idle_limit_.Allows(Since(connection->idle_since), Now()) && connection->Usable()) return connection;
    connection->Close();
  }
  return nullptr;
}

// Closes the connection that has been idle longest. False if all are at work.
bool Upstream::MakeRoom() {
  Server* oldest = nullptr;
  for (auto& [id, server] : servers_)
    if (!server->idle.empty() &&
        (oldest == nullptr || server->idle.front()->idle_since < oldest->idle.front()->idle_since))
      oldest = server.get();
  if (oldest == nullptr) return false;
  const ConnectionPtr kept = oldest->idle.front();
  kept->Close();
  return true;
}

void Upstream::KeepAtMost(std::size_t connections) {
  limits_.kept = connections;
  while (open_ > limits_.kept && MakeRoom()) continue;
}

void Upstream::Release(const ConnectionPtr& connection) {
  if (!connection->Current()) return connection->Close();
  connection->idle_since = Clock::now();
  connection->server().idle.push_back(connection);
  SweepLater();
}

void Upstream::Forget(const Connection& connection) {
  --open_;
  auto& idle = const_cast<Connection&>(connection).server().idle;
  const auto same = [&](const ConnectionPtr& other) { return other.get() == &connection; };
  idle.erase(std::remove_if(idle.begin(), idle.end(), same), idle.end());
}

void Upstream::SweepLater() {
  if (limits_.keep_idle <= 0 || std::exchange(sweeping_, true)) return;
  sweep_.expires_after(std::chrono::microseconds(limits_.keep_idle / kSweeps));
  sweep_.async_wait([this](ErrorCode error) {
    if (error) return;
    sweeping_ = false;
    Sweep();
  });
}

void Upstream::Sweep() {
  const auto now = Clock::now();
  bool any = false;
  for (auto& [id, server] : servers_) {
    const std::vector<ConnectionPtr> idle = server->idle;  // Close takes them out of the original
    for (const ConnectionPtr& connection : idle)
      if (now - connection->idle_since >= std::chrono::microseconds(limits_.keep_idle)) connection->Close();
    any = any || !server->idle.empty();
  }
  if (any) SweepLater();
}

void Upstream::Note(Trouble trouble, const std::string& server) {
  if (troubled_.empty()) {
    log_.expires_after(kLogEvery);
    log_.async_wait([this](ErrorCode error) {
      if (!error) LogTroubles();
    });
  }
  ++troubles_[static_cast<std::size_t>(trouble)];
  ++troubled_[server];
}

// One line for all that went wrong since the first trouble: which kinds, where most of it, and how much of
// the traffic it was.
void Upstream::LogTroubles() {
  std::string kinds;
  for (std::size_t i = 0; i < troubles_.size(); ++i)
    if (troubles_[i] > 0)
      kinds += (kinds.empty() ? "" : ", ") + std::string(kTroubles[i]) + " " + std::to_string(troubles_[i]);
  const auto worst = std::max_element(troubled_.begin(), troubled_.end(),
                                      [](const auto& a, const auto& b) { return a.second < b.second; });
  std::fprintf(stderr,
               "upstream: attempts %d, connections opened %d, open %zu; failed: %s; most at %.64s: %d of %zu "
               "servers\n",
               sent_, opened_, open_, kinds.c_str(), worst->first.c_str(), worst->second, troubled_.size());
  troubles_ = {};
  troubled_.clear();
  sent_ = opened_ = 0;
}

}  // namespace merlinrun::net
