#include "relay/relay.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace merlinrun::relay {

Relay::Relay(net::asio::io_context& io, const Config& config)
    : feed_(io, config.history, config.batch, [this] { server_.TellAll(); }),
      state_(io, config.state, feed_.store()),
      server_(io, config.listen, config.limits, feed_,
              {[this] { return Status(); }, [this] { return HeardOut(); }}),
      first_words_(config.first_words),
      upstream_(io, config.upstream, no_names_, config.timing, config.seed,
                {[](const net::EndpointList&) {}, [this](Micros) { OnFailed(); },
                 [this](const nlohmann::json& object) { OnObject(object); }, [this] { OnHeard(); }}),
      last_heard_(Clock::now()) {
  state_.Read(feed_.store());
  if (feed_.store().known()) upstream_.SetKnownGeneration(feed_.store().generation());
  upstream_.Watch();
}

Relay::~Relay() { state_.Flush(); }

void Relay::OnObject(const nlohmann::json& object) {
  ++upstream_objects_;
  const ListStore& store = feed_.store();
  const bool known = store.known();
  const auto generation = store.generation();
  const auto position = store.position();
  feed_.Take(object);
  if ((!known || store.generation() < generation) && begun_log_.Due())
    spdlog::info("upstream: a list begins at generation {}", store.generation());
  if (store.generation() != generation || store.position() != position) state_.OnChange();
}

void Relay::OnHeard() {
  last_heard_ = Clock::now();
  if (std::exchange(heard_, true)) return;
  heard_since_ = last_heard_;
  if (heard_log_.Due()) spdlog::info("upstream: heard");
}

void Relay::OnFailed() {
  ++upstream_ends_;
  if (std::exchange(heard_, false) && lost_log_.Due())
    spdlog::warn("upstream: lost; what is known is served on");
}

std::string Relay::Status() const {
  const ListStore& store = feed_.store();
  const Server::Counts& counts = server_.counts();
  const std::chrono::duration<double> unheard = Clock::now() - last_heard_;
  const nlohmann::json status = {{"known", store.known()},
                                 {"generation", store.generation()},
                                 {"floor", store.floor()},
                                 {"entries", store.entries()},
                                 {"tombstones", store.tombstones()},
                                 {"connections", server_.connections()},
                                 {"watches", server_.watches()},
                                 {"upstream_connected", heard_},
                                 {"upstream_unheard_s", unheard.count()},
                                 {"upstream_objects", upstream_objects_},
                                 {"upstream_ends", upstream_ends_},
                                 {"batches", feed_.batches()},
                                 {"objects", counts.objects},
                                 {"whole_lists", counts.whole_lists},
                                 {"refused", counts.refused},
                                 {"turned_away", counts.turned_away},
                                 {"calls", counts.calls},
                                 {"watches_begun", counts.watches},
                                 {"bytes_out", counts.bytes_out}};
  return status.dump() + "\n";
}

}  // namespace merlinrun::relay
