#include "client_pool.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <stdexcept>
#include <unordered_set>
#include <utility>

namespace merlinrun::scale {

namespace asio = net::asio;
namespace beast = net::beast;
namespace http = net::http;
using net::ErrorCode;
using net::Tcp;

struct ClientPool::State {
  asio::io_context& io;
  std::vector<Tcp::endpoint> targets;
  std::vector<std::vector<std::shared_ptr<Connection>>>
      idle;  // by target, the most recently used at the back
  std::unordered_set<Connection*> connections;
  std::size_t next_target = 0;
};

class ClientPool::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(const std::shared_ptr<State>& state, std::size_t target)
      : state_(state), stream_(state->io), target_(target) {
    state->connections.insert(this);
  }
  ~Connection() {
    if (const auto state = state_.lock()) state->connections.erase(this);
  }

  void Send(HttpRequest request, Clock::time_point give_up_at, Handler handler) {
    request_ = std::move(request);
    give_up_at_ = give_up_at;
    handler_ = std::move(handler);
    stream_.expires_at(give_up_at_);
    if (connected_) {
      reused_ = true;
      Write();
    } else {
      Connect();
    }
  }
  void Close() {
    handler_ = nullptr;
    stream_.close();
  }

 private:
  void Connect() {
    const auto state = state_.lock();
    if (!state) return;
    stream_.async_connect(state->targets[target_], [self = shared_from_this()](ErrorCode error) {
      if (error) return self->Finish(0, false);
      ErrorCode ignored;
      self->stream_.socket().set_option(Tcp::no_delay(true), ignored);
      self->connected_ = true;
      self->Write();
    });
  }

  void Write() {
    http::async_write(stream_, request_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (error) return self->Fail(error);
      self->Read();
    });
  }

  void Read() {
    response_ = {};
    http::async_read(stream_, buffer_, response_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (error) return self->Fail(error);
      self->Finish(self->response_.result_int(), self->response_.keep_alive());
    });
  }

  void Fail(ErrorCode error) {
    const auto state = state_.lock();
    // On a reused connection this means that the request probably crossed the server's close of it.
    const bool closed_before_answer = reused_ && buffer_.size() == 0 && error != beast::error::timeout;
    if (!closed_before_answer || !state || !handler_) return Finish(0, false);
    stream_.close();
    const auto replacement = std::make_shared<Connection>(state, target_);
    replacement->Send(std::move(request_), give_up_at_, std::exchange(handler_, nullptr));
  }

  void Finish(unsigned status, bool keep_alive) {
    const auto state = state_.lock();
    if (keep_alive && state && handler_) {
      stream_.expires_never();
      state->idle[target_].push_back(shared_from_this());
    } else {
      stream_.close();
    }
    if (const Handler handler = std::exchange(handler_, nullptr)) handler(status);
  }

  std::weak_ptr<State> state_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  HttpRequest request_;
  net::HttpResponse response_;
  Clock::time_point give_up_at_;
  Handler handler_;
  std::size_t target_;
  bool connected_ = false;
  bool reused_ = false;
};

ClientPool::ClientPool(asio::io_context& io, std::vector<Tcp::endpoint> targets)
    : state_(std::make_shared<State>(State{io, std::move(targets), {}, {}, 0})) {
  if (state_->targets.empty()) throw std::invalid_argument("a client pool needs at least one target address");
  state_->idle.resize(state_->targets.size());
}

ClientPool::~ClientPool() {
  for (Connection* const connection : state_->connections) connection->Close();
}

void ClientPool::Send(HttpRequest request, Clock::time_point give_up_at, Handler handler) {
  const std::size_t target = state_->next_target;
  state_->next_target = (state_->next_target + 1) % state_->targets.size();
  auto& idle = state_->idle[target];
  std::shared_ptr<Connection> connection;
  if (idle.empty()) {
    connection = std::make_shared<Connection>(state_, target);
  } else {
    connection = std::move(idle.back());
    idle.pop_back();
  }
  connection->Send(std::move(request), give_up_at, std::move(handler));
}

std::size_t ClientPool::connections() const { return state_->connections.size(); }

}  // namespace merlinrun::scale
