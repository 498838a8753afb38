#include "relay_tier.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <stdexcept>
#include <thread>

#include "net/discovery.hpp"

namespace merlinrun::scale {
namespace {

using nlohmann::json;

constexpr auto kStartTimeout = std::chrono::seconds(30);
constexpr auto kResponseTimeout = std::chrono::seconds(10);
constexpr auto kPollInterval = std::chrono::milliseconds(50);

// Returns an address whose port was free a moment ago.
std::string FreeAddress(boost::asio::io_context& io) {
  const net::Tcp::acceptor acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

}  // namespace

RelayTier::RelayTier(const Context& context, const std::vector<std::string>& upstream,
                     std::int64_t batch_ms) {
  boost::asio::io_context io;
  for (const std::string& upstream_address : upstream) {
    addresses_.push_back(FreeAddress(io));
    relays_.push_back(
        std::make_unique<Child>(Child::Options{context.relay,
                                               {"--listen", addresses_.back(), "--upstream", upstream_address,
                                                "--batch-ms", std::to_string(batch_ms)},
                                               {},
                                               context.scratch / "relay.log"}));
  }
  const auto end = std::chrono::steady_clock::now() + kStartTimeout;
  for (const std::string& address : addresses_) {
    for (json status = Status(address); status.is_null() || !status.at("known").get<bool>();
         status = Status(address)) {
      if (std::chrono::steady_clock::now() > end)
        throw std::runtime_error("a relay serves no list: see relay.log");
      std::this_thread::sleep_for(kPollInterval);
    }
  }
}

std::map<std::string, double> RelayTier::Sums() const {
  std::map<std::string, double> sums;
  for (const std::string& address : addresses_) {
    const json status = Status(address);
    if (status.is_null()) throw std::runtime_error("a relay does not respond: see relay.log");
    for (const auto& [name, value] : status.items())
      if (value.is_number()) sums[name] += value.get<double>();
  }
  for (const auto& relay : relays_) sums["cpu_us"] += static_cast<double>(relay->cpu_us());
  return sums;
}

double RelayTier::MemoryBytes() const {
  double sum = 0;
  for (const auto& relay : relays_) sum += static_cast<double>(relay->rss_bytes());
  return sum;
}

json RelayTier::Status(const std::string& address) {
  namespace http = boost::beast::http;
  boost::asio::io_context io;
  boost::beast::tcp_stream stream(io);
  const http::request<http::empty_body> request(http::verb::get, "/status", 11);
  http::response<http::string_body> response;
  boost::beast::flat_buffer buffer;
  bool received = false;
  stream.expires_after(kResponseTimeout);
  stream.async_connect(*net::ParseAddress(address), [&](net::ErrorCode connect_error) {
    if (connect_error) return;
    http::async_write(stream, request, [&](net::ErrorCode write_error, std::size_t) {
      if (write_error) return;
      http::async_read(stream, buffer, response,
                       [&](net::ErrorCode read_error, std::size_t) { received = !read_error; });
    });
  });
  io.run();
  if (!received) return nullptr;
  return json::parse(response.body(), nullptr, /*allow_exceptions=*/false);
}

}  // namespace merlinrun::scale
