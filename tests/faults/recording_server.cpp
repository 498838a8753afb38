#include "recording_server.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <utility>

#include "http_text.hpp"

namespace merlinrun::faults {
namespace {

namespace asio = net::asio;
using net::ErrorCode;

constexpr int kMaxServiceTimeMs = 25;

}  // namespace

// One connection from the sidecar; it carries one request at a time.
class RecordingServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(RecordingServer& owner, net::Tcp::socket socket)
      : owner_(&owner), socket_(std::move(socket)), timer_(socket_.get_executor()) {}

  void Read() {
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](ErrorCode error, std::size_t n) {
                              if (error || self->owner_ == nullptr) return self->Close();
                              if (self->received_.empty()) self->first_byte_ = Clock::now();
                              self->received_.append(self->chunk_.data(), n);
                              if (const auto length = CompleteMessageLength(self->received_))
                                self->OnRequest(*length);
                              self->Read();
                            });
  }
  void Close() {
    owner_ = nullptr;
    timer_.cancel();
    ErrorCode ignored;
    socket_.close(ignored);
  }
  bool open() const { return owner_ != nullptr; }

 private:
  void OnRequest(std::size_t length) {
    Arrival arrival{HeaderValue(received_, net::kIdHeader), owner_->id_, first_byte_, 0, false};
    const std::string deadline = HeaderValue(received_, net::kDeadlineHeader);
    arrival.received_deadline = deadline.empty() ? 0 : std::stod(deadline);
    arrival.declined = owner_->mode_ == Mode::kDeclining;
    owner_->arrivals_.push_back(arrival);
    received_.erase(0, length);
    if (owner_->mode_ == Mode::kHanging) return;
    if (arrival.declined) return Write("503 Service Unavailable", "", "Srv-Declined: 1\r\n");
    std::uniform_int_distribution<int> work(1, kMaxServiceTimeMs);
    timer_.expires_after(std::chrono::milliseconds(work(owner_->random_)));
    timer_.async_wait([self = shared_from_this(), id = arrival.request](ErrorCode error) {
      if (!error && self->open()) self->Write("200 OK", "answer to " + id, "");
    });
  }
  void Write(const std::string& status, const std::string& body, const std::string& headers) {
    ErrorCode ignored;
    asio::write(socket_, asio::buffer(FormatMessage("HTTP/1.1 " + status, headers, body)), ignored);
  }

  RecordingServer* owner_;  // null once the connection is closed
  net::Tcp::socket socket_;
  asio::steady_timer timer_;
  std::array<char, 4096> chunk_{};
  std::string received_;
  Clock::time_point first_byte_;
};

RecordingServer::RecordingServer(net::asio::io_context& io, std::string id, std::uint64_t seed,
                                 std::vector<Arrival>& arrivals)
    : io_(io),
      id_(std::move(id)),
      random_(seed),
      arrivals_(arrivals),
      acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0}),
      address_(acceptor_.local_endpoint()) {
  Accept();
}

RecordingServer::~RecordingServer() {
  for (const auto& connection : connections_) connection->Close();
}

void RecordingServer::SetMode(Mode mode) {
  mode_ = mode;
  if (mode != Mode::kStopped) return;
  acceptor_.close();
  for (const auto& connection : connections_) connection->Close();
}

void RecordingServer::Accept() {
  acceptor_.async_accept([this](ErrorCode error, net::Tcp::socket socket) {
    if (error) return;
    std::erase_if(connections_, [](const auto& connection) { return !connection->open(); });
    connections_.push_back(std::make_shared<Connection>(*this, std::move(socket)));
    connections_.back()->Read();
    Accept();
  });
}

}  // namespace merlinrun::faults
