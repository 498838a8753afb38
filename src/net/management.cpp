#include "management.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <optional>
#include <utility>

#include "validate.hpp"

namespace merlinrun::net {
namespace {

constexpr std::size_t kMaxHeaderSize = std::size_t{4} * 1024;
// The pause after a failed accept(). Without it the accept loop would spin while the process is out of
// descriptors (EMFILE).
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);

constexpr std::string_view kReadinessPath = "/ops/readiness";
constexpr std::string_view kStatsPath = "/ops/stats";
constexpr std::string_view kDownPath = "/ops/servers/down/";
constexpr std::string_view kUpPath = "/ops/servers/up/";

// The value of a hexadecimal digit; -1 if it is none.
int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

ManagementEndpoint::Reply TextReply(http::status status, const char* text) { return {status, text}; }

}  // namespace

std::optional<std::string> PercentDecode(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out.push_back(text[i]);
      continue;
    }
    if (i + 2 >= text.size()) return std::nullopt;
    const int high = HexDigit(text[i + 1]);
    const int low = HexDigit(text[i + 2]);
    if (high < 0 || low < 0) return std::nullopt;
    out.push_back(static_cast<char>(high * 16 + low));
    i += 2;
  }
  return out;
}

// One connection: reads a request, writes the answer and waits for the caller to close.
class ManagementEndpoint::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(ManagementEndpoint& owner, Tcp::socket socket)
      : owner_(&owner), socket_(std::move(socket)), timer_(owner.io_) {
    parser_.header_limit(kMaxHeaderSize);
  }

  void Start() {
    SetTimeout(owner_->limits_.request_timeout);
    http::async_read_header(
        socket_, buffer_, parser_,
        [self = shared_from_this()](ErrorCode error, std::size_t) { self->OnRequest(error); });
  }

  // Closes the connection without telling the owner, which has removed this session or is being destroyed.
  // The pending timer keeps the session alive until it expires and then does nothing.
  void Detach() {
    owner_ = nullptr;
    ErrorCode ignored;
    socket_.close(ignored);
  }

  std::list<SessionPtr>::iterator position;  // in the owner's list

 private:
  // Closes the connection after this time; replaces an earlier timeout.
  void SetTimeout(Micros time) {
    timer_.expires_after(std::chrono::microseconds(time));
    timer_.async_wait([self = shared_from_this()](ErrorCode stopped) {
      if (!stopped) self->Close();
    });
  }

  void Close() {
    if (owner_ == nullptr) return;
    owner_->sessions_.erase(position);
    Detach();
  }

  void OnRequest(ErrorCode error) {
    if (owner_ == nullptr) return;
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
      return SendReply(TextReply(http::status::request_header_fields_too_large, "the call is too long\n"));
    if (error == http::error::end_of_stream) return Close();
    const bool parsed = !error;
    if (!parsed && error.category() != make_error_code(http::error::bad_target).category()) return Close();
    const auto& request = parser_.get();
    if (!parsed || !HasUnambiguousFraming(request))
      return SendReply(TextReply(http::status::bad_request, "malformed call\n"));
    head_only_ = request.method() == http::verb::head;
    SendReply(owner_->Dispatch(request.method(), ToStringView(request.target())));
  }

  void SendReply(const Reply& reply) {
    response_ = "HTTP/1.1 " + std::to_string(static_cast<unsigned>(reply.status)) + " " +
                std::string(http::obsolete_reason(reply.status)) + "\r\nContent-Type: " + reply.content_type +
                "\r\nContent-Length: " + std::to_string(reply.body.size()) +
                "\r\nCache-Control: no-store\r\nConnection: close\r\n" +
                (reply.allow == nullptr ? "" : std::string("Allow: ") + reply.allow + "\r\n") + "\r\n";
    if (!head_only_) response_ += reply.body;
    SetTimeout(owner_->limits_.linger_timeout);
    asio::async_write(socket_, asio::buffer(response_),
                      [self = shared_from_this()](ErrorCode error, std::size_t) { self->OnWritten(error); });
  }

  // Shuts down the sending side and discards further input until the caller closes: closing a socket with
  // unread input resets the connection, and the caller could lose the answer.
  void OnWritten(ErrorCode error) {
    if (owner_ == nullptr) return;
    if (error) return Close();
    socket_.shutdown(Tcp::socket::shutdown_send, error);
    if (error) return Close();
    DiscardInput();
  }

  void DiscardInput() {
    buffer_.clear();
    socket_.async_read_some(buffer_.prepare(kMaxHeaderSize),
                            [self = shared_from_this()](ErrorCode error, std::size_t) {
                              if (self->owner_ == nullptr) return;
                              if (error) return self->Close();
                              self->DiscardInput();
                            });
  }

  ManagementEndpoint* owner_;  // null once the session is closed
  Tcp::socket socket_;
  asio::steady_timer timer_;
  beast::flat_buffer buffer_{2 * kMaxHeaderSize};
  http::request_parser<http::empty_body> parser_;
  std::string response_;
  bool head_only_ = false;
};

ManagementEndpoint::ManagementEndpoint(asio::io_context& io, const Tcp::endpoint& address, Limits limits,
                                       Handlers handlers)
    : io_(io),
      limits_(limits),
      handlers_(std::move(handlers)),
      acceptor_(io, address, /*reuse_addr=*/true),
      address_(acceptor_.local_endpoint()),
      accept_retry_timer_(io) {
  Accept();
}

ManagementEndpoint::~ManagementEndpoint() {
  for (const SessionPtr& session : sessions_) session->Detach();
}

void ManagementEndpoint::Accept() {
  acceptor_.async_accept(
      [this](ErrorCode error, Tcp::socket socket) { OnAccepted(error, std::move(socket)); });
}

void ManagementEndpoint::OnAccepted(ErrorCode error, Tcp::socket socket) {
  if (error == asio::error::operation_aborted) return;
  if (error) {
    accept_retry_timer_.expires_after(kAcceptRetryDelay);
    accept_retry_timer_.async_wait([this](ErrorCode stopped) {
      if (!stopped) Accept();
    });
    return;
  }
  if (sessions_.size() >= kMaxSessions) {
    sessions_.front()->Detach();
    sessions_.pop_front();
  }
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  session->position = sessions_.insert(sessions_.end(), session);
  session->Start();
  Accept();
}

ManagementEndpoint::Reply ManagementEndpoint::Dispatch(http::verb method, std::string_view target) const {
  const std::string_view path = target.substr(0, target.find('?'));
  // The answer to a request with another method than `allowed`; nullopt if the method is right.
  const auto reject_other_method = [&](http::verb allowed, const char* name) -> std::optional<Reply> {
    if (method == allowed) return std::nullopt;
    Reply reply = TextReply(http::status::method_not_allowed, "another method\n");
    reply.allow = name;
    return reply;
  };
  if (path == kReadinessPath) {
    if (const auto rejection = reject_other_method(http::verb::get, "GET")) return *rejection;
    return handlers_.ready() ? TextReply(http::status::ok, "ready\n")
                             : TextReply(http::status::service_unavailable, "not ready\n");
  }
  if (path == kStatsPath) {
    if (const auto rejection = reject_other_method(http::verb::get, "GET")) return *rejection;
    return {http::status::ok, handlers_.stats(), "application/json"};
  }
  for (const std::string_view prefix : {kDownPath, kUpPath}) {
    if (path.substr(0, prefix.size()) != prefix) continue;
    if (const auto rejection = reject_other_method(http::verb::post, "POST")) return *rejection;
    const auto server = PercentDecode(path.substr(prefix.size()));
    if (!server || server->empty()) return TextReply(http::status::bad_request, "no server named\n");
    return handlers_.set_admin_down(*server, prefix == kDownPath);
  }
  return TextReply(http::status::not_found, "unknown call\n");
}

}  // namespace merlinrun::net
