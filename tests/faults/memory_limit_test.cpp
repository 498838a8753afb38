// Guards against a process that passes its memory limit because of what many clients send or read at once. It
// runs with the least memory that a sidecar gets, and with as many descriptors as it ever gets, so that as
// many clients as possible fit in. The bound is the limit of the configuration, compared with the highest
// resident size that the kernel has seen.
#include <fstream>

#include "../net/loopback.hpp"
#include "faulty_discovery.hpp"
#include "process.hpp"
#include "reserved_address.hpp"

namespace merlinrun::faults {
namespace {

using namespace net::testing;  // NOLINT(google-build-using-namespace)

constexpr int kMemoryLimitMb = 32;
constexpr int kDescriptors = 1024;
constexpr std::size_t kLongBody = std::size_t{8} << 20;
// How long the clients stay connected: longer than the time that a client has for a header.
constexpr auto kDuration = 3500ms;

#if defined(__SANITIZE_ADDRESS__)
// The sanitizer keeps freed memory and needs memory of its own, so only the traffic is tested.
constexpr bool kMemoryIsMeasured = false;
#else
constexpr bool kMemoryIsMeasured = true;
#endif

// What the clients do.
enum class Trouble {
  kManyShortFields,      // a header of very many short fields, finished by all clients at the same time
  kManyTrailerFields,    // the same in the trailer of a chunked body
  kStoppedInsideHeader,  // a header that is never finished
  kStoppedInsideBody,    // half of a long request
  kSlowBody,             // a body that arrives slowly
  kUnreadAnswer,         // a long answer that is not read
  kPipelined             // hundreds of requests at once
};

const char* Name(Trouble trouble) {
  constexpr const char* kNames[] = {"ManyShortFields",   "ManyTrailerFields", "StoppedInsideHeader",
                                    "StoppedInsideBody", "SlowBody",          "UnreadAnswer",
                                    "Pipelined"};
  return kNames[static_cast<int>(trouble)];
}

struct Crowd {
  Trouble trouble;
  int clients;
};

// Short fields that fill a header up to its maximum length.
std::string ManyFields() {
  std::string fields;
  for (int i = 0; fields.size() < 7800; ++i) {
    char name[16];
    std::snprintf(name, sizeof name, "%x:\r\n", static_cast<unsigned>(i));
    fields += name;
  }
  return fields;
}

std::string Post(const std::string& id, const std::string& framing) {
  return "POST /api HTTP/1.1\r\nReq-Id: " + id + "\r\nReq-Kind: port\r\n" + framing + "\r\n\r\n";
}

// What a client sends at once.
std::string FirstPart(Trouble trouble, const std::string& id) {
  const std::string get = "GET /api HTTP/1.1\r\nReq-Id: " + id + "\r\nReq-Kind: look\r\n";
  switch (trouble) {
    case Trouble::kManyShortFields:
      return get + ManyFields();
    case Trouble::kManyTrailerFields:
      return Post(id, "Transfer-Encoding: chunked") + "1\r\nx\r\n0\r\n" + ManyFields();
    case Trouble::kStoppedInsideHeader:
      return get + "X: " + std::string(7900, 'x');
    case Trouble::kStoppedInsideBody:
      return Post(id, "Content-Length: " + std::to_string(kLongBody)) + std::string(200'000, 'x');
    case Trouble::kSlowBody:
      return Post(id, "Content-Length: 65000") + std::string(1000, 'x');
    case Trouble::kUnreadAnswer:
      return get + "\r\n";
    case Trouble::kPipelined: {
      std::string requests;
      for (int i = 0; i < 200; ++i)
        requests +=
            "GET /api HTTP/1.1\r\nReq-Id: " + id + "-" + std::to_string(i) + "\r\nReq-Kind: look\r\n\r\n";
      return requests;
    }
  }
  return "";
}

class MemoryLimitTest : public ::testing::TestWithParam<Crowd> {
 protected:
  MemoryLimitTest() {
    for (auto& server : servers) server = std::make_unique<ScriptedServer>(io, script());
    std::vector<nlohmann::json> entries;
    for (std::size_t i = 0; i < std::size(servers); ++i) {
      entries.push_back(Entry("s-" + std::to_string(i), servers[i]->address));
      discovery.Publish(entries.back(), FaultyDiscovery::Delivery::kComplete);
    }
    nlohmann::json json = ConfigJson(discovery.address(0), {});
    json["listen"] = Text(listen.address());
    json["known"] = discovery.FullList();
    json["limits"] = {{"cores", 1.0}, {"memory_mb", kMemoryLimitMb}, {"sockets", kDescriptors}};
    config.Write(json.dump());
    process.emplace(FENNELHOLLOW_PROGRAM, std::vector<std::string>{"EDGE_CONFIG=" + config.path()},
                    log.path());
  }
  // The servers' answers: long for the clients that do not read them.
  static std::function<void(Peer&)> script() {
    if (GetParam().trouble != Trouble::kUnreadAnswer) return Serves("ok");
    return [](Peer& peer) { peer.WriteAsync(Reply("200 OK", std::string(kLongBody, 'y'))); };
  }
  std::shared_ptr<Peer> ConnectClient() {
    auto client = std::make_shared<Peer>(net::Tcp::socket(io));
    net::ErrorCode error;
    client->socket.connect(listen.address(), error);
    if (!error && GetParam().trouble != Trouble::kUnreadAnswer) client->Read();
    return client;
  }
  bool Ready() {
    auto client = ConnectClient();
    client->Read();
    client->Write("GET /ready HTTP/1.1\r\n\r\n");
    RunUntil(io, [&] { return client->ended || client->requests() > 0; });
    return client->received.find(" 200 ") != std::string::npos;
  }
  // Connects all clients at once and lets each send its first part.
  void ConnectAll() {
    for (int i = 0; i < GetParam().clients; ++i) {
      clients.push_back(ConnectClient());
      clients.back()->WriteAsync(FirstPart(GetParam().trouble, "t" + std::to_string(i)));
    }
  }
  // What the clients send later, all at the same moment.
  void Continue() {
    if (GetParam().trouble == Trouble::kSlowBody)
      for (const auto& client : clients) client->WriteAsync(std::string(6400, 'x'));
    if (GetParam().trouble == Trouble::kManyShortFields || GetParam().trouble == Trouble::kManyTrailerFields)
      for (const auto& client : clients) client->WriteAsync("\r\n");
  }
  // Frees the descriptors of the servers' connections that the sidecar has closed: there may be thousands.
  void CloseEndedConnections() {
    for (const auto& server : servers)
      std::erase_if(server->peers, [](const std::shared_ptr<Peer>& peer) {
        if (peer->ended) peer->Close();
        return peer->ended;
      });
  }
  double PeakResidentMb() const {
    std::ifstream status("/proc/" + std::to_string(process->pid()) + "/status");
    for (std::string line; std::getline(status, line);)
      if (line.rfind("VmHWM:", 0) == 0) return std::stod(line.substr(6)) / 1024;
    return -1;
  }

  net::asio::io_context io;
  FaultyDiscovery discovery{io, 1};
  std::unique_ptr<ScriptedServer> servers[4];
  ReservedAddress listen{io};
  TemporaryFile config;
  TemporaryFile log;
  std::optional<Process> process;
  std::vector<std::shared_ptr<Peer>> clients;
};

TEST_P(MemoryLimitTest, ACrowdOfClientsDoesNotPassIt) {
  ASSERT_TRUE(RunUntil(io, [&] { return Ready(); }));
  ConnectAll();
  const auto end = std::chrono::steady_clock::now() + kDuration;
  for (int tick = 1; std::chrono::steady_clock::now() < end; ++tick) {
    RunFor(io, 10ms);
    CloseEndedConnections();
    if (tick % 50 == 0) Continue();
  }
  ASSERT_FALSE(process->PollExit()) << log.Read();
  const double peak = PeakResidentMb();
  RecordProperty("peak_resident_mb", std::to_string(peak));
  EXPECT_GT(peak, 0);
  if (kMemoryIsMeasured) {
    EXPECT_LE(peak, kMemoryLimitMb);
  }
  // Others are served once the crowd has gone.
  for (const auto& client : clients) client->Close();
  EXPECT_TRUE(RunUntil(io, [&] { return Ready(); })) << log.Read();
}

std::vector<Crowd> Crowds() {
  std::vector<Crowd> crowds;
  for (const Trouble trouble :
       {Trouble::kManyShortFields, Trouble::kManyTrailerFields, Trouble::kStoppedInsideHeader,
        Trouble::kStoppedInsideBody, Trouble::kSlowBody, Trouble::kUnreadAnswer, Trouble::kPipelined})
    for (const int clients : {120, 340, 540}) crowds.push_back({trouble, clients});
  return crowds;
}

INSTANTIATE_TEST_SUITE_P(Crowds, MemoryLimitTest, ::testing::ValuesIn(Crowds()), [](const auto& test) {
  return Name(test.param.trouble) + std::to_string(test.param.clients);
});

}  // namespace
}  // namespace merlinrun::faults
