// Case: the machine of one server falls silent while a long request is being passed on to it. The client has
// written the whole request by then, and the sidecar's machine has it.
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include "stand_in.hpp"

using namespace review;

namespace {

constexpr std::size_t kBody = std::size_t{12} << 20;  // "answers and bodies reach 32 MB"
constexpr std::size_t kRead = std::size_t{8} << 20;   // what the server has read when its machine falls silent
constexpr int kReceiveBuffer = 128 * 1024;            // of the servers' machines, so that little more arrives there
constexpr std::size_t kStep = std::size_t{64} << 10;  // written at once by the client, then it waits for a moment
constexpr double kDeadline = 2.6;                    // 43% of 6 s: BRIEF 5.2
constexpr double kAllowed = 0.5 + 0.05;              // "up to half a second after its time", and the 50 ms
constexpr double kSilence = 15;                      // BRIEF 7.1: 10 to 26 s

// The bytes that the peer's machine has not acknowledged yet.
int Unacknowledged(const Socket& socket) {
  int bytes = 0;
  ::ioctl(socket.fd(), SIOCOUTQ, &bytes);
  return bytes;
}

bool RuleHeld(World& world) {
  std::atomic<bool> silent_chosen{false};
  world.AddServers(10);
  for (const auto& server : world.servers) {
    server->receive_buffer = kReceiveBuffer;
    server->on_head = [&](Server& self, const Socket& socket, Reader& reader, const Head& head) {
      if (!world.trouble || head.Get("req-id") != "upload-1" || silent_chosen.exchange(true)) return true;
      RECORD("server %s: head of upload-1 arrived", self.id.c_str());
      std::size_t got = reader.buffered().size();
      std::vector<char> data(65536);
      while (got < kRead) {
        const ssize_t n = socket.Receive(data.data(), data.size(), 5);
        if (n <= 0) return false;
        got += static_cast<std::size_t>(n);
      }
      // From here on the machine is silent: the connection stays open and quiet.
      RECORD("server %s: its machine falls silent for %.0f s, after %zu bytes", self.id.c_str(), kSilence, got);
      Sleep(kSilence);
      RECORD("server %s: back, its connections are reset", self.id.c_str());
      return false;
    };
  }
  world.Start();

  Socket client = Connect(world.sidecar->port());
  const std::string body(kBody, 'x');
  char head[512];
  std::snprintf(head, sizeof head,
                "POST /api HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: upload-1\r\nReq-Kind: schakel-opdracht\r\n"
                "Req-Owner: gem-a\r\nReq-Deadline: %.3f\r\nIdempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n"
                "Content-Length: %zu\r\n\r\n",
                kDeadline, kBody);
  if (!client.Send(head)) throw CannotRun{"the request could not be sent"};
  const double began = Now();
  for (std::size_t at = 0; at < body.size(); at += kStep) {
    if (!client.Send(std::string_view(body).substr(at, kStep))) throw CannotRun{"the request could not be sent"};
    for (int i = 0; i < 20 && Unacknowledged(client) > 0; ++i) Sleep(0.001);
  }
  const double last_byte = Now();
  if (last_byte - began > 1) throw CannotRun{"the last byte could not be written while the request was passed on"};
  const int unacknowledged = Unacknowledged(client);
  RECORD("client: last byte of upload-1 written (%d bytes not yet acknowledged by the sidecar's machine)",
         unacknowledged);
  Reader reader(client);
  Head answer;
  double acknowledged_at = unacknowledged == 0 ? Now() : 0;
  while (!client.Readable(0.02) && Now() - last_byte < 30) {
    if (Unacknowledged(client) == 0 && acknowledged_at == 0) {
      acknowledged_at = Now();
      RECORD("client: the sidecar's machine has acknowledged the last byte");
    }
  }
  const Reader::End end = reader.ReadHead(answer, last_byte + 30);
  const double took = Now() - last_byte;
  RECORD("client: upload-1: %s, '%s', %.3f s after its last byte; its time was %.3f s", Name(end),
         answer.first_line.c_str(), took, kDeadline);
  return end == Reader::End::kComplete && took <= kDeadline + kAllowed;
}

}  // namespace

int main(int argc, char** argv) { return RunCase(argc, argv, RuleHeld); }
