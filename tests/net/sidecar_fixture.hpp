// Test fixture: a sidecar on loopback addresses with a scripted discovery server.
#ifndef MERLINRUN_TESTS_NET_SIDECAR_FIXTURE_HPP_
#define MERLINRUN_TESTS_NET_SIDECAR_FIXTURE_HPP_

#include "loopback.hpp"
#include "net/sidecar.hpp"

namespace merlinrun::net::testing {

class SidecarTest : public ::testing::Test {
 protected:
  SidecarTest()
      : discovery(io, [this](Peer& peer) {
          if (peer.requests() != 1) return;
          watch_peer = &peer;
          peer.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
          // On a busy machine the sidecar may take its watch for silent and open a new one. The new watch
          // gets the lists that were sent in the meantime.
          for (const nlohmann::json& list : sent_lists)
            if (list.at("generation") > KnownGeneration(peer)) WriteList(list);
        }) {
    WriteBlankLines();
  }

  void Start(const std::vector<nlohmann::json>& instances) {
    Start(instances, [](nlohmann::json&) {});
  }
  void Start(const std::vector<nlohmann::json>& instances,
             const std::function<void(nlohmann::json&)>& change) {
    nlohmann::json json = ConfigJson(discovery.address, instances);
    change(json);
    Config config = ParseConfig(json.dump());
    config.listen = Loopback();
    if (config.management) config.management = Loopback();
    sidecar = std::make_unique<Sidecar>(io, std::move(config));
    sidecar->Start();
    ASSERT_TRUE(RunUntil(io, [&] { return watch_peer != nullptr; }));
  }
  void SendList(const nlohmann::json& list) {
    sent_lists.push_back(list);
    WriteList(list);
  }
  // Sends the blank lines that show that the watch is alive: discovery sends one every 2 s while nothing
  // changes, and without them the sidecar takes the watch for silent and the list for stale.
  void WriteBlankLines() {
    blank_line_timer.expires_after(500ms);
    blank_line_timer.async_wait([this](ErrorCode error) {
      if (error) return;
      if (watch_peer != nullptr && !watch_peer->ended) watch_peer->Write("1\r\n\n\r\n");
      WriteBlankLines();
    });
  }
  void WriteList(const nlohmann::json& list) {
    const std::string text = list.dump() + "\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    watch_peer->Write(size + text + "\r\n");
  }
  // The generation that the caller of a watch already has; -1 if it asks for the full list.
  static std::int64_t KnownGeneration(const Peer& peer) {
    const std::size_t at = peer.received.find("index=");
    return at == std::string::npos ? -1 : std::stoll(peer.received.substr(at + 6));
  }
  static std::string Get(const std::string& id, const std::string& headers = "") {
    return "GET /api?obj=k1 HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: " + id +
           "\r\nReq-Kind: look\r\nReq-Deadline: 5.0\r\n" + headers + "\r\n";
  }
  static std::string GetWithDeadline(const std::string& deadline, const std::string& id) {
    std::string text = Get(id);
    return text.replace(text.find("5.0"), 3, deadline);
  }
  static std::string Post(const std::string& kind, const std::string& id,
                          const std::string& deadline = "5.0") {
    return "POST /api HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind +
           "\r\nReq-Deadline: " + deadline + (kind == "pay" ? "\r\nIdempotency-Key: k" + id : "") +
           "\r\nContent-Length: 4\r\n\r\nbody";
  }
  std::shared_ptr<Peer> Client(const std::string& text) {
    auto client = Connect(io, sidecar->address());
    client->Write(text);
    return client;
  }
  // Waits for the client's n-th answer and returns its status; empty if none arrives.
  std::string Status(Peer& client, int n = 1) {
    if (!RunUntil(io, [&] { return client.requests() >= n; })) return "";
    return StatusAt(client, n);
  }
  // The status of the client's n-th answer, which has been received.
  static std::string StatusAt(const Peer& client, int n) {
    std::size_t at = 0;
    for (int i = 1; i < n; ++i) at = client.received.find("HTTP/1.1 ", at + 1);
    return client.received.substr(at + 9, 3);
  }
  // Sends a request on a new connection and returns the status of its answer.
  std::string Ask(const std::string& text) { return Status(*Client(text)); }
  // Keeps `in_flight` requests in flight until `count` of them have been answered, one by one. `waiting`
  // contains the servers' connections whose request is unanswered; the servers' scripts add to it. A request
  // that is refused or cancelled, which happens if the machine stalls, is sent again.
  void KeepInFlight(std::size_t in_flight, int count, std::vector<Peer*>& waiting) {
    std::vector<int> answered(in_flight, 0);
    int resent = 0;
    const auto has_answer = [&](std::size_t client) {
      return open_clients[client]->requests() > answered[client];
    };
    const auto all_in_flight = [&] {
      std::erase_if(waiting, [](const Peer* peer) { return peer->ended; });
      for (std::size_t client = 0; client < in_flight; ++client) {
        if (!has_answer(client) || StatusAt(*open_clients[client], answered[client] + 1) == "200") continue;
        ++answered[client];
        open_clients[client]->Write(Get("resent" + std::to_string(++resent)));
      }
      return waiting.size() == in_flight;
    };
    for (std::size_t i = 0; i < in_flight; ++i) open_clients.push_back(Client(Get("c" + std::to_string(i))));
    for (int i = 0; i < count; ++i) {
      ASSERT_TRUE(RunUntil(io, all_in_flight)) << i;
      waiting.front()->Write(Reply("200 OK", "ok"));
      waiting.erase(waiting.begin());
      std::size_t next = 0;
      ASSERT_TRUE(RunUntil(io, [&] {
        for (next = 0; next < in_flight && !has_answer(next); ++next) continue;
        return next < in_flight;
      }));
      ASSERT_EQ(Status(*open_clients[next], ++answered[next]), "200");
      open_clients[next]->Write(Get("d" + std::to_string(i)));
    }
    ASSERT_TRUE(RunUntil(io, all_in_flight));
  }

  asio::io_context io;
  asio::steady_timer blank_line_timer{io};
  Peer* watch_peer = nullptr;  // the watch that was opened most recently
  std::vector<nlohmann::json> sent_lists;
  ScriptedServer discovery;
  std::unique_ptr<Sidecar> sidecar;
  std::vector<std::shared_ptr<Peer>> open_clients;
};

}  // namespace merlinrun::net::testing

#endif  // MERLINRUN_TESTS_NET_SIDECAR_FIXTURE_HPP_
