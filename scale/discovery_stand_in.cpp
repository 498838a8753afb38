#include "discovery_stand_in.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <string_view>

namespace merlinrun::scale {
namespace {

namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

constexpr int kBacklog = 4096;
constexpr std::size_t kSlots = 20;         // the blank lines of an interval leave at so many times
constexpr std::size_t kMostPending = 512;  // frames; a watch that reads more slowly than that is reset
constexpr std::string_view kPath = "/v1/endpoints";

std::chrono::microseconds Time(Micros time) { return std::chrono::microseconds(time); }

// The value of a parameter of the query; empty if it has none.
std::string_view Parameter(std::string_view target, std::string_view name) {
  std::size_t at = target.find('?');
  while (at != std::string_view::npos) {
    target.remove_prefix(at + 1);
    at = target.find('&');
    const std::string_view pair = target.substr(0, at);
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name && equals != std::string_view::npos) return pair.substr(equals + 1);
  }
  return {};
}

}  // namespace

// One connection carries one call. Its owner holds it until it ends.
class DiscoveryStandIn::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(DiscoveryStandIn& owner, std::size_t region, Tcp::socket socket)
      : owner_(&owner), region_(region), socket_(std::move(socket)) {
    ErrorCode ignored;
    socket_.non_blocking(true, ignored);
    socket_.set_option(Tcp::no_delay(true), ignored);
  }

  void Read() {
    inbox_ = std::make_unique<Inbox>();
    http::async_read(socket_, inbox_->buffer, inbox_->parser,
                     [self = shared_from_this()](ErrorCode error, std::size_t n) {
                       if (self->owner_ == nullptr) return;
                       self->owner_->counts_.bytes_in += n;
                       if (error) return self->Close();
                       const std::string target(self->inbox_->parser.get().target());
                       self->inbox_.reset();  // a watch is long and keeps no more than it needs
                       self->WaitForEnd();
                       self->owner_->OnCall(self, target);
                     });
  }

  // Whole or, if the reader is slow, as it reads.
  void Write(const FramePtr& frame) {
    if (muted_ || broken_ || owner_ == nullptr) return;
    Counts& counts = owner_->counts_;
    counts.objects += frame->objects;
    counts.whole_lists += frame->whole_lists;
    counts.entries += frame->entries;
    counts.blank_lines += frame->blank_lines;
    pending_.push_back(frame);
    if (pending_.size() == 1) return Flush();
    if (pending_.size() > kMostPending) Break();
  }

  void WriteLast(const FramePtr& frame) {
    last_ = true;
    Write(frame);
  }

  void OpenWatch(std::size_t slot, const FramePtr& first) {
    slot_ = slot;
    owner_->slots_[slot].insert(this);
    ++owner_->counts_.watches;
    Write(first);
  }

  void Mute() {
    muted_ = true;
    pending_.clear();
  }
  bool muted() const { return muted_; }

  void Reset() {
    Leave();
    ErrorCode ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
  }

 private:
  struct Inbox {
    boost::beast::flat_buffer buffer{net::kMostHeader};
    http::request_parser<http::empty_body> parser;
  };

  void Flush() {
    while (!pending_.empty()) {
      const std::string& text = pending_.front()->text;
      ErrorCode error;
      const std::size_t n =
          socket_.write_some(asio::buffer(text.data() + written_, text.size() - written_), error);
      if (error == asio::error::would_block) return FlushLater();
      if (error) return Break();
      owner_->counts_.bytes_out += n;
      written_ += n;
      if (written_ < text.size()) continue;
      written_ = 0;
      pending_.erase(pending_.begin());
    }
    ErrorCode ignored;
    if (last_) socket_.shutdown(Tcp::socket::shutdown_send, ignored);
  }

  void FlushLater() {
    socket_.async_wait(Tcp::socket::wait_write, [self = shared_from_this()](ErrorCode error) {
      if (!error && self->owner_ != nullptr) self->Flush();
    });
  }

  // Later, as whoever writes may be going through the watches.
  void Break() {
    if (std::exchange(broken_, true)) return;
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->Close(); });
  }

  void WaitForEnd() {
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
      if (self->owner_ == nullptr) return;
      std::array<char, 512> input;
      const std::size_t n = error ? 0 : self->socket_.read_some(asio::buffer(input), error);
      if (error && error != asio::error::would_block) return self->Close();
      self->owner_->counts_.bytes_in += n;
      self->WaitForEnd();
    });
  }

  void Close() {
    if (owner_ == nullptr) return;
    const auto self = shared_from_this();
    Region& region = owner_->regions_[region_];
    Leave();
    ErrorCode ignored;
    socket_.close(ignored);
    region.connections.erase(self);
  }

  void Leave() {
    if (owner_ == nullptr) return;
    if (slot_) {
      owner_->slots_[*slot_].erase(this);
      --owner_->counts_.watches;
    }
    owner_ = nullptr;
  }

  DiscoveryStandIn* owner_;  // null once it has ended
  const std::size_t region_;
  Tcp::socket socket_;
  std::unique_ptr<Inbox> inbox_;
  std::vector<FramePtr> pending_;
  std::size_t written_ = 0;  // of the first that is pending
  std::optional<std::size_t> slot_;
  bool muted_ = false;
  bool broken_ = false;
  bool last_ = false;  // what is pending is all that will come
};

DiscoveryStandIn::DiscoveryStandIn(asio::io_context& io, std::vector<Tcp::endpoint> listen, Options options)
    : io_(io),
      options_(options),
      addresses_(std::move(listen)),
      list_(options.history),
      slots_(kSlots),
      service_(io),
      longest_wait_(io),
      blank_timer_(io, Clock::now()) {
  for (std::size_t i = 0; i < addresses_.size(); ++i) {
    regions_.emplace_back(io);
    Listen(i);
  }
  for (std::size_t i = 0; i < addresses_.size(); ++i) Accept(i);
  TickBlankLines();
}

DiscoveryStandIn::~DiscoveryStandIn() { CloseAll(); }

// ---- The list ----

void DiscoveryStandIn::SetList(const std::vector<Entry>& list) { Tell(list_.Set(list)); }

std::int64_t DiscoveryStandIn::Change(const std::vector<Entry>& entries) {
  Tell(list_.Change(entries));
  return list_.generation();
}

void DiscoveryStandIn::Tell(const FramePtr& frame) {
  for (const auto& slot : slots_)
    for (Connection* const watch : slot) watch->Write(frame);
}

// ---- Calls ----

void DiscoveryStandIn::OnCall(const ConnectionPtr& from, const std::string& target) {
  const auto now = Clock::now();
  ++counts_.calls;
  const auto second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
  if (std::exchange(second_, second) != second) calls_in_second_ = 0;
  counts_.most_calls_in_a_second = std::max(counts_.most_calls_in_a_second, ++calls_in_second_);
  if (from->muted()) return;
  if (target.substr(0, target.find('?')) != kPath) {
    return from->WriteLast(
        TextFrame("HTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"));
  }
  Call call;
  call.from = from;
  call.watch = Parameter(target, "stream") == "1";
  const std::string_view index = Parameter(target, "index");
  std::from_chars(index.data(), index.data() + index.size(), call.index);
  call.until = now + Time(options_.longest_wait);
  if (queue_.size() >= options_.queue && serving_) return Refuse(call);
  queue_.push_back(std::move(call));
  ServeNext();
}

void DiscoveryStandIn::Refuse(const Call& call) {
  const auto from = call.from.lock();
  if (from == nullptr) return;
  ++counts_.refused;
  from->WriteLast(
      TextFrame("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"));
}

std::size_t DiscoveryStandIn::Lines(const Call& call) const {
  return call.watch ? list_.LinesAfter(call.index) : list_.size();
}

void DiscoveryStandIn::ServeNext() {
  const bool idle = !serving_;
  while (!serving_ && !queue_.empty()) {
    const Call call = std::move(queue_.front());
    queue_.pop_front();
    const auto from = call.from.lock();
    if (from == nullptr || from->muted()) continue;
    const Micros cost =
        options_.service_time + options_.service_time_per_line * static_cast<Micros>(Lines(call));
    if (cost <= 0) {
      Serve(call);
      continue;
    }
    // A timer that fires late does not slow it down: the next call begins where this one ought to have ended.
    free_at_ = (idle ? std::max(free_at_, Clock::now()) : free_at_) + Time(cost);
    serving_ = call;
    service_.expires_at(free_at_);
    service_.async_wait([this, life = std::weak_ptr(life_)](ErrorCode error) {
      if (error || life.expired()) return;
      Serve(*std::exchange(serving_, std::nullopt));
      ServeNext();
    });
  }
  ExpectLongestWait();
}

void DiscoveryStandIn::Serve(const Call& call) {
  const auto from = call.from.lock();
  if (from == nullptr) return;
  if (!call.watch) return from->WriteLast(list_.WholeAnswer());
  from->OpenWatch(slot_, list_.WatchAnswer(call.index));
}

void DiscoveryStandIn::ExpectLongestWait() {
  if (queue_.empty()) return;
  longest_wait_.expires_at(queue_.front().until);  // those behind it came later
  longest_wait_.async_wait([this, life = std::weak_ptr(life_)](ErrorCode error) {
    if (error || life.expired()) return;
    while (!queue_.empty() && queue_.front().until <= Clock::now()) {
      Refuse(queue_.front());
      queue_.pop_front();
    }
    ExpectLongestWait();
  });
}

// Each watch gets its blank line once in an interval. They are spread over it by when watches were opened.
void DiscoveryStandIn::TickBlankLines() {
  blank_timer_.expires_at(blank_timer_.expiry() + Time(options_.blank_line) / kSlots);
  blank_timer_.async_wait([this, life = std::weak_ptr(life_)](ErrorCode error) {
    if (error || life.expired()) return;
    slot_ = (slot_ + 1) % kSlots;
    for (Connection* const watch : slots_[slot_]) watch->Write(blank_);
    TickBlankLines();
  });
}

// ---- What befalls it ----

void DiscoveryStandIn::Listen(std::size_t region) {
  Tcp::acceptor& acceptor = regions_[region].acceptor;
  acceptor.open(addresses_[region].protocol());
  acceptor.set_option(Tcp::acceptor::reuse_address(true));
  acceptor.bind(addresses_[region]);
  acceptor.listen(kBacklog);
  addresses_[region] = acceptor.local_endpoint();
}

void DiscoveryStandIn::Accept(std::size_t region) {
  regions_[region].acceptor.async_accept(
      [this, region, life = std::weak_ptr(life_)](ErrorCode error, Tcp::socket socket) {
        if (error == asio::error::operation_aborted || life.expired()) return;
        if (!error) {
          ++counts_.connections;
          const auto connection = std::make_shared<Connection>(*this, region, std::move(socket));
          if (silent_ || regions_[region].cut) connection->Mute();
          regions_[region].connections.insert(connection);
          connection->Read();
        }
        if (!regions_[region].cut) Accept(region);
      });
}

void DiscoveryStandIn::CloseAll() {
  life_ = std::make_shared<const char>();
  queue_.clear();
  serving_.reset();
  service_.cancel();
  longest_wait_.cancel();
  blank_timer_.cancel();
  for (Region& region : regions_) {
    ErrorCode ignored;
    region.acceptor.close(ignored);
    region.fillers.clear();
    for (const ConnectionPtr& connection : region.connections) connection->Reset();
    region.connections.clear();
  }
}

void DiscoveryStandIn::Die() {
  down_ = true;
  CloseAll();
}

void DiscoveryStandIn::Return(bool anew) {
  if (!std::exchange(down_, false)) return;
  blank_timer_.expires_at(Clock::now());
  TickBlankLines();
  if (anew) list_.BeginAnew();
  for (std::size_t i = 0; i < regions_.size(); ++i) {
    regions_[i].cut = false;
    Listen(i);
    Accept(i);
  }
}

void DiscoveryStandIn::SetSilent(bool silent) {
  silent_ = silent;
  if (!silent) return;
  for (Region& region : regions_)
    for (const ConnectionPtr& connection : region.connections) connection->Mute();
}

// A listener whose backlog is full drops what asks for a connection, as a network does that is cut: a closed
// one would refuse it. The fillers are connections to itself that nobody accepts.
void DiscoveryStandIn::Cut(std::size_t number, bool cut) {
  Region& region = regions_.at(number);
  if (down_ || std::exchange(region.cut, cut) == cut) return;
  ErrorCode ignored;
  if (cut) {
    for (const ConnectionPtr& connection : region.connections) connection->Mute();
    region.acceptor.cancel(ignored);
    ::listen(region.acceptor.native_handle(), 0);
    Tcp::socket filler(io_);
    filler.open(addresses_[number].protocol());
    filler.non_blocking(true);
    filler.connect(addresses_[number], ignored);  // at once, or as the first when there is room
    region.fillers.push_back(std::move(filler));
    return;
  }
  region.fillers.clear();
  region.acceptor.non_blocking(true);
  // What came up in the moment of the cut is reset, and the fillers with it.
  for (ErrorCode none; !none;) {
    Tcp::socket stray(io_);
    region.acceptor.accept(stray, none);
    if (!none) stray.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  ::listen(region.acceptor.native_handle(), kBacklog);
  Accept(number);
}

}  // namespace merlinrun::scale
