#include "hollow.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <stdexcept>
#include <utility>

#include "control.hpp"

namespace merlinrun::scale {
namespace {

// As in Sidecar: Unix time and the steady clock compared once.
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

void ForceLog::Note(std::int64_t before, std::int64_t generation, Micros at) {
  if (before == net::Discovery::kUnknown) return;
  for (std::int64_t change = before + 1; change <= generation; ++change) times_[change].push_back(at);
}

const std::vector<Micros>& ForceLog::Times(std::int64_t generation) const {
  static const std::vector<Micros> none;
  const auto it = times_.find(generation);
  return it == times_.end() ? none : it->second;
}

HollowSidecar::HollowSidecar(boost::asio::io_context& io, const drill::WireSettings& settings,
                             net::Tcp::endpoint discovery, std::uint64_t seed, ForceLog& log)
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

HollowSidecar::~HollowSidecar() = default;

void HollowSidecar::Start() {
  started_ = SteadyNow();
  OnList(ListUpdate::Kind::kStale, {});  // it comes back from nothing
  if (!settings_.settings.must_subscribe) discovery_.Watch();
}

void HollowSidecar::Reload(const net::Tcp::endpoint& discovery) {
  started_ = SteadyNow();
  first_list_after_ = watching_after_ = 0;
  discovery_.SwitchTo(discovery);
}

std::string HollowSidecar::SendOne() {
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

Micros HollowSidecar::Now() const { return clock_offset_ + SteadyNow(); }

void HollowSidecar::OnList(ListUpdate::Kind kind, const net::EndpointList& list) {
  std::vector<ServerInfo> servers;
  servers.reserve(list.endpoints.size());
  for (const net::Endpoint& endpoint : list.endpoints) servers.push_back(endpoint.info);
  balancer_->OnServers(Now(), {kind, list.generation, servers});
  if (kind == ListUpdate::Kind::kStale) return;
  const Micros at = SteadyNow();
  if (watching_after_ == 0)  // the whole list comes first, and the first object of the watch next
    (first_list_after_ == 0 ? first_list_after_ : watching_after_) = std::max<Micros>(at - started_, 1);
  log_.Note(std::exchange(generation_, list.generation), list.generation, at);
}

void HollowSidecar::OnDiscoveryFailed(Micros within) {
  if (!settings_.settings.must_subscribe) return;
  ListUpdate update{ListUpdate::Kind::kFailed, 0, {}};
  update.ask_within = within;
  balancer_->OnServers(Now(), update);
}

void HollowSidecar::SetTimer(Micros delay, std::uint64_t token) {
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(io_, std::chrono::microseconds(std::max<Micros>(delay, 0)));
  timer->async_wait([this, timer, token, life = std::weak_ptr(life_)](net::ErrorCode error) {
    if (!error && !life.expired()) balancer_->OnTimer(Now(), token);
  });
}

void HollowSidecar::Subscribe() {
  boost::asio::post(io_, [this, life = std::weak_ptr(life_)] {
    if (!life.expired()) discovery_.Watch();
  });
}

}  // namespace merlinrun::scale
