#include "known_servers.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <cstdio>
#include <exception>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace merlinrun::scale {
namespace {

namespace asio = net::asio;
namespace beast = net::beast;
namespace http = net::http;
using net::ErrorCode;

// Several hundred sidecars may share the machine.
constexpr auto kPollInterval = std::chrono::milliseconds(25);
constexpr auto kResponseTimeout = std::chrono::seconds(1);

}  // namespace

// Polls one endpoint with a connection per request, as the endpoint serves only one request per connection.
class KnownServersPoller::EndpointPoller : public std::enable_shared_from_this<EndpointPoller> {
 public:
  EndpointPoller(asio::io_context& io, net::Tcp::endpoint address, std::size_t expected,
                 std::function<void()> on_reached)
      : io_(io),
        address_(std::move(address)),
        expected_(expected),
        on_reached_(std::move(on_reached)),
        pause_timer_(io) {
    request_.method(http::verb::get);
    request_.target("/ops/stats");
    request_.set(http::field::host, "ops");
  }

  void Poll() {
    if (on_reached_ == nullptr) return;
    buffer_.clear();
    response_ = {};
    stream_.emplace(io_);
    stream_->expires_after(kResponseTimeout);
    stream_->async_connect(address_, [self = shared_from_this()](ErrorCode error) {
      if (error) return self->PollLater();
      http::async_write(*self->stream_, self->request_, [self](ErrorCode failed, std::size_t) {
        if (failed) return self->PollLater();
        self->Read();
      });
    });
  }
  void Close() {
    on_reached_ = nullptr;
    if (stream_) stream_->close();
    pause_timer_.cancel();
  }

 private:
  void Read() {
    http::async_read(*stream_, buffer_, response_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (error || self->on_reached_ == nullptr || !self->HasExpectedCount()) return self->PollLater();
      std::exchange(self->on_reached_, nullptr)();
    });
  }
  bool HasExpectedCount() const {
    const auto figures = nlohmann::json::parse(response_.body(), nullptr, /*allow_exceptions=*/false);
    return figures.is_object() && figures.value("known_servers", std::size_t{0}) == expected_;
  }
  void PollLater() {
    if (on_reached_ == nullptr) return;
    stream_->close();
    pause_timer_.expires_after(kPollInterval);
    pause_timer_.async_wait([self = shared_from_this()](ErrorCode stopped) {
      if (!stopped) self->Poll();
    });
  }

  asio::io_context& io_;
  const net::Tcp::endpoint address_;
  const std::size_t expected_;
  std::function<void()> on_reached_;  // null once called or closed
  asio::steady_timer pause_timer_;
  std::optional<beast::tcp_stream> stream_;
  beast::flat_buffer buffer_;
  http::request<http::empty_body> request_;
  http::response<http::string_body> response_;
};

KnownServersPoller::KnownServersPoller(asio::io_context& io, const std::vector<net::Tcp::endpoint>& endpoints,
                                       std::size_t expected, const std::function<void()>& on_reached) {
  for (const net::Tcp::endpoint& address : endpoints) {
    pollers_.push_back(std::make_shared<EndpointPoller>(io, address, expected, on_reached));
    pollers_.back()->Poll();
  }
}

KnownServersPoller::~KnownServersPoller() {
  try {
    for (const auto& poller : pollers_) poller->Close();
  } catch (const std::exception& error) {  // the timer could not be cancelled; its handler no longer polls
    std::fprintf(stderr, "management endpoints of sidecars: %s\n", error.what());
  }
}

}  // namespace merlinrun::scale
