#include "fake_server.hpp"

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

struct FakeServer::State : std::enable_shared_from_this<State> {
  State(asio::io_context& event_loop, ServerSettings server_settings);

  void Accept();
  void Close();
  // Returns the current share of the full speed, below 1 while the server is cold.
  double SpeedShare() const;
  // Returns the maximum number of requests in service and queued. A cold server has less capacity.
  std::size_t Capacity() const;
  bool Full() const { return running + queue.size() >= Capacity(); }
  void Enqueue(const std::shared_ptr<Session>& session);
  // Starts queued requests while cores are free.
  void StartQueued();
  std::chrono::nanoseconds DrawServiceTime();
  // Updates `utilisation` up to now. Must be called before each change of `running`.
  void UpdateUtilisation();
  // Returns the value of the load header.
  std::string LoadReportText();

  asio::io_context& io;
  ServerSettings settings;
  Tcp::acceptor acceptor;
  Tcp::endpoint address;
  Clock::time_point started = Clock::now();
  std::mt19937_64 random;
  std::unique_ptr<ClientPool> onward;
  std::unordered_set<Session*> sessions;
  std::deque<std::shared_ptr<Session>> queue;
  std::size_t running = 0;  // requests in service
  double utilisation = 0;   // share of the cores in use, exponentially averaged with a time constant of 1 s
  Clock::time_point utilisation_updated = started;
  std::size_t open_requests = 0;
  bool draining = false;
  ServerCounts counts;
};

// A connection and its current request.
class FakeServer::Session : public std::enable_shared_from_this<Session> {
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
      if (!error) self->HandleRequest();
    });
  }
  void Close() {
    ErrorCode ignored;
    socket_.close(ignored);
    timer_.cancel();
  }
  bool DeadlinePassed() const { return Clock::now() >= deadline_; }
  void StartService(std::chrono::nanoseconds time) {
    if (time.count() == 0) return OnServiceDone();
    timer_.expires_after(time);
    timer_.async_wait([self = shared_from_this()](ErrorCode error) {
      if (error) return;
      if (LatencyHistogram* const lateness = self->state_->settings.lateness.get())
        lateness->Add(Clock::now() - self->timer_.expiry());
      self->OnServiceDone();
    });
  }
  // Rejects the request; its service must not have begun.
  void Decline(http::status status) {
    ++state_->counts.declined;
    net::HttpResponse response = net::PlainTextResponse(status, "turned away\n");
    response.set(net::kDeclinedHeader, "1");
    Write(std::move(response));
  }

 private:
  void HandleRequest() {
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
    state_->Enqueue(shared_from_this());
  }
  void OnServiceDone() {
    const auto self = shared_from_this();
    state_->UpdateUtilisation();
    --state_->running;
    state_->StartQueued();
    if (state_->onward) {
      CallNextService();
    } else {
      Answer(true);
    }
  }
  void CallNextService() {
    if (DeadlinePassed()) return Answer(false);
    HttpRequest request = OnwardRequest(request_, deadline_, state_->random);
    const auto give_up_at = std::min(deadline_, Clock::now() + std::chrono::hours(1));
    state_->onward->Send(std::move(request), give_up_at,
                         [self = shared_from_this()](unsigned status) { self->Answer(status == 200); });
  }
  void Answer(bool succeeded) {
    --state_->open_requests;
    ++(succeeded ? state_->counts.served : state_->counts.failed);
    Write(succeeded
              ? net::PlainTextResponse(http::status::ok, std::string(state_->settings.body_size, 'x'))
              : net::PlainTextResponse(http::status::internal_server_error, "the next service failed\n"));
  }
  void Write(net::HttpResponse response) {
    response.set(net::kLoadHeader, state_->LoadReportText());
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

FakeServer::State::State(asio::io_context& event_loop, ServerSettings server_settings)
    : io(event_loop),
      settings(std::move(server_settings)),
      acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}),
      address(acceptor.local_endpoint()),
      random(settings.seed) {
  if (!settings.onward.empty()) onward = std::make_unique<ClientPool>(io, settings.onward);
}

void FakeServer::State::Accept() {
  acceptor.async_accept([self = shared_from_this()](ErrorCode error, Tcp::socket socket) {
    if (error == asio::error::operation_aborted || !self->acceptor.is_open()) return;
    if (!error) std::make_shared<Session>(self, std::move(socket))->Read();
    self->Accept();
  });
}

void FakeServer::State::Close() {
  ErrorCode ignored;
  acceptor.close(ignored);
  onward.reset();
  for (Session* const session : sessions) session->Close();
  std::deque<std::shared_ptr<Session>>().swap(queue);
}

double FakeServer::State::SpeedShare() const {
  const Clock::duration age = Clock::now() - started;
  if (age >= settings.warm_up_time) return 1;
  return settings.cold_speed +
         (1 - settings.cold_speed) *
             (std::chrono::duration<double>(age) / std::chrono::duration<double>(settings.warm_up_time));
}

std::size_t FakeServer::State::Capacity() const {
  const double full = settings.cores + static_cast<double>(settings.queue);
  return std::max<std::size_t>(1, static_cast<std::size_t>(full * SpeedShare()));
}

void FakeServer::State::Enqueue(const std::shared_ptr<Session>& session) {
  ++open_requests;
  queue.push_back(session);
  StartQueued();
}

void FakeServer::State::StartQueued() {
  while (running < static_cast<std::size_t>(settings.cores) && !queue.empty()) {
    const std::shared_ptr<Session> session = std::move(queue.front());
    queue.pop_front();
    if (session->DeadlinePassed()) {  // the client no longer waits for an answer
      --open_requests;
      session->Decline(http::status::gateway_timeout);
      continue;
    }
    UpdateUtilisation();
    ++running;
    session->StartService(DrawServiceTime());
  }
}

std::chrono::nanoseconds FakeServer::State::DrawServiceTime() {
  double ns = std::chrono::duration<double, std::nano>(settings.service_time).count();
  if (settings.exponential && ns > 0) ns = std::exponential_distribution<double>(1 / ns)(random);
  return std::chrono::nanoseconds(std::llround(ns / SpeedShare()));
}

void FakeServer::State::UpdateUtilisation() {
  const Clock::time_point now = Clock::now();
  const double weight = std::exp(-std::chrono::duration<double>(now - utilisation_updated).count());
  utilisation = utilisation * weight + static_cast<double>(running) / settings.cores * (1 - weight);
  utilisation_updated = now;
}

// In the format that the protocol defines for the load header, with the field names from the settings.
std::string FakeServer::State::LoadReportText() {
  UpdateUtilisation();
  std::array<char, 96> text{};
  std::snprintf(text.data(), text.size(), "TEXT busy_reqs=%zu, pending=%zu, cpu_share=%.3f", open_requests,
                queue.size(), utilisation);
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

FakeServer::FakeServer(asio::io_context& io, ServerSettings settings)
    : state_(std::make_shared<State>(io, std::move(settings))) {
  state_->Accept();
}

FakeServer::~FakeServer() {
  try {
    state_->Close();
  } catch (const std::exception& error) {
    // A timer could not be cancelled. Its handler will find everything closed.
    std::fprintf(stderr, "fake server: %s\n", error.what());
  }
}

const Tcp::endpoint& FakeServer::address() const { return state_->address; }
void FakeServer::Drain() { state_->draining = true; }
const ServerCounts& FakeServer::counts() const { return state_->counts; }
std::size_t FakeServer::open_requests() const { return state_->open_requests; }

}  // namespace merlinrun::scale
