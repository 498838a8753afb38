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

constexpr auto kBetweenAsks = std::chrono::milliseconds(25);  // some hundred doors share the machine
constexpr auto kLongestAnswer = std::chrono::seconds(1);

}  // namespace

// One call to a connection, as the door has it.
class KnownServersWatch::Door : public std::enable_shared_from_this<Door> {
 public:
  Door(asio::io_context& io, net::Tcp::endpoint address, std::size_t awaited, std::function<void()> told)
      : io_(io), address_(std::move(address)), awaited_(awaited), told_(std::move(told)), pause_(io) {
    request_.method(http::verb::get);
    request_.target("/ops/stats");
    request_.set(http::field::host, "ops");
  }

  void Ask() {
    if (told_ == nullptr) return;
    buffer_.clear();
    response_ = {};
    stream_.emplace(io_);
    stream_->expires_after(kLongestAnswer);
    stream_->async_connect(address_, [self = shared_from_this()](ErrorCode error) {
      if (error) return self->Pause();
      http::async_write(*self->stream_, self->request_, [self](ErrorCode failed, std::size_t) {
        if (failed) return self->Pause();
        self->Read();
      });
    });
  }
  void Close() {
    told_ = nullptr;
    if (stream_) stream_->close();
    pause_.cancel();
  }

 private:
  void Read() {
    http::async_read(*stream_, buffer_, response_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (error || self->told_ == nullptr || !self->Tells()) return self->Pause();
      std::exchange(self->told_, nullptr)();
    });
  }
  bool Tells() const {
    const auto figures = nlohmann::json::parse(response_.body(), nullptr, /*allow_exceptions=*/false);
    return figures.is_object() && figures.value("known_servers", std::size_t{0}) == awaited_;
  }
  void Pause() {
    if (told_ == nullptr) return;
    stream_->close();
    pause_.expires_after(kBetweenAsks);
    pause_.async_wait([self = shared_from_this()](ErrorCode stopped) {
      if (!stopped) self->Ask();
    });
  }

  asio::io_context& io_;
  const net::Tcp::endpoint address_;
  const std::size_t awaited_;
  std::function<void()> told_;  // null once it was called, or is to be called no more
  asio::steady_timer pause_;
  std::optional<beast::tcp_stream> stream_;
  beast::flat_buffer buffer_;
  http::request<http::empty_body> request_;
  http::response<http::string_body> response_;
};

KnownServersWatch::KnownServersWatch(asio::io_context& io, const std::vector<net::Tcp::endpoint>& doors,
                                     std::size_t awaited, const std::function<void()>& told) {
  for (const net::Tcp::endpoint& address : doors) {
    doors_.push_back(std::make_shared<Door>(io, address, awaited, told));
    doors_.back()->Ask();
  }
}

KnownServersWatch::~KnownServersWatch() {
  try {
    for (const auto& door : doors_) door->Close();
  } catch (const std::exception& error) {  // a timer that cannot be cancelled: its handler asks no more
    std::fprintf(stderr, "doors of sidecars: %s\n", error.what());
  }
}

}  // namespace merlinrun::scale
