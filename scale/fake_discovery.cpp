#include "fake_discovery.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <string_view>

#include "fake_discovery_connection.hpp"

namespace merlinrun::scale {
namespace {

using ErrorCode = boost::system::error_code;

constexpr int kBacklog = 4096;
constexpr std::size_t kHeartbeatSlots = 20;  // heartbeats are sent at this many times in an interval
constexpr std::string_view kEndpointsPath = "/v1/endpoints";

std::chrono::microseconds Microseconds(Micros time) { return std::chrono::microseconds(time); }

// Returns the value of a query parameter; empty if there is none.
std::string_view QueryParameter(std::string_view target, std::string_view name) {
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

FakeDiscovery::FakeDiscovery(asio::io_context& io, std::vector<Tcp::endpoint> listen, Options options)
    : io_(io),
      options_(options),
      addresses_(std::move(listen)),
      list_(options.history),
      heartbeat_slots_(kHeartbeatSlots),
      service_timer_(io),
      queue_timer_(io),
      heartbeat_timer_(io, Clock::now()) {
  for (std::size_t i = 0; i < addresses_.size(); ++i) {
    regions_.emplace_back(io);
    Listen(i);
  }
  for (std::size_t i = 0; i < addresses_.size(); ++i) Accept(i);
  ScheduleHeartbeats();
}

FakeDiscovery::~FakeDiscovery() { ResetConnections(); }

// ---- The list ----

void FakeDiscovery::SetList(const std::vector<Entry>& list) { SendToWatches(list_.Set(list)); }

std::int64_t FakeDiscovery::Change(const std::vector<Entry>& entries) {
  SendToWatches(list_.Change(entries));
  return list_.generation();
}

void FakeDiscovery::SendToWatches(const FramePtr& frame) {
  for (const auto& slot : heartbeat_slots_)
    for (Connection* const watch : slot) watch->Write(frame);
}

// ---- Calls ----

void FakeDiscovery::OnCall(const ConnectionPtr& from, const std::string& target) {
  const auto now = Clock::now();
  ++counts_.calls;
  const auto second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
  if (std::exchange(current_second_, second) != second) calls_in_second_ = 0;
  counts_.max_calls_in_a_second = std::max(counts_.max_calls_in_a_second, ++calls_in_second_);
  if (from->silent()) return;
  if (target.substr(0, target.find('?')) != kEndpointsPath) {
    return from->WriteLast(
        TextFrame("HTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"));
  }
  Call call;
  call.from = from;
  call.watch = QueryParameter(target, "stream") == "1";
  const std::string_view index = QueryParameter(target, "index");
  std::from_chars(index.data(), index.data() + index.size(), call.index);
  call.deadline = now + Microseconds(options_.max_wait);
  if (queue_.size() >= options_.queue && serving_) return Refuse(call);
  queue_.push_back(std::move(call));
  ServeNext();
}

void FakeDiscovery::Refuse(const Call& call) {
  const auto from = call.from.lock();
  if (from == nullptr) return;
  ++counts_.refused;
  from->WriteLast(
      TextFrame("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"));
}

std::size_t FakeDiscovery::EntryCount(const Call& call) const {
  return call.watch ? list_.EntriesAfter(call.index) : list_.size();
}

void FakeDiscovery::ServeNext() {
  const bool idle = !serving_;
  while (!serving_ && !queue_.empty()) {
    const Call call = std::move(queue_.front());
    queue_.pop_front();
    const auto from = call.from.lock();
    if (from == nullptr || from->silent()) continue;
    const Micros cost =
        options_.service_time + options_.service_time_per_entry * static_cast<Micros>(EntryCount(call));
    if (cost <= 0) {
      Serve(call);
      continue;
    }
    // The next call starts when this one should have ended, so that late timers do not reduce the throughput.
    service_ends_at_ =
        (idle ? std::max(service_ends_at_, Clock::now()) : service_ends_at_) + Microseconds(cost);
    serving_ = call;
    service_timer_.expires_at(service_ends_at_);
    service_timer_.async_wait([this, lifetime = std::weak_ptr(lifetime_)](ErrorCode error) {
      if (error || lifetime.expired()) return;
      Serve(*std::exchange(serving_, std::nullopt));
      ServeNext();
    });
  }
  ScheduleQueueTimeout();
}

void FakeDiscovery::Serve(const Call& call) {
  const auto from = call.from.lock();
  if (from == nullptr) return;
  if (!call.watch) return from->WriteLast(list_.FullListResponse());
  from->OpenWatch(current_slot_, list_.WatchResponse(call.index));
}

void FakeDiscovery::ScheduleQueueTimeout() {
  if (queue_.empty()) return;
  queue_timer_.expires_at(queue_.front().deadline);  // the ones behind it have later deadlines
  queue_timer_.async_wait([this, lifetime = std::weak_ptr(lifetime_)](ErrorCode error) {
    if (error || lifetime.expired()) return;
    while (!queue_.empty() && queue_.front().deadline <= Clock::now()) {
      Refuse(queue_.front());
      queue_.pop_front();
    }
    ScheduleQueueTimeout();
  });
}

// Each watch gets one heartbeat per interval, in the slot in which the watch was opened.
void FakeDiscovery::ScheduleHeartbeats() {
  heartbeat_timer_.expires_at(heartbeat_timer_.expiry() +
                              Microseconds(options_.heartbeat_interval) / kHeartbeatSlots);
  heartbeat_timer_.async_wait([this, lifetime = std::weak_ptr(lifetime_)](ErrorCode error) {
    if (error || lifetime.expired()) return;
    current_slot_ = (current_slot_ + 1) % kHeartbeatSlots;
    for (Connection* const watch : heartbeat_slots_[current_slot_]) watch->Write(heartbeat_);
    ScheduleHeartbeats();
  });
}

// ---- Failures ----

void FakeDiscovery::Listen(std::size_t region) {
  Tcp::acceptor& acceptor = regions_[region].acceptor;
  acceptor.open(addresses_[region].protocol());
  acceptor.set_option(Tcp::acceptor::reuse_address(true));
  acceptor.bind(addresses_[region]);
  acceptor.listen(kBacklog);
  addresses_[region] = acceptor.local_endpoint();
}

void FakeDiscovery::Accept(std::size_t region) {
  regions_[region].acceptor.async_accept(
      [this, region, lifetime = std::weak_ptr(lifetime_)](ErrorCode error, Tcp::socket socket) {
        if (error == asio::error::operation_aborted || lifetime.expired()) return;
        if (!error) {
          ++counts_.connections;
          const auto connection = std::make_shared<Connection>(*this, region, std::move(socket));
          if (silent_ || regions_[region].partitioned) connection->Silence();
          regions_[region].connections.insert(connection);
          connection->Read();
        }
        if (!regions_[region].partitioned) Accept(region);
      });
}

void FakeDiscovery::ResetConnections() {
  for (Region& region : regions_) {
    for (const ConnectionPtr& connection : region.connections) connection->Reset();
    region.connections.clear();
  }
}

void FakeDiscovery::CloseAll() {
  lifetime_ = std::make_shared<const char>();
  queue_.clear();
  serving_.reset();
  service_timer_.cancel();
  queue_timer_.cancel();
  heartbeat_timer_.cancel();
  for (Region& region : regions_) {
    ErrorCode ignored;
    region.acceptor.close(ignored);
    region.fillers.clear();
  }
  ResetConnections();
}

void FakeDiscovery::Crash() {
  down_ = true;
  CloseAll();
}

void FakeDiscovery::Restart(bool reset_generations) {
  if (!std::exchange(down_, false)) return;
  heartbeat_timer_.expires_at(Clock::now());
  ScheduleHeartbeats();
  if (reset_generations) list_.ResetGenerations();
  for (std::size_t i = 0; i < regions_.size(); ++i) {
    regions_[i].partitioned = false;
    Listen(i);
    Accept(i);
  }
}

void FakeDiscovery::SetSilent(bool silent) {
  silent_ = silent;
  if (!silent) return;
  for (Region& region : regions_)
    for (const ConnectionPtr& connection : region.connections) connection->Silence();
}

// A listener whose backlog is full drops connection attempts, as a network partition does; a closed listener
// would refuse them. The fillers are connections to the own listener that are never accepted.
void FakeDiscovery::SetPartitioned(std::size_t region_number, bool partitioned) {
  Region& region = regions_.at(region_number);
  if (down_ || std::exchange(region.partitioned, partitioned) == partitioned) return;
  ErrorCode ignored;
  if (partitioned) {
    for (const ConnectionPtr& connection : region.connections) connection->Silence();
    region.acceptor.cancel(ignored);
    ::listen(region.acceptor.native_handle(), 0);
    Tcp::socket filler(io_);
    filler.open(addresses_[region_number].protocol());
    filler.non_blocking(true);
    filler.connect(addresses_[region_number], ignored);  // at once, or first when the backlog has space
    region.fillers.push_back(std::move(filler));
    return;
  }
  region.fillers.clear();
  region.acceptor.non_blocking(true);
  // Connections established just before the partition are reset, as are the fillers.
  for (ErrorCode error; !error;) {
    Tcp::socket stray(io_);
    region.acceptor.accept(stray, error);
    if (!error) stray.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  ::listen(region.acceptor.native_handle(), kBacklog);
  Accept(region_number);
}

}  // namespace merlinrun::scale
