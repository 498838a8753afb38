#include "relay/server.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace merlinrun::relay {

using net::ErrorCode;
using net::Tcp;

namespace {

// Delay after a failed accept. Without it the event loop would spin on EMFILE when descriptors have run out.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);

}  // namespace

struct Server::Listener {
  Listener(net::asio::io_context& io, const Tcp::endpoint& address)
      : acceptor(io, address, /*reuse_addr=*/true), retry_timer(io) {}

  Tcp::acceptor acceptor;
  net::asio::steady_timer retry_timer;
};

Server::Server(net::asio::io_context& io, const std::vector<Tcp::endpoint>& listen, Limits limits, Feed& feed,
               Callbacks callbacks)
    : io_(io),
      limits_(limits),
      feed_(feed),
      callbacks_(std::move(callbacks)),
      admission_(limits.admission),
      next_tick_(Clock::now() + kTickInterval),
      timer_(io),
      lifetime_(std::make_shared<Server*>(this)) {
  for (const Tcp::endpoint& address : listen) {
    listeners_.push_back(std::make_shared<Listener>(io, address));
    addresses_.push_back(listeners_.back()->acceptor.local_endpoint());
  }
  for (const auto& listener : listeners_) Accept(listener);
  ScheduleTick();
}

Server::~Server() {
  for (const auto& slot : tick_slots_)
    for (const Session::Ptr& session : slot) session->CloseWithoutRemoval();
}

void Server::Accept(const std::shared_ptr<Listener>& listener) {
  listener->acceptor.async_accept(
      [lifetime = std::weak_ptr<Server*>(lifetime_), listener](ErrorCode error, Tcp::socket socket) {
        const auto self = lifetime.lock();
        if (self == nullptr || error == net::asio::error::operation_aborted) return;
        if (!error) {
          (*self)->Add(std::move(socket));
          return (*self)->Accept(listener);
        }
        listener->retry_timer.expires_after(kAcceptRetryDelay);
        listener->retry_timer.async_wait([lifetime, listener](ErrorCode stopped) {
          const auto owner = lifetime.lock();
          if (owner != nullptr && !stopped) (*owner)->Accept(listener);
        });
      });
}

void Server::Add(Tcp::socket socket) {
  ErrorCode error;
  socket.non_blocking(true, error);
  if (error || connections_ >= limits_.max_connections) {
    ++counts_.rejected_connections;
    return;  // destroying the socket closes the connection
  }
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  // Into the slot with the fewest sessions, so that the heartbeats of connections that arrive in a burst are
  // spread over the interval.
  const auto slot =
      std::min_element(tick_slots_.begin(), tick_slots_.end(),
                       [](const auto& one, const auto& other) { return one.size() < other.size(); });
  session->tick_slot = {static_cast<std::size_t>(slot - tick_slots_.begin()),
                        slot->insert(slot->end(), session)};
  ++connections_;
  head_deadlines_.push_back({Clock::now() + limits_.head_timeout, session});
  session->Start();
}

void Server::Remove(Session& session, bool was_admitted, bool was_waiting_call) {
  tick_slots_[session.tick_slot.index].erase(session.tick_slot.entry);
  --connections_;
  if (was_waiting_call) admission_.CancelWaitingCall();
  if (was_admitted) ReleaseAdmission();
}

// Posted instead of called: the list of the next receiver may be written at once, which releases its slot
// again, and so on. Direct calls would make the recursion as deep as the queue is long.
void Server::ReleaseAdmission() {
  net::asio::post(io_, [lifetime = std::weak_ptr<Server*>(lifetime_)] {
    if (const auto self = lifetime.lock()) (*self)->admission_.Release();
  });
}

void Server::StartLingerTimeout(const Session::Ptr& session) {
  linger_deadlines_.push_back({Clock::now() + limits_.linger_timeout, session});
}

void Server::SendUpdatesToAll() {
  std::vector<Session::Ptr> all;  // a copy, because sessions may end during the loop
  all.reserve(connections_);
  for (const auto& slot : tick_slots_) all.insert(all.end(), slot.begin(), slot.end());
  for (const Session::Ptr& session : all) session->SendUpdates();
}

std::size_t Server::watches() const {
  std::ptrdiff_t count = 0;
  for (const auto& slot : tick_slots_)
    count += std::count_if(slot.begin(), slot.end(), [](const Session::Ptr& session) {
      return session->phase() == Session::Phase::kWatching;
    });
  return static_cast<std::size_t>(count);
}

void Server::ScheduleTick() {
  timer_.expires_at(next_tick_);
  timer_.async_wait([lifetime = std::weak_ptr<Server*>(lifetime_)](ErrorCode stopped) {
    const auto self = lifetime.lock();
    if (self != nullptr && !stopped) (*self)->Tick();
  });
}

void Server::Tick() {
  const std::vector<Session::Ptr> due(tick_slots_[next_tick_slot_].begin(),
                                      tick_slots_[next_tick_slot_].end());
  next_tick_slot_ = (next_tick_slot_ + 1) % kTickSlots;
  for (const Session::Ptr& session : due) session->Tick();
  CloseOverdue(head_deadlines_, Session::Phase::kReadingHead);
  CloseOverdue(linger_deadlines_, Session::Phase::kLingering);
  admission_.RefuseExpiredCalls();
  // Ticks follow a fixed schedule, so that each slot is handled every 2 s. If the process was stopped for
  // longer than that, a new schedule starts now.
  next_tick_ += kTickInterval;
  if (Clock::now() - next_tick_ > kHeartbeatInterval) next_tick_ = Clock::now();
  ScheduleTick();
}

void Server::CloseOverdue(Deadlines& deadlines, Session::Phase phase) {
  const auto now = Clock::now();
  while (!deadlines.empty() && deadlines.front().at <= now) {
    const Session::Ptr session = deadlines.front().session.lock();
    deadlines.pop_front();
    if (session != nullptr && session->phase() == phase) session->Close();
  }
}

}  // namespace merlinrun::relay
