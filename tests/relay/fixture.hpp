// Helpers for the tests of the relay: a scripted upstream discovery, raw watches and lists.
#ifndef MERLINRUN_TESTS_RELAY_FIXTURE_HPP_
#define MERLINRUN_TESTS_RELAY_FIXTURE_HPP_

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "net/discovery.hpp"
#include "net/loopback.hpp"
#include "relay/relay.hpp"

namespace merlinrun::relay::testing {

using namespace net::testing;  // NOLINT(google-build-using-namespace)
using Json = nlohmann::json;

inline Json Instance(const std::string& id, const std::string& lifecycle = "up", std::int64_t started = 0) {
  return Entry(id, {net::asio::ip::make_address("10.0.0.1"), 80}, lifecycle, started);
}

inline std::string Chunk(const std::string& text) {
  std::ostringstream out;
  out << std::hex << text.size() << "\r\n" << text << "\r\n";
  return out.str();
}

// A scripted discovery. Answers calls for the list with `full_list` and sends the objects of SendToWatches on
// its watches.
class Upstream {
 public:
  explicit Upstream(net::asio::io_context& io, Json list)
      : full_list(std::move(list)), server(io, [this](Peer& peer) { Answer(peer); }) {}

  void SendToWatches(const Json& object) {
    for (Peer* watch : OpenWatches()) watch->Write(Chunk(object.dump() + "\n"));
  }
  std::vector<Peer*> OpenWatches() const {
    std::vector<Peer*> open;
    for (const auto& peer : server.peers)
      if (!peer->ended && IsWatch(*peer)) open.push_back(peer.get());
    return open;
  }
  // A watch is recognized by its call, because it may not have received any data yet.
  static bool IsWatch(const Peer& peer) { return peer.received.find("stream=1") != std::string::npos; }

  Json full_list;
  std::string first_object;  // sent first on each watch; empty: only a heartbeat
  ScriptedServer server;

 private:
  void Answer(Peer& peer) {
    if (peer.requests() != 1) return;
    if (!IsWatch(peer)) return peer.WriteAsync(Reply("200 OK", full_list.dump()));
    peer.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunk(first_object + "\n"));
  }
};

// Returns the objects that a peer has received completely. Each is on a line of its own.
inline std::vector<Json> Objects(const Peer& peer) {
  std::vector<Json> objects;
  std::istringstream lines(peer.received);
  for (std::string line; std::getline(lines, line) && !lines.eof();)
    if (line.rfind('{', 0) == 0) objects.push_back(Json::parse(line));
  return objects;
}

// Returns the lifecycle of each entry by its id.
inline std::map<std::string, std::string> States(const Json& object) {
  std::map<std::string, std::string> states;
  for (const Json& entry : object.at("instances")) {
    EXPECT_EQ(states.count(entry.at("instanceId")), 0U) << "listed twice";
    states[entry.at("instanceId")] = entry.at("lifecycle");
  }
  return states;
}

inline std::string Get(const std::string& target) { return "GET " + target + " HTTP/1.1\r\nHost: r\r\n\r\n"; }
inline std::string WatchFrom(std::int64_t index) {
  return Get("/v1/endpoints?stream=1&index=" + std::to_string(index));
}
// The protocol version and status code of the answer.
inline std::string StatusLine(const Peer& peer) { return peer.received.substr(0, 12); }

}  // namespace merlinrun::relay::testing

#endif  // MERLINRUN_TESTS_RELAY_FIXTURE_HPP_
