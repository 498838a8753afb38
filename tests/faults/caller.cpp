#include "caller.hpp"

#include <boost/asio/write.hpp>
#include <utility>

#include "http_text.hpp"

namespace merlinrun::faults {
namespace {

namespace asio = net::asio;
using net::ErrorCode;
using std::chrono::milliseconds;

constexpr int kMaxPauseMs = 60;
constexpr double kDisconnectShare = 0.04;   // share of the requests that the client gives up ...
constexpr int kMaxDisconnectDelayMs = 300;  // ... this long after it sent them, at most
constexpr double kMaxDeadline = 2.0;        // seconds
constexpr double kMinDeadline = 0.4;
// An answer is waited for until this long after the deadline.
constexpr auto kAnswerTolerance = milliseconds(500);

}  // namespace

Caller::Caller(asio::io_context& io, net::Tcp::endpoint sidecar, std::string name, std::uint64_t seed,
               std::deque<Request>& requests)
    : io_(io),
      sidecar_(std::move(sidecar)),
      name_(std::move(name)),
      random_(seed),
      requests_(requests),
      timer_(io),
      disconnect_timer_(io) {}

void Caller::Stop() {
  stopped_ = true;
  timer_.cancel();
  disconnect_timer_.cancel();
  Disconnect();
}

void Caller::Pause() {
  current_ = nullptr;
  disconnect_timer_.cancel();
  timer_.expires_after(milliseconds(1 + static_cast<int>(kMaxPauseMs * Unit())));
  timer_.async_wait([self = shared_from_this()](ErrorCode error) {
    if (!error && !self->stopped_) self->StartRequest();
  });
}

void Caller::StartRequest() {
  if (socket_ == nullptr && (reconnects_only_to_resend_ || !Connect())) return Pause();
  static constexpr std::array<const char*, 3> kKinds = {"look", "pay", "port"};
  Request request;
  request.id = name_ + "-" + std::to_string(++request_count_);
  request.kind = kKinds.at(static_cast<std::size_t>(3 * Unit()) % kKinds.size());
  request.deadline = kMinDeadline + (kMaxDeadline - kMinDeadline) * Unit();
  request.sent = Clock::now();
  requests_.push_back(request);
  current_ = &requests_.back();
  Send();
  if (Unit() >= kDisconnectShare) return;
  disconnect_timer_.expires_after(milliseconds(1 + static_cast<int>(kMaxDisconnectDelayMs * Unit())));
  disconnect_timer_.async_wait([self = shared_from_this()](ErrorCode error) {
    if (error || self->current_ == nullptr) return;
    self->Disconnect();
    self->current_->disconnected_at = Clock::now();
    self->Pause();
  });
}

void Caller::Send() {
  const bool safe = current_->kind == "look";
  std::string headers = "Host: origin.svc\r\nReq-Id: " + current_->id + "\r\nReq-Kind: " + current_->kind +
                        "\r\nReq-Deadline: " + std::to_string(current_->deadline) + "\r\n";
  if (current_->kind == "pay") headers += "Idempotency-Key: k" + current_->id + "\r\n";
  const std::string text = safe ? "GET /api HTTP/1.1\r\n" + headers + "\r\n"
                                : FormatMessage("POST /api HTTP/1.1", headers, "body");
  ErrorCode ignored;  // Read reports the end of the connection
  asio::write(*socket_, asio::buffer(text), ignored);
  const auto budget =
      std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(current_->deadline));
  timer_.expires_at(current_->sent + budget + kAnswerTolerance);
  timer_.async_wait([self = shared_from_this()](ErrorCode error) {
    if (!error && self->current_ != nullptr) self->OnTimeout();
  });
}

bool Caller::Connect() {
  socket_ = std::make_unique<net::Tcp::socket>(io_);
  ErrorCode error;
  socket_->connect(sidecar_, error);
  if (error) {
    socket_.reset();
    return false;
  }
  ++connection_id_;
  received_.clear();
  Read();
  return true;
}

void Caller::Disconnect() {
  ++connection_id_;
  if (socket_ == nullptr) return;
  ErrorCode ignored;
  socket_->close(ignored);
  socket_.reset();
}

void Caller::Read() {
  socket_->async_read_some(asio::buffer(chunk_), [self = shared_from_this(), connection = connection_id_](
                                                     ErrorCode error, std::size_t n) {
    if (connection != self->connection_id_) return;
    if (error) return self->OnClosed();
    self->received_.append(self->chunk_.data(), n);
    self->OnBytes();
    if (self->socket_ != nullptr && connection == self->connection_id_) self->Read();
  });
}

void Caller::OnBytes() {
  const auto length = CompleteMessageLength(received_);
  if (!length || current_ == nullptr) return;
  current_->answered_at = Clock::now();
  current_->status = std::stoi(received_.substr(9, 3));
  const bool closes = HeaderValue(received_, "Connection") == "close";
  received_.erase(0, *length);
  if (closes) Disconnect();
  Pause();
}

// Sends the request once more, on a new connection: the connection may have been closed before the sidecar
// read the request.
void Caller::OnClosed() {
  Disconnect();
  if (current_ == nullptr) return;
  if (++current_->closed_unanswered > 1) return Pause();
  if (Connect()) return Send();
  current_->not_connected = true;
  Pause();
}

void Caller::OnTimeout() {
  Disconnect();
  Pause();
}

}  // namespace merlinrun::faults
