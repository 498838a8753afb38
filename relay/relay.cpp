#include "relay/relay.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace merlinrun::relay {

Relay::Relay(net::asio::io_context& io, const Config& config)
    : feed_(io, config.max_tombstones, config.batch_interval, [this] { server_.SendUpdatesToAll(); }),
      state_file_(io, config.state_path, feed_.store()),
      server_(io, config.listen, config.limits, feed_,
              {[this] { return Status(); }, [this] { return UpstreamCaughtUp(); }}),
      catch_up_time_(config.catch_up_time),
      upstream_(io, config.upstream, settings_without_names_, config.timing, config.seed,
                {.on_list = [](const net::EndpointList&) {},
                 .on_failed = [this](Micros) { OnFailed(); },
                 .on_object = [this](const nlohmann::json& object) { OnObject(object); },
                 .on_data = [this] { OnData(); }}),
      last_data_at_(Clock::now()) {
  state_file_.Read(feed_.store());
  if (feed_.store().known()) upstream_.SetKnownGeneration(feed_.store().generation());
  upstream_.Watch();
}

Relay::~Relay() { state_file_.Flush(); }

void Relay::OnObject(const nlohmann::json& object) {
  ++upstream_objects_;
  const ListStore& store = feed_.store();
  const bool known = store.known();
  const auto generation = store.generation();
  const auto position = store.position();
  feed_.Apply(object);
  if ((!known || store.generation() < generation) && new_list_log_.Allows())
    spdlog::info("upstream: new list at generation {}", store.generation());
  if (store.generation() != generation || store.position() != position) state_file_.OnChange();
}

void Relay::OnData() {
  last_data_at_ = Clock::now();
  if (std::exchange(upstream_connected_, true)) return;
  connected_since_ = last_data_at_;
  if (connected_log_.Allows()) spdlog::info("upstream: connected");
}

void Relay::OnFailed() {
  ++upstream_failures_;
  if (std::exchange(upstream_connected_, false) && lost_log_.Allows())
    spdlog::warn("upstream: connection lost; the known list is still served");
}

std::string Relay::Status() const {
  const ListStore& store = feed_.store();
  const Server::Counts& counts = server_.counts();
  const std::chrono::duration<double> silence = Clock::now() - last_data_at_;
  const nlohmann::json status = {{"known", store.known()},
                                 {"generation", store.generation()},
                                 {"floor", store.min_delta_generation()},
                                 {"entries", store.entries()},
                                 {"tombstones", store.tombstones()},
                                 {"connections", server_.connections()},
                                 {"watches", server_.watches()},
                                 {"upstream_connected", upstream_connected_},
                                 {"upstream_unheard_s", silence.count()},
                                 {"upstream_objects", upstream_objects_},
                                 {"upstream_ends", upstream_failures_},
                                 {"batches", feed_.batches()},
                                 {"objects", counts.objects},
                                 {"whole_lists", counts.full_lists},
                                 {"refused", counts.refused},
                                 {"turned_away", counts.rejected_connections},
                                 {"calls", counts.calls},
                                 {"watches_begun", counts.watches_begun},
                                 {"bytes_out", counts.bytes_out}};
  return status.dump() + "\n";
}

}  // namespace merlinrun::relay
