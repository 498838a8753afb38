#include "simulated_sidecar.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <stdexcept>
#include <utility>

#include "control.hpp"

namespace merlinrun::scale {
namespace {

// The difference between Unix time and the steady clock, taken once as in Sidecar.
Micros ClockOffset() {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(wall).count() - SteadyNow();
}

net::Discovery::Timing DiscoveryTiming(const drill::WireSettings& settings) {
  net::Discovery::Timing timing;
  timing.reopens_itself = !settings.settings.must_subscribe;
  return timing;
}

}  // namespace

void EffectLog::Record(std::int64_t before, std::int64_t generation, Micros at) {
  if (before == net::Discovery::kUnknown) return;
  for (std::int64_t change = before + 1; change <= generation; ++change) times_[change].push_back(at);
}

const std::vector<Micros>& EffectLog::Times(std::int64_t generation) const {
  static const std::vector<Micros> none;
  const auto it = times_.find(generation);
  return it == times_.end() ? none : it->second;
}

SimulatedSidecar::SimulatedSidecar(boost::asio::io_context& io, const drill::WireSettings& settings,
                                   net::Tcp::endpoint discovery, std::uint64_t seed, EffectLog& log)
    : io_(io),
      settings_(settings),
      log_(log),
      clock_offset_(ClockOffset()),
      discovery_(io, std::move(discovery), settings, DiscoveryTiming(settings), seed,
                 {[this](const net::EndpointList& list) {
                    OnList(list.full ? ListUpdate::Kind::kFull : ListUpdate::Kind::kDelta, list);
                  },
                  [this](Micros within) { OnDiscoveryFailed(within); }}) {
  std::string error;
  balancer_ = Balancer::Create(settings.settings, seed, Now(), *this, error);
  if (balancer_ == nullptr) throw std::runtime_error("settings: " + error);
}

SimulatedSidecar::~SimulatedSidecar() = default;

void SimulatedSidecar::Start() {
  started_ = SteadyNow();
  OnList(ListUpdate::Kind::kStale, {});  // it starts without a list
  if (!settings_.settings.must_subscribe) discovery_.Watch();
}

void SimulatedSidecar::Reload(const net::Tcp::endpoint& discovery) {
  started_ = SteadyNow();
  time_to_first_list_ = time_to_watch_ = 0;
  discovery_.SwitchTo(discovery);
}

std::string SimulatedSidecar::SendRequest() {
  const std::string id = std::to_string(++requests_);
  Request request;
  request.id = id;
  request.budget = settings_.settings.classes.front().deadline;
  sent_to_.clear();
  balancer_->OnRequest(Now(), request);
  Outcome outcome;
  outcome.request = id;
  outcome.final_answer_sent = true;
  if (!sent_to_.empty()) balancer_->OnOutcome(Now(), outcome);
  return sent_to_;
}

Micros SimulatedSidecar::Now() const { return clock_offset_ + SteadyNow(); }

void SimulatedSidecar::OnList(ListUpdate::Kind kind, const net::EndpointList& list) {
  std::vector<ServerInfo> servers;
  servers.reserve(list.endpoints.size());
  for (const net::Endpoint& endpoint : list.endpoints) servers.push_back(endpoint.info);
  balancer_->OnServers(Now(), {kind, list.generation, servers});
  if (kind == ListUpdate::Kind::kStale) return;
  const Micros at = SteadyNow();
  if (time_to_watch_ == 0)  // the full list comes first, then the first object of the watch
    (time_to_first_list_ == 0 ? time_to_first_list_ : time_to_watch_) = std::max<Micros>(at - started_, 1);
  log_.Record(std::exchange(generation_, list.generation), list.generation, at);
}

void SimulatedSidecar::OnDiscoveryFailed(Micros within) {
  if (!settings_.settings.must_subscribe) return;
  ListUpdate update{ListUpdate::Kind::kFailed, 0, {}};
  update.ask_within = within;
  balancer_->OnServers(Now(), update);
}

void SimulatedSidecar::SetTimer(Micros delay, std::uint64_t token) {
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(io_, std::chrono::microseconds(std::max<Micros>(delay, 0)));
  timer->async_wait([this, timer, token, lifetime = std::weak_ptr(lifetime_)](net::ErrorCode error) {
    if (!error && !lifetime.expired()) balancer_->OnTimer(Now(), token);
  });
}

void SimulatedSidecar::Subscribe() {
  boost::asio::post(io_, [this, lifetime = std::weak_ptr(lifetime_)] {
    if (!lifetime.expired()) discovery_.Watch();
  });
}

}  // namespace merlinrun::scale
