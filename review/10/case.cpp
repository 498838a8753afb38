// Case 10: clients read long answers at 128 kB a second, twice as fast as the slowest that the pages name, from servers
// that give all of them at once. Checks that each client gets its whole answer.
#include "rig.hpp"

namespace {

constexpr int kSidecars = 3;
constexpr int kServers = 9;
constexpr int kReaders = 2;  // of each sidecar
constexpr std::size_t kSize = std::size_t{8} << 20;
constexpr double kRate = 128'000;  // bytes a second
constexpr std::size_t kPart = 6400;
constexpr double kFastRate = 1e9;  // without the disruption

// A server's answer: its bytes depend on their position.
std::string LongBody() {
  std::string body(kSize, '\0');
  for (std::size_t i = 0; i < body.size(); ++i) body[i] = static_cast<char>('a' + i / 1000 % 26);
  return body;
}

struct Result {
  std::string id;
  std::size_t received = 0;
  bool whole = false;
  std::string end = "nothing";
};

// Reads one long answer at the given rate, without ever falling behind it.
Result ReadLong(int sidecar, int port, double rate, const std::string& expected) {
  Result result;
  result.id = rig::FreshId(sidecar);
  rig::Connection connection;
  if (!connection.Dial(port)) throw rig::CannotRun("the sidecar accepts no connection");
  const std::string request = "GET /api?long HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: " + result.id +
                              "\r\nReq-Kind: status\r\nReq-Owner: gem-a\r\nReq-Deadline: 2.6\r\n\r\n";
  if (!connection.Write(request)) throw rig::CannotRun("the request could not be written");
  const double start = rig::Now();
  std::string got;
  std::size_t head = std::string::npos;
  char part[kPart];
  while (rig::Now() < start + 100) {
    rig::SleepUntil(start + static_cast<double>(got.size()) / rate);
    const ssize_t n = ::recv(connection.fd, part, sizeof part, 0);
    if (n <= 0) {
      result.end = n == 0 ? "closed by the sidecar" : "reset by the sidecar";
      break;
    }
    got.append(part, static_cast<std::size_t>(n));
    if (head == std::string::npos && (head = got.find("\r\n\r\n")) != std::string::npos) {
      const rig::Message answer = rig::ParseHead(got.substr(0, head + 2));
      rig::Record::Line("client: %s: %s, Content-Length %s, after %.3f s", result.id.c_str(), answer.first_line.c_str(),
                        answer.header("content-length").c_str(), rig::Now() - start);
      if (answer.status() != 200) {
        result.end = answer.first_line;
        return result;
      }
      head += 4;
    }
    if (head != std::string::npos && got.size() >= head + kSize) {
      result.end = "whole";
      break;
    }
  }
  if (head != std::string::npos) result.received = got.size() - head;
  result.whole = result.received == kSize && got.compare(head, kSize, expected) == 0;
  rig::Record::Line("client: %s: %zu of %zu bytes in %.1f s: %s", result.id.c_str(), result.received, kSize,
                    rig::Now() - start, result.end.c_str());
  return result;
}

bool Run(const std::string& folder) {
  const double rate = rig::WithTrouble() ? kRate : kFastRate;
  const std::string& body = rig::Forever<std::string>(LongBody());
  std::vector<rig::Server*> servers;
  rig::Discovery& discovery = rig::Forever<rig::Discovery>(kSidecars);
  for (int i = 0; i < kServers; ++i) {
    rig::Server& server = rig::Forever<rig::Server>("s" + std::to_string(i));
    servers.push_back(&server);
    discovery.Put(server.Entry());
    server.SetSpecial([&](rig::Connection& connection, const rig::Message& request) -> std::optional<bool> {
      if (request.first_line.find("?long") == std::string::npos) return std::nullopt;
      rig::Sleep(0.1);
      const bool ok = connection.Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kSize) + "\r\n\r\n" + body);
      rig::Record::Line("server: answer to %s %s", request.header("req-id").c_str(),
                        ok ? "given" : "cut off by the sidecar");
      return ok;
    });
  }
  std::vector<std::unique_ptr<rig::Sidecar>> sidecars;
  for (int i = 0; i < kSidecars; ++i) {
    sidecars.push_back(std::make_unique<rig::Sidecar>(i, rig::LichtnetSettings(kSidecars, i), discovery.port(i), folder));
    sidecars.back()->Start(discovery.FullList());
  }
  for (const auto& sidecar : sidecars) sidecar->WaitUntilReady();
  std::vector<std::unique_ptr<rig::SteadyClient>> clients;
  for (int i = 0; i < kSidecars * 2; ++i)
    clients.push_back(std::make_unique<rig::SteadyClient>(i % kSidecars, sidecars[i % kSidecars]->port(), 0.06));
  rig::Sleep(2);

  std::mutex mutex;
  std::vector<Result> results;
  std::vector<std::thread> readers;
  for (int i = 0; i < kSidecars * kReaders; ++i)
    readers.emplace_back([&, i] {
      const int sidecar = i % kSidecars;
      Result result = ReadLong(sidecar, sidecars[static_cast<std::size_t>(sidecar)]->port(), rate, body);
      const std::lock_guard lock(mutex);
      results.push_back(std::move(result));
    });
  for (std::thread& reader : readers) reader.join();
  clients.clear();

  int whole = 0, cut = 0;
  for (const Result& result : results) {
    whole += result.whole;
    cut += !result.whole && result.received > 0;
  }
  std::printf("%zu long answers: %d whole, %d cut off by the sidecar\n", results.size(), whole, cut);
  if (whole + cut == 0) throw rig::CannotRun("no long answer was begun");
  return cut == 0;
}

}  // namespace

int main() { rig::Main(Run); }
