#include "real_sidecar.hpp"

#include <fstream>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "client_pool.hpp"
#include "loop.hpp"
#include "server_list.hpp"

namespace merlinrun::scale {
namespace {

constexpr auto kLongestStart = std::chrono::seconds(30);  // clients of a scored day wait no longer
constexpr auto kBetweenAsks = std::chrono::milliseconds(10);

std::string Text(const net::Tcp::endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

// Nothing else asks for this port between here and the sidecar's start but by chance.
net::Tcp::endpoint FreeAddress() {
  net::asio::io_context io;
  const net::Tcp::acceptor probe(io, {net::asio::ip::make_address("127.0.0.1"), 0});
  return probe.local_endpoint();
}

std::string Hex(std::uint64_t seed) {
  std::ostringstream text;
  text << std::hex << std::setw(16) << std::setfill('0') << seed;
  return text.str();
}

// With the limits of a scored day.
nlohmann::json Configuration(const SidecarOptions& options, const net::Tcp::endpoint& listen) {
  return {{"name", options.name},
          {"listen", Text(listen)},
          {"discovery", Text(options.discovery)},
          {"seed", Hex(options.seed)},
          {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
          {"settings", MakeSettingsJson(false)}};
}

}  // namespace

RealSidecar::RealSidecar(const SidecarOptions& options) : name_(options.name), address_(FreeAddress()) {
  const std::filesystem::path file = options.scratch / (name_ + ".json");
  std::ofstream(file) << Configuration(options, address_).dump();
  Child::Options child;
  child.program = options.program;
  // What the environment says goes before the file.
  child.environment = {"EDGE_CONFIG=" + file.string(),
                       "EDGE_LISTEN=" + Text(address_),
                       "EDGE_DISCOVERY=" + Text(options.discovery),
                       "EDGE_MGMT=",
                       "EDGE_ACCEPT_FD=",
                       "TMPDIR="};
  child.log = options.scratch / (name_ + ".log");
  child_ = std::make_unique<Child>(child);
}

void RealSidecar::AwaitReady(net::asio::io_context& io) {
  ClientPool pool(io, {address_});
  const auto end = Clock::now() + kLongestStart;
  while (Clock::now() < end) {
    unsigned status = 0;
    bool answered = false;
    HttpRequest request(net::http::verb::get, net::kReadyPath, 11);
    request.set(net::http::field::host, "origin.svc");
    pool.Send(std::move(request), end, [&](unsigned answer) {
      status = answer;
      answered = true;
    });
    RunUntil(
        io, [&] { return answered; }, kLongestStart + kBetweenAsks);
    if (status == 200) return;
    if (const auto ended = child_->Wait(std::chrono::milliseconds(0)))
      throw std::runtime_error("sidecar " + name_ + " ended with wait status " + std::to_string(*ended));
    RunFor(io, kBetweenAsks);
  }
  throw std::runtime_error("sidecar " + name_ + " was not ready in time");
}

}  // namespace merlinrun::scale
