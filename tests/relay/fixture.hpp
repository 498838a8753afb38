// What the tests of the relay share: a scripted discovery above it, raw watches below it, and lists.
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

// A discovery: `whole` for whoever asks for the list, and watches that are told what `Tell` says.
class Upstream {
 public:
  explicit Upstream(net::asio::io_context& io, Json list)
      : whole(std::move(list)), server(io, [this](Peer& peer) { Answer(peer); }) {}

  void Tell(const Json& object) {
    for (Peer* watch : Open()) watch->Write(Chunk(object.dump() + "\n"));
  }
  std::vector<Peer*> Open() const {
    std::vector<Peer*> open;
    for (const auto& peer : server.peers)
      if (!peer->ended && IsWatch(*peer)) open.push_back(peer.get());
    return open;
  }
  // Without a word on the wire, a watch that has begun is told apart by the call.
  static bool IsWatch(const Peer& peer) { return peer.received.find("stream=1") != std::string::npos; }

  Json whole;
  std::string first;  // what each watch is told first; empty: nothing
  ScriptedServer server;

 private:
  void Answer(Peer& peer) {
    if (peer.requests() != 1) return;
    if (!IsWatch(peer)) return peer.WriteLater(Reply("200 OK", whole.dump()));
    peer.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunk(first + "\n"));
  }
};

// The objects that a peer has read whole; they stand on lines of their own.
inline std::vector<Json> Objects(const Peer& peer) {
  std::vector<Json> objects;
  std::istringstream lines(peer.received);
  for (std::string line; std::getline(lines, line) && !lines.eof();)
    if (line.rfind('{', 0) == 0) objects.push_back(Json::parse(line));
  return objects;
}

inline std::map<std::string, std::string> States(const Json& object) {
  std::map<std::string, std::string> states;
  for (const Json& entry : object.at("instances")) {
    EXPECT_EQ(states.count(entry.at("instanceId")), 0U) << "named twice";
    states[entry.at("instanceId")] = entry.at("lifecycle");
  }
  return states;
}

inline std::string Ask(const std::string& target) { return "GET " + target + " HTTP/1.1\r\nHost: r\r\n\r\n"; }
inline std::string WatchFrom(std::int64_t index) {
  return Ask("/v1/endpoints?stream=1&index=" + std::to_string(index));
}
inline std::string Status(const Peer& peer) { return peer.received.substr(0, 12); }

}  // namespace merlinrun::relay::testing

#endif  // MERLINRUN_TESTS_RELAY_FIXTURE_HPP_
