// Case 7: one server's machine falls silent while it receives a long request body, and stays silent. Checks that
// each client gets its final answer in time.
#include "rig.hpp"

namespace {

constexpr int kSidecars = 3;
constexpr int kServers = 9;
const char* const kDeadline = "2.6";           // Req-Deadline: 0.43 of the 6 s of the class
constexpr double kLost = 2.6 + 0.5 + 0.05;     // an answer later than this is a lost request
constexpr double kSlack = 0.1;                 // for this program's own delays
constexpr std::size_t kFirstPart = 64 * 1024;  // what the server has read of the body when it falls silent

// How many bytes can be written to a connection whose peer reads nothing: what the kernel holds for one hop.
std::size_t KernelCapacity() {
  rig::Listener& silent = rig::Forever<rig::Listener>([](rig::Connection&) { rig::Sleep(1000); });
  rig::Connection connection;
  if (!connection.Dial(silent.port())) throw rig::CannotRun("no connection");
  const std::string chunk(16 * 1024, 'x');
  std::size_t written = 0;
  for (double idle_since = rig::Now(); rig::Now() < idle_since + 0.3;) {
    const ssize_t n = ::send(connection.fd, chunk.data(), chunk.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (n > 0) written += static_cast<std::size_t>(n), idle_since = rig::Now();
    if (n <= 0) rig::Sleep(0.01);
  }
  return written;
}

struct Upload {
  std::string id;
  std::atomic<double> written{-1};  // last byte of the request
  double answered = -1;             // last byte of the answer, or the end of the connection
  std::string end = "no answer";
};

// Sends one long request and waits for its answer, until 10 s after the last byte of the request at most.
void Send(Upload& upload, int sidecar, int port, std::size_t size) {
  upload.id = rig::FreshId(sidecar);
  rig::Connection connection;
  if (!connection.Dial(port)) throw rig::CannotRun("the sidecar accepts no connection");
  std::thread writer([&] {
    const std::string head = "POST /api HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: " + upload.id +
                             "\r\nReq-Kind: schakel-opdracht\r\nReq-Owner: gem-a\r\nReq-Deadline: " + kDeadline +
                             "\r\nReq-Cost: 150000\r\nIdempotency-Key: key-" + upload.id +
                             "\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
    rig::Record::Line("client: %s begins to send %zu bytes", upload.id.c_str(), size);
    const bool written = connection.Write(head + std::string(size, 'x'));
    if (written) upload.written = rig::Now();
    rig::Record::Line("client: %s: last byte %s", upload.id.c_str(), written ? "written" : "not written");
  });
  rig::Message answer;
  const double started = rig::Now();
  rig::Connection::Got got = rig::Connection::Got::kTimeout;
  while (got == rig::Connection::Got::kTimeout &&
         rig::Now() < (upload.written < 0 ? started + 30 : upload.written + 10))
    got = ReadMessage(connection, rig::Now() + 0.02, answer);
  upload.answered = rig::Now();
  if (got == rig::Connection::Got::kData) upload.end = answer.first_line;
  if (got == rig::Connection::Got::kEnd) upload.end = "closed";
  if (got == rig::Connection::Got::kReset) upload.end = "reset";
  ::shutdown(connection.fd, SHUT_RDWR);
  writer.join();
}

bool Run(const std::string& folder) {
  const bool trouble = rig::WithTrouble();
  const std::size_t capacity = KernelCapacity();
  const std::size_t size = capacity + capacity / 2;
  rig::Record::Line("a hop holds %zu bytes unread; bodies have %zu", capacity, size);
  if (size > (std::size_t{31} << 20)) throw rig::CannotRun("the kernel holds more than a body may have");
  static std::atomic<bool> silent{false};
  std::vector<rig::Server*> servers;
  rig::Discovery& discovery = rig::Forever<rig::Discovery>(kSidecars);
  for (int i = 0; i < kServers; ++i) {
    rig::Server& server = rig::Forever<rig::Server>("s" + std::to_string(i));
    servers.push_back(&server);
    discovery.Put(server.Entry());
    // The first server that has read the first part of a body falls silent, and no other one.
    server.SetOnPart([&server, trouble](std::size_t read) {
      if (!trouble || read < kFirstPart || silent.exchange(true)) return;
      server.Vanish();
      rig::Record::Line("trouble: %s falls silent after %zu bytes of a body", server.id().c_str(), read);
    });
  }
  std::vector<std::unique_ptr<rig::Sidecar>> sidecars;
  for (int i = 0; i < kSidecars; ++i) {
    sidecars.push_back(std::make_unique<rig::Sidecar>(i, rig::LichtnetSettings(kSidecars, i), discovery.port(i), folder));
    sidecars.back()->Start(discovery.FullList());
  }
  for (const auto& sidecar : sidecars) sidecar->WaitUntilReady();
  std::vector<std::unique_ptr<rig::SteadyClient>> clients;
  for (int i = 0; i < kSidecars * 4; ++i)
    clients.push_back(std::make_unique<rig::SteadyClient>(i % kSidecars, sidecars[i % kSidecars]->port(), 0.06));
  rig::Sleep(6);

  // Long requests, one after the other, until a server falls silent. Those that are sent then are completed.
  std::mutex mutex;
  std::vector<std::unique_ptr<Upload>> uploads;
  std::vector<std::thread> uploaders;
  const double end = rig::Now() + 5;
  for (int i = 0; i < kSidecars; ++i)
    uploaders.emplace_back([&, i] {
      while (!silent && rig::Now() < end) {
        auto upload = std::make_unique<Upload>();
        Send(*upload, i, sidecars[static_cast<std::size_t>(i)]->port(), size);
        const std::lock_guard lock(mutex);
        uploads.push_back(std::move(upload));
        rig::Sleep(0.1);
      }
    });
  for (std::thread& uploader : uploaders) uploader.join();
  clients.clear();

  int late = 0, in_time = 0;
  for (const auto& upload : uploads) {
    const double after = upload->answered - upload->written;
    const bool lost = upload->written >= 0 && after > kLost + kSlack;
    ++(lost ? late : in_time);
    if (upload->written < 0) {
      rig::Record::Line("check: %s: %s, before its last byte was written", upload->id.c_str(), upload->end.c_str());
    } else {
      rig::Record::Line("check: %s: %s, %.3f s after its last byte%s", upload->id.c_str(), upload->end.c_str(), after,
                        lost ? ": lost" : "");
    }
    if (lost)
      std::printf("%s: %s, %.3f s after its last byte; due within %.2f s\n", upload->id.c_str(), upload->end.c_str(),
                  after, kLost);
  }
  std::printf("%d long requests ended in time, %d later\n", in_time, late);
  if (trouble && !silent) throw rig::CannotRun("no server fell silent");
  return late == 0;
}

}  // namespace

int main() { rig::Main(Run); }
