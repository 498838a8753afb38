// Case 8: one of nine servers begins its answers and never ends them. Checks that each client gets a final answer,
// or the end of its connection, in time.
#include "rig.hpp"

namespace {

constexpr int kSidecars = 3;
constexpr int kServers = 9;
constexpr int kSpoilt = 4;                  // index of the server whose answers never end
constexpr double kDeadline = 2.6;           // Req-Deadline: 0.43 of the 6 s of the class
constexpr double kLost = 2.6 + 0.5 + 0.05;  // a request without a final answer by then is lost
constexpr double kSlack = 0.1;              // for this program's own delays
constexpr double kPatience = 15;            // how long the first client without a final answer stays
constexpr double kLength = 8;

// Sends a chunked answer: 20 KiB, and then 16 bytes every half second.
bool NeverEnd(rig::Connection& connection) {
  bool ok = connection.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5000\r\n" +
                             std::string(0x5000, 'a') + "\r\n");
  while (ok && !connection.Stale()) {
    rig::Sleep(0.5);
    ok = connection.Write("10\r\nbbbbbbbbbbbbbbbb\r\n");
  }
  return false;
}

struct Result {
  std::string id;
  double sent = 0;
  double ended = -1;  // the final answer, or the end of the connection; negative: none
  std::string end;
  std::size_t received = 0;  // bytes of an answer that has not ended
};

bool Run(const std::string& folder) {
  const bool trouble = rig::WithTrouble();
  std::vector<rig::Server*> servers;
  rig::Discovery& discovery = rig::Forever<rig::Discovery>(kSidecars);
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(&rig::Forever<rig::Server>("s" + std::to_string(i)));
    discovery.Put(servers.back()->Entry());
  }
  static std::atomic<bool> spoilt{false};
  servers[kSpoilt]->SetSpecial([](rig::Connection& connection, const rig::Message&) -> std::optional<bool> {
    if (!spoilt) return std::nullopt;
    return NeverEnd(connection);
  });
  std::vector<std::unique_ptr<rig::Sidecar>> sidecars;
  for (int i = 0; i < kSidecars; ++i) {
    sidecars.push_back(std::make_unique<rig::Sidecar>(i, rig::LichtnetSettings(kSidecars, i), discovery.port(i), folder));
    sidecars.back()->Start(discovery.FullList());
  }
  for (const auto& sidecar : sidecars) sidecar->WaitUntilReady();

  std::mutex mutex;
  std::vector<Result> results;
  std::atomic<bool> one_stays{true};
  const double end = rig::Now() + kLength;
  std::vector<std::thread> clients;
  for (int i = 0; i < kSidecars * 6; ++i)
    clients.emplace_back([&, i] {
      const int sidecar = i % kSidecars;
      rig::Connection connection;
      while (rig::Now() < end) {
        Result result;
        result.id = rig::FreshId(sidecar);
        if (connection.Stale() && !connection.Dial(sidecars[static_cast<std::size_t>(sidecar)]->port())) continue;
        if (!connection.Write(rig::SafeRequest(result.id, {rig::Kind().headers, kDeadline}))) continue;
        result.sent = rig::Now();
        rig::Message answer;
        auto got = ReadMessage(connection, result.sent + kLost + kSlack, answer);
        if (got == rig::Connection::Got::kTimeout) {
          result.received = connection.input.size() + answer.body.size();
          rig::Record::Line("client: %s has no final answer %.3f s after its last byte, only %zu bytes of one",
                            result.id.c_str(), rig::Now() - result.sent, result.received);
          if (one_stays.exchange(false)) {
            while (got == rig::Connection::Got::kTimeout || got == rig::Connection::Got::kData) {
              if (rig::Now() > result.sent + kPatience) break;
              got = connection.Receive(rig::Now() + 1);
            }
            rig::Record::Line("client: %s after %.3f s: %s, %zu bytes", result.id.c_str(), rig::Now() - result.sent,
                              got == rig::Connection::Got::kEnd || got == rig::Connection::Got::kReset ? "ended"
                                                                                                     : "still no end",
                              connection.input.size() + answer.body.size());
          }
          connection.Close();
        } else {
          result.ended = rig::Now();
          result.end = got == rig::Connection::Got::kData ? answer.first_line : "connection ended";
          rig::Record::Line("client: %s: %s", result.id.c_str(), result.end.c_str());
          if (got != rig::Connection::Got::kData || answer.header("connection") == "close") connection.Close();
        }
        {
          const std::lock_guard lock(mutex);
          results.push_back(result);
        }
        rig::Sleep(0.08);
      }
    });
  rig::Sleep(1);
  if (trouble) {
    rig::Record::Line("trouble: the answers of %s never end from here on", servers[kSpoilt]->id().c_str());
    spoilt = true;
  }
  for (std::thread& client : clients) client.join();

  int lost = 0;
  for (const Result& result : results) lost += result.ended < 0;
  std::printf("%zu requests, %d without a final answer %.2f s after their last byte\n", results.size(), lost, kLost);
  if (results.size() < 100) throw rig::CannotRun("too few requests");
  return lost == 0;
}

}  // namespace

int main() { rig::Main(Run); }
