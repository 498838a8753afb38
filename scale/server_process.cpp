#include "server_process.hpp"

#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "address.hpp"
#include "control.hpp"
#include "fake_server.hpp"
#include "latency.hpp"
#include "net/discovery.hpp"

namespace merlinrun::scale {
namespace {

using nlohmann::json;

class ServerProcess {
 public:
  explicit ServerProcess(std::uint16_t port)
      : io_(1), commands_(io_, port, [this](const json& command) { return Execute(command); }) {}
  void Run() { io_.run(); }

 private:
  json Execute(const json& command) {
    const std::string name = command.at("do").get<std::string>();
    if (name == "open") return Open(command);
    if (name == "counts") return Counts();
    throw std::runtime_error("unknown command " + name);
  }

  json Open(const json& command) {
    ServerSettings settings;
    settings.service_time = std::chrono::microseconds(command.at("service_us").get<std::int64_t>());
    settings.exponential = command.value("exponential", false);
    settings.seed = command.value("seed", std::uint64_t{1});
    settings.lateness = lateness_;
    for (const json& text : command.value("onward", json::array())) {
      const auto address = net::ParseAddress(text.get<std::string>());
      if (!address) throw std::runtime_error("no valid address in \"onward\"");
      settings.onward.push_back(*address);
    }
    servers_.push_back(std::make_unique<FakeServer>(io_, std::move(settings)));
    return {{"address", AddressText(servers_.back()->address())}};
  }

  json Counts() const {
    ServerCounts sum;
    std::size_t open_requests = 0;
    for (const auto& server : servers_) {
      sum += server->counts();
      open_requests += server->open_requests();
    }
    json counts = OwnUsage(false);
    counts.update({{"taken", sum.taken},
                   {"served", sum.served},
                   {"declined", sum.declined},
                   {"failed", sum.failed},
                   {"invalid", sum.invalid},
                   {"held", open_requests}});
    if (lateness_->count() > 0) {
      counts["late_p50_ms"] = lateness_->QuantileMs(0.5);
      counts["late_p99_ms"] = lateness_->QuantileMs(0.99);
    }
    return counts;
  }

  asio::io_context io_;
  const std::shared_ptr<LatencyHistogram> lateness_ = std::make_shared<LatencyHistogram>();
  std::vector<std::unique_ptr<FakeServer>> servers_;
  CommandLoop commands_;
};

}  // namespace

int RunServerProcess(std::uint16_t port) {
  ServerProcess process(port);
  process.Run();
  return 0;
}

}  // namespace merlinrun::scale
