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

constexpr std::size_t kMostCall = std::size_t{4} * 1024;
// How long accepting rests when descriptors have run out: guards against a loop that spins on EMFILE.
constexpr auto kAcceptPause = std::chrono::milliseconds(50);

constexpr std::string_view kReadinessPath = "/ops/readiness";
constexpr std::string_view kStatsPath = "/ops/stats";
constexpr std::string_view kDownPath = "/ops/servers/down/";
constexpr std::string_view kUpPath = "/ops/servers/up/";

int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

Management::Reply Say(http::status status, const char* text) { return {status, text}; }

}  // namespace

std::optional<std::string> PercentDecoded(std::string_view text) {
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

class Management::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Management& owner, Tcp::socket socket)
      : owner_(&owner), socket_(std::move(socket)), timer_(owner.io_) {
    parser_.header_limit(kMostCall);
  }

  void Start() {
    Limit(owner_->limits_.head);
    http::async_read_header(
        socket_, buffer_, parser_,
        [self = shared_from_this()](ErrorCode error, std::size_t) { self->OnCall(error); });
  }

  // Closes without a word to the owner: it has let go of this one. Its timer finds that when it runs out.
  void Abandon() {
    owner_ = nullptr;
    ErrorCode ignored;
    socket_.close(ignored);
  }

  std::list<SessionPtr>::iterator place;

 private:
  void Limit(Micros time) {
    timer_.expires_after(std::chrono::microseconds(time));
    timer_.async_wait([self = shared_from_this()](ErrorCode stopped) {
      if (!stopped) self->Close();
    });
  }

  void Close() {
    if (owner_ == nullptr) return;
    owner_->sessions_.erase(place);
    Abandon();
  }

  void OnCall(ErrorCode error) {
    if (owner_ == nullptr) return;
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
      return Write(Say(http::status::request_header_fields_too_large, "the call is too long\n"));
    if (error == http::error::end_of_stream) return Close();
    const bool parsed = !error;
    if (!parsed && error.category() != make_error_code(http::error::bad_target).category()) return Close();
    const auto& call = parser_.get();
    if (!parsed || !HasClearFraming(call)) return Write(Say(http::status::bad_request, "malformed call\n"));
    head_only_ = call.method() == http::verb::head;
    Write(owner_->Answer(call.method(), View(call.target())));
  }

  void Write(const Reply& reply) {
    text_ = "HTTP/1.1 " + std::to_string(static_cast<unsigned>(reply.status)) + " " +
            std::string(http::obsolete_reason(reply.status)) + "\r\nContent-Type: " + reply.type +
            "\r\nContent-Length: " + std::to_string(reply.body.size()) +
            "\r\nCache-Control: no-store\r\nConnection: close\r\n" +
            (reply.allow == nullptr ? "" : std::string("Allow: ") + reply.allow + "\r\n") + "\r\n";
    if (!head_only_) text_ += reply.body;
    Limit(owner_->limits_.linger);
    asio::async_write(socket_, asio::buffer(text_),
                      [self = shared_from_this()](ErrorCode error, std::size_t) { self->OnWritten(error); });
  }

  // Closing with input unread would reset the connection and might lose the answer.
  void OnWritten(ErrorCode error) {
    if (owner_ == nullptr) return;
    if (error) return Close();
    socket_.shutdown(Tcp::socket::shutdown_send, error);
    if (error) return Close();
    Discard();
  }

  void Discard() {
    buffer_.clear();
    socket_.async_read_some(buffer_.prepare(kMostCall),
                            [self = shared_from_this()](ErrorCode error, std::size_t) {
                              if (self->owner_ == nullptr) return;
                              if (error) return self->Close();
                              self->Discard();
                            });
  }

  Management* owner_;  // null once it is over
  Tcp::socket socket_;
  asio::steady_timer timer_;
  beast::flat_buffer buffer_{2 * kMostCall};
  http::request_parser<http::empty_body> parser_;
  std::string text_;
  bool head_only_ = false;
};

Management::Management(asio::io_context& io, const Tcp::endpoint& address, Limits limits, Calls calls)
    : io_(io),
      limits_(limits),
      calls_(std::move(calls)),
      acceptor_(io, address, /*reuse_addr=*/true),
      address_(acceptor_.local_endpoint()),
      pause_(io) {
  Accept();
}

Management::~Management() {
  for (const SessionPtr& session : sessions_) session->Abandon();
}

void Management::Accept() {
  acceptor_.async_accept(
      [this](ErrorCode error, Tcp::socket socket) { OnAccepted(error, std::move(socket)); });
}

void Management::OnAccepted(ErrorCode error, Tcp::socket socket) {
  if (error == asio::error::operation_aborted) return;
  if (error) {
    pause_.expires_after(kAcceptPause);
    pause_.async_wait([this](ErrorCode stopped) {
      if (!stopped) Accept();
    });
    return;
  }
  if (sessions_.size() >= kMostSessions) {
    sessions_.front()->Abandon();
    sessions_.pop_front();
  }
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  session->place = sessions_.insert(sessions_.end(), session);
  session->Start();
  Accept();
}

Management::Reply Management::Answer(http::verb method, std::string_view target) const {
  const std::string_view path = target.substr(0, target.find('?'));
  const auto takes = [&](http::verb wanted, const char* name) -> std::optional<Reply> {
    if (method == wanted) return std::nullopt;
    Reply reply = Say(http::status::method_not_allowed, "another method\n");
    reply.allow = name;
    return reply;
  };
  if (path == kReadinessPath) {
    if (const auto wrong = takes(http::verb::get, "GET")) return *wrong;
    return calls_.ready() ? Say(http::status::ok, "ready\n")
                          : Say(http::status::service_unavailable, "not ready\n");
  }
  if (path == kStatsPath) {
    if (const auto wrong = takes(http::verb::get, "GET")) return *wrong;
    return {http::status::ok, calls_.stats(), "application/json"};
  }
  for (const std::string_view prefix : {kDownPath, kUpPath}) {
    if (path.substr(0, prefix.size()) != prefix) continue;
    if (const auto wrong = takes(http::verb::post, "POST")) return *wrong;
    const auto server = PercentDecoded(path.substr(prefix.size()));
    if (!server || server->empty()) return Say(http::status::bad_request, "no server named\n");
    return calls_.ban(*server, prefix == kDownPath);
  }
  return Say(http::status::not_found, "unknown call\n");
}

}  // namespace merlinrun::net
