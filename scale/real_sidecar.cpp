#include "real_sidecar.hpp"

#include <csignal>
#include <fstream>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "address.hpp"
#include "client_pool.hpp"
#include "loop.hpp"
#include "server_list.hpp"

namespace merlinrun::scale {
namespace {

// The clients of a benchmark run wait no longer than this for a sidecar to become ready.
constexpr auto kMaxStartTime = std::chrono::seconds(30);
constexpr auto kReadyPollInterval = std::chrono::milliseconds(10);

std::string Hex(std::uint64_t seed) {
  std::ostringstream text;
  text << std::hex << std::setw(16) << std::setfill('0') << seed;
  return text.str();
}

// Returns the content of the configuration file, with the resource limits of a benchmark run.
nlohmann::json Configuration(const SidecarOptions& options, const net::Tcp::endpoint& listen) {
  return {{"name", options.name},
          {"listen", AddressText(listen)},
          {"discovery", AddressText(options.discovery)},
          {"seed", Hex(options.seed)},
          {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
          {"settings", MakeSettingsJson(false)}};
}

std::filesystem::path ConfigurationFile(const SidecarOptions& options) {
  return options.scratch / (options.name + ".json");
}

}  // namespace

// Binds to a free port with SO_REUSEADDR and does not listen on it. The kernel then does not assign the port
// to another socket that binds to port 0, but the sidecar, which sets SO_REUSEADDR too, can listen on it.
RealSidecar::ReservedPort::ReservedPort(net::asio::io_context& io) : acceptor(io, net::Tcp::v4()) {
  acceptor.set_option(net::Tcp::acceptor::reuse_address(true));
  acceptor.bind({net::asio::ip::make_address("127.0.0.1"), 0});
  address = acceptor.local_endpoint();
}

RealSidecar::RealSidecar(const SidecarOptions& options) : options_(options), listen_(acceptor_io_) {
  if (options_.management) management_.emplace(acceptor_io_);
  WriteConfiguration();
  Child::Options child;
  child.program = options_.program;
  // At the start, environment variables override the configuration file. After a reload the sidecar uses the
  // discovery address of the file.
  child.environment = {"EDGE_CONFIG=" + ConfigurationFile(options_).string(),
                       "EDGE_LISTEN=" + AddressText(address()),
                       "EDGE_DISCOVERY=" + AddressText(options_.discovery),
                       "EDGE_MGMT=" + (management_ ? AddressText(management_address()) : ""),
                       "EDGE_ACCEPT_FD=",
                       "TMPDIR="};
  child.log = options_.scratch / (options_.name + ".log");
  child_ = std::make_unique<Child>(child);
}

// Writes a temporary file and renames it, so that the sidecar never reads an incomplete file.
void RealSidecar::WriteConfiguration() const {
  const std::filesystem::path file = ConfigurationFile(options_);
  const std::filesystem::path next = file.string() + ".next";
  std::ofstream(next) << Configuration(options_, address()).dump();
  std::filesystem::rename(next, file);
}

void RealSidecar::Reload(const net::Tcp::endpoint& discovery) {
  options_.discovery = discovery;
  WriteConfiguration();
  child_->Signal(SIGHUP);
}

void RealSidecar::AwaitReady(net::asio::io_context& io) {
  ClientPool pool(io, {address()});
  const auto end = Clock::now() + kMaxStartTime;
  while (Clock::now() < end) {
    unsigned status = 0;
    bool answered = false;
    HttpRequest request(net::http::verb::get, net::kReadyPath, 11);
    request.set(net::http::field::host, "origin.svc");
    pool.Send(std::move(request), end, [&](unsigned result) {
      status = result;
      answered = true;
    });
    RunUntil(
        io, [&] { return answered; }, kMaxStartTime + kReadyPollInterval);
    if (status == 200) return;
    if (const auto ended = child_->Wait(std::chrono::milliseconds(0)))
      throw std::runtime_error("sidecar " + options_.name + " ended with wait status " +
                               std::to_string(*ended));
    RunFor(io, kReadyPollInterval);
  }
  throw std::runtime_error("sidecar " + options_.name + " did not become ready in time");
}

}  // namespace merlinrun::scale
