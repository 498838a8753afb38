#include "relay/server.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace merlinrun::relay {

using net::ErrorCode;
using net::Tcp;

namespace {

// How long accepting rests when descriptors have run out: guards against a loop that spins on EMFILE.
constexpr auto kAcceptPause = std::chrono::milliseconds(50);

}  // namespace

struct Server::Door {
  Door(net::asio::io_context& io, const Tcp::endpoint& address)
      : acceptor(io, address, /*reuse_addr=*/true), pause(io) {}

  Tcp::acceptor acceptor;
  net::asio::steady_timer pause;
};

Server::Server(net::asio::io_context& io, const std::vector<Tcp::endpoint>& listen, Limits limits, Feed& feed,
               Asks asks)
    : io_(io),
      limits_(limits),
      feed_(feed),
      asks_(std::move(asks)),
      admission_(limits.whole_lists),
      next_tick_(Clock::now() + kTick),
      timer_(io),
      life_(std::make_shared<Server*>(this)) {
  for (const Tcp::endpoint& address : listen) {
    doors_.push_back(std::make_shared<Door>(io, address));
    addresses_.push_back(doors_.back()->acceptor.local_endpoint());
  }
  for (const auto& door : doors_) Accept(door);
  ScheduleTick();
}

Server::~Server() {
  for (const auto& slot : slots_)
    for (const Session::Ptr& session : slot) session->Abandon();
}

void Server::Accept(const std::shared_ptr<Door>& door) {
  door->acceptor.async_accept(
      [life = std::weak_ptr<Server*>(life_), door](ErrorCode error, Tcp::socket socket) {
        const auto self = life.lock();
        if (self == nullptr || error == net::asio::error::operation_aborted) return;
        if (!error) {
          (*self)->Add(std::move(socket));
          return (*self)->Accept(door);
        }
        door->pause.expires_after(kAcceptPause);
        door->pause.async_wait([life, door](ErrorCode stopped) {
          const auto owner = life.lock();
          if (owner != nullptr && !stopped) (*owner)->Accept(door);
        });
      });
}

void Server::Add(Tcp::socket socket) {
  ErrorCode error;
  socket.non_blocking(true, error);
  if (error || connections_ >= limits_.connections) {
    ++counts_.turned_away;
    return;  // closes it
  }
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  // The emptiest slot: connections that come in one burst do not have their blank lines in one.
  const auto slot = std::min_element(slots_.begin(), slots_.end(), [](const auto& one, const auto& other) {
    return one.size() < other.size();
  });
  session->place = {static_cast<std::size_t>(slot - slots_.begin()), slot->insert(slot->end(), session)};
  ++connections_;
  heads_.push_back({Clock::now() + limits_.head, session});
  session->Start();
}

void Server::Remove(Session& session, bool held_slot, bool waited) {
  slots_[session.place.slot].erase(session.place.at);
  --connections_;
  if (waited) admission_.GiveUp();
  if (held_slot) FreeSlot();
}

// Later: the next one's list may be written at once, and its slot be free again, and so on: not on one stack.
void Server::FreeSlot() {
  net::asio::post(io_, [life = std::weak_ptr<Server*>(life_)] {
    if (const auto self = life.lock()) (*self)->admission_.Leave();
  });
}

void Server::ExpectEnd(const Session::Ptr& session) {
  lingers_.push_back({Clock::now() + limits_.linger, session});
}

void Server::TellAll() {
  std::vector<Session::Ptr> all;  // sessions may end meanwhile
  all.reserve(connections_);
  for (const auto& slot : slots_) all.insert(all.end(), slot.begin(), slot.end());
  for (const Session::Ptr& session : all) session->Tell();
}

std::size_t Server::watches() const {
  std::ptrdiff_t count = 0;
  for (const auto& slot : slots_)
    count += std::count_if(slot.begin(), slot.end(), [](const Session::Ptr& session) {
      return session->phase() == Session::Phase::kWatching;
    });
  return static_cast<std::size_t>(count);
}

void Server::ScheduleTick() {
  timer_.expires_at(next_tick_);
  timer_.async_wait([life = std::weak_ptr<Server*>(life_)](ErrorCode stopped) {
    const auto self = life.lock();
    if (self != nullptr && !stopped) (*self)->Tick();
  });
}

void Server::Tick() {
  const std::vector<Session::Ptr> due(slots_[slot_].begin(), slots_[slot_].end());
  slot_ = (slot_ + 1) % kSlots;
  for (const Session::Ptr& session : due) session->Tick();
  CloseLate(heads_, Session::Phase::kHead);
  CloseLate(lingers_, Session::Phase::kLingering);
  admission_.Expire();
  // By the schedule, so that a slot's turn comes every 2 s; a process that stood still begins a new one.
  next_tick_ += kTick;
  if (Clock::now() - next_tick_ > kRound) next_tick_ = Clock::now();
  ScheduleTick();
}

void Server::CloseLate(Deadlines& deadlines, Session::Phase phase) {
  const auto now = Clock::now();
  while (!deadlines.empty() && deadlines.front().at <= now) {
    const Session::Ptr session = deadlines.front().session.lock();
    deadlines.pop_front();
    if (session != nullptr && session->phase() == phase) session->Close();
  }
}

}  // namespace merlinrun::relay
