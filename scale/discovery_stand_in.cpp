#include "discovery_stand_in.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <string_view>

#include "discovery_connection.hpp"

namespace merlinrun::scale {
namespace {

using ErrorCode = boost::system::error_code;

constexpr int kBacklog = 4096;
constexpr std::size_t kSlots = 20;  // the blank lines of an interval leave at so many times
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

DiscoveryStandIn::~DiscoveryStandIn() { ResetConnections(); }

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

void DiscoveryStandIn::ResetConnections() {
  for (Region& region : regions_) {
    for (const ConnectionPtr& connection : region.connections) connection->Reset();
    region.connections.clear();
  }
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
  }
  ResetConnections();
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
