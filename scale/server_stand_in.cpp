#include "server_stand_in.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cmath>
#include <cstdio>
#include <deque>
#include <exception>
#include <memory>
#include <random>
#include <string>
#include <unordered_set>
#include <utility>

#include "client_pool.hpp"
#include "net/validate.hpp"
#include "requests.hpp"

namespace merlinrun::scale {

namespace asio = net::asio;
namespace beast = net::beast;
namespace http = net::http;
using net::ErrorCode;
using net::Tcp;

struct ServerStandIn::State : std::enable_shared_from_this<State> {
  State(asio::io_context& loop, ServerSettings wanted);

  void Accept();
  void Close();
  // How much of the full speed it has by now.
  double Share() const;
  // Requests that it holds at most, in service and queued: a cold one takes fewer.
  std::size_t Room() const;
  bool Full() const { return running + queue.size() >= Room(); }
  void Begin(const std::shared_ptr<Session>& session);
  void RunNext();
  std::chrono::nanoseconds DrawService();
  // Takes the time up to now into the share of cores in use; before any change of `running`.
  void TakeUse();
  std::string Load();

  asio::io_context& io;
  ServerSettings settings;
  Tcp::acceptor acceptor;
  Tcp::endpoint address;
  Clock::time_point started = Clock::now();
  std::mt19937_64 random;
  std::unique_ptr<ClientPool> onward;
  std::unordered_set<Session*> sessions;
  std::deque<std::shared_ptr<Session>> queue;
  std::size_t running = 0;
  double use = 0;  // share of cores, the last second above all
  Clock::time_point use_taken = started;
  std::size_t held = 0;
  bool draining = false;
  ServerCounts counts;
};

// A connection and the request on it.
class ServerStandIn::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(std::shared_ptr<State> state, Tcp::socket socket)
      : state_(std::move(state)), socket_(std::move(socket)), timer_(state_->io) {
    ErrorCode ignored;
    socket_.set_option(Tcp::no_delay(true), ignored);
    state_->sessions.insert(this);
  }
  ~Session() { state_->sessions.erase(this); }

  void Read() {
    request_ = {};
    http::async_read(socket_, buffer_, request_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (!error) self->Take();
    });
  }
  void Close() {
    ErrorCode ignored;
    socket_.close(ignored);
    timer_.cancel();
  }
  bool Over() const { return Clock::now() >= deadline_; }
  void Work(std::chrono::nanoseconds time) {
    if (time.count() == 0) return Worked();
    timer_.expires_after(time);
    timer_.async_wait([self = shared_from_this()](ErrorCode stopped) {
      if (stopped) return;
      if (LatencyHistogram* const lateness = self->state_->settings.lateness.get())
        lateness->Add(Clock::now() - self->timer_.expiry());
      self->Worked();
    });
  }
  // Before its work has begun.
  void Decline(http::status status) {
    ++state_->counts.declined;
    net::HttpResponse response = net::PlainTextResponse(status, "turned away\n");
    response.set(net::kDeclinedHeader, "1");
    Write(std::move(response));
  }

 private:
  void Take() {
    ++state_->counts.taken;
    if (request_.count(net::kIdHeader) == 0) {
      ++state_->counts.invalid;
      return Write(net::PlainTextResponse(http::status::not_found, "no Req-Id\n"));
    }
    const auto seconds = net::ParseDecimal(net::ToStringView(request_[net::kDeadlineHeader]));
    deadline_ = seconds
                    ? Clock::now() +
                          std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(*seconds))
                    : Clock::time_point::max();
    if (state_->draining || state_->Full()) return Decline(http::status::service_unavailable);
    state_->Begin(shared_from_this());
  }
  void Worked() {
    const auto self = shared_from_this();
    state_->TakeUse();
    --state_->running;
    state_->RunNext();
    if (state_->onward) {
      CallOnward();
    } else {
      Answer(true);
    }
  }
  void CallOnward() {
    if (Over()) return Answer(false);
    HttpRequest call = OnwardRequest(request_, deadline_, state_->random);
    const auto give_up = std::min(deadline_, Clock::now() + std::chrono::hours(1));
    state_->onward->Send(std::move(call), give_up,
                         [self = shared_from_this()](unsigned status) { self->Answer(status == 200); });
  }
  void Answer(bool good) {
    --state_->held;
    ++(good ? state_->counts.served : state_->counts.failed);
    Write(good ? net::PlainTextResponse(http::status::ok, std::string(state_->settings.body, 'x'))
               : net::PlainTextResponse(http::status::internal_server_error, "the next service failed\n"));
  }
  void Write(net::HttpResponse response) {
    response.set(net::kLoadHeader, state_->Load());
    response.keep_alive(request_.keep_alive());
    response.prepare_payload();
    response_ = std::move(response);
    http::async_write(socket_, response_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (error || !self->response_.keep_alive()) return self->Close();
      self->Read();
    });
  }

  std::shared_ptr<State> state_;
  Tcp::socket socket_;
  asio::steady_timer timer_;
  beast::flat_buffer buffer_;
  HttpRequest request_;
  net::HttpResponse response_;
  Clock::time_point deadline_;
};

ServerStandIn::State::State(asio::io_context& loop, ServerSettings wanted)
    : io(loop),
      settings(std::move(wanted)),
      acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}),
      address(acceptor.local_endpoint()),
      random(settings.seed) {
  if (!settings.onward.empty()) onward = std::make_unique<ClientPool>(io, settings.onward);
}

void ServerStandIn::State::Accept() {
  acceptor.async_accept([self = shared_from_this()](ErrorCode error, Tcp::socket socket) {
    if (error == asio::error::operation_aborted || !self->acceptor.is_open()) return;
    if (!error) std::make_shared<Session>(self, std::move(socket))->Read();
    self->Accept();
  });
}

void ServerStandIn::State::Close() {
  ErrorCode ignored;
  acceptor.close(ignored);
  onward.reset();
  for (Session* const session : sessions) session->Close();
  std::deque<std::shared_ptr<Session>>().swap(queue);
}

double ServerStandIn::State::Share() const {
  const Clock::duration age = Clock::now() - started;
  if (age >= settings.warm_after) return 1;
  return settings.cold_share +
         (1 - settings.cold_share) *
             (std::chrono::duration<double>(age) / std::chrono::duration<double>(settings.warm_after));
}

std::size_t ServerStandIn::State::Room() const {
  const double full = settings.cores + static_cast<double>(settings.queue);
  return std::max<std::size_t>(1, static_cast<std::size_t>(full * Share()));
}

void ServerStandIn::State::Begin(const std::shared_ptr<Session>& session) {
  ++held;
  queue.push_back(session);
  RunNext();
}

void ServerStandIn::State::RunNext() {
  while (running < static_cast<std::size_t>(settings.cores) && !queue.empty()) {
    const std::shared_ptr<Session> session = std::move(queue.front());
    queue.pop_front();
    if (session->Over()) {  // its client has left: no work is done for nobody
      --held;
      session->Decline(http::status::gateway_timeout);
      continue;
    }
    TakeUse();
    ++running;
    session->Work(DrawService());
  }
}

std::chrono::nanoseconds ServerStandIn::State::DrawService() {
  double ns = std::chrono::duration<double, std::nano>(settings.service).count();
  if (settings.exponential && ns > 0) ns = std::exponential_distribution<double>(1 / ns)(random);
  return std::chrono::nanoseconds(std::llround(ns / Share()));
}

void ServerStandIn::State::TakeUse() {
  const Clock::time_point now = Clock::now();
  const double kept = std::exp(-std::chrono::duration<double>(now - use_taken).count());
  use = use * kept + static_cast<double>(running) / settings.cores * (1 - kept);
  use_taken = now;
}

// In the form that PROTOCOL gives, with the names of the settings.
std::string ServerStandIn::State::Load() {
  TakeUse();
  std::array<char, 96> text{};
  std::snprintf(text.data(), text.size(), "TEXT busy_reqs=%zu, pending=%zu, cpu_share=%.3f", held,
                queue.size(), use);
  return text.data();
}

ServerCounts& ServerCounts::operator+=(const ServerCounts& other) {
  taken += other.taken;
  served += other.served;
  declined += other.declined;
  failed += other.failed;
  invalid += other.invalid;
  return *this;
}

ServerStandIn::ServerStandIn(asio::io_context& io, ServerSettings settings)
    : state_(std::make_shared<State>(io, std::move(settings))) {
  state_->Accept();
}

ServerStandIn::~ServerStandIn() {
  try {
    state_->Close();
  } catch (const std::exception& error) {  // a timer that cannot be cancelled: its handler finds all closed
    std::fprintf(stderr, "server stand-in: %s\n", error.what());
  }
}

const Tcp::endpoint& ServerStandIn::address() const { return state_->address; }
void ServerStandIn::Drain() { state_->draining = true; }
const ServerCounts& ServerStandIn::counts() const { return state_->counts; }
std::size_t ServerStandIn::held() const { return state_->held; }

}  // namespace merlinrun::scale
